// standin_engine: an OpenAI-compatible model engine that generates counted
// tokens. The protocol and the faults are in docs/platform.md.
//
// The first token of an answer repeats the last word of the prompt, so that
// a check can tell whose answer it is; the others are "t2", "t3", ...

#include <memory>
#include <sstream>

#include "engine_state.h"
#include "gflags/gflags.h"

DEFINE_int32(port, 0, "port on 127.0.0.1; 0: any free port");
DEFINE_string(models, "", "names of the loaded models, separated by commas");
DEFINE_int32(slots, 8, "requests that run at once");
DEFINE_int32(prefill_tokens_per_s, 20000, "speed of prompt processing");
DEFINE_int32(token_delay_ms, 0, "time between tokens");
DEFINE_int32(cached_prefixes, 64, "size of the prefix cache, in prefixes");
DEFINE_int32(answer_tokens, 32, "length of an answer without max_tokens");

namespace standins {
namespace {

enum class format
{
  Chat,
  Text,
};

struct completion
{
  format mFormat = format::Chat;
  std::string mRequestId;
  std::string mModel;
  std::string mPrompt;
  int mMaxTokens = 0;
  int mPriority = 0;
  bool mStream = false;
};

// The text to process: "prompt", or the contents of "messages".
std::string PromptOf(const Json::Value& aBody, format aFormat)
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

int NumberOf(const Json::Value& aBody, const char* aName, int aDefault)
{
  return aBody[aName].isInt() ? aBody[aName].asInt() : aDefault;
}

completion ReadCompletion(const httplib::Request& aRequest,
                          const Json::Value& aBody, format aFormat,
                          const engine_options& aOptions)
{
  completion asked;
  asked.mFormat = aFormat;
  asked.mRequestId = aRequest.get_header_value("X-Request-Id");
  asked.mModel = aBody["model"].isString() ? aBody["model"].asString() : "";
  asked.mPrompt = PromptOf(aBody, aFormat);
  const int limit =
    NumberOf(aBody, "max_completion_tokens", aOptions.mAnswerTokens);
  asked.mMaxTokens = NumberOf(aBody, "max_tokens", limit);
  asked.mPriority = NumberOf(aBody, "priority", 0);
  asked.mStream = aBody["stream"].isBool() && aBody["stream"].asBool();
  return asked;
}

std::string TokenText(const completion& aAsked, int aNumber)
{
  if (aNumber > 1) {
    return "t" + std::to_string(aNumber) + " ";
  }
  std::istringstream words(aAsked.mPrompt);
  std::string word;
  while (words >> word) {
  }
  return word + " ";
}

// --- Answers in the OpenAI format -------------------------------------------

Json::Value Envelope(const completion& aAsked)
{
  const bool chat = aAsked.mFormat == format::Chat;
  Json::Value json;
  json["id"] = "cmpl-" + aAsked.mRequestId;
  json["object"] = !chat            ? "text_completion"
                   : aAsked.mStream ? "chat.completion.chunk"
                                    : "chat.completion";
  json["model"] = aAsked.mModel;
  json["choices"] = Json::Value(Json::arrayValue);
  return json;
}

Json::Value Choice(const completion& aAsked, const std::string& aText)
{
  Json::Value choice;
  choice["index"] = 0;
  choice["finish_reason"] = Json::Value();
  if (aAsked.mFormat == format::Text) {
    choice["text"] = aText;
  } else {
    Json::Value& message = choice[aAsked.mStream ? "delta" : "message"];
    message["role"] = "assistant";
    message["content"] = aText;
  }
  return choice;
}

Json::Value UsageOf(const run_record& aRun)
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

bool WriteToken(httplib::DataSink& aSink, const completion& aAsked,
                const std::string& aText)
{
  Json::Value json = Envelope(aAsked);
  json["choices"].append(Choice(aAsked, aText));
  return WriteEvent(aSink, json);
}

// Ends a whole answer.
bool WriteEnd(httplib::DataSink& aSink, const completion& aAsked,
              const run_record& aRun, const std::string& aText)
{
  Json::Value json = Envelope(aAsked);
  Json::Value choice = Choice(aAsked, aAsked.mStream ? "" : aText);
  choice["finish_reason"] =
    aRun.mCompletionTokens < aAsked.mMaxTokens ? "stop" : "length";
  json["choices"].append(choice);
  if (!aAsked.mStream) {
    json["usage"] = UsageOf(aRun);
    return Write(aSink, ToText(json));
  }
  Json::Value last = Envelope(aAsked);
  last["usage"] = UsageOf(aRun);
  return WriteEvent(aSink, json) && WriteEvent(aSink, last) &&
         Write(aSink, "data: [DONE]\n\n");
}

// --- Runs -------------------------------------------------------------------

// Waits until aDelay after aStart, where aDelay may change meanwhile.
template<typename Function>
void WaitFor(engine& aEngine, std::unique_lock<std::mutex>& aLock,
             steady::time_point aStart, Function aDelay)
{
  while (steady::now() < aStart + aDelay()) {
    aEngine.mChanged.wait_until(aLock, aStart + aDelay());
  }
}

std::chrono::microseconds PrefillTime(const engine& aEngine,
                                      const run_record& aRun)
{
  const std::int64_t tokens = aRun.mPromptTokens - aRun.mCachedTokens;
  return std::chrono::microseconds(tokens * 1'000'000 /
                                   aEngine.mOptions.mPrefillTokensPerSecond);
}

// Generates up to aAsked's limit of tokens into aText. Returns how the run
// ended. The record is found by index, since other runs are added meanwhile.
run_state Generate(engine& aEngine, std::unique_lock<std::mutex>& aLock,
                   const completion& aAsked, std::size_t aIndex,
                   httplib::DataSink& aSink, std::string& aText)
{
  const int count = std::min(aAsked.mMaxTokens, aEngine.mOptions.mAnswerTokens);
  for (int number = 1; number <= count; ++number) {
    WaitFor(aEngine, aLock, steady::now(), [&aEngine] {
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
    const std::string token = TokenText(aAsked, number);
    aLock.unlock();
    const bool open = aSink.is_writable() &&
                      (!aAsked.mStream || WriteToken(aSink, aAsked, token));
    aLock.lock();
    if (!open) {
      return run_state::Cancelled;
    }
    aEngine.mRan[aIndex].mCompletionTokens = number;
    aText += token;
  }
  return run_state::Finished;
}

// Runs the request on the connection's thread. Returns false to break the
// connection.
bool Run(engine& aEngine, const completion& aAsked, httplib::DataSink& aSink)
{
  std::unique_lock<std::mutex> lock(aEngine.mMutex);
  TakeSlot(aEngine, lock, aAsked.mPriority);
  const std::size_t index = aEngine.mRan.size();
  run_record started;
  started.mRequestId = aAsked.mRequestId;
  started.mModel = aAsked.mModel;
  started.mPromptTokens = CountTokens(aAsked.mPrompt);
  started.mCachedTokens = UsePrefixes(aEngine, aAsked.mPrompt);
  aEngine.mRan.push_back(started);
  const auto prefill = PrefillTime(aEngine, started);
  WaitFor(aEngine, lock, steady::now(), [prefill] { return prefill; });
  std::string text;
  const run_state ended = Generate(aEngine, lock, aAsked, index, aSink, text);
  aEngine.mRan[index].mState = ended;
  const run_record ran = aEngine.mRan[index];
  FreeSlot(aEngine);
  lock.unlock();
  if (ended != run_state::Finished) {
    return false;
  }
  if (WriteEnd(aSink, aAsked, ran, text)) {
    aSink.done();
  }
  return true;
}

// Refuses the request before it runs, or returns true.
bool Admit(engine& aEngine, const completion& aAsked,
           httplib::Response& aResponse)
{
  const std::lock_guard<std::mutex> lock(aEngine.mMutex);
  if (aEngine.mFaults.mFailRequests > 0) {
    --aEngine.mFaults.mFailRequests;
    AnswerError(aResponse, 500, "failed");
    return false;
  }
  if (aEngine.mModels.count(aAsked.mModel) == 0) {
    AnswerError(aResponse, 404,
                "model \"" + aAsked.mModel + "\" is not loaded");
    return false;
  }
  if (aAsked.mPrompt.empty() || aAsked.mMaxTokens <= 0) {
    AnswerError(aResponse, 400, "a prompt and positive max_tokens are needed");
    return false;
  }
  return true;
}

httplib::Server::Handler Completions(engine& aEngine, format aFormat)
{
  return [&aEngine, aFormat](const httplib::Request& aRequest,
                             httplib::Response& aResponse) {
    Json::Value body;
    if (!ReadObject(aRequest, aResponse, body)) {
      return;
    }
    const completion asked =
      ReadCompletion(aRequest, body, aFormat, aEngine.mOptions);
    if (!Admit(aEngine, asked, aResponse)) {
      return;
    }
    // Also an answer in one piece goes through a provider, because only a
    // provider can see that the client has closed the connection.
    aResponse.set_chunked_content_provider(
      asked.mStream ? "text/event-stream" : "application/json",
      [&aEngine, asked](std::size_t, httplib::DataSink& aSink) {
        return Run(aEngine, asked, aSink);
      });
  };
}

// --- Other requests ---------------------------------------------------------

void HandleCommand(engine& aEngine, const httplib::Request& aRequest,
                   httplib::Response& aResponse)
{
  Json::Value body;
  if (!ReadObject(aRequest, aResponse, body)) {
    return;
  }
  if (!body["fencing_number"].isUInt64() || !body["command"].isString()) {
    AnswerError(aResponse, 400, "fencing_number and command are needed");
    return;
  }
  switch (Command(aEngine, body["fencing_number"].asUInt64(),
                  body["command"].asString())) {
    case command_outcome::Done:
      Answer(aResponse, 200, Json::Value(Json::objectValue));
      return;
    case command_outcome::Stale:
      AnswerError(aResponse, 409,
                  "the highest fencing number is " +
                    std::to_string(aEngine.mHighestFence));
      return;
    case command_outcome::Unknown:
      AnswerError(aResponse, 400, "unknown command");
      return;
  }
}

void AddHandlers(engine& aEngine, httplib::Server& aServer)
{
  aServer.Post("/v1/chat/completions", Completions(aEngine, format::Chat));
  aServer.Post("/v1/completions", Completions(aEngine, format::Text));
  aServer.Get(
    "/load", [&aEngine](const httplib::Request&, httplib::Response& aResponse) {
      const std::lock_guard<std::mutex> lock(aEngine.mMutex);
      Answer(aResponse, 200, ReportLoad(aEngine));
    });
  aServer.Get(
    "/ran", [&aEngine](const httplib::Request&, httplib::Response& aResponse) {
      const std::lock_guard<std::mutex> lock(aEngine.mMutex);
      Answer(aResponse, 200, ReportRuns(aEngine));
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

void Configure(engine& aEngine)
{
  aEngine.mOptions.mSlots = std::max(FLAGS_slots, 1);
  aEngine.mOptions.mPrefillTokensPerSecond =
    std::max(FLAGS_prefill_tokens_per_s, 1);
  aEngine.mOptions.mCachedPrefixes = FLAGS_cached_prefixes;
  aEngine.mOptions.mAnswerTokens = FLAGS_answer_tokens;
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
  standins::Configure(engine);
  httplib::Server server;
  standins::AddHandlers(engine, server);
  return standins::Serve(server, FLAGS_port);
}
