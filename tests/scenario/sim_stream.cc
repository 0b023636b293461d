#include "sim_stream.h"

#include "absl/strings/str_cat.h"
#include "enum_text.h"
#include "sim_caller.h"
#include "sim_network.h"
#include "sim_process.h"

namespace foxtailquay::scenario {

namespace {

request_handle ToHandle(std::size_t aStream)
{
  return aStream + 1;
}

bool IsService(const sim_stream& aStream)
{
  return aStream.mRun.mKind == backend_kind::Service;
}

bool EvaluateGuard(run_guard aGuard, const sim_stream& aStream)
{
  switch (aGuard) {
    case run_guard::IsService:
      return IsService(aStream);
  }
  return false;
}

// Returns the number of tokens of the complete response, limited by the maximum
// in the run request.
token_count ComputeResponseTokens(const sim_stream& aStream)
{
  return std::min(aStream.mWork.mTokens, aStream.mRun.mMaxTokens);
}

token_usage MakeUsage(const sim_stream& aStream, token_count aTokens)
{
  return IsService(aStream)
           ? token_usage{}
           : token_usage{ aStream.mWork.mPromptTokens, aTokens };
}

void SendFrame(world& aWorld, std::size_t aStream, frame_arrival aFrame)
{
  sim_stream& stream = aWorld.mStreams[aStream];
  if (stream.mIsCut) {
    return;
  }
  aFrame.mStream = aStream;
  // The frames of one connection keep their order.
  stream.mLastArrival =
    std::max(stream.mLastArrival, aWorld.mNow + ChooseDelay(aWorld));
  Schedule(aWorld, stream.mLastArrival, { stream.mRouter, std::move(aFrame) });
}

void ScheduleAgentReset(world& aWorld, std::size_t aStream,
                        absl::Duration aAfter)
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
  frame.mText = MakeTokenText(stream.mRun.mBody, stream.mRelayedTokens++);
  ObserveRelayedToken(aWorld, aStream);
  const bool last = stream.mRelayedTokens == ComputeResponseTokens(stream);
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
    frame.mText = MakeServiceResponse(stream.mRun.mBody);
    SendFrame(aWorld, aStream, frame);
    frame.mText.clear();
  }
  frame.mKind = frame_kind::End;
  frame.mUsage = MakeUsage(stream, stream.mRelayedTokens);
  SendFrame(aWorld, aStream, std::move(frame));
}

void SendBroken(world& aWorld, std::size_t aStream)
{
  const sim_stream& stream = aWorld.mStreams[aStream];
  frame_arrival frame;
  frame.mKind = frame_kind::Broken;
  frame.mUsage = MakeUsage(stream, stream.mRelayedTokens);
  frame.mError = { error_code::BackendServerFailed, executed::Unknown, "",
                   "the backend server interrupted the run",
                   absl::ZeroDuration() };
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
  const run_ended_event event{ ToHandle(aStream),
                               MakeUsage(stream, stream.mRelayedTokens),
                               aComplete };
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

void StepRouter(world& aWorld, const sim_stream& aStream, router_event aEvent)
{
  StepProcess(aWorld, aStream.mRouter.mName, std::move(aEvent));
}

bool HasRelayed(const world& aWorld, const sim_stream& aStream)
{
  return !aWorld.mRequests[aStream.mRequest].mText.empty();
}

run_failed_event MakeFailure(const world& aWorld, const sim_stream& aStream,
                             const token_usage& aUsage, error aError)
{
  return { aStream.mHandle, aStream.mRun.mRequest, aUsage,
           HasRelayed(aWorld, aStream), std::move(aError) };
}

error MakeStreamError(std::string aDetail)
{
  return { error_code::StreamBroken, executed::Unknown, "", std::move(aDetail),
           absl::ZeroDuration() };
}

void OnPiece(world& aWorld, std::size_t aStream, std::string aText)
{
  sim_stream& stream = aWorld.mStreams[aStream];
  if (!IsService(stream)) {
    ++stream.mReceivedTokens;
    ObserveReceivedToken(aWorld, aStream);
  }
  if (HasFault(aWorld, injected_fault::CrossAnswers)) {
    aText =
      MakeTokenText("the request of somebody else", stream.mReceivedTokens - 1);
  }
  if (stream.mRun.mStream) {
    OnResponseText(aWorld, stream.mRequest, aText);
  } else {
    stream.mBuffer += aText;
  }
}

void OnEnd(world& aWorld, std::size_t aStream, const token_usage& aUsage)
{
  sim_stream& stream = aWorld.mStreams[aStream];
  stream.mRouterOpen = false;
  stream.mArrivedComplete = true;
  run_finished_event event;
  event.mHandle = stream.mHandle;
  event.mRequest = stream.mRun.mRequest;
  event.mUsage = aUsage;
  event.mResponse.mStatus = 200;
  event.mResponse.mContentType = "text/plain";
  event.mResponse.mBody = stream.mBuffer;
  StepRouter(aWorld, stream, std::move(event));
}

void OnFailure(world& aWorld, std::size_t aStream, const token_usage& aUsage,
               error aError)
{
  sim_stream& stream = aWorld.mStreams[aStream];
  stream.mRouterOpen = false;
  stream.mOutcomeUnknown = true;
  StepRouter(aWorld, stream,
             MakeFailure(aWorld, stream, aUsage, std::move(aError)));
}

void ScheduleConnectFailure(world& aWorld, std::size_t aStream,
                            absl::Duration aAfter)
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
    ScheduleConnectFailure(aWorld, index, kConnectTimeout);
    return;
  }
  Schedule(aWorld, aWorld.mNow + ChooseDelay(aWorld),
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
    // A caller that has disconnected or has received its final error needs no
    // response, so an interrupted stream is not a violation.
    stream.mFaulted =
      stream.mFaulted ||
      aWorld.mRequests[stream.mRequest].mOutcome != request_outcome::Pending;
    stream.mRouterOpen = false;
    stream.mOutcomeUnknown = true;
    const run_failed_event event =
      MakeFailure(aWorld, stream, { 0, stream.mReceivedTokens },
                  MakeStreamError("the router cancelled the run"));
    Schedule(aWorld, aWorld.mNow,
             { aRouter, node_input{ router_event{ event } } });
    ScheduleAgentReset(aWorld, i, ChooseDelay(aWorld));
    return;
  }
}

void CloseRouterEnd(world& aWorld, std::size_t aStream)
{
  sim_stream& stream = aWorld.mStreams[aStream];
  if (stream.mRouterOpen) {
    stream.mRouterOpen = false;
    ScheduleAgentReset(aWorld, aStream,
                       stream.mIsCut ? kBreakDetection : ChooseDelay(aWorld));
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
    // Agents abort the runs of a router that has failed or is fenced, which
    // happens within a minute of the injected failure.
    stream.mFaulted = stream.mFaulted ||
                      aWorld.mLastDisturbance + absl::Minutes(1) > aWorld.mNow;
  }
  for (const run_action action : Fire(aWorld.mCharts.mRun, stream.mStatus,
                                      aEvent, stream, &EvaluateGuard)) {
    Perform(aWorld, aStream, action, aError);
  }
}

void CutStream(world& aWorld, std::size_t aStream)
{
  sim_stream& stream = aWorld.mStreams[aStream];
  if (stream.mIsCut ||
      (stream.mStatus == run_status::Ended && !stream.mRouterOpen)) {
    return;
  }
  stream.mIsCut = true;
  stream.mFaulted = true;
  frame_arrival frame;
  frame.mStream = aStream;
  frame.mKind = frame_kind::Reset;
  Schedule(aWorld, aWorld.mNow + kBreakDetection, { stream.mRouter, frame });
  ScheduleAgentReset(aWorld, aStream, kBreakDetection);
}

void OnEvent(world& aWorld, const process_ref& aTarget,
             const dispatch_arrival& aArrival)
{
  sim_stream& stream = aWorld.mStreams[aArrival.mStream];
  if (stream.mIsCut) {
    return;
  }
  stream.mAgent = GetProcessRef(aWorld, aTarget.mName);
  const run_requested_event event{ ToHandle(aArrival.mStream), stream.mHeader,
                                   stream.mRun };
  StepProcess(aWorld, aTarget.mName, agent_event{ event });
}

void OnTargetDown(world& aWorld, const process_ref&,
                  const dispatch_arrival& aArrival)
{
  sim_stream& stream = aWorld.mStreams[aArrival.mStream];
  if (stream.mRouterOpen) {
    ScheduleConnectFailure(aWorld, aArrival.mStream, ChooseDelay(aWorld));
  }
}

void OnEvent(world& aWorld, const process_ref&, const frame_arrival& aArrival)
{
  sim_stream& stream = aWorld.mStreams[aArrival.mStream];
  // Frames in transit when the connection was cut are lost.
  if (!stream.mRouterOpen ||
      (stream.mIsCut && aArrival.mKind != frame_kind::Reset)) {
    return;
  }
  switch (aArrival.mKind) {
    case frame_kind::Head:
      StepRouter(aWorld, stream,
                 run_accepted_event{ stream.mHandle, stream.mRun.mRequest });
      break;
    case frame_kind::Piece:
      OnPiece(aWorld, aArrival.mStream, aArrival.mText);
      break;
    case frame_kind::End:
      OnEnd(aWorld, aArrival.mStream, aArrival.mUsage);
      break;
    case frame_kind::Broken:
      OnFailure(aWorld, aArrival.mStream, aArrival.mUsage, aArrival.mError);
      break;
    case frame_kind::Refusal:
      stream.mRouterOpen = false;
      StepRouter(aWorld, stream,
                 run_refused_event{ stream.mHandle, stream.mRun.mRequest,
                                    aArrival.mError });
      break;
    case frame_kind::Reset:
      // The number of prompt tokens is unknown without a final frame.
      OnFailure(aWorld, aArrival.mStream, { 0, stream.mReceivedTokens },
                MakeStreamError("the connection to the agent was lost"));
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
      stream.mRelayedTokens >= *stream.mWork.mBreakAfter) {
    stream.mFaulted = true;
    FireRun(aWorld, aStep.mStream, run_event::BrokeOff);
    return;
  }
  if (IsService(stream)) {
    FireRun(aWorld, aStep.mStream, run_event::Finished);
    return;
  }
  FireRun(aWorld, aStep.mStream, run_event::Piece);
  if (stream.mRelayedTokens >= ComputeResponseTokens(stream)) {
    FireRun(aWorld, aStep.mStream, run_event::Finished);
    return;
  }
  Schedule(aWorld, aWorld.mNow + stream.mWork.mInterval,
           { stream.mAgent, aStep });
}

} // namespace foxtailquay::scenario
