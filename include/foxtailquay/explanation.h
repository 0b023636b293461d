// Where a request would go at a gateway now, and why. Plain structs: the
// question is an event of the gateway node, the response an action
// (gateway.h). Durations that are compared with each other are in milliseconds
// with fractions.

#ifndef FOXTAILQUAY_EXPLANATION_H
#define FOXTAILQUAY_EXPLANATION_H

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "absl/time/time.h"
#include "foxtailquay/error.h"
#include "foxtailquay/name_table.h"
#include "foxtailquay/types.h"

namespace foxtailquay {

// What becomes of a request.
enum class explained_outcome
{
  Sent,
  WaitsForTokens,
  WaitsForRoom,
  Refused,
};

constexpr auto NameTable(explained_outcome)
{
  using o = explained_outcome;
  return MakeNameTable<o>({ { o::Sent, "sent" },
                            { o::WaitsForTokens, "waits_for_tokens" },
                            { o::WaitsForRoom, "waits_for_room" },
                            { o::Refused, "refused" } });
}

// Where the tokens of a request come from.
enum class token_source
{
  // The request is not prepaid, or needs none.
  NotNeeded,
  // They are free at this gateway.
  Held,
  // A grant write of this gateway, which is the coordinator.
  Grant,
  // The gateway that is the coordinator.
  Coordinator,
  // Another gateway in place of this one, which does not reach the store.
  OtherCoordinator,
  // The other gateways, which return what they do not need soon.
  Recall,
  // Neither the store nor another gateway is known to respond.
  Unreachable,
};

constexpr auto NameTable(token_source)
{
  using s = token_source;
  return MakeNameTable<s>({ { s::NotNeeded, "not_needed" },
                            { s::Held, "held" },
                            { s::Grant, "grant" },
                            { s::Coordinator, "coordinator" },
                            { s::OtherCoordinator, "other_coordinator" },
                            { s::Recall, "recall" },
                            { s::Unreachable, "unreachable" } });
}

// Whether a server can take a request, and why it was passed over if it was.
enum class server_verdict
{
  // It can take the request.
  Usable,
  Chosen,
  Evacuated,
  // The configuration takes it out of use.
  Draining,
  // It stops, or the store does not list it any more.
  Leaving,
  // Its entry in the store contradicts what is known of it.
  Unconfirmed,
  // Its address is not known.
  NoAddress,
  // It has refused or failed the request.
  AlreadyTried,
  // This gateway uses as many slots as there are.
  NoSlot,
  // The engine has no memory for the request.
  NoMemory,
  // It has asked for a pause.
  BackedOff,
  // Its stated rate limit, or its limit while it is cold, allows none now.
  RateLimited,
  ColdLimited,
  // Connections to it failed; used only if there is no other one.
  Unreachable,
  // Ejected after failures, or at the limit of its probes; used only if there
  // is no other one.
  Ejected,
  Probing,
  // Its limit is kept for costlier requests.
  KeptForCostlier,
  // The request is so costly that it uses a server with a limit first.
  LimitedFirst,
  OutsideSubset,
  ModelNotLoaded,
  // The chosen server is expected to start the request no later.
  NotFaster,
};

constexpr auto NameTable(server_verdict)
{
  using v = server_verdict;
  return MakeNameTable<v>({ { v::Usable, "usable" },
                            { v::Chosen, "chosen" },
                            { v::Evacuated, "evacuated" },
                            { v::Draining, "draining" },
                            { v::Leaving, "leaving" },
                            { v::Unconfirmed, "unconfirmed" },
                            { v::NoAddress, "no_address" },
                            { v::AlreadyTried, "already_tried" },
                            { v::NoSlot, "no_slot" },
                            { v::NoMemory, "no_memory" },
                            { v::BackedOff, "backed_off" },
                            { v::RateLimited, "rate_limited" },
                            { v::ColdLimited, "cold_limited" },
                            { v::Unreachable, "unreachable" },
                            { v::Ejected, "ejected" },
                            { v::Probing, "probing" },
                            { v::KeptForCostlier, "kept_for_costlier" },
                            { v::LimitedFirst, "limited_first" },
                            { v::OutsideSubset, "outside_subset" },
                            { v::ModelNotLoaded, "model_not_loaded" },
                            { v::NotFaster, "not_faster" } });
}

// The error that the caller would get.
struct explained_refusal
{
  error_code mCode = error_code::Internal;
  std::string mDetail;
  absl::Duration mRetryAfter = absl::ZeroDuration();
};

struct explained_tokens
{
  token_source mSource = token_source::NotNeeded;
  // The gateway that is asked; empty if it is not a single other one.
  std::string mPeer;
  token_count mNeeded = 0;
  // Free at this gateway, granted to all gateways, and the prepaid total.
  token_count mFree = 0;
  token_count mGranted = 0;
  token_count mPrepaid = 0;
  // Number of others that wait for tokens of the total here and would get
  // theirs when the request arrives. The load that they add is not taken into
  // account.
  int mServedWaiters = 0;
};

// One server of the service.
struct explained_server
{
  backend_id mBackend;
  std::string mAddress;
  zone_id mZone;
  server_verdict mVerdict = server_verdict::Usable;
  // Estimated time to the first event, and what is added because another server
  // is preferred for the shared part of the prompt. Servers are compared by the
  // sum.
  double mDelayMs = 0;
  double mAffinityMs = 0;
  // Estimated work of the request on this server.
  double mTokensToProcess = 0;
  double mTokensToProduce = 0;
  double mSlotMs = 0;
  // Standard deviation of the logarithm of mSlotMs.
  double mSpread = 0;
  // Part of the prompt that is probably cached, 0 to 1.
  double mCachedFraction = 0;
  std::string mHealth;
  // Whether it has started a short time ago.
  std::string mStart;
  // Estimated requests of all gateways, open ones of this gateway, their
  // largest number at present, and slots.
  double mLoad = 0;
  int mOutstanding = 0;
  int mMaxOutstanding = 0;
  int mSlots = 0;
  // Stated limit in requests a second of all gateways; absent if there is none.
  std::optional<double> mRateLimit;
  // Time until its limits allow a request of this gateway; absent if one is
  // allowed now.
  std::optional<double> mNextRunMs;
  // Tokens that the engine can hold, and those that it is estimated to hold;
  // absent if its memory has no limit.
  std::optional<token_count> mMemoryTokens;
  std::optional<double> mHeldTokens;
};

struct explanation
{
  explained_outcome mOutcome = explained_outcome::Refused;
  // Absent if the request is not refused.
  std::optional<explained_refusal> mRefusal;
  // Version of the configuration; 0 before the first one.
  config_version mVersion = 0;
  // Empty if no route matches.
  std::string mRoute;
  service_id mService;
  // Empty if no workspace pays.
  workspace_id mWorkspace;
  explained_tokens mTokens;
  // Requests of the service that wait at this gateway, and the estimated time
  // until a further one is sent.
  std::size_t mWaiting = 0;
  double mWaitMs = 0;
  // How the demand of the workspace compares, while the servers are full.
  std::string mDemandRank;
  // How the request uses servers with a limit.
  std::string mLimitedUse;
  // The server to which the request goes, or would go if it did not wait;
  // empty if none can take it.
  backend_id mBackend;
  // All servers of the service, by id.
  std::vector<explained_server> mServers;
};

// Responds to explain_requested.
struct send_explanation
{
  std::uint64_t mCall = 0;
  explanation mExplanation;
};

} // namespace foxtailquay

#endif
