// State of the gateway node and the functions that its source files share.
//
// gateway.cc          construction, event dispatch, timers, stop
// gateway_request.cc  one request: admission, attempts, end
// gateway_share.cc    what gateways tell each other about the engines' work
// gateway_fund.cc     prepaid totals: grants, transfers between gateways
// gateway_follow.cc   what the store says: configuration, servers, peers

#ifndef FOXTAILQUAY_CORE_GATEWAY_STATE_H
#define FOXTAILQUAY_CORE_GATEWAY_STATE_H

#include <array>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/time/time.h"
#include "foxtailquay/gateway.h"
#include "gateway_charts.h"
#include "retry.h"
#include "routing.h"

namespace foxtailquay {

// Pause before a failed call on the store is made again: short enough that a
// gateway is in touch again well within the platform's contact bound (3 s).
constexpr absl::Duration kFirstPause = absl::Milliseconds(150);
constexpr absl::Duration kLongestPause = absl::Milliseconds(1000);
// Entries that lapsed while the store was away return within two seconds.
// A server that really left in the meantime must be out 2 s after it said so.
constexpr absl::Duration kLapseGrace = absl::Milliseconds(1750);
// Longest wait for tokens from another gateway or the store; a few round trips
// of both.
constexpr absl::Duration kFundingTimeout = absl::Milliseconds(500);
// A peer that did not answer is left out for this long.
constexpr absl::Duration kPeerSuspicion = absl::Seconds(2);
// A gateway without the store is not asked for a workspace again for so long.
constexpr absl::Duration kAvoidTime = absl::Seconds(1);
// Interval of housekeeping; no decision on a request waits for it.
constexpr absl::Duration kTickInterval = absl::Milliseconds(250);
// Time from the start of a stop during which the balancer may still send new
// connections: two missed checks, one a second, and their delay.
constexpr absl::Duration kStopLinger = absl::Milliseconds(2600);
// Part of the stop time that is kept for returning grants.
constexpr absl::Duration kStopReserve = absl::Milliseconds(400);
// The lease of the peer list entry is renewed this often.
constexpr absl::Duration kRegistrationInterval = absl::Seconds(5);
// When a refused caller should come back: after a funding round or a shift of
// load, in the order of a model run.
constexpr absl::Duration kRetryAfter = absl::Milliseconds(700);
// Prompts that were sent to engines are shared with other gateways after this
// time: shorter than a prompt of usual length takes to be read (100 ms).
constexpr absl::Duration kShareDelay = absl::Milliseconds(15);
// Most prompts in one message; more than one gateway sends in that time.
constexpr std::size_t kMaxSharedPrompts = 64;
// Most gateways that a message goes to, so that its cost does not grow with the
// fleet; the others still see the engines' own figures.
constexpr std::size_t kMaxShareTargets = 8;
// Entries in one write; the store takes at most 32.
constexpr std::size_t kMaxGrantEntries = 16;
// Parts of the fleet-wide allowance for repeats that are used; the rest covers
// gateways that do not know each other yet.
constexpr double kRepeatRatioPart = 0.7;
constexpr double kRepeatSlackPart = 0.6;

struct forwarded_request
{
  caller_request mCaller;
  forward_status mStatus = forward_status::Received;
  traffic_route mRoute;
  workspace_id mWorkspace;
  bool mIsPrepaid = false;
  // Towards the engines: the workspace's own if it has one.
  int mPriority = 0;
  // Among the requests of one workspace.
  int mRoutePriority = 0;
  service_id mService;
  bool mIsEngine = false;
  token_count mTokensPerEvent = 1;
  int mMaxConnections = 0;
  // Worst case in tokens; 0 for plain services.
  token_count mCost = 0;
  token_count mReserved = 0;
  absl::Time mArrivedAt;
  absl::Time mDeadline;
  // While funding.
  absl::Time mFundingDeadline = absl::InfiniteFuture();
  int mAttempts = 0;
  // Attempts of which a byte was sent.
  int mSent = 0;
  // No byte of the last attempt was sent.
  bool mLastUnsent = false;
  absl::Time mDispatchedAt;
  // The present attempt's backend server; empty between attempts.
  backend_id mBackend;
  bool mAnswering = false;
  std::set<backend_id> mTriedBackends;
  bool mMayHaveExecuted = false;
  // An earlier attempt may have run.
  bool mRanBefore = false;
  bool mHasHeldFailure = false;
  std::int64_t mEvents = 0;
  // What the caller is told if the request ends now.
  error mError;
};

// A request or another gateway that waits for tokens of a workspace.
struct token_waiter
{
  // One of the two is set.
  request_handle mHandle = 0;
  std::uint64_t mCall = 0;
  token_count mAmount = 0;
  int mPriority = 0;
  absl::Time mUntil;
};

struct workspace_fund
{
  grant_share mShare;
  std::deque<token_waiter> mWaiters;
  bool mAsking = false;
  token_count mPrepaid = 0;
  // Gateways that could not give tokens, until when they are not asked.
  std::map<std::string, absl::Time> mAvoid;
};

struct followed_area
{
  follow_status mStatus = follow_status::Reading;
  std::optional<store_version> mRevision;
  absl::Duration mPause = absl::ZeroDuration();
  absl::Time mPauseEnd = absl::InfiniteFuture();
  bool mInTouch = false;
  // Start of the present time in touch.
  absl::Time mInTouchSince = absl::InfinitePast();
  bool mComplete = false;
};

struct backend_listing
{
  backend_entry mEntry;
  store_version mRevision = 0;
  // Set if the entry lapsed while the store was away; removed then.
  absl::Time mRemoveAt = absl::InfiniteFuture();
};

struct peer_listing
{
  gateway_peer mPeer;
  store_version mRevision = 0;
  absl::Time mSuspectUntil = absl::InfinitePast();
};

struct gateway
{
  gateway_settings mSettings;
  gateway_charts mCharts;
  random_engine mRandom;
  routing_options mRouting;
  grant_holder mHolder;

  std::array<followed_area, CountEnumerators<directory_area>()> mAreas;
  std::optional<route_table> mTable;
  std::map<backend_id, backend_listing> mListings;
  std::map<backend_id, backend_view> mViews;
  std::map<std::string, peer_listing> mPeers;
  std::uint64_t mLoadSequence = 0;
  // Sent to engines and not yet shared.
  std::vector<sent_prompt> mUnshared;
  absl::Time mShareAt = absl::InfiniteFuture();

  absl::flat_hash_map<request_handle, std::unique_ptr<forwarded_request>>
    mRequests;
  std::set<std::pair<absl::Time, request_handle>> mDeadlines;
  std::map<std::string, retry_state> mRepeats;

  std::map<workspace_id, workspace_fund> mFunds;
  // Workspaces of the grant write in flight; empty if there is none.
  std::vector<grant_write::entry> mWriting;
  absl::Time mNextWriteAt = absl::InfinitePast();
  // The last write of grants was not confirmed.
  bool mWriteFailed = false;
  absl::Time mNextCheckAt = absl::InfinitePast();

  std::uint64_t mLease = 0;
  bool mRegistering = false;
  absl::Time mRegisterAt = absl::InfinitePast();

  bool mReady = false;
  bool mStopping = false;
  bool mStopped = false;
  absl::Time mStopStart = absl::InfiniteFuture();
  absl::Time mReturnBy = absl::InfiniteFuture();
  absl::Time mNextTick = absl::InfinitePast();

  // Actions of the present step.
  gateway_actions mActions;
};

using decision_inputs = std::vector<std::pair<std::string_view, std::string>>;
void RecordDecision(gateway& aGateway, decision aDecision,
                    decision_inputs aInputs);

error MakeError(error_code aCode, executed aExecuted, std::string aDetail);

// --- gateway_request.cc -----------------------------------------------------

void OnRequest(gateway& aGateway, const caller_request& aRequest,
               absl::Time aNow);
void OnAttempt(gateway& aGateway, const attempt_report& aReport,
               absl::Time aNow);
void OnFirstByte(gateway& aGateway, const first_byte& aEvent, absl::Time aNow);
void OnCallerDisconnected(gateway& aGateway, const caller_disconnected& aEvent,
                          absl::Time aNow);
// Fires aEvent on the request's chart and performs the actions. The request
// is gone afterwards if that ended it.
void FireRequest(gateway& aGateway, request_handle aHandle,
                 forward_event aEvent, absl::Time aNow);
void AdvanceDeadlines(gateway& aGateway, absl::Time aNow);

// --- gateway_share.cc -------------------------------------------------------

// Notes a prompt that is being sent to a backend server, for the others.
void NotePrompt(gateway& aGateway, const backend_id& aBackend,
                token_count aUncached, const routing_query& aQuery,
                absl::Time aNow);
// What another gateway has sent to engines.
void OnPromptsShared(gateway& aGateway, const prompts_reported& aEvent,
                     absl::Time aNow);
// Shares what this gateway has sent once it is due.
void TickSharing(gateway& aGateway, absl::Time aNow);

// --- gateway_fund.cc --------------------------------------------------------

// Reserves the cost of a request, at once or after a wait; ends in the events
// Funded or Unfunded.
void ReserveForRequest(gateway& aGateway, forwarded_request& aRequest,
                       absl::Time aNow);
// Tokens of the reservation that the request has used up as far as is known.
token_count SpentTokens(const forwarded_request& aRequest);
void SettleRequest(gateway& aGateway, forwarded_request& aRequest);
grant_clock ClockAt(const gateway& aGateway, absl::Time aNow);
void OnGrantWritten(gateway& aGateway, const grant_write_response& aEvent,
                    absl::Time aNow);
void OnTokensAsked(gateway& aGateway, const tokens_requested& aEvent,
                   absl::Time aNow);
void OnTokensReturned(gateway& aGateway, const tokens_returned& aEvent,
                      absl::Time aNow);
void OnTokenResponse(gateway& aGateway, const token_response_received& aEvent,
                     absl::Time aNow);
// Takes over the prepaid totals of a new configuration.
void UpdateFunds(gateway& aGateway, absl::Time aNow);
// Writes grants, returns tokens that are not needed, ends overdue waits.
void TickFunds(gateway& aGateway, absl::Time aNow);
// Starts to return everything; true once nothing is left to return.
bool ReturnFunds(gateway& aGateway, absl::Time aNow);

// --- gateway_follow.cc ------------------------------------------------------

void StartFollowing(gateway& aGateway);
void OnDirectory(gateway& aGateway, const directory_response& aResponse,
                 absl::Time aNow);
void TickFollowing(gateway& aGateway, absl::Time aNow);
void OnRegistration(gateway& aGateway, const registration_response& aResponse,
                    absl::Time aNow);
// Routers that are expected to be alive, this one included.
int CountRouters(const gateway& aGateway, absl::Time aNow);
bool IsDirectoryKnown(const gateway& aGateway);
// Takes a backend server out until the store lists it anew.
void ForgetBackend(gateway& aGateway, const backend_id& aBackend,
                   absl::Time aNow);

} // namespace foxtailquay

#endif
