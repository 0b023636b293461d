// Guards against errors of the platform's codecs: a field that is decoded
// wrongly, a malformed entry that is used, an error status that guarantees more
// than is known, and a store write whose outcome is guessed.

#define BOOST_TEST_MODULE adapter
#include <boost/test/unit_test.hpp>

#include "absl/strings/escaping.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/substitute.h"
#include "platform/config_codec.h"
#include "platform/node_file.h"
#include "platform/request_codec.h"
#include "platform/store_codec.h"
#include "wire/document_codec.h"
#include "wire/gateway_codec.h"

namespace foxtailquay::platform {
namespace {

Json::Value ParseJsonOrFail(const std::string& aText)
{
  auto parsed = ParseJson(aText);
  BOOST_REQUIRE_MESSAGE(IsOk(parsed), aText);
  return GetValue(parsed);
}

std::string ToBase64(const std::string& aText)
{
  return absl::Base64Escape(aText);
}

const std::string kNodeFileText =
  "node_name=front-1\nzone=z-a\nip=10.1.0.40\n"
  "listen.front=10.1.0.40:8227\nlisten.ready=10.1.0.40:8220\n"
  "internal_ports=7340,7355\nplatform.address=10.200.1.7:8223\n"
  "bounds.grace_s=8\nbounds.retry_budget_ratio=0.2\n"
  "bounds.budget_slack=56\nsome.new_field=x\n";

// --- Settings file ----------------------------------------------------------

BOOST_AUTO_TEST_CASE(settings_file_is_parsed)
{
  const auto read = ParseNodeFile(kNodeFileText);
  BOOST_REQUIRE(IsOk(read));
  const node_file& node = GetValue(read);
  BOOST_TEST(node.mName == "front-1");
  BOOST_TEST(node.mZone == "z-a");
  BOOST_TEST(node.mCallerAddress == "10.1.0.40:8227");
  BOOST_TEST(node.mReadyAddress == "10.1.0.40:8220");
  BOOST_TEST(node.mStoreAddress == "10.200.1.7:8223");
  BOOST_TEST(node.mFirstInternalPort == 7340);
  BOOST_TEST((node.mStopTime == absl::Seconds(8)));
  BOOST_TEST(node.mRepeatRatio == 0.2);
  BOOST_TEST(node.mRepeatSlack == 56);
}

// A gateway that started with incomplete settings would fail later.
BOOST_AUTO_TEST_CASE(errors_name_the_missing_or_malformed_setting)
{
  const std::pair<const char*, const char*> cases[] = {
    { "zone=z-a\n", "zone" },
    { "listen.front=10.1.0.40:8227\n", "listen.front" },
    { "platform.address=10.200.1.7:8223\n", "platform.address" },
    { "internal_ports=7340,7355\n", "internal_ports" },
  };
  for (const auto& [line, field] : cases) {
    std::string text = kNodeFileText;
    text.erase(text.find(line), std::string(line).size());
    const auto read = ParseNodeFile(text);
    BOOST_REQUIRE(!IsOk(read));
    BOOST_TEST(GetError(read).mField == field);
  }
  const auto negative = ParseNodeFile(kNodeFileText + "bounds.grace_s=-1\n");
  BOOST_TEST(!IsOk(negative));
}

// Engines must be kept below their memory wherever the settings list that they
// crash otherwise, without a further setting, and nowhere else.
BOOST_AUTO_TEST_CASE(engine_memory_is_limited_where_the_settings_say_so)
{
  const std::pair<const char*, bool> cases[] = {
    { "", false },
    { "contracts=pressure\n", true },
    { "contracts=cold, pressure ,evacuate\n", true },
    { "contracts=cold,pressures\n", false },
    { "contracts=\n", false },
    { "contracts=pressure\nlimits.engine_memory=false\n", false },
    { "contracts=pressure\nlimits.engine_memory=true\n", true },
    { "limits.engine_memory=true\n", false },
  };
  for (const auto& [text, isLimited] : cases) {
    const auto read = ParseNodeFile(kNodeFileText + text);
    BOOST_REQUIRE(IsOk(read));
    BOOST_TEST(GetValue(read).mIsEngineMemoryLimited == isLimited, text);
  }
}

// Guards against limits on cold servers and evacuations that are in force where
// the settings do not call for them, or only half of them are there.
BOOST_AUTO_TEST_CASE(bounds_on_cold_servers_and_evacuations_are_parsed)
{
  const auto read = ParseNodeFile(kNodeFileText);
  BOOST_REQUIRE(IsOk(read));
  BOOST_TEST(!GetValue(read).mColdOverage.has_value());
  BOOST_TEST((GetValue(read).mEvacuationTime == absl::ZeroDuration()));
  const auto half = ParseNodeFile(kNodeFileText + "bounds.cold_overage=1.5\n");
  BOOST_REQUIRE(IsOk(half));
  BOOST_TEST(!GetValue(half).mColdOverage.has_value());
  const auto whole = ParseNodeFile(kNodeFileText + "bounds.cold_overage=1.5\n"
                                                   "bounds.cold_slack=5\n"
                                                   "bounds.evacuate_ms=5000\n");
  BOOST_REQUIRE(IsOk(whole));
  BOOST_TEST(GetValue(whole).mColdOverage.value_or(0) == 1.5);
  BOOST_TEST(GetValue(whole).mColdSlack.value_or(0) == 5);
  BOOST_TEST((GetValue(whole).mEvacuationTime == absl::Seconds(5)));
  BOOST_TEST(!IsOk(ParseNodeFile(kNodeFileText + "bounds.evacuate_ms=x\n")));
}

// Guards against cold times in the wrong unit and malformed ones.
BOOST_AUTO_TEST_CASE(what_states_cold_servers_is_decoded)
{
  const auto config = DecodeConfig(ParseJsonOrFail(
    R"({"version":7,"services":[
      {"name":"s1","cold_start_s":3.0,"cold_per_s":14.0},{"name":"s2"},
      {"name":"s3","cold_start_s":-1,"cold_per_s":"x"}]})"));
  BOOST_REQUIRE(config.has_value());
  BOOST_TEST((config->mServices[0].mColdTime == absl::Seconds(3)));
  BOOST_TEST(config->mServices[0].mColdRate == 14);
  for (const std::size_t i : { 1, 2 }) {
    BOOST_TEST((config->mServices[i].mColdTime == absl::ZeroDuration()));
    BOOST_TEST(config->mServices[i].mColdRate == 0);
  }
  const std::string entry =
    R"({"service":"s","address":"a:1","zone":"z","slots":1,"state":"ready")";
  const auto decodeEntry = [&entry](const std::string& aRest) {
    return DecodeBackend(ParseJsonOrFail(entry + aRest))->mColdLeft;
  };
  BOOST_TEST(!decodeEntry("}").has_value());
  BOOST_TEST(
    (decodeEntry(R"(,"cold_left_ms":2900})") == absl::Milliseconds(2900)));
  BOOST_TEST((decodeEntry(R"(,"cold_left_ms":0})") == absl::ZeroDuration()));
  const auto decodeHeader = [](const char* aValue) {
    message_head head;
    head.mStatus = 200;
    head.mFields = { { "foxtailquay-cold-ms", aValue } };
    return DecodeResponse(head).mStatement;
  };
  BOOST_TEST((decodeHeader("1200").mColdLeft == absl::Milliseconds(1200)));
  BOOST_TEST((decodeHeader("0").mColdLeft == absl::ZeroDuration()));
  for (const char* malformed : { "", "-1", "soon" }) {
    BOOST_TEST(!decodeHeader(malformed).mColdLeft.has_value(), malformed);
    BOOST_TEST(decodeHeader(malformed).mIsMalformed, malformed);
  }
}

// --- Configuration ----------------------------------------------------------

BOOST_AUTO_TEST_CASE(configuration_is_decoded)
{
  const auto config = DecodeConfig(ParseJsonOrFail(
    R"({"version":7,"routes":[
      {"name":"r1","host":"h.example","prefix":"/a/","kind":"stream",
       "timeout_ms":12000,"target_latency_ms":800,"priority":1,
       "traffic_split":[{"service":"s1","weight":90},
                        {"service":"s2","weight":0}],
       "max_attempts":2,"public":true,"sticky":true,"resumable":true},
      {"name":"r2","host":"h.example","prefix":"/b/","kind":"non_idempotent",
       "service":"s2"},
      {"name":"r3","host":"h.example","prefix":"/c/","kind":"unheard_of",
       "service":"s2"}],
     "services":[{"name":"s1","max_conns":370,
       "engine":{"slots":64,"stride":7,"kv_capacity_tokens":350000}},{"name":"s2"},{"max_conns":1}],
     "limits":{"max_header_bytes":1000,"idle_timeout_ms":15000},
     "tenants":[{"name":"w1","api_keys":["k1","k2"],"priority":1,
                 "prepaid":5672408},{"name":"w2","api_keys":[]}]})"));
  BOOST_REQUIRE(config);
  BOOST_TEST(config->mVersion == 7U);
  BOOST_REQUIRE(config->mRoutes.size() == 2);
  const traffic_route& route = config->mRoutes[0];
  BOOST_TEST((route.mKind == call_kind::Stream));
  BOOST_TEST(route.mResumable);
  BOOST_TEST(route.mPublic);
  BOOST_TEST((route.mTimeout == absl::Seconds(12)));
  BOOST_TEST((route.mObjective == absl::Milliseconds(800)));
  BOOST_TEST(route.mMaxAttempts == 2);
  // A service with weight zero gets no requests and is omitted.
  BOOST_TEST(route.mServices.size() == 1U);
  BOOST_TEST(config->mRoutes[1].mServices[0].mService.mValue == "s2");
  BOOST_REQUIRE(config->mServices.size() == 2);
  BOOST_TEST(config->mServices[0].mIsEngine);
  BOOST_TEST(config->mServices[0].mTokensPerEvent == 7);
  BOOST_TEST(config->mServices[0].mMemoryTokens == 350000);
  BOOST_TEST(!config->mServices[1].mIsEngine);
  BOOST_TEST(config->mServices[1].mMemoryTokens == 0);
  BOOST_REQUIRE(config->mWorkspaces.size() == 2);
  BOOST_TEST(*config->mWorkspaces[0].mPrepaid == 5672408);
  BOOST_TEST(!config->mWorkspaces[1].mPrepaid);
  BOOST_TEST(config->mLimits.mMaxHeaderBytes == 1000U);
}

BOOST_AUTO_TEST_CASE(invalid_configuration_is_absent)
{
  for (const char* text : { "[]", "{}", R"({"version":"7"})", "7" }) {
    BOOST_TEST(!DecodeConfig(ParseJsonOrFail(text)), text);
  }
}

// --- Entries of backend servers ---------------------------------------------

BOOST_AUTO_TEST_CASE(backend_entry_is_decoded)
{
  const auto entry = DecodeBackend(ParseJsonOrFail(
    R"({"service":"s1","address":"10.0.0.9:80","zone":"z-a","slots":64,
             "state":"draining","born":1786548750000,"sequence":7,
             "more":[]})"));
  BOOST_REQUIRE(entry);
  BOOST_TEST(entry->mService.mValue == "s1");
  BOOST_TEST(entry->mSlots == 64);
  BOOST_TEST(entry->mLeaving);
  BOOST_TEST(entry->mStartedMs == 1786548750000);
  BOOST_TEST(entry->mSequence == 7);
}

// A malformed entry, for example by another writer, must not make a backend
// server usable.
BOOST_AUTO_TEST_CASE(malformed_backend_entry_is_absent)
{
  const char* cases[] = {
    R"("text")",
    R"({"address":"a:1","zone":"z","slots":1,"state":"ready"})",
    R"({"service":"s","zone":"z","slots":1,"state":"ready"})",
    R"({"service":"s","address":"a:1","slots":1,"state":"ready"})",
    R"({"service":"s","address":"a:1","zone":"z","state":"ready"})",
    R"({"service":"s","address":"a:1","zone":"z","slots":"1","state":"ready"})",
    R"({"service":"s","address":"a:1","zone":"z","slots":1,"state":"odd"})",
    R"({"service":["s"],"address":"a:1","zone":"z","slots":1,"state":"ready"})",
    R"({"service":"s","address":"a","zone":"z","slots":1,"state":"ready"})",
    R"({"service":"s","address":"a:70000","zone":"z","slots":1,"state":"ready"})",
    R"({"service":"s","address":"a:0","zone":"z","slots":1,"state":"ready"})",
    R"({"service":"s","address":"a:1","zone":"z","slots":1e30,"state":"ready"})",
    R"({"service":"s","address":"a:1","zone":"z","slots":-1,"state":"ready"})",
    R"({"service":"s","address":"a:1","zone":"z","slots":1,"state":"ready",
        "born":"1"})",
    R"({"service":"s","address":"a:1","zone":"z","slots":1,"state":"ready",
        "sequence":1.5})",
  };
  for (const char* text : cases) {
    BOOST_TEST(!DecodeBackend(ParseJsonOrFail(text)), text);
  }
}

// Seen by other operators: processes that read a list with one odd entry ended
// again and again, or followed the list no more.
BOOST_AUTO_TEST_CASE(an_odd_entry_hides_no_other_entry)
{
  const std::string sound =
    R"({"service":"s","address":"a:1","zone":"z","slots":1,"state":"ready"})";
  const std::string odd[] = {
    std::string(100000, '['),
    R"({"service":"s","address":"a:1","zone":"z","slots":1,"born":1e999})",
    R"({"service":"s","address":"a:99999","zone":"z","slots":1})",
    "\xff\xfe",
    "",
  };
  for (const std::string& value : odd) {
    const std::string body = absl::StrCat(
      R"({"store_revision":9,"items":[{"key":"servers/i1","revision":7,"value":")",
      absl::Base64Escape(value),
      R"("},{"key":"servers/i2","revision":8,"value":")",
      absl::Base64Escape(sound), R"("}]})");
    const auto page = DecodeDirectoryPage(
      { directory_area::Backends, std::nullopt, {} }, { 200, body, false });
    BOOST_TEST((page.mResponse.mStatus == directory_status::Ok));
    BOOST_REQUIRE(page.mResponse.mBackends.size() == 2U);
    BOOST_TEST(!page.mResponse.mBackends[0].mEntry);
    BOOST_TEST(page.mResponse.mBackends[1].mEntry.has_value());
  }
}

// --- Requests and responses -------------------------------------------------

message_head MakeRequestHead(std::vector<header_field> aFields)
{
  message_head head;
  head.mMethod = "POST";
  head.mTarget = "/a/b?c=d";
  head.mFields = std::move(aFields);
  return head;
}

BOOST_AUTO_TEST_CASE(request_is_decoded)
{
  const auto read = DecodeRequest(MakeRequestHead(
    { { "Host", "h.example" },
      { "foxtailquay-attempt-id", "9c41" },
      { "Authorization", "bearer key" },
      { "Foxtailquay-Deadline-Ms", "12000" },
      { "Foxtailquay-Token-Count", "1460,80" },
      { "Foxtailquay-Prompt-Prefix", "5c1e07a2:800, 91bd3f06:410" } }));
  BOOST_REQUIRE(IsOk(read));
  const caller_request& request = GetValue(read);
  BOOST_TEST(request.mAttemptId == "9c41");
  BOOST_TEST(request.mPath == "/a/b");
  BOOST_TEST(request.mKey == "key");
  BOOST_TEST((request.mCallerTimeout == absl::Seconds(12)));
  BOOST_TEST(request.mPromptTokens == 1460);
  BOOST_TEST(request.mMaxOutputTokens == 80);
  BOOST_REQUIRE(request.mPromptParts.size() == 2);
  BOOST_TEST(request.mPromptParts[0].mHash == 0x5c1e07a2U);
  BOOST_TEST(request.mPromptParts[1].mTokens == 410);
}

// The largest number, half of it, one past 64 bits and a longer one.
const char* const kHugeNumbers[] = { "9223372036854775807",
                                     "4611686018427387904",
                                     "18446744073709551616",
                                     "99999999999999999999999999999999" };

// Guards against counts whose sum overflows, and against refusing a request as
// malformed because it states no limit of its own.
BOOST_AUTO_TEST_CASE(huge_counts_of_a_request_are_limited)
{
  for (const char* number : kHugeNumbers) {
    const auto read = DecodeRequest(MakeRequestHead(
      { { "Foxtailquay-Attempt-Id", "1" },
        { "Foxtailquay-Deadline-Ms", number },
        { "Foxtailquay-Token-Count", absl::StrCat(number, ",", number) },
        { "Foxtailquay-Prompt-Prefix",
          absl::StrCat("1:", number, ",2:", number) } }));
    BOOST_REQUIRE(IsOk(read));
    const caller_request& request = GetValue(read);
    BOOST_TEST(request.mPromptTokens == kMaxTokenCount);
    BOOST_TEST(request.mMaxOutputTokens == kMaxTokenCount);
    BOOST_TEST(request.mPromptParts.back().mTokens == kMaxTokenCount);
    BOOST_TEST((*request.mCallerTimeout > absl::Hours(1)));
  }
}

// Guards against a load whose sum overflows.
BOOST_AUTO_TEST_CASE(huge_numbers_of_a_server_are_limited)
{
  for (const char* number : kHugeNumbers) {
    message_head head;
    head.mStatus = 200;
    head.mFields = { { "Foxtailquay-Server-Load",
                       absl::StrCat(number, ",", number) },
                     { "Keep-Alive", absl::StrCat("timeout=", number) } };
    const response_info info = DecodeResponse(head);
    BOOST_REQUIRE(info.mLoad);
    BOOST_TEST(info.mLoad->mRunning > 0);
    BOOST_TEST(info.mLoad->mRunning + info.mLoad->mQueued > 0);
    BOOST_TEST((*info.mKeepAliveTimeout > absl::Hours(1)));
  }
  message_head negative;
  negative.mFields = { { "Foxtailquay-Server-Load", "-5,3,8" } };
  BOOST_TEST(!DecodeResponse(negative).mLoad);
}

// A hint only changes estimates: a malformed one must not refuse the request.
BOOST_AUTO_TEST_CASE(decodes_the_expected_length)
{
  const std::pair<const char*, std::optional<token_count>> cases[] = {
    { "120", 120 },
    { " 7 ", 7 },
    { "0", 0 },
    { "99999999999999999999", kMaxTokenCount },
    { "-5", std::nullopt },
    { "many", std::nullopt },
    { "", std::nullopt },
    { "12,5", std::nullopt },
  };
  for (const auto& [text, length] : cases) {
    message_head head;
    head.mFields = { { "Foxtailquay-Attempt-Id", "a1" },
                     { "Foxtailquay-Length-Hint", text } };
    const auto read = DecodeRequest(head);
    BOOST_REQUIRE_MESSAGE(IsOk(read), text);
    BOOST_TEST((GetValue(read).mLengthHint == length), text);
  }
}

// Guards against a server that is slow for a moment and is used as if it were
// not, and against a load that is dropped because of a malformed figure.
BOOST_AUTO_TEST_CASE(decodes_how_long_work_takes_on_a_server)
{
  const std::pair<const char*, double> cases[] = {
    { "3,1,8,250", 2.5 },   { "3,1,8, 40 ", 0.4 }, { "3,1,8,100", 1 },
    { "3,1,8", 1 },         { "3,1,8,", 1 },       { "3,1,8,0", 1 },
    { "3,1,8,-250", 1 },    { "3,1,8,2.5", 1 },    { "3,1,8,slow", 1 },
    { "3,1,8,250,7", 2.5 },
  };
  for (const auto& [text, factor] : cases) {
    message_head head;
    head.mFields = { { "Foxtailquay-Server-Load", text } };
    const response_info info = DecodeResponse(head);
    BOOST_REQUIRE_MESSAGE(info.mLoad, text);
    BOOST_TEST(info.mLoad->mRunning == 3);
    BOOST_TEST(info.mLoad->mQueued == 1);
    BOOST_TEST(info.mLoad->mSlowness == factor, text);
  }
}

// Guards against totals that are too large to compute with and are taken for
// none, and against limits that overflow their type.
BOOST_AUTO_TEST_CASE(huge_numbers_of_a_configuration_are_limited)
{
  for (const char* number : kHugeNumbers) {
    const auto config = DecodeConfig(ParseJsonOrFail(absl::Substitute(
      R"({"version":7,"routes":[
        {"name":"r1","host":"h.example","prefix":"/a/","kind":"stream",
         "service":"s1","priority":$0,"max_attempts":$0}],
       "services":[{"name":"s1","max_conns":$0,
                    "engine":{"slots":$0,"stride":$0}}],
       "limits":{"max_header_bytes":-1},
       "tenants":[{"name":"w1","prepaid":$0}]})",
      number)));
    BOOST_REQUIRE(config);
    BOOST_TEST(config->mRoutes[0].mPriority > 0);
    BOOST_TEST(config->mRoutes[0].mMaxAttempts > 1);
    BOOST_TEST(config->mServices[0].mMaxConnections > 1);
    BOOST_TEST(config->mServices[0].mSlots > 1);
    BOOST_TEST(config->mServices[0].mTokensPerEvent == kMaxTokenCount);
    BOOST_TEST(*config->mWorkspaces[0].mPrepaid == kMaxTokenCount);
    BOOST_TEST(config->mLimits.mMaxHeaderBytes == 0U);
  }
}

BOOST_AUTO_TEST_CASE(errors_name_the_malformed_header)
{
  const header_field cases[] = {
    { "Foxtailquay-Deadline-Ms", "soon" },
    { "Foxtailquay-Deadline-Ms", "-5" },
    { "Foxtailquay-Token-Count", "10" },
    { "Foxtailquay-Token-Count", "10,-1" },
    { "Foxtailquay-Prompt-Prefix", "xyz:3" },
    { "Foxtailquay-Prompt-Prefix", "1:2:3" },
  };
  for (const header_field& field : cases) {
    const auto read = DecodeRequest(
      MakeRequestHead({ { "Foxtailquay-Attempt-Id", "1" }, field }));
    BOOST_REQUIRE(!IsOk(read));
    BOOST_TEST(GetError(read).mField == field.mName);
  }
  BOOST_TEST(!IsOk(DecodeRequest(MakeRequestHead({}))));
}

struct status_case
{
  error_code mCode;
  executed mExecuted;
  const char* mStatus;
};

// Statuses 429 and 503 guarantee that the request was not executed. Only they
// have a Retry-After header.
BOOST_AUTO_TEST_CASE(only_an_unexecuted_request_gets_a_guaranteeing_status)
{
  const status_case cases[] = {
    { error_code::NotFound, executed::No, "404" },
    { error_code::Unauthorized, executed::No, "401" },
    { error_code::BudgetExhausted, executed::No, "402" },
    { error_code::RateLimited, executed::No, "429" },
    { error_code::Overloaded, executed::No, "503" },
    { error_code::DeadlineExceeded, executed::No, "503" },
    { error_code::DeadlineExceeded, executed::Unknown, "504" },
    { error_code::OutcomeUnknown, executed::Unknown, "502" },
    { error_code::Overloaded, executed::Unknown, "502" },
    { error_code::RateLimited, executed::Yes, "502" },
    { error_code::StreamBroken, executed::Yes, "502" },
  };
  for (const status_case& each : cases) {
    const error failure{ each.mCode, each.mExecuted, "", "",
                         absl::Milliseconds(700) };
    const std::string text = EncodeError(failure, "a1", false);
    BOOST_TEST(text.substr(9, 3) == each.mStatus);
    const bool hasRetryAfter =
      text.find("Retry-After: 0.7\r\n") != std::string::npos;
    const bool isGuarantee =
      text.substr(9, 3) == "429" || text.substr(9, 3) == "503";
    BOOST_TEST(hasRetryAfter == isGuarantee);
  }
}

// A statement that cannot be read must not be taken for a limit, nor for the
// end of one.
BOOST_AUTO_TEST_CASE(stated_rate_limits_are_decoded)
{
  const auto decode = [](const char* aValue) {
    message_head head;
    head.mStatus = 200;
    head.mFields = { { "server-limit", aValue } };
    return DecodeResponse(head).mStatement;
  };
  BOOST_TEST(decode("3.75").mRateLimit.value_or(-1) == 3.75);
  BOOST_TEST(decode("12").mRateLimit.value_or(-1) == 12);
  BOOST_TEST(decode("0").mRateLimit.value_or(-1) == 0);
  BOOST_TEST(!decode("12").mIsMalformed);
  for (const char* malformed :
       { "", "fast", "-1", "nan", "inf", "1e999", "3 a second", "1,5" }) {
    BOOST_TEST(!decode(malformed).mRateLimit.has_value(), malformed);
    BOOST_TEST(decode(malformed).mIsMalformed, malformed);
  }
  BOOST_TEST(!DecodeResponse(message_head{}).mStatement.mRateLimit.has_value());
  BOOST_TEST(!DecodeResponse(message_head{}).mStatement.mIsMalformed);
}

// A malformed back-off must be ignored without what else the response states.
BOOST_AUTO_TEST_CASE(leaving_and_backoff_are_decoded)
{
  const auto decode = [](int aStatus, const char* aName, const char* aValue) {
    message_head head;
    head.mStatus = aStatus;
    head.mFields = { { aName, aValue }, { "Server-Limit", "2" } };
    return DecodeResponse(head).mStatement;
  };
  BOOST_TEST(decode(200, "server-leaving", "1").mIsLeaving);
  BOOST_TEST(decode(421, "Server-Leaving", "1").mIsLeaving);
  BOOST_TEST(!decode(200, "Server-Leaving", "0").mIsLeaving);
  BOOST_TEST(
    (decode(503, "Retry-After", "0.7").mBackoff == absl::Milliseconds(700)));
  BOOST_TEST((decode(503, "Retry-After", "3").mBackoff == absl::Seconds(3)));
  BOOST_TEST(!decode(429, "Retry-After", "3").mBackoff.has_value());
  for (const char* malformed :
       { "", "-1", "nan", "inf", "soon", "Sat, 05 Dec 2026 00:00:00 GMT" }) {
    const server_statement statement = decode(503, "Retry-After", malformed);
    BOOST_TEST(!statement.mBackoff.has_value(), malformed);
    BOOST_TEST(statement.mIsMalformed, malformed);
    BOOST_TEST(statement.mRateLimit.value_or(0) == 2);
  }
}

// --- Store ------------------------------------------------------------------

BOOST_AUTO_TEST_CASE(directory_queries_are_encoded)
{
  const auto call = EncodeDirectoryQuery(
    { directory_area::Backends, 412, absl::Seconds(2) }, "");
  BOOST_TEST(call.mTarget ==
             "/-/kv-watch?prefix=servers/&after=412&wait_ms=2000");
  BOOST_TEST((call.mMaxHoldTime == absl::Seconds(2)));
  const auto page = EncodeDirectoryQuery(
    { directory_area::Backends, std::nullopt, {} }, "servers/i 1");
  BOOST_TEST(page.mTarget == "/-/kv-range?prefix=servers/&after=servers/i%201");
}

BOOST_AUTO_TEST_CASE(changes_and_removals_are_decoded)
{
  const directory_query query{ directory_area::Backends, 5, {} };
  const std::string entry =
    R"({"service":"s","address":"a:1","zone":"z","slots":1,"state":"ready"})";
  const auto page = DecodeDirectoryPage(
    query, { 200,
             R"({"events":[{"key":"servers/i1","revision":6,"value":")" +
               ToBase64(entry) +
               R"("},{"key":"servers/i2","revision":7,"tombstone":true},
                {"key":"servers/i3","revision":8,"value":"%%%"},
                {"key":"other/x","revision":8,"value":""}],
                "store_revision":9})",
             false });
  const directory_response& response = page.mResponse;
  BOOST_TEST((response.mStatus == directory_status::Ok));
  BOOST_TEST(!response.mComplete);
  BOOST_TEST(response.mRevision == 9U);
  BOOST_REQUIRE(response.mBackends.size() == 3);
  BOOST_TEST(response.mBackends[0].mEntry.has_value());
  BOOST_TEST(response.mBackends[0].mRevision == 6U);
  BOOST_TEST(!response.mBackends[1].mEntry);
  BOOST_TEST(!response.mBackends[2].mEntry);
}

// Guards against evacuations that cost a call of their own, that are read where
// they are not followed, or that depend on the value of the key.
BOOST_AUTO_TEST_CASE(evacuations_are_read_together_with_the_configuration)
{
  directory_query query{ directory_area::Configuration, 5, {} };
  BOOST_TEST(EncodeDirectoryQuery(query, "").mTarget.find(
               "prefix=op/config&") != std::string::npos);
  const store_call_response changes{
    200,
    R"({"events":[{"key":"op/config","revision":6,"value":")" +
      ToBase64(R"({"version":3})") +
      R"("},{"key":"op/evacuate/z-a","revision":7,"value":"%%%"},
            {"key":"op/evacuate/z-b","revision":8,"tombstone":true},
            {"key":"op/evacuate/","revision":9,"value":""},
            {"key":"op/other","revision":9,"value":""}],
            "store_revision":9})",
    false
  };
  BOOST_TEST(
    DecodeDirectoryPage(query, changes).mResponse.mEvacuations.empty());
  query.mWithEvacuations = true;
  BOOST_TEST(EncodeDirectoryQuery(query, "").mTarget.find("prefix=op/&") !=
             std::string::npos);
  const auto response = DecodeDirectoryPage(query, changes).mResponse;
  BOOST_REQUIRE(response.mConfigs.size() == 1U);
  BOOST_TEST(response.mConfigs[0].mEntry.has_value());
  BOOST_REQUIRE(response.mEvacuations.size() == 2U);
  BOOST_TEST(response.mEvacuations[0].mName == "z-a");
  BOOST_TEST(response.mEvacuations[0].mEntry.has_value());
  BOOST_TEST(response.mEvacuations[1].mName == "z-b");
  BOOST_TEST(!response.mEvacuations[1].mEntry.has_value());
}

// If one page were taken for the whole area, the servers of the other pages
// would be removed.
BOOST_AUTO_TEST_CASE(page_states_where_the_next_page_begins)
{
  const directory_query query{ directory_area::Backends, std::nullopt, {} };
  const auto first = DecodeDirectoryPage(
    query, { 200,
             R"({"items":[{"key":"servers/i1","revision":6,"value":""}],
          "more_pages":true,"store_revision":9})",
             false });
  BOOST_TEST(first.mResponse.mComplete);
  BOOST_TEST(first.mNextPageAfter == "servers/i1");
}

BOOST_AUTO_TEST_CASE(failed_queries_have_distinct_statuses)
{
  const directory_query query{ directory_area::Peers, 5, {} };
  const std::pair<store_call_response, directory_status> cases[] = {
    { { 410, "", false }, directory_status::HistoryLost },
    { { 0, "", true }, directory_status::Unavailable },
    { { 503, "", false }, directory_status::Unavailable },
    { { 429, "", false }, directory_status::Unavailable },
    { { 200, "{}", false }, directory_status::Unavailable },
    { { 200, "garbage", false }, directory_status::Unavailable },
  };
  for (const auto& [response, status] : cases) {
    BOOST_TEST(
      (DecodeDirectoryPage(query, response).mResponse.mStatus == status));
  }
}

// One watch reports peers and crash reports; neither may be taken for the
// other.
BOOST_AUTO_TEST_CASE(crash_reports_round_trip_beside_peers)
{
  const suspect_id part{ suspect_kind::PromptPart, 0xdead };
  const suspect_id request{ suspect_kind::Request, 0xdead };
  crash_report_write write;
  write.mReports = {
    { part,
      "front-a-1",
      { { "i-1/5", crash_evidence::NoResponse },
        { "i-2/6", crash_evidence::ResponseBegun } } },
    { request, "front-a-1", { { "i-3/7", crash_evidence::OutputSent } } },
    { part, "front-a-2", {} }
  };
  const auto body = ParseJsonOrFail(EncodeCrashReportWrite(write).mBody);
  BOOST_REQUIRE(body["puts"].size() == 2U);
  std::string events;
  for (const Json::Value& put : body["puts"]) {
    events += R"({"key":")" + put["key"].asString() +
              R"(","revision":6,"value":")" + put["value"].asString() +
              R"("},)";
  }
  const std::string removedKey = body["remove"][0].asString();
  const auto page = DecodeDirectoryPage(
    { directory_area::Peers, 5, {} },
    { 200,
      R"({"events":[)" + events + R"({"key":")" + removedKey +
        R"(","revision":7,"tombstone":true},
         {"key":"foxtailquay/peers/crashes/none","revision":7,"value":""},
         {"key":"foxtailquay/peers/p","revision":8,"value":")" +
        ToBase64(R"({"address":"a:1"})") + R"("}],"store_revision":9})",
      false });
  const directory_response& response = page.mResponse;
  BOOST_REQUIRE(response.mCrashReports.size() == 3U);
  for (std::size_t i = 0; i < 3; ++i) {
    BOOST_TEST(
      (response.mCrashReports[i].mSuspect == write.mReports[i].mSuspect));
    BOOST_TEST(response.mCrashReports[i].mGateway ==
               write.mReports[i].mGateway);
    BOOST_TEST(
      (response.mCrashReports[i].mCrashes == write.mReports[i].mCrashes));
  }
  BOOST_REQUIRE(response.mPeers.size() == 1U);
  BOOST_TEST(response.mPeers[0].mName == "p");
}

grant_write MakeGrantWrite()
{
  grant_write write;
  grant_plan plan;
  plan.mExpected = 12;
  plan.mRecord.mClosed = 5;
  plan.mRecord.mEntries["g/1"] = { 1000, 300, { "boot", 77 } };
  write.mEntries.push_back({ workspace_id{ "w1" }, plan });
  return write;
}

BOOST_AUTO_TEST_CASE(grant_record_round_trips)
{
  const auto body = ParseJsonOrFail(EncodeGrantWrite(MakeGrantWrite()).mBody);
  BOOST_TEST(body["expected_revision"][0]["revision"].asInt() == 12);
  const std::string key = body["puts"][0]["key"].asString();
  const std::string value = body["puts"][0]["value"].asString();
  const auto conflict =
    DecodeGrantWrite({ 412,
                       R"({"items":[{"key":")" + key +
                         R"(","revision":13,"value":")" + value + R"("}]})",
                       false });
  BOOST_TEST((conflict.mOutcome == grant_outcome::Conflict));
  BOOST_REQUIRE(conflict.mStates.size() == 1);
  const grant_state& state = conflict.mStates[0];
  BOOST_TEST(state.mWorkspace.mValue == "w1");
  BOOST_TEST(state.mVersion == 13U);
  BOOST_TEST(state.mRecord.mClosed == 5);
  const grant_entry& entry = state.mRecord.mEntries.at("g/1");
  BOOST_TEST(entry.mGranted == 1000);
  BOOST_TEST(entry.mLimit == 300);
  BOOST_TEST(entry.mLimitSetAt.mBoot == "boot");
  BOOST_TEST(entry.mLimitSetAt.mSteadyMs == 77);
}

// A write that may have taken effect must not be reported as not written, or
// its tokens could be spent twice.
BOOST_AUTO_TEST_CASE(uncertain_write_has_unknown_outcome)
{
  const std::pair<store_call_response, grant_outcome> cases[] = {
    { { 200, R"({"revision":14})", false }, grant_outcome::Written },
    { { 503, "", false }, grant_outcome::NotWritten },
    { { 429, "", false }, grant_outcome::NotWritten },
    { { 0, "", true }, grant_outcome::NotWritten },
    { { 0, "", false }, grant_outcome::Unknown },
    { { 200, "", false }, grant_outcome::Unknown },
    { { 500, "", false }, grant_outcome::Unknown },
  };
  for (const auto& [response, outcome] : cases) {
    BOOST_TEST(ToName(DecodeGrantWrite(response).mOutcome) == ToName(outcome));
  }
}

// Returns a response with the value as the store's era.
store_call_response MakeEraResponse(const std::string& aEra)
{
  store_call_response response{ 200, "{}", false, {} };
  response.mHead.mFields = { { "store-era", aEra } };
  return response;
}

BOOST_AUTO_TEST_CASE(the_era_of_the_store_is_read_from_any_response)
{
  BOOST_TEST(*DecodeEra(MakeEraResponse("7")) == 7U);
  BOOST_TEST(*DecodeEra(MakeEraResponse("18446744073709551615")) ==
             ~std::uint64_t{ 0 });
  for (const char* malformed :
       { "", "x", "-1", "1.5", "18446744073709551616" }) {
    BOOST_TEST(!DecodeEra(MakeEraResponse(malformed)), malformed);
  }
  BOOST_TEST(!DecodeEra({ 200, "{}", false }));
}

// A write that takes effect late, in a later era in which its expected revision
// was given out again, would replace a record that it does not know.
BOOST_AUTO_TEST_CASE(a_grant_write_requires_that_no_later_era_is_marked)
{
  grant_write write;
  write.mEntries = { { workspace_id{ "w" }, { 12, {} } } };
  write.mEra = 5;
  write.mMarksEra = true;
  const std::string body = EncodeGrantWrite(write).mBody;
  BOOST_TEST((body.find(R"({"key":"foxtailquay/eras/6","revision":0})") !=
              std::string::npos));
  BOOST_TEST((body.find(R"("key":"foxtailquay/eras/5")") != std::string::npos));
  BOOST_TEST((body.find(R"("key":"foxtailquay/eras/2")") != std::string::npos));
}

BOOST_AUTO_TEST_CASE(grant_records_are_read_page_by_page)
{
  const std::string body =
    R"({"store_revision":9,"more_pages":true,"items":[)"
    R"({"key":"foxtailquay/grants/w","revision":8,"value":"eyJjbG9zZWQiOjUsImVyYSI6Mywic2VxdWVuY2UiOjR9"}]})";
  const auto page = DecodeGrantsPage({ 200, body, false });
  BOOST_TEST(page.mResponse.mIsRead);
  BOOST_REQUIRE(page.mResponse.mStates.size() == 1U);
  BOOST_TEST(page.mResponse.mStates[0].mWorkspace.mValue == "w");
  BOOST_TEST(page.mResponse.mStates[0].mVersion == 8U);
  BOOST_TEST(page.mResponse.mStates[0].mRecord.mClosed == 5);
  BOOST_TEST(page.mResponse.mStates[0].mRecord.mEra == 3U);
  BOOST_TEST(page.mResponse.mStates[0].mRecord.mSequence == 4U);
  BOOST_TEST(page.mNextPageAfter == "foxtailquay/grants/w");
  BOOST_TEST(!DecodeGrantsPage({ 503, "", false }).mResponse.mIsRead);
}

BOOST_AUTO_TEST_CASE(ended_lease_differs_from_unavailable_store)
{
  BOOST_TEST((DecodeLeaseStatus({ 404, "", false }) == lease_status::Ended));
  BOOST_TEST((DecodeLeaseStatus({ 200, "{}", false }) == lease_status::Held));
  BOOST_TEST(
    (DecodeLeaseStatus({ 0, "", false }) == lease_status::Unavailable));
  BOOST_TEST(*DecodeLeaseId({ 200, R"({"lease":77,"ttl_ms":3000})", false }) ==
             77U);
}

// --- Between gateways -------------------------------------------------------

BOOST_AUTO_TEST_CASE(token_calls_round_trip)
{
  const auto requested = DecodeGatewayCall(
    EncodeRequestTokens({ "p", "a", workspace_id{ "w" }, 42 }));
  BOOST_REQUIRE(IsOk(requested));
  BOOST_TEST(std::get<tokens_requested>(GetValue(requested)).mAmount == 42);
  request_tokens refill{ "p", "a", workspace_id{ "w" }, 42 };
  refill.mNeeded = 5;
  refill.mFrom = "g";
  refill.mHeld = 6;
  const auto stated = DecodeGatewayCall(EncodeRequestTokens(refill));
  BOOST_REQUIRE(IsOk(stated));
  const auto& request = std::get<tokens_requested>(GetValue(stated));
  BOOST_TEST(request.mNeeded.value() == 5);
  BOOST_TEST(request.mPeer == "g");
  BOOST_TEST(request.mHeld == 6);
  // As a gateway of an earlier version sends it.
  const auto earlier =
    DecodeGatewayCall(R"({"id":1,"jsonrpc":"2.0","method":"ask_tokens",)"
                      R"("params":{"workspace":"w","amount":7,"urgency":0}})");
  BOOST_REQUIRE(IsOk(earlier));
  BOOST_TEST(
    !std::get<tokens_requested>(GetValue(earlier)).mNeeded.has_value());
  const auto recalled = DecodeGatewayCall(
    EncodeRecallTokens({ "p", "a", workspace_id{ "w" }, true }));
  BOOST_REQUIRE(IsOk(recalled));
  BOOST_TEST(std::get<tokens_recalled>(GetValue(recalled)).mIsUsedUp);
  const auto returned = DecodeGatewayCall(
    EncodeReturnTokens({ "q", "a", workspace_id{ "w" }, 43, "p" }));
  BOOST_REQUIRE(IsOk(returned));
  BOOST_TEST(std::get<tokens_returned>(GetValue(returned)).mAmount == 43);
  const auto response = DecodeTokenResponse(EncodeTokenResponse({ 44, true }));
  BOOST_REQUIRE(IsOk(response));
  BOOST_TEST(GetValue(response).mAmount == 44);
  BOOST_TEST(GetValue(response).mExhausted);
  BOOST_TEST(!GetValue(response).mLeft);
  const auto refused =
    DecodeTokenResponse(EncodeTokenResponse({ 0, true, false, 45 }));
  BOOST_REQUIRE(IsOk(refused));
  BOOST_TEST(*GetValue(refused).mLeft == 45);
}

// Prefixes are 64-bit hashes, which lose bits in a JSON number that is read as
// a double.
BOOST_AUTO_TEST_CASE(reported_prompts_round_trip)
{
  report_prompts call;
  call.mPrompts = { { backend_id{ "b" }, 5000, { 1, ~std::uint64_t{ 0 } } } };
  const auto reported = DecodeGatewayCall(EncodeReportPrompts(call));
  BOOST_REQUIRE(IsOk(reported));
  const auto& prompts = std::get<prompts_reported>(GetValue(reported)).mPrompts;
  BOOST_REQUIRE(prompts.size() == 1U);
  BOOST_TEST(prompts[0].mBackend.mValue == "b");
  BOOST_TEST(prompts[0].mTokens == 5000);
  BOOST_TEST(prompts[0].mPrefixes == call.mPrompts[0].mPrefixes);
  // Gateways of an earlier version state no holdings.
  BOOST_TEST(!prompts[0].mHeldTokens);
}

// An entry that states only holdings must also be sound for earlier versions,
// which require the fields that it leaves empty.
BOOST_AUTO_TEST_CASE(held_tokens_round_trip)
{
  report_prompts call;
  call.mGateway = "g";
  call.mPrompts = { { backend_id{ "b" }, 0, {}, 70000, true },
                    { backend_id{ "c" }, 0, {}, 0 } };
  const std::string text = EncodeReportPrompts(call);
  const auto reported = DecodeGatewayCall(text);
  BOOST_REQUIRE(IsOk(reported));
  const auto& shared = std::get<prompts_reported>(GetValue(reported));
  BOOST_TEST(shared.mGateway == "g");
  BOOST_REQUIRE(shared.mPrompts.size() == 2U);
  BOOST_TEST(shared.mPrompts[0].mHeldTokens.value_or(-1) == 70000);
  BOOST_TEST(shared.mPrompts[0].mIsTight);
  BOOST_TEST(shared.mPrompts[1].mHeldTokens.value_or(-1) == 0);
  BOOST_TEST(!shared.mPrompts[1].mIsTight);
  const Json::Value prompt = ParseJsonOrFail(text)["params"]["prompts"][0];
  BOOST_TEST(prompt["tokens"].asInt64() == 0);
  BOOST_TEST(prompt["prefixes"].isArray());
}

BOOST_AUTO_TEST_CASE(shared_grants_round_trip)
{
  grant_copy copy{ workspace_id{ "w" }, {} };
  copy.mRecord.mEra = 2;
  copy.mRecord.mSequence = 31;
  copy.mRecord.mClosed = 17;
  copy.mRecord.mEntries["g/1"] = { 400, 300, { "boot", 9 } };
  const auto call =
    DecodeGatewayCall(EncodeShareGrants({ "p", "a", 2, 6, true, { copy } }));
  BOOST_REQUIRE(IsOk(call));
  const auto& shared = std::get<grants_shared>(GetValue(call));
  BOOST_TEST(shared.mEra == 2U);
  BOOST_TEST(shared.mWantsCopies);
  BOOST_REQUIRE(shared.mCopies.size() == 1U);
  const grant_record& record = shared.mCopies[0].mRecord;
  BOOST_TEST(record.mSequence == 31U);
  BOOST_TEST(record.mClosed == 17);
  BOOST_TEST(record.mEntries.at("g/1").mGranted == 400);
  BOOST_TEST(record.mEntries.at("g/1").mLimitSetAt.mSteadyMs == 9);
  const auto response =
    DecodeShareResponse(EncodeShareResponse({ 2, 1, { copy }, { "g", "h" } }));
  BOOST_REQUIRE(IsOk(response));
  BOOST_TEST(GetValue(response).mFirstEra == 1U);
  BOOST_TEST(GetValue(response).mCopies.size() == 1U);
  BOOST_TEST(GetValue(response).mGateways.size() == 2U);
  BOOST_TEST(!IsOk(DecodeShareResponse(R"({"result":{"era":1}})")));
}

// A negative amount would create tokens.
BOOST_AUTO_TEST_CASE(malformed_gateway_calls_are_rejected)
{
  const char* cases[] = {
    "",
    "[]",
    R"({"method":"ask_tokens"})",
    R"({"method":"ask_tokens","params":{"workspace":"w","amount":-1}})",
    R"({"method":"other","params":{"workspace":"w","amount":1}})",
    R"({"method":"ask_tokens","params":{"workspace":"w","amount":1}})",
    R"({"method":"share_prompts","params":{}})",
    R"({"method":"share_grants","params":{"era":-1,"wants_copies":true}})",
    R"({"method":"share_grants","params":{"era":1,"copies":[{"record":1}]}})",
    R"({"method":"share_prompts","params":{"prompts":[{"backend":1}]}})",
    R"({"method":"share_prompts","params":{"prompts":[
      {"backend":"b","tokens":1,"prefixes":[],"held":-1}]}})",
  };
  for (const char* text : cases) {
    BOOST_TEST(!IsOk(DecodeGatewayCall(text)), text);
  }
  BOOST_TEST(!IsOk(DecodeTokenResponse(R"({"result":{"amount":-1}})")));
}

} // namespace
} // namespace foxtailquay::platform
