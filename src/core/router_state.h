// Private state of the router node and the functions that its source files
// share:
//   router.cc           passes events to the other files; periodic work
//   router_prepare.cc   checks caller requests and computes their cost
//   router_request.cc   admits, dispatches and retries caller requests
//   router_budget.cc    budget shares and settlement
//   router_commit.cc    commits to the account shards
//   router_claim.cc     claims of idempotency keys
//   router_members.cc   gossip, suspected members, backend views
//   router_fence.cc     fences that exclude lost routers
//   router_operator.cc  operators' requests and the graceful stop
//
// Only one thread at a time may use a router_state.

#ifndef FOXTAILQUAY_CORE_ROUTER_STATE_H
#define FOXTAILQUAY_CORE_ROUTER_STATE_H

#include <map>
#include <set>
#include <string>
#include <tuple>
#include <vector>

#include "admission.h"
#include "commit.h"
#include "foxtailquay/router.h"
#include "node_charts.h"
#include "node_core.h"
#include "retry.h"
#include "routing.h"
#include "share.h"

namespace foxtailquay {

using account_queue = commit_queue<account_shard, account_op>;
using claim_queue = commit_queue<claim_shard, claim_shard_op>;

// One caller request, from its arrival until its last attempt is settled and a
// response has been sent.
struct request_state
{
  request_handle mHandle = 0;
  request_status mStatus = request_status::Received;
  caller_request_event mCallerRequest;
  workspace_id mWorkspace;
  budget_id mBudget;
  priority_class mPriority = priority_class::Standard;
  absl::Time mDeadline;
  // True if executing the request more than once is safe.
  bool mRepeatable = true;
  // Prices and limits of the configuration at the time of arrival.
  token_count mPromptPrice = 0;
  token_count mCompletionPrice = 0;
  token_count mCallPrice = 0;
  token_count mMaxTokens = 0;
  token_count mWorstCaseCost = 0;

  // Id of the current attempt, and whether tokens are reserved for it.
  request_id mRun;
  bool mReserved = false;
  backend_id mBackend;
  incarnation_number mAgentIncarnation = 0;
  // Attempts so far, including the current one.
  int mAttempts = 0;
  // Backend servers that later attempts do not use.
  std::set<backend_id> mTriedBackends;
  token_usage mUsage;
  // True if part of a response has reached the caller.
  bool mRelayed = false;
  // True if an attempt failed after it was sent. The request may have been
  // executed, so no later error may say that it was not.
  bool mMayHaveExecuted = false;

  claim_key mClaimKey;
  // 0 if no claim has been submitted.
  std::uint64_t mClaimNumber = 0;
  process_id mClaimHolder;
  // True once the claim is committed for this request.
  bool mHasClaim = false;
  // Until then the router polls a claim of another call for its response.
  absl::Time mClaimWaitDeadline;

  // The request fails if its tokens are not reserved by then.
  absl::Time mFundingDeadline;
  bool mAdmitted = false;
  // The caller's connection is closed. A response is still sent, because the
  // thread that serves the connection waits for it, but nobody receives it.
  bool mCallerDisconnected = false;
  bool mHasResponse = false;
  bool mFinished = false;
  stored_response mResponse;
  error mError;
};

// Timers of a caller request.
enum class request_timer
{
  Deadline,
  FundingDeadline,
  ClaimTimeout,
  ClaimPoll,
  RetryDue,
};

constexpr auto NameTable(request_timer)
{
  using t = request_timer;
  return MakeNameTable<t>({ { t::Deadline, "deadline" },
                            { t::FundingDeadline, "fund_by" },
                            { t::ClaimTimeout, "claim_timeout" },
                            { t::ClaimPoll, "claim_poll" },
                            { t::RetryDue, "retry_due" } });
}

// An operator's request that waits for a response of the store.
struct pending_operator_request
{
  request_handle mHandle = 0;
  operator_request mRequest;
  absl::Time mExpiresAt;
  patch_status mPatch = patch_status::Submitted;
};

// Progress of one fence at its coordinator, the router that collects the
// acknowledgements and closes the fenced router's shares.
struct fence_progress
{
  std::set<member_id> mAcknowledged;
  // Account shards in which the fenced router's shares have been closed.
  std::set<std::uint32_t> mShardsClosed;
  // Number of reads of each account shard, including one in flight, when all
  // acknowledgements had been collected. Its shares are closed only after a
  // later read, which shows everything that the fenced router committed.
  std::map<std::uint32_t, std::uint64_t> mReadsWhenCollected;
  // Operations submitted for the fence and not committed yet.
  std::set<std::uint64_t> mOperationIds;
  // Every acknowledger has acknowledged the fence or is lost, and the records
  // and transfers that they handed over are committed.
  bool mCollected = false;
  // An acknowledger was lost before it acknowledged the fence, and usage
  // records with it.
  bool mLostAcknowledger = false;
  // The operation that removes the fence has been submitted.
  bool mFinishSubmitted = false;
  // Time at which missing acknowledgements are requested again.
  absl::Time mNextQuery = absl::InfinitePast();
};

// Operations handed over by a stopping router.
struct hand_over_progress
{
  // Operations that are not committed yet.
  std::set<std::uint64_t> mOperationIds;
};

// Operations sent to the committer of a shard, until it responds or mExpiresAt
// is reached.
struct forward_progress
{
  member_id mCommitter;
  // Number of the commit_ops_message.
  std::uint64_t mNumber = 0;
  absl::Time mExpiresAt;
};

// Identifies a commit_ops_message of a peer: its sender and number.
using forward_key = std::pair<process_id, std::uint64_t>;

// The response to a commit_ops_message, collected until all its operations are
// decided.
struct forward_response
{
  commit_result_message mResult;
  std::set<budget_id> mBudgets;
  // Operations that are not decided yet.
  std::size_t mRemaining = 0;
};

struct router_state
{
  node_core mNode;
  router_options mOptions;
  // Time that settlements wait to be committed in one batch. It grows with the
  // number of routers.
  absl::Duration mSettleDelay;
  // Options of the account queues. The minimum interval between writes follows
  // from the number of account shards.
  commit_options mAccountCommitOptions;
  routing_options mRouting;
  retry_options mRetryOptions;

  std::map<std::uint32_t, account_queue> mAccounts;
  std::map<std::uint32_t, claim_queue> mClaims;
  // Newest version of each account shard whose values have been used.
  std::map<std::uint32_t, store_version> mUsedShardVersions;
  // Operations forwarded to the committer of each account shard.
  std::map<std::uint32_t, forward_progress> mForwards;
  // Time until which this router commits an account shard itself, because the
  // shard's committer refused or did not respond.
  std::map<std::uint32_t, absl::Time> mDirectCommitUntil;
  // Operations submitted for peers, by operation id, with the message and the
  // operation id at the peer.
  std::map<std::uint64_t, std::pair<forward_key, std::uint64_t>>
    mForwardOrigins;
  std::map<forward_key, forward_response> mForwardResponses;
  std::map<budget_id, share_state> mShares;
  std::map<request_handle, request_state> mRequests;
  std::vector<request_handle> mFinishedRequests;
  std::set<std::tuple<absl::Time, request_handle, request_timer>> mTimers;
  // The workspace of each budget, derived from the configuration.
  std::map<budget_id, workspace_id> mBudgetWorkspaces;
  // Versions from which the derived values and the backend views were made.
  config_version mIndexedConfig = 0;
  store_version mIndexedMembers = 0;
  absl::Time mNextViewUpdate = absl::InfinitePast();
  std::map<backend_id, backend_view> mBackends;
  admission_state mAdmission;
  retry_state mRetries;

  std::uint64_t mNextOperationId = 1;
  std::uint64_t mNextClaimNumber = 1;
  std::map<std::uint64_t, pending_operator_request> mOperatorRequests;
  // Agents to which the commit of a run's usage record is acknowledged.
  std::map<request_id, member_id> mAcknowledgeTo;
  // Usage records of other routers' runs that stopping agents handed over. They
  // are needed if the router of the run is fenced.
  std::map<request_id, usage_record> mHandedOverRecords;
  std::map<process_id, fence_progress> mFences;
  std::map<process_id, hand_over_progress> mHandOvers;

  // Last loss epoch that was recorded in this router's shares, after the runs
  // on lost members had ended.
  std::uint64_t mRecordedLossEpoch = 0;
  absl::Time mNextGossip = absl::InfinitePast();
  absl::Time mNextStorePoll = absl::InfinitePast();
  absl::Time mNextStoreProbe = absl::InfinitePast();
  absl::Time mNextHousekeeping = absl::InfinitePast();
  absl::Time mLastShareAdvance = absl::InfinitePast();

  // End of the current phase of a graceful stop.
  absl::Time mStopDeadline = absl::InfiniteFuture();
  // Peer to which uncommitted operations were handed over, and the message.
  member_id mHandOverPeer;
  hand_over_message mHandOver;

  // Actions that the current step returns.
  std::vector<router_action> mActions;
};

// --- router.cc --------------------------------------------------------------

// Returns a new operation id. It is unique in this process.
std::uint64_t AllocateOperationId(router_state& aState);

// --- router_prepare.cc ------------------------------------------------------

// Checks the request against the configuration and sets its workspace, budget,
// priority, deadline, prices and worst-case cost. Errors have executed::No.
result<success> PrepareRequest(const router_state& aState,
                               request_state& aRequest, absl::Time aNow);

// --- router_request.cc ------------------------------------------------------

error MakeError(error_code aCode, executed aExecuted, std::string aField,
                std::string aDetail,
                absl::Duration aRetryAfter = absl::ZeroDuration());
void OnCallerRequest(router_state& aState, caller_request_event aEvent,
                     absl::Time aNow);
// Fires aEvent in the request's chart and performs the chart's actions.
void FireRequest(router_state& aState, request_state& aRequest,
                 request_event aEvent, absl::Time aNow);
// Fires aEvent after setting aError, which is sent to the caller if the chart
// responds to the event with an error.
void FailRequest(router_state& aState, request_state& aRequest,
                 request_event aEvent, error aError, absl::Time aNow);
void StartTimer(router_state& aState, const request_state& aRequest,
                request_timer aTimer, absl::Time aAt);
// Handles the request timers that are due.
void AdvanceTimers(router_state& aState, absl::Time aNow);
// Admits queued requests for which a slot is free and refuses those whose time
// in the queue is over.
void AdmitQueued(router_state& aState, absl::Time aNow);
// Removes finished requests. Called at the end of a step, because other
// functions keep references to requests during it.
void RemoveFinished(router_state& aState);
void OnRunAccepted(router_state& aState, const run_accepted_event& aEvent,
                   absl::Time aNow);
void OnRunRefused(router_state& aState, const run_refused_event& aEvent,
                  absl::Time aNow);
void OnRunFinished(router_state& aState, run_finished_event aEvent,
                   absl::Time aNow);
void OnRunFailed(router_state& aState, const run_failed_event& aEvent,
                 absl::Time aNow);

// --- router_budget.cc -------------------------------------------------------

account_queue& GetOrCreateAccountQueue(router_state& aState,
                                       const budget_id& aBudget);
void SubmitAccountOp(router_state& aState, account_op aOp,
                     std::uint64_t aOperationId, absl::Time aDueAt);
share_state& GetOrCreateShare(router_state& aState, const budget_id& aBudget);
void FireShare(router_state& aState, share_state& aShare, share_event aEvent,
               absl::Time aNow);
// Reserves the request's worst-case cost, now or when the share has received
// enough tokens, and then fires Funded.
void ReserveForRequest(router_state& aState, request_state& aRequest,
                       absl::Time aNow);
// Removes the request from those that wait for tokens.
void CancelWaiting(router_state& aState, const request_state& aRequest);
// Releases the current attempt's reservation and charges aCost for it.
void SettleRun(router_state& aState, request_state& aRequest, token_count aCost,
               absl::Time aNow);
// Requests from peers the tokens that waiting requests need.
void AskPeers(router_state& aState, share_state& aShare, absl::Time aNow);
void AdvanceShares(router_state& aState, absl::Time aNow);
void OnTransferRequest(router_state& aState, const process_id& aFrom,
                       const transfer_request_message& aMessage,
                       absl::Time aNow);
void OnTransfer(router_state& aState, const process_id& aFrom,
                const transfer_op& aTransfer, absl::Time aNow);

// Handles a peer that cannot respond to a transfer request.
void OnPeerUnresponsive(router_state& aState, const member_id& aPeer,
                        absl::Time aNow);
// Records a new loss epoch in all shares once runs on lost members have ended.
void RecordLosses(router_state& aState, absl::Time aNow);
// Fires Fenced in all shares, after this router's incarnation was fenced.
void RemoveShares(router_state& aState, absl::Time aNow);
bool IsStoreHealthy(const router_state& aState);

// --- router_commit.cc -------------------------------------------------------

void OnAccountsResponse(router_state& aState, const store_response& aResponse,
                        absl::Time aNow);
void OnUsageReport(router_state& aState, const process_id& aFrom,
                   const usage_report_message& aMessage);
void OnCommitOps(router_state& aState, const process_id& aFrom,
                 const commit_ops_message& aMessage, absl::Time aNow);
void OnCommitResult(router_state& aState, const process_id& aFrom,
                    const commit_result_message& aMessage, absl::Time aNow);
void OnCommitterUnreachable(router_state& aState, const member_id& aPeer,
                            absl::Time aNow);
// Handles a response of the store: this router commits the shards whose
// committers cannot reach the store.
void OnStoreReached(router_state& aState, absl::Time aNow);
// Sends due operations to the store or to the committer of their shard.
void AdvanceAccountQueues(router_state& aState, absl::Time aNow);
absl::Time GetNextForwardWakeTime(const router_state& aState);

// --- router_claim.cc --------------------------------------------------------

// Submits a claim of the request's idempotency key and starts its timeout.
void SubmitClaim(router_state& aState, request_state& aRequest,
                 absl::Time aNow);
// Submits the release of the request's claim, if it has one.
void ReleaseClaim(router_state& aState, request_state& aRequest,
                  absl::Time aNow);
// Submits the request's response, to be stored in its claim.
void StoreAnswer(router_state& aState, request_state& aRequest,
                 absl::Time aNow);
void OnClaimTimer(router_state& aState, request_state& aRequest,
                  request_timer aTimer, absl::Time aNow);
void OnClaimsResponse(router_state& aState, const store_response& aResponse,
                      absl::Time aNow);
// Submits the removal of expired claims from shards that are filling up.
void ExpireClaims(router_state& aState, absl::Time aNow);

// --- router_members.cc ------------------------------------------------------

void OnMessage(router_state& aState, const envelope& aEnvelope,
               absl::Time aNow);
void OnPeerUnreachable(router_state& aState, const member_id& aPeer,
                       absl::Time aNow);
void OnVmRemoved(router_state& aState, const vm_removed_event& aEvent,
                 absl::Time aNow);
// Sends the periodic gossip and raises fences that are due.
void SendGossip(router_state& aState, absl::Time aNow);
// Requests a read of member list and configuration if this router is one of
// those that poll the store.
void PollStore(router_state& aState, absl::Time aNow);
// Sends gossip to random members if the member list or the configuration has
// changed, so that they request the new version.
void SendUpdates(router_state& aState);
// Updates the backend views and derived values from the configuration and the
// member list.
void UpdateViews(router_state& aState, absl::Time aNow);
// Records that the backend server's agent takes no new work.
void RecordLeaving(router_state& aState, backend_view& aView, absl::Time aNow);

// --- router_fence.cc --------------------------------------------------------

// Acknowledges a fence, with the records of the fenced router.
void OnFenceQuery(router_state& aState, const process_id& aFrom,
                  const fence_query_message& aQuery);
// Submits what a member handed over with its acknowledgement. Repeated
// acknowledgements and those of a later incarnation of the member are ignored.
void OnFenceAck(router_state& aState, const process_id& aFrom,
                const fence_ack_message& aAck, absl::Time aNow);
// Submits fences of routers that have been suspected for mFenceAfter. Does
// nothing while the store is unavailable, because fences cannot be committed.
void RaiseFences(router_state& aState, absl::Time aNow);
// Advances all fences if this router is their coordinator.
void AdvanceFences(router_state& aState, absl::Time aNow);
// Handles the commit of an operation for a fence or hand-over. Other operation
// ids are ignored.
void OnOperationDone(router_state& aState, std::uint64_t aOperationId,
                     absl::Time aNow);

// --- router_operator.cc -----------------------------------------------------

void OnOperatorRequest(router_state& aState, operator_event aEvent,
                       absl::Time aNow);
void OnOperatorOpDone(router_state& aState, std::uint64_t aOperationId,
                      op_outcome aOutcome, const account_shard* aShard,
                      absl::Time aNow);
void OnPatchDone(router_state& aState, const pending_op<config_patch>& aDone,
                 absl::Time aNow);
// Sends responses to usage requests for budgets of a shard that was just read.
// If aRead is false, the read has failed and the response is an error.
void SendUsageResponses(router_state& aState, std::uint32_t aShard, bool aRead,
                        absl::Time aNow);
// Sends an error response to each operator's request that has expired.
void ExpireOperatorRequests(router_state& aState, absl::Time aNow);
// Fires aEvent in the process chart and performs the chart's actions.
void FireProcess(router_state& aState, process_event aEvent, absl::Time aNow);
// Fires the process events whose conditions hold now.
void AdvanceProcess(router_state& aState, absl::Time aNow);
void OnHandOver(router_state& aState, const envelope& aEnvelope,
                absl::Time aNow);

} // namespace foxtailquay

#endif
