// Guards against
// - responses that differ from what the engine sent, because events are parsed
//   or assembled wrongly,
// - reservations that are too small, because prompt text is not counted,
// - usage above the reservation, because an engine exceeds its token limit or
//   reports wrong counts.

#define BOOST_TEST_MODULE completion
#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

#include "wire/completion.h"
#include "wire/document_codec.h"
#include "wire/sse.h"
#include "wire/usage_meter.h"
#include "xxhash.h"

namespace foxtailquay {
namespace {

Json::Value Parse(const std::string& aText)
{
  const auto json = ParseJson(aText);
  BOOST_REQUIRE_MESSAGE(IsOk(json), aText);
  return GetValue(json);
}

// --- Server-sent events -----------------------------------------------------

std::vector<std::string> ParseInChunks(const std::string& aBytes,
                                       std::size_t aChunkSize)
{
  sse_parser parser;
  std::vector<std::string> events;
  for (std::size_t at = 0; at < aBytes.size(); at += aChunkSize) {
    const auto fed =
      Feed(parser, std::string_view(aBytes).substr(at, aChunkSize),
           [&events](std::string_view aPayload) {
             events.emplace_back(aPayload);
             return true;
           });
    RC_ASSERT(IsOk(fed) && GetValue(fed));
  }
  return events;
}

BOOST_AUTO_TEST_CASE(events_are_independent_of_chunk_boundaries)
{
  const std::string bytes = ": comment\r\ndata: one\r\n\r\n\n\ndata:two\n"
                            "data: lines\nid: 7\n\nevent: x\n\n"
                            "data\n\ndata: cut off";
  const std::vector<std::string> expected{ "one", "two\nlines", "" };
  BOOST_TEST(rc::check("any split gives the same events", [&] {
    const auto chunkSize = *rc::gen::inRange<std::size_t>(1, bytes.size() + 1);
    RC_ASSERT(ParseInChunks(bytes, chunkSize) == expected);
  }));
}

BOOST_AUTO_TEST_CASE(encoded_event_payloads_decode_to_the_same_text)
{
  BOOST_TEST(rc::check("payload(event(text)) == text", [] {
    const auto text = *rc::gen::container<std::string>(
      rc::gen::elementOf(std::string("ab: \n{}\"")));
    RC_ASSERT(DecodeSseEvent(EncodeSseEvent(text)) == text);
  }));
}

BOOST_AUTO_TEST_CASE(an_event_above_the_size_limit_is_rejected)
{
  sse_parser parser;
  const std::string bytes(kMaxSseEventBytes + 1, 'x');
  BOOST_TEST(!IsOk(Feed(parser, bytes, [](std::string_view) { return true; })));
}

// --- Requests ---------------------------------------------------------------

struct rejected_body
{
  completion_endpoint mEndpoint;
  const char* mBody;
  const char* mField;
};

BOOST_AUTO_TEST_CASE(errors_of_bad_requests_have_the_field)
{
  constexpr auto kChat = completion_endpoint::Chat;
  constexpr auto kText = completion_endpoint::Text;
  const rejected_body cases[] = {
    { kChat, "{", "body" },
    { kChat, "[]", "body" },
    { kChat, "{}", "model" },
    { kChat, R"({"model":""})", "model" },
    { kChat, R"({"model":"m"})", "messages" },
    { kChat, R"({"model":"m","messages":[]})", "messages" },
    { kChat, R"({"model":"m","messages":["x"]})", "messages[0]" },
    { kChat, R"({"model":"m","messages":[{"role":"user","content":5}]})",
      "messages[0].content" },
    { kChat,
      R"({"model":"m","messages":[{"role":"user","content":[{"type":"image_url"}]}]})",
      "messages[0].content[0]" },
    { kText, R"({"model":"m"})", "prompt" },
    { kText, R"({"model":"m","prompt":["a","b"]})", "prompt" },
    { kText, R"({"model":"m","prompt":"a","stream":"yes"})", "stream" },
    { kText, R"({"model":"m","prompt":"a","n":2})", "n" },
    { kText, R"({"model":"m","prompt":"a","max_tokens":0})", "max_tokens" },
    { kText, R"({"model":"m","prompt":"a","max_tokens":1.5})", "max_tokens" },
    { kText, R"({"model":"m","prompt":"a","max_completion_tokens":-1})",
      "max_completion_tokens" },
  };
  for (const rejected_body& rejected : cases) {
    const auto parsed = ParseCompletion(rejected.mEndpoint, rejected.mBody);
    BOOST_REQUIRE_MESSAGE(!IsOk(parsed), "accepted: " << rejected.mBody);
    BOOST_TEST((GetError(parsed).mCode == error_code::InvalidRequest));
    BOOST_TEST(GetError(parsed).mField == rejected.mField);
  }
}

// The reservation must cover all text that the engine counts as prompt tokens.
BOOST_AUTO_TEST_CASE(the_prompt_bound_covers_all_text)
{
  const auto text = ParseCompletion(completion_endpoint::Text,
                                    R"({"model":"m","prompt":"12345"})");
  BOOST_REQUIRE(IsOk(text));
  BOOST_TEST(GetValue(text).mPromptTokensBound == 5);
  const auto chat = ParseCompletion(
    completion_endpoint::Chat,
    R"({"model":"m","stream":true,"max_tokens":9,"max_completion_tokens":7,
        "messages":[{"role":"system","content":"ab"},
                    {"role":"user","content":[{"type":"text","text":"cd"}]}],
        "tools":[{"type":"function","function":{"name":"a_long_name"}}]})");
  BOOST_REQUIRE(IsOk(chat));
  BOOST_TEST(GetValue(chat).mPrompt == "ab\ncd\n");
  BOOST_TEST(GetValue(chat).mPromptTokensBound > 60);
  BOOST_TEST(GetValue(chat).mStream);
  BOOST_TEST(*GetValue(chat).mMaxTokens == 7);
}

BOOST_AUTO_TEST_CASE(prefix_hashes_are_of_doubling_lengths)
{
  BOOST_TEST(ComputePrefixHashes(std::string(255, 'a')).empty());
  const std::string prompt(100000, 'a');
  const auto hashes = ComputePrefixHashes(prompt);
  BOOST_REQUIRE(hashes.size() == 8u);
  BOOST_TEST(hashes[0] == XXH64(prompt.data(), 256, 0));
  BOOST_TEST(hashes[7] == XXH64(prompt.data(), 32768, 0));
}

BOOST_AUTO_TEST_CASE(engine_body_has_the_token_limit_and_requests_a_stream)
{
  run_request run;
  run.mMaxTokens = 12;
  run.mPriority = priority_class::Batch;
  run.mBody = R"({"model":"m","max_tokens":99999,"max_completion_tokens":5,
                  "stream":false,"temperature":0.5,
                  "stream_options":{"include_usage":false}})";
  const auto body = MakeEngineBody(run);
  BOOST_REQUIRE(IsOk(body));
  BOOST_TEST(GetValue(body) ==
             R"({"max_tokens":12,"model":"m","priority":2,"stream":true,)"
             R"("stream_options":{"include_usage":true},"temperature":0.5})");
  run.mBody = "[]";
  BOOST_TEST(!IsOk(MakeEngineBody(run)));
}

// --- Responses --------------------------------------------------------------

BOOST_AUTO_TEST_CASE(chat_events_are_assembled)
{
  completion_assembly assembly;
  for (
    const char* event :
    { R"({"id":"c1","model":"m","choices":[{"index":0,"delta":{"role":"assistant","content":"Hel"}}]})",
      R"({"id":"c1","choices":[{"delta":{"content":"lo"}}]})",
      R"({"choices":[{"delta":{"tool_calls":[{"index":0,"id":"t","type":"function","function":{"name":"f","arguments":"{\"a"}}]}}]})",
      R"({"choices":[{"delta":{"tool_calls":[{"index":0,"function":{"arguments":"\":1}"}}]}}]})",
      R"({"choices":[{"delta":{},"finish_reason":"stop"}]})",
      R"({"choices":[],"usage":{"prompt_tokens":1,"completion_tokens":2}})",
      R"({"choices":[{"delta":{"tool_calls":[{"index":999999}]}}]})" }) {
    AddEvent(assembly, Parse(event));
  }
  const Json::Value response = Parse(MakeResponseBody(assembly, { 3, 4 }));
  BOOST_TEST(response["object"].asString() == "chat.completion");
  BOOST_TEST(response["id"].asString() == "c1");
  BOOST_TEST(response["usage"]["total_tokens"].asInt() == 7);
  const Json::Value& choice = response["choices"][0];
  BOOST_TEST(choice["finish_reason"].asString() == "stop");
  BOOST_TEST(choice["message"]["content"].asString() == "Hello");
  const Json::Value& call = choice["message"]["tool_calls"][0];
  BOOST_TEST(call["id"].asString() == "t");
  BOOST_TEST(call["function"]["name"].asString() == "f");
  BOOST_TEST(call["function"]["arguments"].asString() == "{\"a\":1}");
}

BOOST_AUTO_TEST_CASE(text_events_are_assembled)
{
  completion_assembly assembly;
  assembly.mEndpoint = completion_endpoint::Text;
  AddEvent(assembly, Parse(R"({"id":"c","choices":[{"text":"a"}]})"));
  AddEvent(assembly,
           Parse(R"({"choices":[{"text":"b","finish_reason":"length"}]})"));
  const Json::Value response = Parse(MakeResponseBody(assembly, { 1, 2 }));
  BOOST_TEST(response["object"].asString() == "text_completion");
  BOOST_TEST(response["choices"][0]["text"].asString() == "ab");
}

// Engines are third-party programs: no event may crash the process.
BOOST_AUTO_TEST_CASE(malformed_events_cause_no_crash)
{
  for (
    const char* event :
    { "5", "null", "[]", "{}", R"({"choices":5})", R"({"choices":[5]})",
      R"({"choices":[{"delta":5,"text":{}}]})",
      R"({"choices":[{"delta":{"content":5,"tool_calls":{},"role":[]}}]})",
      R"({"choices":[{"delta":{"tool_calls":[5,{"index":"x","function":5}]}}]})",
      R"({"usage":{"prompt_tokens":"x","completion_tokens":-5}})" }) {
    completion_assembly assembly;
    usage_meter meter{ { 10, 10 }, 0, {} };
    AddEvent(assembly, Parse(event));
    (void)UpdateUsage(meter, Parse(event));
    (void)MakeResponseBody(assembly, ComputeUsage(meter));
    BOOST_TEST(ComputeUsage(meter).mCompletionTokens >= 0);
  }
}

// --- Usage ------------------------------------------------------------------

const char* const kToken = R"({"choices":[{"delta":{"content":"x"}}]})";

BOOST_AUTO_TEST_CASE(usage_is_the_engines_report)
{
  usage_meter meter{ { 100, 100 }, 0, {} };
  BOOST_TEST(UpdateUsage(meter, Parse(kToken)));
  BOOST_TEST(UpdateUsage(
    meter,
    Parse(
      R"({"choices":[],"usage":{"prompt_tokens":5,"completion_tokens":9}})")));
  BOOST_TEST(ComputeUsage(meter).mPromptTokens == 5);
  BOOST_TEST(ComputeUsage(meter).mCompletionTokens == 9);
}

BOOST_AUTO_TEST_CASE(without_a_report_each_content_event_is_a_token)
{
  usage_meter meter{ { 10, 100 }, 0, {} };
  BOOST_TEST(ComputeUsage(meter).mPromptTokens == 0);
  (void)UpdateUsage(meter, Parse(kToken));
  (void)UpdateUsage(meter, Parse(R"({"choices":[{"delta":{"role":"a"}}]})"));
  (void)UpdateUsage(meter, Parse(kToken));
  BOOST_TEST(ComputeUsage(meter).mPromptTokens == 3);
  BOOST_TEST(ComputeUsage(meter).mCompletionTokens == 2);
}

// The billed usage must be within the reservation, whatever the engine sends.
BOOST_AUTO_TEST_CASE(usage_never_exceeds_the_reservation)
{
  usage_meter meter{ { 4, 2 }, 0, {} };
  BOOST_TEST(UpdateUsage(meter, Parse(kToken)));
  BOOST_TEST(UpdateUsage(meter, Parse(kToken)));
  BOOST_TEST(!UpdateUsage(meter, Parse(kToken)));
  (void)UpdateUsage(
    meter, Parse(R"({"usage":{"prompt_tokens":900,"completion_tokens":900}})"));
  BOOST_TEST(ComputeUsage(meter).mPromptTokens == 4);
  BOOST_TEST(ComputeUsage(meter).mCompletionTokens == 2);
}

} // namespace
} // namespace foxtailquay
