#include "sim_stream.h"

#include "absl/strings/str_cat.h"
#include "enum_text.h"
#include "sim_caller.h"
#include "sim_network.h"
#include "sim_process.h"

namespace foxtailquay::scenario {

namespace {

request_handle HandleOf(std::size_t aStream)
{
  return aStream + 1;
}

bool IsService(const sim_stream& aStream)
{
  return aStream.mRun.mKind == backend_kind::Service;
}

bool Evaluate(run_guard aGuard, const sim_stream& aStream)
{
  switch (aGuard) {
    case run_guard::IsService:
      return IsService(aStream);
  }
  return false;
}

// Number of tokens of the whole answer under the cap that the agent was sent.
token_count TokensOf(const sim_stream& aStream)
{
  return std::min(aStream.mWork.mTokens, aStream.mRun.mMaxTokens);
}

token_usage UsageOf(const sim_stream& aStream, token_count aTokens)
{
  return IsService(aStream)
           ? token_usage{}
           : token_usage{ aStream.mWork.mPromptTokens, aTokens };
}

void SendFrame(world& aWorld, std::size_t aStream, frame_arrival aFrame)
{
  sim_stream& stream = aWorld.mStreams[aStream];
  if (stream.mCut) {
    return;
  }
  aFrame.mStream = aStream;
  // The frames of one connection keep their order.
  stream.mLastArrival =
    std::max(stream.mLastArrival, aWorld.mNow + NextDelay(aWorld));
  Schedule(aWorld, stream.mLastArrival, { stream.mRouter, std::move(aFrame) });
}

void ResetAgent(world& aWorld, std::size_t aStream, absl::Duration aAfter)
{
  const process_ref agent = aWorld.mStreams[aStream].mAgent;
  Schedule(aWorld, aWorld.mNow + aAfter, { agent, agent_reset{ aStream } });
}

// --- Actions of the run chart -----------------------------------------------

void CountStart(world& aWorld, std::size_t aStream)
{
  sim_stream& stream = aWorld.mStreams[aStream];
  if (HasFault(aWorld, injected_fault::ReuseRequestIds)) {
    stream.mRun.mRequest.mNumber = 1;
  }
  stream.mStarted = true;
  stream.mStartedAt = aWorld.mNow;
  ObserveRunStart(aWorld, aStream);
}

void BeginBackendWork(world& aWorld, std::size_t aStream)
{
  CountStart(aWorld, aStream);
  const sim_stream& stream = aWorld.mStreams[aStream];
  Schedule(aWorld, aWorld.mNow + stream.mWork.mLatency,
           { stream.mAgent, backend_step{ aStream } });
}

void RelayPiece(world& aWorld, std::size_t aStream)
{
  sim_stream& stream = aWorld.mStreams[aStream];
  frame_arrival frame;
  frame.mKind = frame_kind::Piece;
  frame.mText = PieceOf(stream.mRun.mBody, stream.mRelayed++);
  ObserveRelayedToken(aWorld, aStream);
  const bool last = stream.mRelayed == TokensOf(stream);
  if (last && HasFault(aWorld, injected_fault::DropLastPiece)) {
    return;
  }
  SendFrame(aWorld, aStream, std::move(frame));
}

void SendEnd(world& aWorld, std::size_t aStream)
{
  const sim_stream& stream = aWorld.mStreams[aStream];
  frame_arrival frame;
  if (IsService(stream)) {
    frame.mKind = frame_kind::Piece;
    frame.mText = ServiceAnswerTo(stream.mRun.mBody);
    SendFrame(aWorld, aStream, frame);
    frame.mText.clear();
  }
  frame.mKind = frame_kind::End;
  frame.mUsage = UsageOf(stream, stream.mRelayed);
  SendFrame(aWorld, aStream, std::move(frame));
}

void SendBroken(world& aWorld, std::size_t aStream)
{
  const sim_stream& stream = aWorld.mStreams[aStream];
  frame_arrival frame;
  frame.mKind = frame_kind::Broken;
  frame.mUsage = UsageOf(stream, stream.mRelayed);
  frame.mError = { error_code::BackendServerFailed, executed::Unknown, "",
                   "the backend server broke off", absl::ZeroDuration() };
  SendFrame(aWorld, aStream, std::move(frame));
}

void ReportEnd(world& aWorld, std::size_t aStream, bool aComplete)
{
  sim_stream& stream = aWorld.mStreams[aStream];
  stream.mComplete = aComplete;
  stream.mEndedAt = aWorld.mNow;
  if (!aComplete) {
    ObserveInterruption(aWorld, aStream);
  }
  const run_ended_event event{ HandleOf(aStream),
                               UsageOf(stream, stream.mRelayed), aComplete };
  Schedule(aWorld, aWorld.mNow,
           { stream.mAgent, node_input{ agent_event{ event } } });
}

void Perform(world& aWorld, std::size_t aStream, run_action aAction,
             const error& aError)
{
  frame_arrival frame;
  switch (aAction) {
    case run_action::BeginBackendWork:
      BeginBackendWork(aWorld, aStream);
      break;
    case run_action::CountStart:
      CountStart(aWorld, aStream);
      break;
    case run_action::SendHead:
      SendFrame(aWorld, aStream, std::move(frame));
      break;
    case run_action::RelayPiece:
      RelayPiece(aWorld, aStream);
      break;
    case run_action::SendEnd:
      SendEnd(aWorld, aStream);
      break;
    case run_action::SendBroken:
      SendBroken(aWorld, aStream);
      break;
    case run_action::SendRefusal:
      frame.mKind = frame_kind::Refusal;
      frame.mError = aError;
      SendFrame(aWorld, aStream, std::move(frame));
      break;
    case run_action::ReportWhole:
      ReportEnd(aWorld, aStream, true);
      break;
    case run_action::ReportBroken:
      ReportEnd(aWorld, aStream, false);
      break;
  }
}

// --- Router side ------------------------------------------------------------

void FeedRouter(world& aWorld, const sim_stream& aStream, router_event aEvent)
{
  Feed(aWorld, aStream.mRouter.mName, std::move(aEvent));
}

bool HasRelayed(const world& aWorld, const sim_stream& aStream)
{
  return !aWorld.mRequests[aStream.mRequest].mText.empty();
}

run_failed_event FailureOf(const world& aWorld, const sim_stream& aStream,
                           const token_usage& aUsage, error aError)
{
  return { aStream.mHandle, aStream.mRun.mRequest, aUsage,
           HasRelayed(aWorld, aStream), std::move(aError) };
}

error StreamError(std::string aDetail)
{
  return { error_code::StreamBroken, executed::Unknown, "", std::move(aDetail),
           absl::ZeroDuration() };
}

void TakePiece(world& aWorld, std::size_t aStream, std::string aText)
{
  sim_stream& stream = aWorld.mStreams[aStream];
  if (!IsService(stream)) {
    ++stream.mArrived;
    ObserveReceivedToken(aWorld, aStream);
  }
  if (HasFault(aWorld, injected_fault::CrossAnswers)) {
    aText = PieceOf("the request of somebody else", stream.mArrived - 1);
  }
  if (stream.mRun.mStream) {
    DeliverText(aWorld, stream.mRequest, aText);
  } else {
    stream.mBuffer += aText;
  }
}

void TakeEnd(world& aWorld, std::size_t aStream, const token_usage& aUsage)
{
  sim_stream& stream = aWorld.mStreams[aStream];
  stream.mRouterOpen = false;
  stream.mArrivedWhole = true;
  run_finished_event event;
  event.mHandle = stream.mHandle;
  event.mRequest = stream.mRun.mRequest;
  event.mUsage = aUsage;
  event.mResponse.mStatus = 200;
  event.mResponse.mContentType = "text/plain";
  event.mResponse.mBody = stream.mBuffer;
  FeedRouter(aWorld, stream, std::move(event));
}

void TakeFailure(world& aWorld, std::size_t aStream, const token_usage& aUsage,
                 error aError)
{
  sim_stream& stream = aWorld.mStreams[aStream];
  stream.mRouterOpen = false;
  stream.mOutcomeUnknown = true;
  FeedRouter(aWorld, stream,
             FailureOf(aWorld, stream, aUsage, std::move(aError)));
}

void RefuseAtRouter(world& aWorld, std::size_t aStream, absl::Duration aAfter)
{
  sim_stream& stream = aWorld.mStreams[aStream];
  stream.mRouterOpen = false;
  stream.mStatus = run_status::Ended;
  const run_refused_event event{ stream.mHandle,
                                 stream.mRun.mRequest,
                                 { error_code::PeerUnreachable, executed::No,
                                   "", "cannot connect",
                                   absl::ZeroDuration() } };
  Schedule(aWorld, aWorld.mNow + aAfter,
           { stream.mRouter, node_input{ router_event{ event } } });
}

} // namespace

void Dispatch(world& aWorld, const process_ref& aRouter,
              const dispatch_action& aDispatch)
{
  sim_stream stream;
  stream.mRequest = aDispatch.mHandle - 1;
  stream.mRouter = aRouter;
  stream.mAgent = { aDispatch.mAddress, 0 };
  stream.mHandle = aDispatch.mHandle;
  stream.mHeader = aDispatch.mHeader;
  stream.mRun = aDispatch.mRun;
  stream.mWork = aWorld.mWork[aDispatch.mRun.mBody];
  aWorld.mStreams.push_back(std::move(stream));
  const std::size_t index = aWorld.mStreams.size() - 1;
  ObserveDispatch(aWorld, index);
  Trace(aWorld, absl::StrCat(aRouter.mName, " dispatches ",
                             ToString(aDispatch.mRun.mRequest), " for ",
                             aWorld.mRequests[aDispatch.mHandle - 1].mName,
                             " to ", aDispatch.mAddress));
  if (IsCut(aWorld, aRouter.mName, aDispatch.mAddress) ||
      IsCut(aWorld, aDispatch.mAddress, aRouter.mName) ||
      aWorld.mProcesses.count(aDispatch.mAddress) == 0) {
    RefuseAtRouter(aWorld, index, kConnectTimeout);
    return;
  }
  Schedule(aWorld, aWorld.mNow + NextDelay(aWorld),
           { { aDispatch.mAddress, 0 }, dispatch_arrival{ index } });
}

void CancelRun(world& aWorld, const process_ref& aRouter,
               const cancel_run_action& aCancel)
{
  for (std::size_t i = aWorld.mStreams.size(); i-- > 0;) {
    sim_stream& stream = aWorld.mStreams[i];
    if (!stream.mRouterOpen || stream.mHandle != aCancel.mHandle ||
        !(stream.mRun.mRequest == aCancel.mRequest)) {
      continue;
    }
    // A caller that is gone or has its final error wants no answer.
    stream.mFaulted =
      stream.mFaulted ||
      aWorld.mRequests[stream.mRequest].mOutcome != request_outcome::Pending;
    stream.mRouterOpen = false;
    stream.mOutcomeUnknown = true;
    const run_failed_event event =
      FailureOf(aWorld, stream, { 0, stream.mArrived },
                StreamError("the router cancelled the run"));
    Schedule(aWorld, aWorld.mNow,
             { aRouter, node_input{ router_event{ event } } });
    ResetAgent(aWorld, i, NextDelay(aWorld));
    return;
  }
}

void CloseRouterEnd(world& aWorld, std::size_t aStream)
{
  sim_stream& stream = aWorld.mStreams[aStream];
  if (stream.mRouterOpen) {
    stream.mRouterOpen = false;
    ResetAgent(aWorld, aStream,
               stream.mCut ? kBreakDetection : NextDelay(aWorld));
  }
}

void CloseAgentEnd(world& aWorld, std::size_t aStream)
{
  sim_stream& stream = aWorld.mStreams[aStream];
  if (stream.mStatus == run_status::Ended ||
      (stream.mStatus == run_status::Asked && stream.mAgent.mGeneration == 0)) {
    return;
  }
  stream.mStatus = run_status::Ended;
  stream.mEndedAt = aWorld.mNow;
  ObserveInterruption(aWorld, aStream);
  frame_arrival frame;
  frame.mKind = frame_kind::Reset;
  SendFrame(aWorld, aStream, std::move(frame));
}

void FireRun(world& aWorld, std::size_t aStream, run_event aEvent,
             const error& aError)
{
  sim_stream& stream = aWorld.mStreams[aStream];
  if (aEvent != run_event::Piece) {
    Trace(aWorld, absl::StrCat(stream.mAgent.mName, " run ",
                               ToString(stream.mRun.mRequest), " ",
                               ToEnumText(aEvent), " ", ToString(aError)));
  }
  if (aEvent == run_event::Aborted) {
    // Agents abort the runs of a router that has failed or is fenced.
    stream.mFaulted = stream.mFaulted ||
                      aWorld.mLastDisturbance + absl::Minutes(1) > aWorld.mNow;
  }
  for (const run_action action :
       Fire(aWorld.mCharts.mRun, stream.mStatus, aEvent, stream, &Evaluate)) {
    Perform(aWorld, aStream, action, aError);
  }
}

void BreakStream(world& aWorld, std::size_t aStream)
{
  sim_stream& stream = aWorld.mStreams[aStream];
  if (stream.mCut ||
      (stream.mStatus == run_status::Ended && !stream.mRouterOpen)) {
    return;
  }
  stream.mCut = true;
  stream.mFaulted = true;
  frame_arrival frame;
  frame.mStream = aStream;
  frame.mKind = frame_kind::Reset;
  Schedule(aWorld, aWorld.mNow + kBreakDetection, { stream.mRouter, frame });
  ResetAgent(aWorld, aStream, kBreakDetection);
}

void OnEvent(world& aWorld, const process_ref& aTarget,
             const dispatch_arrival& aArrival)
{
  sim_stream& stream = aWorld.mStreams[aArrival.mStream];
  if (stream.mCut) {
    return;
  }
  stream.mAgent = RefOf(aWorld, aTarget.mName);
  const run_requested_event event{ HandleOf(aArrival.mStream), stream.mHeader,
                                   stream.mRun };
  Feed(aWorld, aTarget.mName, agent_event{ event });
}

void Lose(world& aWorld, const process_ref&, const dispatch_arrival& aArrival)
{
  sim_stream& stream = aWorld.mStreams[aArrival.mStream];
  if (stream.mRouterOpen) {
    RefuseAtRouter(aWorld, aArrival.mStream, NextDelay(aWorld));
  }
}

void OnEvent(world& aWorld, const process_ref&, const frame_arrival& aArrival)
{
  sim_stream& stream = aWorld.mStreams[aArrival.mStream];
  // Frames that were under way when the connection was cut are lost.
  if (!stream.mRouterOpen ||
      (stream.mCut && aArrival.mKind != frame_kind::Reset)) {
    return;
  }
  switch (aArrival.mKind) {
    case frame_kind::Head:
      FeedRouter(aWorld, stream,
                 run_accepted_event{ stream.mHandle, stream.mRun.mRequest });
      break;
    case frame_kind::Piece:
      TakePiece(aWorld, aArrival.mStream, aArrival.mText);
      break;
    case frame_kind::End:
      TakeEnd(aWorld, aArrival.mStream, aArrival.mUsage);
      break;
    case frame_kind::Broken:
      TakeFailure(aWorld, aArrival.mStream, aArrival.mUsage, aArrival.mError);
      break;
    case frame_kind::Refusal:
      stream.mRouterOpen = false;
      FeedRouter(aWorld, stream,
                 run_refused_event{ stream.mHandle, stream.mRun.mRequest,
                                    aArrival.mError });
      break;
    case frame_kind::Reset:
      // Without a final frame the prompt's tokens are not known.
      TakeFailure(aWorld, aArrival.mStream, { 0, stream.mArrived },
                  StreamError("the connection to the agent broke"));
      break;
  }
}

void OnEvent(world& aWorld, const process_ref&, const agent_reset& aReset)
{
  FireRun(aWorld, aReset.mStream, run_event::Reset);
}

void OnEvent(world& aWorld, const process_ref&, const backend_step& aStep)
{
  sim_stream& stream = aWorld.mStreams[aStep.mStream];
  if (stream.mStatus == run_status::Ended) {
    return;
  }
  if (stream.mWork.mBreakAfter &&
      stream.mRelayed >= *stream.mWork.mBreakAfter) {
    stream.mFaulted = true;
    FireRun(aWorld, aStep.mStream, run_event::BrokeOff);
    return;
  }
  if (IsService(stream)) {
    FireRun(aWorld, aStep.mStream, run_event::Finished);
    return;
  }
  FireRun(aWorld, aStep.mStream, run_event::Piece);
  if (stream.mRelayed >= TokensOf(stream)) {
    FireRun(aWorld, aStep.mStream, run_event::Finished);
    return;
  }
  Schedule(aWorld, aWorld.mNow + stream.mWork.mInterval,
           { stream.mAgent, aStep });
}

} // namespace foxtailquay::scenario
