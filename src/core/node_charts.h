// Enumerations of the state charts in charts/ that routers and agents use, and
// the set of loaded charts. Each enumerator has the name of its text in the
// chart files, so that it can be found from a chart or a log.

#ifndef FOXTAILQUAY_CORE_NODE_CHARTS_H
#define FOXTAILQUAY_CORE_NODE_CHARTS_H

#include "backend_health.h"
#include "foxtailquay/chart.h"
#include "foxtailquay/name_table.h"

namespace foxtailquay {

// --- request.yaml: one caller request at a router ---------------------------

enum class request_status
{
  Received,
  Queued,
  Funding,
  Claiming,
  Dispatching,
  Running,
  BackingOff,
  Cancelling,
  Storing,
  Done,
};

constexpr auto NameTable(request_status)
{
  using s = request_status;
  return MakeNameTable<s>({ { s::Received, "received" },
                            { s::Queued, "queued" },
                            { s::Funding, "funding" },
                            { s::Claiming, "claiming" },
                            { s::Dispatching, "dispatching" },
                            { s::Running, "running" },
                            { s::BackingOff, "backing_off" },
                            { s::Cancelling, "cancelling" },
                            { s::Storing, "storing" },
                            { s::Done, "done" } });
}

enum class request_event
{
  Admitted,
  Enqueued,
  Refused,
  Funded,
  Unfunded,
  ClaimGranted,
  ClaimAnswered,
  ClaimRefused,
  RunAccepted,
  RunRefused,
  RunFinished,
  RunFailed,
  RetryDue,
  AnswerStored,
  CallerGone,
  Deadline,
};

constexpr auto NameTable(request_event)
{
  using e = request_event;
  return MakeNameTable<e>({ { e::Admitted, "admitted" },
                            { e::Enqueued, "enqueued" },
                            { e::Refused, "refused" },
                            { e::Funded, "funded" },
                            { e::Unfunded, "unfunded" },
                            { e::ClaimGranted, "claim_granted" },
                            { e::ClaimAnswered, "claim_answered" },
                            { e::ClaimRefused, "claim_refused" },
                            { e::RunAccepted, "run_accepted" },
                            { e::RunRefused, "run_refused" },
                            { e::RunFinished, "run_finished" },
                            { e::RunFailed, "run_failed" },
                            { e::RetryDue, "retry_due" },
                            { e::AnswerStored, "answer_stored" },
                            { e::CallerGone, "caller_gone" },
                            { e::Deadline, "deadline" } });
}

enum class request_guard
{
  // The call may not be repeated, has an idempotency key and no claim yet.
  NeedsClaim,
  // The request holds the claim of its idempotency key.
  HasClaim,
  // Another attempt is safe and within attempt limit, retry budget and
  // deadline.
  MayRetry,
  // The call may not be repeated, so it is not cancelled after it was sent.
  RunsToCompletion,
};

constexpr auto NameTable(request_guard)
{
  using g = request_guard;
  return MakeNameTable<g>({ { g::NeedsClaim, "needs_claim" },
                            { g::HasClaim, "has_claim" },
                            { g::MayRetry, "may_retry" },
                            { g::RunsToCompletion, "runs_to_completion" } });
}

enum class request_action
{
  Reserve,
  ReleaseReservation,
  SubmitClaim,
  ReleaseClaim,
  Dispatch,
  CancelRun,
  Settle,
  SettleUnrun,
  StoreAnswer,
  ScheduleRetry,
  AnswerSuccess,
  AnswerReplay,
  AnswerError,
};

constexpr auto NameTable(request_action)
{
  using a = request_action;
  return MakeNameTable<a>({ { a::Reserve, "reserve" },
                            { a::ReleaseReservation, "release_reservation" },
                            { a::SubmitClaim, "submit_claim" },
                            { a::ReleaseClaim, "release_claim" },
                            { a::Dispatch, "dispatch" },
                            { a::CancelRun, "cancel_run" },
                            { a::Settle, "settle" },
                            { a::SettleUnrun, "settle_unrun" },
                            { a::StoreAnswer, "store_answer" },
                            { a::ScheduleRetry, "schedule_retry" },
                            { a::AnswerSuccess, "answer_success" },
                            { a::AnswerReplay, "answer_replay" },
                            { a::AnswerError, "answer_error" } });
}

using request_chart =
  chart<request_status, request_event, request_guard, request_action>;

// --- share.yaml: a router's share of one budget -----------------------------

enum class share_status
{
  Absent,
  Requesting,
  Open,
  Closing,
  Closed,
};

constexpr auto NameTable(share_status)
{
  using s = share_status;
  return MakeNameTable<s>({ { s::Absent, "absent" },
                            { s::Requesting, "requesting" },
                            { s::Open, "open" },
                            { s::Closing, "closing" },
                            { s::Closed, "closed" } });
}

enum class share_event
{
  Demand,
  GrantCommitted,
  GrantDenied,
  TransferReceived,
  CloseRequested,
  CloseCommitted,
  Fenced,
};

constexpr auto NameTable(share_event)
{
  using e = share_event;
  return MakeNameTable<e>({ { e::Demand, "demand" },
                            { e::GrantCommitted, "grant_committed" },
                            { e::GrantDenied, "grant_denied" },
                            { e::TransferReceived, "transfer_received" },
                            { e::CloseRequested, "close_requested" },
                            { e::CloseCommitted, "close_committed" },
                            { e::Fenced, "fenced" } });
}

enum class share_guard
{
  // The free tokens of the share cover the waiting requests.
  CoversWaiting,
  // The last committed value of the account has tokens that can be granted.
  AccountHasMore,
};

constexpr auto NameTable(share_guard)
{
  return MakeNameTable<share_guard>(
    { { share_guard::CoversWaiting, "covers_waiting" },
      { share_guard::AccountHasMore, "account_has_more" } });
}

enum class share_action
{
  RequestGrant,
  FundWaiting,
  AskPeers,
  SubmitClose,
  RefuseWaiting,
};

constexpr auto NameTable(share_action)
{
  using a = share_action;
  return MakeNameTable<a>({ { a::RequestGrant, "request_grant" },
                            { a::FundWaiting, "fund_waiting" },
                            { a::AskPeers, "ask_peers" },
                            { a::SubmitClose, "submit_close" },
                            { a::RefuseWaiting, "refuse_waiting" } });
}

using share_chart = chart<share_status, share_event, share_guard, share_action>;

// --- config_patch.yaml: one patch submitted by an operator ------------------

enum class patch_status
{
  Submitted,
  Writing,
  Applied,
  Rejected,
  Unknown,
};

constexpr auto NameTable(patch_status)
{
  using s = patch_status;
  return MakeNameTable<s>({ { s::Submitted, "submitted" },
                            { s::Writing, "writing" },
                            { s::Applied, "applied" },
                            { s::Rejected, "rejected" },
                            { s::Unknown, "unknown" } });
}

enum class patch_event
{
  Check,
  Committed,
  Denied,
  Timeout,
};

constexpr auto NameTable(patch_event)
{
  using e = patch_event;
  return MakeNameTable<e>({ { e::Check, "check" },
                            { e::Committed, "committed" },
                            { e::Denied, "denied" },
                            { e::Timeout, "timeout" } });
}

enum class patch_guard
{
  // The patch applies to the newest configuration known to this router.
  Valid,
  // The operation may be part of a write whose outcome is unknown.
  InDoubt,
};

constexpr auto NameTable(patch_guard)
{
  return MakeNameTable<patch_guard>(
    { { patch_guard::Valid, "valid" }, { patch_guard::InDoubt, "in_doubt" } });
}

enum class patch_action
{
  SubmitOp,
  WithdrawOp,
  AnswerVersion,
  AnswerError,
  AnswerUnknown,
};

constexpr auto NameTable(patch_action)
{
  using a = patch_action;
  return MakeNameTable<a>({ { a::SubmitOp, "submit_op" },
                            { a::WithdrawOp, "withdraw_op" },
                            { a::AnswerVersion, "answer_version" },
                            { a::AnswerError, "answer_error" },
                            { a::AnswerUnknown, "answer_unknown" } });
}

using patch_chart = chart<patch_status, patch_event, patch_guard, patch_action>;

// --- process.yaml: life of a router or agent process ------------------------

enum class process_status
{
  Starting,
  Joining,
  Ready,
  Draining,
  Returning,
  HandingOver,
  Leaving,
  Stopped,
};

constexpr auto NameTable(process_status)
{
  using s = process_status;
  return MakeNameTable<s>({ { s::Starting, "starting" },
                            { s::Joining, "joining" },
                            { s::Ready, "ready" },
                            { s::Draining, "draining" },
                            { s::Returning, "returning" },
                            { s::HandingOver, "handing_over" },
                            { s::Leaving, "leaving" },
                            { s::Stopped, "stopped" } });
}

enum class process_event
{
  Start,
  // The join is committed and the configuration has been read.
  Joined,
  Stop,
  // No request or run is in flight.
  WorkDone,
  // Shares are closed and usage records committed.
  Returned,
  // The store has been unavailable for too long during a stop.
  StoreLost,
  HandedOver,
  Left,
  // This incarnation is fenced or replaced according to the member list.
  Fenced,
};

constexpr auto NameTable(process_event)
{
  using e = process_event;
  return MakeNameTable<e>({ { e::Start, "start" },
                            { e::Joined, "joined" },
                            { e::Stop, "stop" },
                            { e::WorkDone, "work_done" },
                            { e::Returned, "returned" },
                            { e::StoreLost, "store_lost" },
                            { e::HandedOver, "handed_over" },
                            { e::Left, "left" },
                            { e::Fenced, "fenced" } });
}

enum class process_guard
{
  // There is a peer that can commit the operations of this process.
  HasPeer,
};

constexpr auto NameTable(process_guard)
{
  return MakeNameTable<process_guard>(
    { { process_guard::HasPeer, "has_peer" } });
}

enum class process_action
{
  SubmitJoin,
  MarkLeaving,
  ReturnAll,
  HandOver,
  SubmitLeave,
  Forget,
  Finish,
};

constexpr auto NameTable(process_action)
{
  using a = process_action;
  return MakeNameTable<a>({ { a::SubmitJoin, "submit_join" },
                            { a::MarkLeaving, "mark_leaving" },
                            { a::ReturnAll, "return_all" },
                            { a::HandOver, "hand_over" },
                            { a::SubmitLeave, "submit_leave" },
                            { a::Forget, "forget" },
                            { a::Finish, "finish" } });
}

using process_chart =
  chart<process_status, process_event, process_guard, process_action>;

// --- run.yaml: one run at an agent ------------------------------------------

enum class run_status
{
  Running,
  Aborting,
  Held,
  Released,
};

constexpr auto NameTable(run_status)
{
  using s = run_status;
  return MakeNameTable<s>({ { s::Running, "running" },
                            { s::Aborting, "aborting" },
                            { s::Held, "held" },
                            { s::Released, "released" } });
}

enum class run_event
{
  Ended,
  Abort,
  Acknowledged,
};

constexpr auto NameTable(run_event)
{
  using e = run_event;
  return MakeNameTable<e>({ { e::Ended, "ended" },
                            { e::Abort, "abort" },
                            { e::Acknowledged, "acknowledged" } });
}

enum class run_guard
{
  MayAbort,
};

constexpr auto NameTable(run_guard)
{
  return MakeNameTable<run_guard>({ { run_guard::MayAbort, "may_abort" } });
}

enum class run_action
{
  KeepRecord,
  AbortRun,
  DropRecord,
};

constexpr auto NameTable(run_action)
{
  using a = run_action;
  return MakeNameTable<a>({ { a::KeepRecord, "keep_record" },
                            { a::AbortRun, "abort_run" },
                            { a::DropRecord, "drop_record" } });
}

using run_chart = chart<run_status, run_event, run_guard, run_action>;

// The loaded charts. They do not change after LoadCharts.
struct node_charts
{
  request_chart mRequest;
  share_chart mShare;
  patch_chart mPatch;
  process_chart mProcess;
  run_chart mRun;
  backend_chart mBackend;
};

} // namespace foxtailquay

#endif
