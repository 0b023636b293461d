// State of the gateway node and the functions that its source files share. Not
// thread-safe: only the control thread uses it.
//
// gateway.cc          construction, event dispatch, timers, planned stop
// gateway_request.cc  one request: attempts, end
// gateway_choice.cc   decisions on one request: admission, choice of a server
// gateway_explain.cc  where a request would go, without sending it
// gateway_work.cc     what is learned from requests on work and speed
// gateway_share.cc    reports between gateways on prompts sent to engines
// gateway_memory.cc   memory of the engines
// gateway_admission.cc  requests that wait while all servers are full
// gateway_log.cc      log records on requests
// gateway_quarantine.cc  prompts and requests under which servers crash
// gateway_fund.cc     prepaid totals: grants, transfers between gateways
// gateway_waiters.cc  requests and gateways that wait for tokens
// gateway_placement.cc  prepaid tokens held ahead of need: first parts, refill,
//                     recall, return
// gateway_coordinator.cc  which gateway requests grants for a workspace
// gateway_load.cc     load of this process
// gateway_follow.cc   watches on the store
// gateway_directory.cc  what the store lists: configuration, servers, peers
// gateway_entries.cc  entries of servers that contradict what is known
// gateway_server_share.cc  what other gateways know of servers
// gateway_heartbeat.cc  registration, whether the store can be reached
// gateway_cold.cc, gateway_evacuation.cc  cold servers, evacuated zones
// gateway_era.cc      returns of the store to an older state
// gateway_recovery.cc grant records after such a return, copies of records

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
#include "admission.h"
#include "cost_profile.h"
#include "crash_quarantine.h"
#include "foxtailquay/gateway.h"
#include "gateway_charts.h"
#include "gateway_heartbeat.h"
#include "request_work.h"
#include "retry.h"
#include "routing.h"
#include "server_counts.h"
#include "stored_entry.h"
#include "work_model.h"
#include "workspace_tokens.h"

namespace foxtailquay {

// Backoff before a failed store call is repeated. It is short enough for the
// gateway to be connected again well within the platform's bound of 3 s.
constexpr absl::Duration kInitialBackoff = absl::Milliseconds(150);
constexpr absl::Duration kMaxBackoff = absl::Milliseconds(1000);
// Time after a reconnection for which expired entries are kept: entries that
// expired while the store was unavailable are written again within two seconds.
// It is below 2 s, the bound within which a server that announced its stop must
// get no more requests.
constexpr absl::Duration kExpiryGracePeriod = absl::Milliseconds(1750);
// Longest wait for tokens from another gateway or the store: a few round trips
// of both.
constexpr absl::Duration kFundingTimeout = absl::Milliseconds(500);
// Time for which a peer that did not respond is not used.
constexpr absl::Duration kSuspectTime = absl::Seconds(2);
// Time for which a peer that cannot reach the store gets no more token requests
// for a workspace.
constexpr absl::Duration kAvoidTime = absl::Seconds(1);
// Interval of the periodic work. No decision on a request waits for it.
constexpr absl::Duration kTickInterval = absl::Milliseconds(250);
// Time from the start of a stop during which the load balancer may still send
// new connections: two missed health checks, one a second, and their delay.
constexpr absl::Duration kStopDrainTime = absl::Milliseconds(2600);
// Time at the end of a stop that is reserved for returning grants.
constexpr absl::Duration kGrantReturnTime = absl::Milliseconds(400);
// Time after a reconnection for which expired peers are kept: the longest
// contact time (5 s), in which they are connected again, and the time of the
// two calls with which they register.
inline const absl::Duration kPeerGracePeriod =
  absl::Seconds(5) + 2 * kStoreResponseTime;
// Delay after which a refused caller should retry: about one model run, in
// which tokens are granted or load moves.
constexpr absl::Duration kRetryAfter = absl::Milliseconds(700);
// Largest number of records in one write. The store accepts at most 32 rows in
// all: a condition and a value for each record, and those on eras.
constexpr std::size_t kMaxGrantEntries = 12;
// Fractions of the fleet-wide retry limit that are used. The rest covers
// gateways that do not have each other in their peer lists yet.
constexpr double kRepeatRatioFraction = 0.7;
constexpr double kRepeatSlackFraction = 0.6;

// One request of a caller, from its arrival to the end of its response.
struct forwarded_request
{
  caller_request mCaller;
  forward_status mStatus = forward_status::Received;
  traffic_route mRoute;
  workspace_id mWorkspace;
  // Identifies what is requested and the workspace, so that repeats by the
  // caller have the same; absent if the content is not known.
  std::optional<std::uint64_t> mFingerprint;
  bool mIsPrepaid = false;
  // Priority at the engines: that of the workspace if it has one, otherwise
  // that of the route. 0 is the highest.
  int mPriority = 0;
  // Priority among the requests of one workspace. 0 is the highest.
  int mRoutePriority = 0;
  service_id mService;
  bool mIsEngine = false;
  token_count mTokensPerEvent = 1;
  int mMaxConnections = 0;
  // Largest number of tokens that the request can use; 0 for plain services.
  token_count mWorstCaseCost = 0;
  // Tokens reserved and not yet settled.
  token_count mReserved = 0;
  absl::Time mArrivedAt;
  absl::Time mDeadline;
  // End of the wait for tokens.
  absl::Time mFundingDeadline = absl::InfiniteFuture();
  // Number of attempts, sent or not.
  int mAttempts = 0;
  // Number of attempts of which at least one byte was sent.
  int mSentAttempts = 0;
  // True if no byte of the last attempt was sent.
  bool mIsLastUnsent = false;
  absl::Time mDispatchedAt;
  // Backend server of the current attempt; empty between attempts.
  backend_id mBackend;
  // Start time of the incarnation to which the current attempt was sent.
  std::int64_t mBackendStartedMs = 0;
  // Tokens of the current attempt that count as held by its engine.
  token_count mHeldTokens = 0;
  // How its workspace's demand compares, if the servers are full.
  demand_rank mDemandRank = demand_rank::Usual;
  // True if the request has waited and is to be sent before others that wait.
  bool mHasTurn = false;
  bool mHasResponseStarted = false;
  request_work mWork;
  std::set<backend_id> mTriedBackends;
  // True if any attempt, including the current one, may have been executed.
  bool mMayHaveExecuted = false;
  // True if an earlier attempt may have been executed.
  bool mEarlierMayHaveExecuted = false;
  // True if the traffic layer holds the failure response of the last attempt.
  bool mHasHeldFailure = false;
  // Complete stream events that reached the caller, over all attempts.
  std::int64_t mEvents = 0;
  // Error that the caller receives if the request ends now.
  error mError;
};

// State of the watch on one area of the store.
struct watched_area
{
  watch_status mStatus = watch_status::Reading;
  std::optional<store_version> mRevision;
  // Current backoff; zero while connected.
  absl::Duration mBackoff = absl::ZeroDuration();
  // Time of the next call after a failure; infinite if none is due.
  absl::Time mRetryAt = absl::InfiniteFuture();
  // True if the last call reached the store.
  bool mIsConnected = false;
  // Start of the current connection to the store.
  absl::Time mConnectedSince = absl::InfinitePast();
  // Time at which the store had last removed the entry of this gateway, which
  // had not ended its lease. Other leases have run out too then.
  absl::Time mLapsedAt = absl::InfinitePast();
  // Start of the last call, and the longest time for which the store may hold
  // it.
  absl::Time mCalledAt = absl::InfinitePast();
  absl::Duration mMaxWait = absl::ZeroDuration();
  // Start of the last applied call: changes after its revision are later.
  absl::Time mKnownAt = absl::InfinitePast();
  // Start of the call whose failure ended the last connection.
  absl::Time mLostSince = absl::InfinitePast();
  // Number of failed calls since the last connection.
  int mFailedCalls = 0;
  // True once a complete copy has been read.
  bool mComplete = false;
  // True until a complete copy has been read in the present era of the store.
  bool mIsFirstRead = true;
};

// A backend server as listed in the store.
struct backend_listing
{
  backend_entry mEntry;
  store_version mRevision = 0;
  // Time at which the gateway applied the entry.
  absl::Time mReadAt = absl::InfinitePast();
  // Time at which the entry is removed because it expired while the store was
  // unavailable; infinite if it has not expired.
  absl::Time mRemoveAt = absl::InfiniteFuture();
};

// What is known of an incarnation of a backend server beside its entry, and the
// position of its last entry once the store does not list it.
struct server_notice
{
  // Identify the incarnation.
  std::int64_t mStartedMs = 0;
  std::string mAddress;
  // Number of its last heartbeat that was in force.
  std::int64_t mSequence = 0;
  bool mIsLeaving = false;
  // True if its entry was removed. Its return alone does not show that the
  // server runs: the store may execute a heartbeat late, or list an older
  // state.
  bool mIsRemoved = false;
  // True if the entry may have been removed only because the store was
  // unavailable.
  bool mHasExpired = false;
  absl::Time mBackoffUntil = absl::InfinitePast();
  // Time at which the notice is forgotten because the store no longer lists the
  // server; infinite while it does.
  absl::Time mForgetAt = absl::InfiniteFuture();
};

// Another gateway as listed in the store.
struct peer_listing
{
  gateway_peer mPeer;
  store_version mRevision = 0;
  // The peer did not respond and is not used until this time.
  absl::Time mSuspectUntil = absl::InfinitePast();
  // True if the peer has not responded since.
  bool mIsDoubtful = false;
  // True if the peer has responded, or was listed anew, since this process has
  // started. The entry of a process that has ended stays for some seconds.
  bool mIsKnownAlive = false;
  // True if the entry may have expired only because the store was unavailable.
  bool mHasExpired = false;
};

// Granted tokens that are withheld until enough gateways have a copy of the
// record.
struct grant_replication
{
  struct amount
  {
    workspace_id mWorkspace;
    token_count mTokens = 0;
  };
  std::vector<amount> mAmounts;
  // Copies that are still needed.
  int mMissingCopies = 0;
  // Calls without an outcome yet.
  int mOpenCalls = 0;
};

// What this gateway knows of the grant records of all workspaces.
struct grant_recovery
{
  recovery_status mStatus = recovery_status::Reading;
  // True once this process has read all records.
  bool mHasRead = false;
  // Era in which it first did; 0 before, and if the store stated none.
  store_era mFirstEra = 0;
  // Start of the present recovery.
  absl::Time mStartedAt = absl::InfinitePast();
  absl::Time mRetryAt = absl::InfiniteFuture();
  // First era of each gateway that has answered in this recovery.
  std::map<std::string, store_era> mAnswers;
  // Gateways whose last call failed in this recovery.
  std::set<std::string> mFailed;
  // Gateways that others have named in this recovery.
  std::set<std::string> mNamed;
  // Grants that wait for copies.
  std::map<std::uint64_t, grant_replication> mReplications;
  std::uint64_t mLastReplication = 0;
};

// Load of this process.
struct load_state
{
  load_status mStatus = load_status::Accepting;
  // Largest fraction of a limit that is in use.
  double mLoad = 0;
  // Number of consecutive high measurements.
  int mHighMeasurements = 0;
  absl::Time mSheddingSince = absl::InfiniteFuture();
  // True if callers' connections are closed after their responses.
  bool mIsClosing = false;
};

// Bounds the log lines on withheld entries.
struct entry_log
{
  absl::Time mWindowStart = absl::InfinitePast();
  int mLines = 0;
  // Lines that were not logged since the last one that was.
  std::uint64_t mOmitted = 0;
};

// State of a gateway node.
struct gateway
{
  gateway_settings mSettings;
  gateway_charts mCharts;
  random_engine mRandom;
  routing_options mRouting;
  grant_holder mHolder;

  // Era of the store to which all versions in this state belong; 0 before the
  // first response that states one.
  store_era mEra = 0;
  // The first era that was stated.
  store_era mFirstEra = 0;
  // Era that was last stated and ignored, since it is lower.
  std::optional<store_era> mIgnoredEra;
  // True until a grant write has marked the era in the store.
  bool mMarksEra = true;
  grant_recovery mRecovery;
  std::array<watched_area, CountEnumerators<directory_area>()> mAreas;
  // Table of the current configuration; absent before the first one.
  std::optional<route_table> mTable;
  std::map<backend_id, backend_listing> mListings;
  std::map<backend_id, backend_view> mViews;
  // Sums over mViews.
  server_counts mServerCounts;
  std::map<backend_id, server_notice> mNotices;
  // At most one for each id that the store lists.
  std::map<backend_id, withheld_entry> mWithheldEntries;
  entry_log mEntryLog;
  // True if other gateways are to be asked for what they know of servers, the
  // number of those that have not answered yet, and the end of the wait for
  // them.
  bool mWantsServers = false;
  std::size_t mServerAnswersDue = 0;
  absl::Time mServerAnswersUntil = absl::InfinitePast();
  zone_evacuations mEvacuations;
  std::map<std::string, peer_listing> mPeers;
  std::uint64_t mLoadSequence = 0;
  // Sizes of recent requests, by service with a stated memory of its engines.
  std::map<std::string, holding_sizes> mHoldingSizes;
  // Engines of which the next report states, to all gateways, what is held.
  std::set<backend_id> mChangedHoldings;
  // Prompts sent to engines and not yet reported to other gateways.
  std::vector<sent_prompt> mUnreportedPrompts;
  // Time of the next prompt report; infinite if there is nothing to report.
  absl::Time mReportAt = absl::InfiniteFuture();

  absl::flat_hash_map<request_handle, std::unique_ptr<forwarded_request>>
    mRequests;
  std::set<std::pair<absl::Time, request_handle>> mDeadlines;
  // Recent requests to engines, by service.
  std::map<std::string, cost_profile> mCosts;
  // Requests that wait because all servers of their service are full.
  admission_state mAdmission;
  // Routing options for the question whether a server has room.
  routing_options mRoomRouting;
  std::map<std::string, service_pace> mPaces;
  // Time of the next review of waiting requests; infinite if there are none.
  absl::Time mNextReviewAt = absl::InfiniteFuture();
  // What was learned about requests and servers.
  work_model mWork;
  // Retry budgets by service.
  std::map<std::string, retry_state> mRetryStates;

  std::map<workspace_id, workspace_tokens> mWorkspaceTokens;
  // Sums over them of the free tokens and of the targets, as of the last tick.
  token_count mTokensHeld = 0;
  token_count mTokensTarget = 0;
  // Time of the first request for prepaid tokens.
  absl::Time mTrafficSince = absl::InfiniteFuture();
  // Messages ahead of need that may still be sent before the next tick.
  int mMessagesLeft = 0;
  // Entries of the grant write in flight; empty if there is none.
  std::vector<grant_write::entry> mEntriesInFlight;
  absl::Time mNextWriteAt = absl::InfinitePast();
  // True if the last grant write was not confirmed.
  bool mWriteFailed = false;
  absl::Time mNextPeriodicWriteAt = absl::InfinitePast();
  // Workspace at which the periodic writes continue that are due.
  workspace_id mPeriodicFrom;

  crash_quarantine mQuarantine;
  // Suspects by backend server, until the server has been probed.
  std::map<backend_id, crash_suspects> mProbes;
  // Reports of the write in flight; empty if there is none.
  std::vector<crash_report> mReportsInFlight;
  absl::Time mNextReportWriteAt = absl::InfinitePast();
  // Time from which reports of other gateways may be removed; infinite if there
  // are none to remove.
  absl::Time mRemoveReportsAt = absl::InfiniteFuture();

  registration_state mRegistration;

  load_state mLoad;
  bool mReady = false;
  bool mStopping = false;
  bool mStopped = false;
  absl::Time mStopStartedAt = absl::InfiniteFuture();
  // End of the wait for returned grants in a planned stop.
  absl::Time mReturnDeadline = absl::InfiniteFuture();
  absl::Time mNextTickAt = absl::InfinitePast();

  // Actions of the current step.
  gateway_actions mActions;
};

using decision_inputs = std::vector<std::pair<std::string_view, std::string>>;

// Adds a decision for the log to the actions.
void RecordDecision(gateway& aGateway, decision aDecision,
                    decision_inputs aInputs);

// Returns an error with the retry delay kRetryAfter.
error MakeError(error_code aCode, executed aExecuted, std::string aDetail);

// --- gateway_request.cc -----------------------------------------------------

void OnRequest(gateway& aGateway, const caller_request& aRequest,
               absl::Time aNow);
void OnAttemptReport(gateway& aGateway, const attempt_report& aReport,
                     absl::Time aNow);
void OnFirstByte(gateway& aGateway, const first_byte& aEvent, absl::Time aNow);
void OnCallerDisconnected(gateway& aGateway, const caller_disconnected& aEvent,
                          absl::Time aNow);
// Fires aEvent in the request's chart, sets its state and returns the actions
// to perform.
std::vector<forward_action> FireForwardChart(const gateway& aGateway,
                                             forwarded_request& aRequest,
                                             forward_event aEvent,
                                             absl::Time aNow);
// Fires aEvent in the request's chart and performs the actions. Removes the
// request if its chart reaches the final state.
void FireRequest(gateway& aGateway, request_handle aHandle,
                 forward_event aEvent, absl::Time aNow);
// Ends the requests whose deadline has passed.
void AdvanceDeadlines(gateway& aGateway, absl::Time aNow);

// --- gateway_quarantine.cc --------------------------------------------------

// Records what the end of an attempt shows of crashes of its server and of what
// the request has in common with others.
void RecordCrashEvidence(gateway& aGateway, const forwarded_request& aRequest,
                         const attempt_report& aReport,
                         const backend_id& aBackend, absl::Time aNow);
void OnServerProbed(gateway& aGateway, const server_probed& aEvent,
                    absl::Time aNow);
// Writes all known reports again, since the store may have lost them.
void RestartCrashReports(gateway& aGateway);
// Adopts the crash reports in a response on the area Peers.
void ApplyCrashReports(gateway& aGateway, const directory_response& aResponse,
                       absl::Time aNow);
void OnCrashReportWriteResponse(gateway& aGateway,
                                const crash_report_write_response& aEvent,
                                absl::Time aNow);
// Ends quarantines whose time has passed and repeats failed writes.
void AdvanceQuarantine(gateway& aGateway, absl::Time aNow);
// Returns the error with which the request must be refused because servers
// crash under it; nothing if it may be sent.
std::optional<error> CheckQuarantine(const gateway& aGateway,
                                     const forwarded_request& aRequest,
                                     absl::Time aNow);
// Returns true if servers have crashed under the request or a part of its
// prompt.
bool HasSuspect(const gateway& aGateway, const forwarded_request& aRequest);
// --- gateway_fund.cc --------------------------------------------------------

// Reserves the worst-case cost of a request, immediately or after a wait. Fires
// the event Funded or Unfunded on the request.
void ReserveForRequest(gateway& aGateway, forwarded_request& aRequest,
                       absl::Time aNow);
// Returns the number of reserved tokens that the request has used, as far as is
// known.
token_count ComputeSpentTokens(const forwarded_request& aRequest);
// Ends the reservation of a request and releases its unused tokens.
void SettleRequest(gateway& aGateway, forwarded_request& aRequest);
// Returns aNow on both clocks that grants use.
grant_clock MakeGrantClock(const gateway& aGateway, absl::Time aNow);
void OnGrantWriteResponse(gateway& aGateway, const grant_write_response& aEvent,
                          absl::Time aNow);
void OnTokensRequested(gateway& aGateway, const tokens_requested& aEvent,
                       absl::Time aNow);
void OnTokensReturned(gateway& aGateway, const tokens_returned& aEvent,
                      absl::Time aNow);
void OnTokensRecalled(gateway& aGateway, const tokens_recalled& aEvent,
                      absl::Time aNow);
void OnTokenResponse(gateway& aGateway, const token_response_received& aEvent,
                     absl::Time aNow);
// Adopts the prepaid totals of a new configuration.
void UpdatePrepaidTotals(gateway& aGateway, absl::Time aNow);
// Writes grants, returns tokens that are not needed and ends overdue waits.
void AdvanceGrants(gateway& aGateway, absl::Time aNow);
// Returns true from the time at which a planned stop begins to return the
// grants. A gateway requests no further tokens from then on.
bool IsReturningGrants(const gateway& aGateway);
// Starts to return all free tokens to the peers or the store. Returns true once
// nothing is left to return.
bool ReturnAllTokens(gateway& aGateway, absl::Time aNow);

// Tries again to serve the waiters of a workspace after tokens became
// available.
void ResumeWaiters(gateway& aGateway, const workspace_id& aWorkspace,
                   absl::Time aNow);

// --- gateway_era.cc ---------------------------------------------------------

// How the eras of a response fit the present era.
enum class era_match
{
  Current,
  // The call was made in an earlier era; what it concerned has been started
  // anew.
  Superseded,
  // The response states an era that has ended.
  Unsound,
};

constexpr auto NameTable(era_match)
{
  using m = era_match;
  return MakeNameTable<m>({ { m::Current, "current" },
                            { m::Superseded, "superseded" },
                            { m::Unsound, "unsound" } });
}

// Compares the eras of a response. Begins the stated era if it is later than
// the present one.
era_match MatchEra(gateway& aGateway, const response_era& aEra,
                   absl::Time aNow);
// Begins the era if it is later than the present one. aCause: who stated it.
void ObserveEra(gateway& aGateway, store_era aEra, std::string_view aCause,
                absl::Time aNow);

// --- gateway_recovery.cc ----------------------------------------------------

// Starts to read the grant records and to collect copies from other gateways.
void StartRecovery(gateway& aGateway, absl::Time aNow);
void OnGrantsRead(gateway& aGateway, const grants_read& aEvent,
                  absl::Time aNow);
void OnGrantsShared(gateway& aGateway, const grants_shared& aEvent,
                    absl::Time aNow);
void OnShareResponse(gateway& aGateway, const share_response_received& aEvent,
                     absl::Time aNow);
// Looks again whether records may be missing, after a configuration has named
// the workspaces.
void ReviewRecovery(gateway& aGateway, absl::Time aNow);
// Repeats calls of the recovery that are due.
void AdvanceRecovery(gateway& aGateway, absl::Time aNow);
// Returns true if this gateway may write grants.
bool MayWriteGrants(const gateway& aGateway);
// Withholds the tokens and sends the records to other gateways. Releases the
// tokens at once if there are none.
void ReplicateGrants(gateway& aGateway,
                     std::vector<grant_replication::amount> aAmounts,
                     absl::Time aNow);

// --- gateway_follow.cc ------------------------------------------------------

// Forgets all positions in the store, reads all areas anew and registers again.
// Entries that the store has lost count as expired for a while.
void RestartWatches(gateway& aGateway, absl::Time aNow);
// Reads all areas of the store.
void StartWatches(gateway& aGateway, absl::Time aNow);
void OnDirectoryResponse(gateway& aGateway, const directory_response& aResponse,
                         absl::Time aNow);
// Repeats failed reads and watches that are due and removes expired backend
// servers.
void AdvanceWatches(gateway& aGateway, absl::Time aNow);
// Starts the calls anew that were started before aBefore and wait for a
// response. Calls that wait for the end of a backoff are left alone: the store
// may refuse them although it serves others.
void RestartWaitingCalls(gateway& aGateway, absl::Time aBefore,
                         absl::Time aNow);
// Starts the call on the area anew if it waits for a response.
void RestartCall(gateway& aGateway, directory_area aArea, absl::Time aNow);
// Records for all areas that a call started at aSince did not reach the store.
void MarkStoreLost(gateway& aGateway, absl::Time aSince, absl::Time aNow);
// Records that the store is reached again, for the areas whose watches were
// started before aBefore and wait for changes.
void MarkStoreRegained(gateway& aGateway, absl::Time aBefore, absl::Time aNow);

} // namespace foxtailquay

#endif
