// Private state of the router node and the functions that its source files
// share. router.cc dispatches events; router_prepare.cc checks and prices
// requests, router_request.cc runs them, router_budget.cc shares and
// settlement, router_claim.cc claims, router_members.cc news, suspicion and
// fences, router_operator.cc operators' requests and the graceful stop.

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

struct request_state
{
  request_handle mHandle = 0;
  request_status mStatus = request_status::Received;
  caller_request_event mCallerRequest;
  workspace_id mWorkspace;
  budget_id mBudget;
  priority_class mPriority = priority_class::Standard;
  absl::Time mDeadline;
  bool mRepeatable = true;
  // Prices and limits at the time of admission.
  token_count mPromptPrice = 0;
  token_count mCompletionPrice = 0;
  token_count mCallPrice = 0;
  token_count mMaxTokens = 0;
  token_count mWorstCaseCost = 0;

  // The current attempt.
  request_id mRun;
  bool mReserved = false;
  backend_id mBackend;
  incarnation_number mAgentIncarnation = 0;
  int mAttempts = 0;
  std::set<backend_id> mTriedBackends;
  token_usage mUsage;
  bool mRelayed = false;
  // An attempt has failed after it was sent: the request may have run, so no
  // later refusal may say that it did not.
  bool mMayHaveExecuted = false;

  claim_key mClaimKey;
  std::uint64_t mClaimNumber = 0;
  process_id mClaimHolder;
  bool mHasClaim = false;
  absl::Time mClaimWaitUntil;

  absl::Time mFundingDeadline;
  bool mAdmitted = false;
  // The caller's connection is closed; the answer only ends the exchange.
  bool mCallerDisconnected = false;
  bool mHasResponse = false;
  bool mFinished = false;
  stored_response mResponse;
  error mError;
};

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

// An operator's request that waits for the store.
struct operator_wait
{
  request_handle mHandle = 0;
  operator_request mRequest;
  absl::Time mExpiresAt;
  patch_status mPatch = patch_status::Submitted;
};

// Progress of one fence at its coordinator.
struct fence_progress
{
  std::set<member_id> mAcknowledged;
  // Account shards in which the fenced router's shares have been closed.
  std::set<std::uint32_t> mShardsClosed;
  // Reads of each account shard when the fence was complete; a later read is
  // needed before its shares are closed.
  std::map<std::uint32_t, std::uint64_t> mShardsAsked;
  // Operations submitted for the fence and not committed yet.
  std::set<std::uint64_t> mOperationIds;
  // All witnesses have acknowledged or are lost, and what they handed over is
  // committed.
  bool mCollected = false;
  bool mLostAcknowledger = false;
  bool mFinishing = false;
  absl::Time mNextQuery = absl::InfinitePast();
};

// Operations taken over from a stopping router.
struct hand_over_progress
{
  std::set<std::uint64_t> mOperationIds;
};

// Operations sent to the committer of a shard.
struct forward_progress
{
  member_id mCommitter;
  std::uint64_t mNumber = 0;
  absl::Time mExpiresAt;
};

// A commit_ops_message of a peer: its sender and number.
using forward_key = std::pair<process_id, std::uint64_t>;

// The answer to it, as far as its operations are decided.
struct forward_response
{
  commit_result_message mResult;
  std::set<budget_id> mBudgets;
  std::size_t mRemaining = 0;
};

struct router_state
{
  node_core mNode;
  router_options mOptions;
  // How long settlements wait for company, by the size of the fleet.
  absl::Duration mSettleDelay;
  // For account shards; the interval follows from their number.
  commit_options mAccountCommitOptions;
  routing_options mRouting;
  retry_options mRetryOptions;

  std::map<std::uint32_t, account_queue> mAccounts;
  std::map<std::uint32_t, claim_queue> mClaims;
  // Newest version of each account shard whose figures have been used.
  std::map<std::uint32_t, store_version> mUsedShardVersions;
  std::map<std::uint32_t, forward_progress> mForwards;
  // Shards that this router commits itself for a while.
  std::map<std::uint32_t, absl::Time> mDirectCommitUntil;
  // Operations of peers by operation id, with the message and number at the
  // peer.
  std::map<std::uint64_t, std::pair<forward_key, std::uint64_t>>
    mForwardOrigins;
  std::map<forward_key, forward_response> mForwardResponses;
  std::map<budget_id, share_state> mShares;
  std::map<request_handle, request_state> mRequests;
  std::vector<request_handle> mFinishedRequests;
  std::set<std::tuple<absl::Time, request_handle, request_timer>> mTimers;
  // Index of the configuration: the workspace of each budget.
  std::map<budget_id, workspace_id> mBudgetWorkspaces;
  config_version mIndexedConfig = 0;
  store_version mIndexedMembers = 0;
  absl::Time mNextViewRefresh = absl::InfinitePast();
  std::map<backend_id, backend_view> mBackends;
  admission_state mAdmission;
  retry_state mRetries;

  std::uint64_t mNextOperationId = 1;
  std::uint64_t mNextClaim = 1;
  std::map<std::uint64_t, operator_wait> mOperators;
  // Agents to tell when a usage record is committed.
  std::map<request_id, member_id> mAcknowledgeTo;
  // Usage records of other routers' runs, kept for stopped agents.
  std::map<request_id, usage_record> mForeignRecords;
  std::map<process_id, fence_progress> mFences;
  std::map<process_id, hand_over_progress> mHandOvers;

  // Loss epoch whose effects on this router's runs are settled.
  std::uint64_t mRecordedLossEpoch = 0;
  absl::Time mNextGossip = absl::InfinitePast();
  absl::Time mNextStorePoll = absl::InfinitePast();
  absl::Time mNextProbe = absl::InfinitePast();
  absl::Time mNextShareAdvance = absl::InfinitePast();
  absl::Time mLastShareAdvance = absl::InfinitePast();

  absl::Time mStopDeadline = absl::InfiniteFuture();
  member_id mHandOverPeer;
  hand_over_message mHandOver;

  std::vector<router_action> mActions;
};

// --- router.cc --------------------------------------------------------------

std::uint64_t AllocateOperationId(router_state& aState);

// --- router_prepare.cc ------------------------------------------------------

// Checks the request against the configuration and fills in what follows from
// it. Errors have executed::No.
result<success> PrepareRequest(const router_state& aState,
                               request_state& aRequest, absl::Time aNow);

// --- router_request.cc ------------------------------------------------------

error MakeError(error_code aCode, executed aExecuted, std::string aField,
                std::string aDetail,
                absl::Duration aRetryAfter = absl::ZeroDuration());
void OnCallerRequest(router_state& aState, caller_request_event aEvent,
                     absl::Time aNow);
void FireRequest(router_state& aState, request_state& aRequest,
                 request_event aEvent, absl::Time aNow);
// Fires the event with aError as the reason that the caller may be told.
void FailRequest(router_state& aState, request_state& aRequest,
                 request_event aEvent, error aError, absl::Time aNow);
void StartTimer(router_state& aState, const request_state& aRequest,
                request_timer aTimer, absl::Time aAt);
void AdvanceTimers(router_state& aState, absl::Time aNow);
void AdmitQueued(router_state& aState, absl::Time aNow);
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
// Reserves the request's worst case, now or when tokens arrive; fires funded.
void ReserveForRequest(router_state& aState, request_state& aRequest,
                       absl::Time aNow);
void CancelWaiting(router_state& aState, const request_state& aRequest);
// Settles the current attempt at aCost.
void SettleRun(router_state& aState, request_state& aRequest, token_count aCost,
               absl::Time aNow);
// Asks peers for the tokens that waiting requests lack.
void AskPeers(router_state& aState, share_state& aShare, absl::Time aNow);
void AdvanceShares(router_state& aState, absl::Time aNow);
void OnTransferRequest(router_state& aState, const process_id& aFrom,
                       const transfer_request_message& aMessage,
                       absl::Time aNow);
void OnTransfer(router_state& aState, const process_id& aFrom,
                const transfer_op& aTransfer, absl::Time aNow);

// A peer that was asked for a transfer cannot answer.
void OnPeerUnresponsive(router_state& aState, const member_id& aPeer,
                        absl::Time aNow);
// Notes a loss epoch in all shares once runs on lost members have ended.
void RecordLosses(router_state& aState, absl::Time aNow);
// Ends all shares of a fenced incarnation of this router.
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
// This router has reached the store: it commits for itself the shards whose
// committers have not.
void OnStoreReached(router_state& aState, absl::Time aNow);
// Sends due operations to the store or to the committer of their shard.
void AdvanceAccountQueues(router_state& aState, absl::Time aNow);
absl::Time GetNextForwardWakeTime(const router_state& aState);

// --- router_claim.cc --------------------------------------------------------

void SubmitClaim(router_state& aState, request_state& aRequest,
                 absl::Time aNow);
void ReleaseClaim(router_state& aState, request_state& aRequest,
                  absl::Time aNow);
void StoreAnswer(router_state& aState, request_state& aRequest,
                 absl::Time aNow);
void OnClaimTimer(router_state& aState, request_state& aRequest,
                  request_timer aTimer, absl::Time aNow);
void OnClaimsResponse(router_state& aState, const store_response& aResponse,
                      absl::Time aNow);
void ExpireClaims(router_state& aState, absl::Time aNow);

// --- router_members.cc ------------------------------------------------------

void OnMessage(router_state& aState, const envelope& aEnvelope,
               absl::Time aNow);
void OnPeerUnreachable(router_state& aState, const member_id& aPeer,
                       absl::Time aNow);
void OnVmRemoved(router_state& aState, const vm_removed_event& aEvent,
                 absl::Time aNow);
void Gossip(router_state& aState, absl::Time aNow);
void PollStore(router_state& aState, absl::Time aNow);
void SendUpdates(router_state& aState);
void AdvanceFences(router_state& aState, absl::Time aNow);
// An operation for a fence or hand-over has been committed.
void OnOperationDone(router_state& aState, std::uint64_t aOperationId,
                     absl::Time aNow);
// Brings backend views and indices in line with configuration and members.
void RefreshViews(router_state& aState, absl::Time aNow);
// The backend server's agent has said that it takes no new work.
void NoteLeaving(router_state& aState, backend_view& aView, absl::Time aNow);

// --- router_operator.cc -----------------------------------------------------

void OnOperator(router_state& aState, operator_event aEvent, absl::Time aNow);
void OnOperatorOpDone(router_state& aState, std::uint64_t aOperationId,
                      op_outcome aOutcome, const account_shard* aShard,
                      absl::Time aNow);
void OnPatchDone(router_state& aState, const pending_op<config_patch>& aDone,
                 absl::Time aNow);
// Answers usage requests for budgets of a shard that was just read.
void SendUsageResponses(router_state& aState, std::uint32_t aShard, bool aRead,
                        absl::Time aNow);
void ExpireOperators(router_state& aState, absl::Time aNow);
void FireProcess(router_state& aState, process_event aEvent, absl::Time aNow);
void AdvanceProcess(router_state& aState, absl::Time aNow);
void OnHandOver(router_state& aState, const envelope& aEnvelope,
                absl::Time aNow);

} // namespace foxtailquay

#endif
