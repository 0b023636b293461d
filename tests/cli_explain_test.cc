// Guards against an "explain" that sends another question than the flags state,
// prints an API key, or fails without a useful message.

#define BOOST_TEST_MODULE cli_explain
#include <boost/test/unit_test.hpp>

#include "cli_run.h"
#include "fake_router.h"
#include "wire/document_codec.h"
#include "wire/explain_codec.h"
#include "wire/gateway_codec.h"

namespace foxtailquay {
namespace {

explanation MakeExplanation()
{
  explanation made;
  made.mOutcome = explained_outcome::Sent;
  made.mVersion = 7;
  made.mRoute = "chat";
  made.mService = service_id{ "engines" };
  made.mWorkspace = workspace_id{ "w" };
  made.mTokens = { token_source::Held, "", 1540, 9000, 10000, 20000 };
  made.mDemandRank = "usual";
  made.mLimitedUse = "alike";
  made.mBackend = backend_id{ "e1" };
  explained_server chosen;
  chosen.mBackend = backend_id{ "e1" };
  chosen.mZone = zone_id{ "z" };
  chosen.mVerdict = server_verdict::Chosen;
  chosen.mDelayMs = 24.3;
  chosen.mTokensToProcess = 1460;
  chosen.mTokensToProduce = 40;
  chosen.mSlotMs = 224;
  chosen.mSpread = 0.5;
  chosen.mHealth = "healthy";
  chosen.mStart = "warm";
  chosen.mMaxOutstanding = 8;
  chosen.mMemoryTokens = 400000;
  chosen.mHeldTokens = 1200;
  explained_server limited = chosen;
  limited.mBackend = backend_id{ "e2" };
  limited.mVerdict = server_verdict::RateLimited;
  limited.mNextRunMs = 350;
  made.mServers = { chosen, limited };
  return made;
}

const char kTable[] =
  R"(FIELD                  VALUE
outcome                sent
server                 e1
route                  chat
service                engines
workspace              w
waiting                0
wait_ms                0
demand_rank            usual
limited_use            alike
config_version         7
tokens.free            9000
tokens.granted         10000
tokens.needed          1540
tokens.prepaid         20000
tokens.served_waiters  0
tokens.source          held

SERVER  ZONE  VERDICT       DELAY_MS  AFFINITY_MS  PROCESS  PRODUCE  SLOT_MS  SPREAD  CACHED  HEALTH   START  LOAD  OPEN  MAX_OPEN  NEXT_RUN_MS  HELD  MEMORY
e1      z     chosen            24.3          0.0     1460       40      224    0.50    0.00  healthy  warm    0.0     0         8            -  1200  400000
e2      z     rate_limited      24.3          0.0     1460       40      224    0.50    0.00  healthy  warm    0.0     0         8          350  1200  400000
)";

// The table must show each field, and the question that is sent must be the one
// that the flags state, with the key, which must not be printed.
BOOST_AUTO_TEST_CASE(explain_prints_a_table_or_json)
{
  const auto gateway = StartFakeRouter();
  gateway->mResponses["POST /rpc"] = { 200,
                                       EncodeExplanation(MakeExplanation()) };
  const scratch_folder folder;
  const std::vector<std::string> line = {
    "explain",
    gateway->mAddress,
    "--host=shop.example",
    "--path=/chat/1",
    "--api_key_file=" + WriteFile(folder, "key", "secret\n"),
    "--tokens=1460,80",
    "--prompt_parts=5c1e07a2:800,91bd3f06:410",
    "--length_hint=30",
    "--time_left=2s",
    "--attempt=a1"
  };
  const run_outcome table = RunCli(line);
  BOOST_TEST((table.mExit == exit_code::Ok), table.mErr);
  BOOST_TEST(table.mOut == kTable);
  std::vector<std::string> jsonLine = line;
  jsonLine.emplace_back("--output=json");
  const auto json = ParseJson(RunCli(jsonLine).mOut);
  BOOST_REQUIRE(IsOk(json));
  BOOST_TEST(ToText(GetValue(json)) == ToText(ToJson(MakeExplanation())));
  auto sent = DecodeGatewayCall(gateway->mRequests[0].mBody);
  BOOST_REQUIRE(IsOk(sent));
  const auto query =
    std::get<explain_requested>(GetValue(std::move(sent))).mQuery;
  BOOST_TEST(query.mHost == "shop.example");
  BOOST_TEST(query.mPath == "/chat/1");
  BOOST_TEST(query.mKey == "secret");
  BOOST_TEST(query.mAttemptId == "a1");
  BOOST_TEST(query.mPromptTokens == 1460);
  BOOST_TEST(query.mMaxOutputTokens == 80);
  BOOST_TEST(query.mLengthHint.value_or(0) == 30);
  BOOST_TEST((query.mTimeLeft == absl::Seconds(2)));
  BOOST_REQUIRE(query.mPromptParts.size() == 2U);
  BOOST_TEST(query.mPromptParts[1].mHash == 0x91bd3f06U);
  BOOST_TEST(query.mPromptParts[1].mTokens == 410);
}

// A gateway of an earlier version, a router's port, a closed port and wrong
// flags must be reported as what they are, with their exit codes.
BOOST_AUTO_TEST_CASE(explain_reports_what_went_wrong)
{
  const auto gateway = StartFakeRouter();
  const auto run = [&gateway](const std::string& aFlags) {
    return RunCli(
      SplitWords("explain " + gateway->mAddress + " --host=h " + aFlags));
  };
  gateway->mResponses["POST /rpc"] = { 400, "" };
  const run_outcome earlier = run("--path=/");
  BOOST_TEST((earlier.mExit == exit_code::Refused));
  BOOST_TEST(Contains(earlier.mErr, "earlier version"), earlier.mErr);
  gateway->mResponses["POST /rpc"] = {
    200, R"({"jsonrpc":"2.0","id":1,"error":{"code":-32601}})"
  };
  const run_outcome router = run("--path=/");
  BOOST_TEST((router.mExit == exit_code::Refused));
  BOOST_TEST(Contains(router.mErr, "another port"), router.mErr);
  const unresponsive_port closed(false);
  BOOST_TEST(
    (RunCli({ "explain", closed.mAddress, "--host=h", "--path=/" }).mExit ==
     exit_code::Unreachable));
  for (const char* flags :
       { "", "--path=x", "--path=/?q", "--path=/ --tokens=1",
         "--path=/ --tokens=1,-2", "--path=/ --prompt_parts=xyz:1",
         "--path=/ --length_hint=a", "--path=/ --time_left=-1s",
         "--path=/ --workspace=w --api_key_file=/dev/null",
         "--path=/ --router=127.0.0.1:1" }) {
    BOOST_TEST((run(flags).mExit == exit_code::Usage), flags);
  }
}

// An error in the question must not state the value of a field, which may be an
// API key.
BOOST_AUTO_TEST_CASE(errors_in_the_question_do_not_state_values)
{
  const auto decoded = DecodeGatewayCall(
    R"({"method":"explain","params":{"host":"h","path":"/","key":["secret"]}})");
  BOOST_REQUIRE(!IsOk(decoded));
  BOOST_TEST(Contains(ToString(GetError(decoded)), "key"));
  BOOST_TEST(!Contains(ToString(GetError(decoded)), "secret"));
  BOOST_TEST(!IsOk(DecodeGatewayCall(
    R"({"method":"explain","params":{"host":"h","path":"/","prompt_tokens":-1}})")));
}

} // namespace
} // namespace foxtailquay
