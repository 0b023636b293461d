#include "sim_caller.h"

#include "absl/strings/str_cat.h"
#include "enum_text.h"
#include "sim_process.h"
#include "sim_stream.h"

namespace foxtailquay::scenario {

namespace {

void EndRequest(world& aWorld, std::size_t aRequest, request_outcome aOutcome)
{
  sim_request& request = aWorld.mRequests[aRequest];
  request.mOutcome = aOutcome;
  request.mEndedAt = aWorld.mNow;
  Trace(aWorld,
        absl::StrCat("caller of ", request.mName, ": ", ToEnumText(aOutcome),
                     " ", ToString(request.mError)));
  ObserveCallerResponse(aWorld, aRequest);
}

// Returns the text of a response that was not streamed: the buffer of the last
// stream that arrived complete. Empty if there is none.
std::string FindBufferedText(const world& aWorld, std::size_t aRequest)
{
  for (std::size_t i = aWorld.mStreams.size(); i-- > 0;) {
    const sim_stream& stream = aWorld.mStreams[i];
    if (stream.mRequest == aRequest && stream.mArrivedComplete) {
      return stream.mBuffer;
    }
  }
  return "";
}

struct response_visitor
{
  world& mWorld;
  std::size_t mRequest;

  void operator()(const response_relayed&) const
  {
    sim_request& request = mWorld.mRequests[mRequest];
    if (!request.mRequest.mStream) {
      request.mText = FindBufferedText(mWorld, mRequest);
    }
    EndRequest(mWorld, mRequest, request_outcome::Whole);
  }
  void operator()(const stored_response& aResponse) const
  {
    mWorld.mRequests[mRequest].mText = aResponse.mBody;
    EndRequest(mWorld, mRequest, request_outcome::Whole);
  }
  void operator()(const error& aError) const
  {
    sim_request& request = mWorld.mRequests[mRequest];
    request.mError = aError;
    if (HasFault(mWorld, injected_fault::DenyRan)) {
      request.mError.mExecuted = executed::No;
    }
    EndRequest(mWorld, mRequest,
               request.mText.empty() ? request_outcome::Refused
                                     : request_outcome::BrokenOff);
  }
};

} // namespace

std::string ComputeKeyHash(const std::string& aWorkspace)
{
  constexpr std::size_t kLength = 64;
  std::string hash;
  for (const char letter : aWorkspace) {
    absl::StrAppend(
      &hash, absl::Hex(static_cast<unsigned char>(letter), absl::kZeroPad2));
  }
  hash.resize(kLength, '0');
  return hash;
}

std::string MakeTokenText(const std::string& aBody, token_count aIndex)
{
  return absl::StrCat("[", aBody, " ", aIndex, "]");
}

std::string MakeServiceResponse(const std::string& aBody)
{
  return absl::StrCat("done: ", aBody);
}

std::size_t AddRequest(world& aWorld, sim_request aRequest, absl::Time aAt)
{
  const std::size_t index = aWorld.mRequests.size();
  aRequest.mRequest.mHandle = index + 1;
  aRequest.mSentAt = aAt;
  aWorld.mRequests.push_back(std::move(aRequest));
  Schedule(aWorld, aAt, { {}, caller_sends{ index } });
  return index;
}

void OnEvent(world& aWorld, const process_ref&, const caller_sends& aSends)
{
  sim_request& request = aWorld.mRequests[aSends.mRequest];
  if (request.mOutcome != request_outcome::Pending) {
    return;
  }
  const std::string router = request.mRouter.mName;
  if (aWorld.mProcesses.at(router).mStatus == process_status::Down) {
    EndRequest(aWorld, aSends.mRequest, request_outcome::NotConnected);
    return;
  }
  request.mRouter = GetProcessRef(aWorld, router);
  Schedule(aWorld, aWorld.mNow,
           { request.mRouter, node_input{ router_event{ request.mRequest } } });
}

void Disconnect(world& aWorld, std::size_t aRequest)
{
  sim_request& request = aWorld.mRequests[aRequest];
  if (request.mOutcome != request_outcome::Pending) {
    return;
  }
  EndRequest(aWorld, aRequest, request_outcome::Disconnected);
  if (request.mRouter.mGeneration != 0) {
    const caller_disconnected_event event{ request.mRequest.mHandle };
    Schedule(aWorld, aWorld.mNow,
             { request.mRouter, node_input{ router_event{ event } } });
  }
}

void OnResponseText(world& aWorld, std::size_t aRequest,
                    const std::string& aText)
{
  sim_request& request = aWorld.mRequests[aRequest];
  if (request.mOutcome == request_outcome::Pending) {
    request.mText += aText;
    ObserveResponseText(aWorld, aRequest);
  }
}

void SendCallerResponse(world& aWorld, const process_ref&,
                        const caller_response_action& aResponse)
{
  const std::size_t index = aResponse.mHandle - 1;
  const request_outcome outcome = aWorld.mRequests.at(index).mOutcome;
  if (outcome == request_outcome::Pending) {
    std::visit(response_visitor{ aWorld, index }, aResponse.mResponse);
  } else if (outcome != request_outcome::Disconnected &&
             outcome != request_outcome::ConnectionLost) {
    RecordViolation(aWorld, check_kind::OwnWholeAnswer,
                    aWorld.mRequests[index].mName +
                      " has received a second response");
  }
}

void AddOperatorCall(world& aWorld, const std::string& aName,
                     const std::string& aRouter, operator_request aRequest)
{
  sim_operator_call call;
  call.mName = aName;
  call.mRouter = GetProcessRef(aWorld, aRouter);
  call.mRequest = aRequest;
  call.mConnectionLost =
    aWorld.mProcesses.at(aRouter).mStatus == process_status::Down;
  aWorld.mOperatorCalls.push_back(call);
  auto* topUp = std::get_if<top_up_request>(&aRequest);
  if (topUp != nullptr && HasFault(aWorld, injected_fault::DoubleTopUp)) {
    topUp->mAmount *= 2;
  }
  if (!call.mConnectionLost) {
    const operator_event event{ aWorld.mOperatorCalls.size(),
                                std::move(aRequest) };
    Schedule(aWorld, aWorld.mNow,
             { call.mRouter, node_input{ router_event{ event } } });
  }
}

void SendOperatorResponse(world& aWorld,
                          const operator_response_action& aResponse)
{
  sim_operator_call& call = aWorld.mOperatorCalls.at(aResponse.mHandle - 1);
  call.mResponse = aResponse.mResponse;
  Trace(aWorld, absl::StrCat("operator ", call.mName, ": ",
                             IsOk(aResponse.mResponse)
                               ? "ok"
                               : ToString(GetError(aResponse.mResponse))));
}

void SendCommand(world& aWorld, const std::string& aAgent,
                 std::uint64_t aFencing)
{
  aWorld.mCommands.push_back({ aAgent, aFencing, std::nullopt, false });
  const command_event event{ aWorld.mCommands.size(), aFencing, "load model" };
  Schedule(aWorld, aWorld.mNow,
           { { aAgent, 0 }, node_input{ agent_event{ event } } });
}

void SendCommandResponse(world& aWorld,
                         const command_response_action& aResponse)
{
  sim_command& command = aWorld.mCommands.at(aResponse.mHandle - 1);
  command.mResponse = aResponse.mResponse;
  const config_document& config = aWorld.mObserver.mConfigs.rbegin()->second;
  const auto backend = config.mBackends.find({ command.mAgent });
  const bool honoursFencing =
    backend != config.mBackends.end() &&
    backend->second.mFencing == fencing_support::Honours;
  const bool isStale =
    command.mFencing < aWorld.mObserver.mHighestFencingNumber[command.mAgent];
  const bool isAccepted =
    IsOk(aResponse.mResponse) || HasFault(aWorld, injected_fault::PassCommands);
  command.mExecuted = isAccepted && !(honoursFencing && isStale);
  if (command.mExecuted) {
    ObserveCommand(aWorld, command.mAgent, command.mFencing);
  }
}

} // namespace foxtailquay::scenario
