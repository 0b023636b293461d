// standin_engine: a stand-in for an OpenAI-compatible model engine. It
// generates numbered tokens. The protocol and the faults are in
// docs/platform.md.
//
// The first token of a response is the last word of the prompt, so that a test
// can check which request the response belongs to; the others are "t2",
// "t3" and so on.

#include <memory>
#include <sstream>

#include "engine_state.h"
#include "gflags/gflags.h"

DEFINE_int32(port, 0, "port on 127.0.0.1; 0: any free port");
DEFINE_string(models, "", "names of the loaded models, separated by commas");
DEFINE_int32(slots, 8, "maximum number of concurrent runs");
DEFINE_int32(prefill_tokens_per_s, 20000, "prompt tokens processed per second");
DEFINE_int32(token_delay_ms, 0, "time between tokens, in ms");
DEFINE_int32(cached_prefixes, 64, "maximum number of cached prefixes");
DEFINE_int32(answer_tokens, 32, "maximum number of tokens in a response");

namespace standins {
namespace {

enum class format
{
  Chat,
  Text,
};

struct completion_request
{
  format mFormat = format::Chat;
  std::string mRequestId;
  std::string mModel;
  std::string mPrompt;
  int mMaxTokens = 0;
  int mPriority = 0;
  bool mStream = false;
};

// Returns the text to process: "prompt", or the contents of "messages".
std::string GetPrompt(const Json::Value& aBody, format aFormat)
{
  if (aFormat == format::Text) {
    return aBody["prompt"].isString() ? aBody["prompt"].asString() : "";
  }
  std::string prompt;
  for (const Json::Value& message : aBody["messages"]) {
    if (message.isObject() && message["content"].isString()) {
      prompt += message["content"].asString() + "\n";
    }
  }
  return prompt;
}

int GetInteger(const Json::Value& aBody, const char* aName, int aDefault)
{
  return aBody[aName].isInt() ? aBody[aName].asInt() : aDefault;
}

completion_request ParseCompletion(const httplib::Request& aRequest,
                                   const Json::Value& aBody, format aFormat,
                                   const engine_options& aOptions)
{
  completion_request request;
  request.mFormat = aFormat;
  request.mRequestId = aRequest.get_header_value("X-Request-Id");
  request.mModel = aBody["model"].isString() ? aBody["model"].asString() : "";
  request.mPrompt = GetPrompt(aBody, aFormat);
  const int limit =
    GetInteger(aBody, "max_completion_tokens", aOptions.mResponseTokens);
  request.mMaxTokens = GetInteger(aBody, "max_tokens", limit);
  request.mPriority = GetInteger(aBody, "priority", 0);
  request.mStream = aBody["stream"].isBool() && aBody["stream"].asBool();
  return request;
}

std::string MakeTokenText(const completion_request& aCompletion, int aNumber)
{
  if (aNumber > 1) {
    return "t" + std::to_string(aNumber) + " ";
  }
  std::istringstream words(aCompletion.mPrompt);
  std::string word;
  while (words >> word) {
  }
  return word + " ";
}

// --- Responses in the OpenAI format -----------------------------------------

Json::Value MakeEnvelope(const completion_request& aCompletion)
{
  const bool chat = aCompletion.mFormat == format::Chat;
  Json::Value json;
  json["id"] = "cmpl-" + aCompletion.mRequestId;
  json["object"] = !chat                 ? "text_completion"
                   : aCompletion.mStream ? "chat.completion.chunk"
                                         : "chat.completion";
  json["model"] = aCompletion.mModel;
  json["choices"] = Json::Value(Json::arrayValue);
  return json;
}

Json::Value MakeChoice(const completion_request& aCompletion,
                       const std::string& aText)
{
  Json::Value choice;
  choice["index"] = 0;
  choice["finish_reason"] = Json::Value();
  if (aCompletion.mFormat == format::Text) {
    choice["text"] = aText;
  } else {
    Json::Value& message = choice[aCompletion.mStream ? "delta" : "message"];
    message["role"] = "assistant";
    message["content"] = aText;
  }
  return choice;
}

Json::Value MakeUsage(const run_record& aRun)
{
  Json::Value usage;
  usage["prompt_tokens"] = aRun.mPromptTokens;
  usage["completion_tokens"] = aRun.mCompletionTokens;
  usage["total_tokens"] = aRun.mPromptTokens + aRun.mCompletionTokens;
  usage["prompt_tokens_details"]["cached_tokens"] = aRun.mCachedTokens;
  return usage;
}

bool Write(httplib::DataSink& aSink, const std::string& aText)
{
  return aSink.write(aText.data(), aText.size());
}

bool WriteEvent(httplib::DataSink& aSink, const Json::Value& aJson)
{
  return Write(aSink, "data: " + ToText(aJson) + "\n\n");
}

bool WriteToken(httplib::DataSink& aSink, const completion_request& aCompletion,
                const std::string& aText)
{
  Json::Value json = MakeEnvelope(aCompletion);
  json["choices"].append(MakeChoice(aCompletion, aText));
  return WriteEvent(aSink, json);
}

// Writes the end of a stream with the usage, or the complete response.
bool WriteEnd(httplib::DataSink& aSink, const completion_request& aCompletion,
              const run_record& aRun, const std::string& aText)
{
  Json::Value json = MakeEnvelope(aCompletion);
  Json::Value choice =
    MakeChoice(aCompletion, aCompletion.mStream ? "" : aText);
  choice["finish_reason"] =
    aRun.mCompletionTokens < aCompletion.mMaxTokens ? "stop" : "length";
  json["choices"].append(choice);
  if (!aCompletion.mStream) {
    json["usage"] = MakeUsage(aRun);
    return Write(aSink, ToText(json));
  }
  Json::Value last = MakeEnvelope(aCompletion);
  last["usage"] = MakeUsage(aRun);
  return WriteEvent(aSink, json) && WriteEvent(aSink, last) &&
         Write(aSink, "data: [DONE]\n\n");
}

// --- Runs -------------------------------------------------------------------

// Waits until aDelay() after aStart. The value of aDelay may change during the
// wait.
template<typename Function>
void AwaitDelay(engine& aEngine, std::unique_lock<std::mutex>& aLock,
                steady::time_point aStart, Function aDelay)
{
  while (steady::now() < aStart + aDelay()) {
    aEngine.mChanged.wait_until(aLock, aStart + aDelay());
  }
}

std::chrono::microseconds ComputePrefillTime(const engine& aEngine,
                                             const run_record& aRun)
{
  const std::int64_t tokens = aRun.mPromptTokens - aRun.mCachedTokens;
  return std::chrono::microseconds(tokens * 1'000'000 /
                                   aEngine.mOptions.mPrefillTokensPerSecond);
}

// Generates the tokens of a run, appends them to aText and, for a stream,
// writes them to aSink. Returns how the run ended. The record is accessed by
// index, since the vector may grow while the lock is released.
run_state Generate(engine& aEngine, std::unique_lock<std::mutex>& aLock,
                   const completion_request& aCompletion, std::size_t aIndex,
                   httplib::DataSink& aSink, std::string& aText)
{
  const int count =
    std::min(aCompletion.mMaxTokens, aEngine.mOptions.mResponseTokens);
  for (int number = 1; number <= count; ++number) {
    AwaitDelay(aEngine, aLock, steady::now(), [&aEngine] {
      return std::chrono::milliseconds(aEngine.mFaults.mTokenDelayMs);
    });
    aEngine.mChanged.wait(aLock, [&aEngine, number] {
      const int holdAfter = aEngine.mFaults.mHoldAfterTokens;
      return holdAfter == 0 || number <= holdAfter;
    });
    const int breakAfter = aEngine.mFaults.mBreakAfterTokens;
    if (breakAfter > 0 && number > breakAfter) {
      return run_state::Broken;
    }
    const std::string token = MakeTokenText(aCompletion, number);
    aLock.unlock();
    const bool isOpen =
      aSink.is_writable() &&
      (!aCompletion.mStream || WriteToken(aSink, aCompletion, token));
    aLock.lock();
    if (!isOpen) {
      return run_state::Cancelled;
    }
    aEngine.mExecutedRuns[aIndex].mCompletionTokens = number;
    aText += token;
  }
  return run_state::Finished;
}

// Executes the request on the thread of the connection. Returns false to close
// the connection.
bool RunCompletion(engine& aEngine, const completion_request& aCompletion,
                   httplib::DataSink& aSink)
{
  std::unique_lock<std::mutex> lock(aEngine.mMutex);
  AcquireSlot(aEngine, lock, aCompletion.mPriority);
  const std::size_t index = aEngine.mExecutedRuns.size();
  run_record started;
  started.mRequestId = aCompletion.mRequestId;
  started.mModel = aCompletion.mModel;
  started.mPromptTokens = CountTokens(aCompletion.mPrompt);
  started.mCachedTokens = UsePromptPrefixes(aEngine, aCompletion.mPrompt);
  aEngine.mExecutedRuns.push_back(started);
  const auto prefill = ComputePrefillTime(aEngine, started);
  AwaitDelay(aEngine, lock, steady::now(), [prefill] { return prefill; });
  std::string text;
  const run_state ended =
    Generate(aEngine, lock, aCompletion, index, aSink, text);
  aEngine.mExecutedRuns[index].mState = ended;
  const run_record finalRecord = aEngine.mExecutedRuns[index];
  ReleaseSlot(aEngine);
  lock.unlock();
  if (ended != run_state::Finished) {
    return false;
  }
  if (WriteEnd(aSink, aCompletion, finalRecord, text)) {
    aSink.done();
  }
  return true;
}

// Returns whether the request may be executed. If not, sends a response with
// the error.
bool AdmitCompletion(engine& aEngine, const completion_request& aCompletion,
                     httplib::Response& aResponse)
{
  const std::lock_guard<std::mutex> lock(aEngine.mMutex);
  if (aEngine.mFaults.mFailRequests > 0) {
    --aEngine.mFaults.mFailRequests;
    SendError(aResponse, 500, "failed");
    return false;
  }
  if (aEngine.mModels.count(aCompletion.mModel) == 0) {
    SendError(aResponse, 404,
              "model \"" + aCompletion.mModel + "\" is not loaded");
    return false;
  }
  if (aCompletion.mPrompt.empty() || aCompletion.mMaxTokens <= 0) {
    SendError(aResponse, 400, "missing prompt, or max_tokens is not positive");
    return false;
  }
  return true;
}

httplib::Server::Handler MakeCompletionHandler(engine& aEngine, format aFormat)
{
  return [&aEngine, aFormat](const httplib::Request& aRequest,
                             httplib::Response& aResponse) {
    Json::Value body;
    if (!ParseObjectBody(aRequest, aResponse, body)) {
      return;
    }
    const completion_request request =
      ParseCompletion(aRequest, body, aFormat, aEngine.mOptions);
    if (!AdmitCompletion(aEngine, request, aResponse)) {
      return;
    }
    // A complete response also uses a content provider, because only a provider
    // detects that the client has closed the connection.
    aResponse.set_chunked_content_provider(
      request.mStream ? "text/event-stream" : "application/json",
      [&aEngine, request](std::size_t, httplib::DataSink& aSink) {
        return RunCompletion(aEngine, request, aSink);
      });
  };
}

// --- Other requests ---------------------------------------------------------

void HandleCommand(engine& aEngine, const httplib::Request& aRequest,
                   httplib::Response& aResponse)
{
  Json::Value body;
  if (!ParseObjectBody(aRequest, aResponse, body)) {
    return;
  }
  if (!body["fencing_number"].isUInt64() || !body["command"].isString()) {
    SendError(aResponse, 400, "missing fencing_number or command");
    return;
  }
  switch (ExecuteCommand(aEngine, body["fencing_number"].asUInt64(),
                         body["command"].asString())) {
    case command_outcome::Done:
      SendResponse(aResponse, 200, Json::Value(Json::objectValue));
      return;
    case command_outcome::Stale:
      SendError(aResponse, 409,
                "the highest fencing number is " +
                  std::to_string(aEngine.mHighestFencingNumber));
      return;
    case command_outcome::Unknown:
      SendError(aResponse, 400, "unknown command");
      return;
  }
}

void AddHandlers(engine& aEngine, httplib::Server& aServer)
{
  aServer.Post("/v1/chat/completions",
               MakeCompletionHandler(aEngine, format::Chat));
  aServer.Post("/v1/completions", MakeCompletionHandler(aEngine, format::Text));
  aServer.Get(
    "/load", [&aEngine](const httplib::Request&, httplib::Response& aResponse) {
      const std::lock_guard<std::mutex> lock(aEngine.mMutex);
      SendResponse(aResponse, 200, MakeLoadReport(aEngine));
    });
  aServer.Get(
    "/ran", [&aEngine](const httplib::Request&, httplib::Response& aResponse) {
      const std::lock_guard<std::mutex> lock(aEngine.mMutex);
      SendResponse(aResponse, 200, MakeRunReport(aEngine));
    });
  aServer.Post("/command", [&aEngine](const httplib::Request& aRequest,
                                      httplib::Response& aResponse) {
    const std::lock_guard<std::mutex> lock(aEngine.mMutex);
    HandleCommand(aEngine, aRequest, aResponse);
  });
  aServer.Post("/fault", [&aEngine](const httplib::Request& aRequest,
                                    httplib::Response& aResponse) {
    const std::lock_guard<std::mutex> lock(aEngine.mMutex);
    if (HandleFault(aRequest, aResponse, aEngine.mFaults)) {
      aEngine.mChanged.notify_all();
    }
  });
}

void ApplyFlags(engine& aEngine)
{
  aEngine.mOptions.mSlots = std::max(FLAGS_slots, 1);
  aEngine.mOptions.mPrefillTokensPerSecond =
    std::max(FLAGS_prefill_tokens_per_s, 1);
  aEngine.mOptions.mCachedPrefixes = FLAGS_cached_prefixes;
  aEngine.mOptions.mResponseTokens = FLAGS_answer_tokens;
  aEngine.mFaults.mTokenDelayMs = FLAGS_token_delay_ms;
  std::istringstream names(FLAGS_models);
  std::string name;
  while (std::getline(names, name, ',')) {
    aEngine.mModels.insert(name);
  }
}

} // namespace
} // namespace standins

int main(int argc, char** argv)
{
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  standins::engine engine;
  standins::ApplyFlags(engine);
  httplib::Server server;
  standins::AddHandlers(engine, server);
  return standins::RunServer(server, FLAGS_port);
}
