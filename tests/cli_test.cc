// Guards against operations that reach the wrong router, run twice, or report
// an exit code from which a script draws the wrong conclusion.

#define BOOST_TEST_MODULE cli
#include <boost/test/unit_test.hpp>

#include <array>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <set>
#include <sstream>

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include "cli/admin_client.h"
#include "cli/command.h"
#include "cli/output.h"
#include "cli/text_table.h"
#include "fake_router.h"
#include "gflags/gflags.h"
#include "wire/document_codec.h"

namespace foxtailquay {
namespace {

struct run_outcome
{
  exit_code mExit = exit_code::Ok;
  std::string mOut;
  std::string mErr;
};

using variables = std::map<std::string, std::string>;

run_outcome Run(const std::vector<std::string>& aArguments,
                const std::string& aInput = "",
                const variables& aEnvironment = {})
{
  const gflags::FlagSaver saver;
  std::istringstream in(aInput);
  std::ostringstream out;
  std::ostringstream err;
  const exit_code code = RunProgram(
    aArguments,
    [&aEnvironment](const char* aName) {
      const auto found = aEnvironment.find(aName);
      return found == aEnvironment.end() ? nullptr : found->second.c_str();
    },
    { in, out, err });
  return { code, out.str(), err.str() };
}

bool Has(const std::string& aText, const std::string& aPart)
{
  return aText.find(aPart) != std::string::npos;
}

// A folder that is removed at the end of a test.
struct scratch
{
  std::filesystem::path mPath;

  scratch()
  {
    std::string name =
      (std::filesystem::temp_directory_path() / "cli_test_XXXXXX").string();
    BOOST_REQUIRE(mkdtemp(name.data()) != nullptr);
    mPath = name;
  }
  scratch(const scratch&) = delete;
  scratch& operator=(const scratch&) = delete;
  ~scratch() { std::filesystem::remove_all(mPath); }
};

std::string Write(const scratch& aScratch, const std::string& aName,
                  const std::string& aText)
{
  const std::string path = (aScratch.mPath / aName).string();
  std::ofstream(path) << aText;
  return path;
}

// A port on the loopback address that is taken but refuses connections, or
// accepts them without ever answering.
struct dead_port
{
  int mSocket = -1;
  std::string mAddress;

  explicit dead_port(bool aAccepts)
  {
    mSocket = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof(address);
    auto* generic = reinterpret_cast<sockaddr*>(&address);
    BOOST_REQUIRE(bind(mSocket, generic, size) == 0);
    BOOST_REQUIRE(getsockname(mSocket, generic, &size) == 0);
    BOOST_REQUIRE(!aAccepts || listen(mSocket, 8) == 0);
    mAddress = "127.0.0.1:" + std::to_string(ntohs(address.sin_port));
  }
  dead_port(const dead_port&) = delete;
  dead_port& operator=(const dead_port&) = delete;
  ~dead_port() { close(mSocket); }
};

fake_answer Failure(int aStatus, const std::string& aCode,
                    const std::string& aRan)
{
  return { aStatus,
           R"({"error":{"message":"as the test says","type":"t","code":")" +
             aCode + R"(","param":"p","ran":")" + aRan + R"("}})",
           {},
           false };
}

constexpr char kAccount[] =
  R"({"paid_in":1000,"closed_spent":50,"spent":150,"unallocated":450,)"
  R"("shares":{"router-1/7":{"granted":400,"spent":100},)"
  R"("router-2/3":{"granted":100,"held":true}},"top_ups":{"inv-1":1000}})";

constexpr char kConfig[] =
  R"({"version":41,"models":{"loom-8b":{}},"workspaces":{"studio":)"
  R"({"budgets":[{"id":"main"}],"share_horizon_ms":45000}}})";

constexpr char kPatch[] = "models: {old: null}\n";

// --- Command line -----------------------------------------------------------

struct line_case
{
  std::vector<std::string> mArguments;
  exit_code mExit;
  // Part of the output, or of the message after a failure.
  std::string mPart;
};

// A wrong line that is run anyway may change the fleet in a way that nobody
// asked for; exit code 2 promises that nothing was sent.
BOOST_AUTO_TEST_CASE(command_lines)
{
  const std::vector<line_case> cases = {
    { {}, exit_code::Usage, "command: is missing" },
    { { "--help" }, exit_code::Ok, "SYNOPSIS" },
    { { "-h" }, exit_code::Ok, "SYNOPSIS" },
    { { "help" }, exit_code::Ok, "COMMANDS" },
    { { "help", "config", "patch" },
      exit_code::Ok,
      "foxtailquayctl config "
      "patch" },
    { { "config", "patch", "--help" }, exit_code::Ok, "EXIT CODES" },
    { { "--version" }, exit_code::Ok, "foxtailquayctl 0" },
    { { "confg" }, exit_code::Usage, "\"confg\" is unknown" },
    { { "config" }, exit_code::Usage, "there are \"config show\"" },
    { { "config", "shw" }, exit_code::Usage, "there are \"config show\"" },
    { { "config", "show" }, exit_code::Usage, "--router: is needed" },
    { { "config", "show", "x" }, exit_code::Usage, "wrong number of" },
    { { "config", "check" }, exit_code::Usage, "config check FILE" },
    { { "workspace", "topup", "b" }, exit_code::Usage, "BUDGET AMOUNT" },
    { { "state" }, exit_code::Usage, "state HOST" },
    { { "--nosuch" }, exit_code::Usage, "--nosuch: unknown flag" },
    { { "--flagfile=x" }, exit_code::Usage, "unknown flag" },
    { { "-x" }, exit_code::Usage, "-x: unknown flag" },
    { { "config", "show", "--router" }, exit_code::Usage, "needs a value" },
    { { "--help=1" }, exit_code::Usage, "takes no value" },
    { { "config", "show", "--if-version=1" },
      exit_code::Usage,
      "is not used by \"config show\"" },
    { { "config", "show", "--router=a:1" },
      exit_code::Usage,
      "\"a:1\" is not IP:port" },
    { { "config", "show", "--router=127.0.0.1" },
      exit_code::Usage,
      "is not IP:port" },
    { { "config", "show", "--router=127.0.0.1:0" },
      exit_code::Usage,
      "is not IP:port" },
    { { "config", "show", "--router=127.0.0.1:65536" },
      exit_code::Usage,
      "is not IP:port" },
    { { "config", "show", "--router=::1:80" },
      exit_code::Usage,
      "is not IP:port" },
    { { "config", "show", "--router=127.0.0.1:1,", "--timeout=0s" },
      exit_code::Usage,
      "\"0s\" is not a duration between" },
    { { "config", "show", "--timeout=5" },
      exit_code::Usage,
      "\"5\" is not a duration" },
    { { "config", "show", "--timeout=1s", "--timeout=2s" },
      exit_code::Usage,
      "is given twice" },
    { { "config", "show", "--output=xml" },
      exit_code::Usage,
      "\"xml\" is not text or json" },
    { { "config", "patch", "--if-version=x", "f" },
      exit_code::Usage,
      "\"x\" is not a version number" },
    { { "config", "patch", "--router=127.0.0.1:1", "/no/such/file" },
      exit_code::Usage,
      "/no/such/file: cannot be opened" },
    { { "config", "check", "/" }, exit_code::Usage, "cannot be opened" },
    { { "config", "show", "--operator_key_file=/no/such/file" },
      exit_code::Usage,
      "/no/such/file: cannot be opened" },
    { { "workspace", "topup", "b", "many" },
      exit_code::Usage,
      "\"many\" is not a whole number from 1" },
    { { "workspace", "topup", "b", "0" }, exit_code::Usage, "\"0\" is not" },
    { { "workspace", "topup", "--", "b", "-5" },
      exit_code::Usage,
      "\"-5\" is not" },
    { { "workspace", "topup", "b", "99999999999999999999" },
      exit_code::Usage,
      "is not a whole number" },
    { { "workspace", "release", "b", "r", "x" },
      exit_code::Usage,
      "\"x\" is not a number" },
    { { "state", "localhost" }, exit_code::Usage, "HOST: \"localhost\"" },
    { { "charts", "--charts_dir=/no/such/folder" },
      exit_code::Usage,
      "is not a folder with *.yaml files" },
  };
  for (const line_case& entry : cases) {
    const run_outcome run = Run(entry.mArguments);
    const std::string line =
      entry.mArguments.empty() ? "" : entry.mArguments.back();
    BOOST_TEST_CONTEXT(line)
    {
      BOOST_TEST(NameOf(run.mExit) == NameOf(entry.mExit));
      BOOST_TEST(
        Has(run.mExit == exit_code::Ok ? run.mOut : run.mErr, entry.mPart),
        run.mOut + run.mErr);
    }
  }
}

// Scripts rely on the numbers; the help must explain each of them.
BOOST_AUTO_TEST_CASE(exit_codes_are_fixed_and_documented)
{
  const std::vector<std::string_view> names = {
    "ok",          "refused",          "usage",
    "unreachable", "version_conflict", "outcome_unknown"
  };
  BOOST_REQUIRE(CountOf<exit_code>() == names.size());
  for (std::size_t i = 0; i < names.size(); ++i) {
    const auto code = static_cast<exit_code>(i);
    BOOST_TEST(NameOf(code) == names[i]);
    for (const std::string& page :
         { ProgramHelp(), CommandHelp(Commands().front()) }) {
      BOOST_TEST(Has(page, "  " + std::to_string(i) + "  " +
                             std::string(names[i]) + "\n"));
    }
  }
}

// A help page that overflows the terminal or lacks a flag is not read.
BOOST_AUTO_TEST_CASE(help_pages_are_complete)
{
  std::set<std::string_view> names;
  for (const command& entry : Commands()) {
    BOOST_TEST_CONTEXT(entry.mName)
    {
      BOOST_TEST(names.insert(entry.mName).second);
      BOOST_TEST((entry.mRun != nullptr));
      BOOST_TEST(Has(ProgramHelp(), std::string(entry.mName)));
      const std::string page = CommandHelp(entry);
      for (const cli_flag flag : entry.mFlags) {
        BOOST_TEST(Has(page, "--" + std::string(NameOf(flag)) + "="));
      }
      std::istringstream lines(page);
      for (std::string line; std::getline(lines, line);) {
        BOOST_TEST(line.size() <= 80u, line);
      }
    }
  }
}

// A flag that loses against the environment, or an id left in it, makes an
// operation go elsewhere or be taken for a repetition.
BOOST_AUTO_TEST_CASE(environment_is_weaker_than_flags)
{
  const auto router = StartFakeRouter();
  router->mAnswers["GET /admin/workspaces"] = { 200, R"({"workspaces":[]})" };
  const dead_port dead(false);
  const variables good = { { "FOXTAILQUAY_CTL_ROUTER", router->mAddress } };
  const variables bad = { { "FOXTAILQUAY_CTL_ROUTER", dead.mAddress } };
  BOOST_TEST(NameOf(Run({ "workspace", "list" }, "", good).mExit) == "ok");
  BOOST_TEST(NameOf(Run({ "workspace", "list" }, "", bad).mExit) ==
             "unreachable");
  const run_outcome run =
    Run({ "workspace", "list", "--router", router->mAddress }, "", bad);
  BOOST_TEST(NameOf(run.mExit) == "ok");
  router->mAnswers["POST /admin/budgets/b/topups"] = { 200, kAccount };
  variables withId = good;
  withId["FOXTAILQUAY_CTL_ID"] = "old";
  BOOST_TEST(
    !Has(Run({ "workspace", "topup", "b", "5" }, "", withId).mErr, "old"));
}

// --- Commands against a router ----------------------------------------------

struct remote_case
{
  std::vector<std::string> mArguments;
  // "METHOD path" that the router must see, and its answer.
  std::string mRequest;
  std::string mAnswer;
  // Parts of the text output.
  std::vector<std::string> mParts;
  // Part of the request's body.
  std::string mBody;
};

std::vector<remote_case> RemoteCases(const std::string& aPatch)
{
  return {
    { { "config", "show" },
      "GET /admin/config",
      kConfig,
      { "version: 41\n", "share_horizon: 45s\n", "- id: main\n" },
      "" },
    { { "config", "patch", "--if-version", "41", "--id=p7", aPatch },
      "POST /admin/config",
      R"({"version":42})",
      { "configuration version 42 (patch id p7)\n" },
      R"("if_version":41,"models":{"old":null},"patch_id":"p7"})" },
    { { "workspace", "list" },
      "GET /admin/workspaces",
      R"({"workspaces":[{"id":"studio","budgets":["a","b"],)"
      R"("priority":"batch"}]})",
      { "WORKSPACE  PRIORITY  BUDGETS\nstudio     batch     a b\n" },
      "" },
    { { "workspace", "topup", "main", "500", "--id", "inv-2" },
      "POST /admin/budgets/main/topups",
      kAccount,
      { "BUDGET  PAID IN  SPENT  UNALLOCATED\n"
        "main       1000    150          450\n" },
      R"({"amount":500,"id":"inv-2"})" },
    { { "workspace", "usage", "main" },
      "GET /admin/budgets/main",
      kAccount,
      { "HOLDER    INCARNATION  GRANTED  SPENT  STATUS\n"
        "router-1            7      400    100  open\n"
        "router-2            3      100      0  held\n" },
      "" },
    { { "workspace", "release", "main", "router-2", "3" },
      "POST /admin/budgets/main/release",
      kAccount,
      { "released the share of router-2/3 in budget main\n" },
      R"({"holder":"router-2","incarnation":3})" },
    { { "state", "HOST" },
      "GET /debug/state",
      R"({"status":"ready","config_version":3,"empty":[],)"
      R"("backends":[{"backend":"m-1","outstanding":2}]})",
      { "status          ready\n", "\nbackends\nbackend  outstanding\n"
                                   "m-1                2\n" },
      "" },
    { { "drain", "HOST" }, "POST /admin/drain", "{}", { "is stopping" }, "{}" },
  };
}

std::vector<std::string> LineFor(const remote_case& aCase,
                                 const std::string& aAddress)
{
  std::vector<std::string> line = aCase.mArguments;
  if (line.back() == "HOST") {
    line.back() = aAddress;
  } else {
    line.push_back("--router=" + aAddress);
  }
  return line;
}

// Each command must send what design section 7.1 says, with the key.
BOOST_AUTO_TEST_CASE(commands_ask_and_print)
{
  const scratch folder;
  const std::string key = Write(folder, "key", "secret-1\n");
  for (const remote_case& entry :
       RemoteCases(Write(folder, "patch.yaml", kPatch))) {
    const auto router = StartFakeRouter();
    router->mAnswers[entry.mRequest] = { 200, entry.mAnswer };
    std::vector<std::string> line = LineFor(entry, router->mAddress);
    line.push_back("--operator-key-file=" + key);
    const run_outcome run = Run(line);
    BOOST_TEST_CONTEXT(entry.mRequest)
    {
      BOOST_TEST(NameOf(run.mExit) == "ok", run.mErr);
      for (const std::string& part : entry.mParts) {
        BOOST_TEST(Has(run.mOut, part), run.mOut);
      }
      BOOST_REQUIRE(router->mRequests.size() == 1u);
      BOOST_TEST(router->mRequests[0].mAuthorization == "Bearer secret-1");
      BOOST_TEST(Has(router->mRequests[0].mBody, entry.mBody),
                 router->mRequests[0].mBody);
      BOOST_TEST(!Has(run.mOut + run.mErr, "secret-1"));
    }
    line.emplace_back("--output=json");
    const auto json = ParseJson(Run(line).mOut);
    BOOST_TEST(IsOk(json), entry.mRequest);
  }
}

struct failure_case
{
  fake_answer mAnswer;
  std::string mExit;
  std::string mPart;
};

// A refusal that is reported as an unknown outcome makes operators wait; the
// opposite makes them repeat what took effect.
BOOST_AUTO_TEST_CASE(failures_of_a_router_give_exit_codes)
{
  const scratch folder;
  const std::string patch = Write(folder, "patch.yaml", kPatch);
  const std::vector<failure_case> cases = {
    { Failure(401, "unauthorized", "no"), "refused", "--operator_key_file" },
    { Failure(409, "version_conflict", "no"), "version_conflict",
      "as the test says" },
    { Failure(400, "invalid_request", "no"), "refused", "invalid_request: p" },
    { Failure(503, "store_unavailable", "no"), "refused", "as the test says" },
    { Failure(503, "store_outcome_unknown", "unknown"), "outcome_unknown",
      "as the test says" },
    { Failure(500, "from_the_future", "no"), "refused", "from_the_future" },
    { { 503, "{}", { { "X-Foxtailquay-Ran", "no" }, { "Retry-After", "7" } } },
      "refused",
      "retry after 7s" },
    { { 502, "<html>" }, "outcome_unknown", "HTTP status 502" },
    { { 404, "not found" }, "refused", "not_found" },
    { { 200, "{\"version\":" }, "outcome_unknown", "is not JSON" },
    { { 200, "[]" }, "outcome_unknown", "no integer here" },
    { { 200, R"({"version":"42"})" }, "outcome_unknown", "no integer here" },
    { { 200, "", {}, true }, "outcome_unknown", "no complete answer" },
  };
  for (const failure_case& entry : cases) {
    const auto router = StartFakeRouter();
    router->mAnswers["POST /admin/config"] = entry.mAnswer;
    const run_outcome run = Run({ "config", "patch", "--if_version=41", patch,
                                  "--router=" + router->mAddress });
    BOOST_TEST_CONTEXT(entry.mAnswer.mBody)
    {
      BOOST_TEST(NameOf(run.mExit) == entry.mExit);
      BOOST_TEST(Has(run.mErr, entry.mPart), run.mErr);
    }
  }
}

// The line in the operator's own file, also for what only a router can check.
BOOST_AUTO_TEST_CASE(refused_patches_are_located_in_the_file)
{
  const scratch folder;
  const std::string patch =
    Write(folder, "patch.yaml", "\n\nmodels:\n  p: {}\n");
  const auto router = StartFakeRouter();
  fake_answer refusal = Failure(400, "invalid_config", "no");
  refusal.mBody.replace(refusal.mBody.find("\"p\""), 3, "\"models.p\"");
  router->mAnswers["POST /admin/config"] = refusal;
  const run_outcome run = Run({ "config", "patch", "--if_version=41", patch,
                                "--router=" + router->mAddress });
  BOOST_TEST(NameOf(run.mExit) == "refused");
  BOOST_TEST(Has(run.mErr, "patch.yaml:4: models.p: as the test"), run.mErr);
}

// Every command after a lost connection: reads and operations with an id go
// on to the next router, the others must not be sent twice.
BOOST_AUTO_TEST_CASE(lost_connections)
{
  const scratch folder;
  for (const remote_case& entry :
       RemoteCases(Write(folder, "patch.yaml", kPatch))) {
    const auto first = StartFakeRouter();
    const auto second = StartFakeRouter();
    first->mAnswers[entry.mRequest] = { 200, "", {}, true };
    second->mAnswers[entry.mRequest] = { 200, entry.mAnswer };
    const bool isHost = entry.mArguments.back() == "HOST";
    const bool isRelease = entry.mArguments[1] == "release";
    const bool isRead = entry.mRequest.substr(0, 3) == "GET";
    BOOST_TEST_CONTEXT(entry.mRequest)
    {
      const run_outcome alone = Run(LineFor(entry, first->mAddress));
      BOOST_TEST(NameOf(alone.mExit) ==
                 (isRead ? "unreachable" : "outcome_unknown"));
      if (isHost) {
        continue;
      }
      const run_outcome both =
        Run(LineFor(entry, first->mAddress + "," + second->mAddress));
      BOOST_TEST(NameOf(both.mExit) == (isRelease ? "outcome_unknown" : "ok"));
      BOOST_TEST(second->mRequests.size() == (isRelease ? 0u : 1u));
      if (!isRelease) {
        BOOST_TEST(first->mRequests[1].mBody == second->mRequests[0].mBody);
      }
    }
  }
}

// Nothing was sent, so that even a release may go to the next router.
BOOST_AUTO_TEST_CASE(unreachable_routers)
{
  const scratch folder;
  const dead_port dead(false);
  for (const remote_case& entry :
       RemoteCases(Write(folder, "patch.yaml", kPatch))) {
    const auto second = StartFakeRouter();
    second->mAnswers[entry.mRequest] = { 200, entry.mAnswer };
    BOOST_TEST_CONTEXT(entry.mRequest)
    {
      const run_outcome alone = Run(LineFor(entry, dead.mAddress));
      BOOST_TEST(NameOf(alone.mExit) == "unreachable");
      BOOST_TEST(Has(alone.mErr, dead.mAddress), alone.mErr);
      if (entry.mArguments.back() != "HOST") {
        const run_outcome both =
          Run(LineFor(entry, dead.mAddress + "," + second->mAddress));
        BOOST_TEST(NameOf(both.mExit) == "ok", both.mErr);
      }
    }
  }
}

// A router that hangs must not hang the operator.
BOOST_AUTO_TEST_CASE(timeouts_end_a_command)
{
  const dead_port silent(true);
  const run_outcome write =
    Run({ "workspace", "topup", "b", "5", "--id=i", "--timeout=50ms",
          "--router=" + silent.mAddress });
  BOOST_TEST(NameOf(write.mExit) == "outcome_unknown");
  const run_outcome read = Run({ "workspace", "usage", "b", "--timeout=50ms",
                                 "--router=" + silent.mAddress });
  BOOST_TEST(NameOf(read.mExit) == "unreachable");
}

// A router that stops or has lost the store must not end the operation while
// another one can do it.
BOOST_AUTO_TEST_CASE(conditions_of_one_router_lead_to_the_next)
{
  for (const char* code :
       { "not_ready", "shutting_down", "store_unavailable", "overloaded" }) {
    const auto first = StartFakeRouter();
    const auto second = StartFakeRouter();
    const std::string request = "POST /admin/budgets/b/release";
    first->mAnswers[request] = Failure(503, code, "no");
    second->mAnswers[request] = { 200, kAccount };
    const run_outcome run =
      Run({ "workspace", "release", "b", "r", "1",
            "--router=" + first->mAddress + "," + second->mAddress });
    BOOST_TEST(NameOf(run.mExit) == "ok", code);
  }
}

// All sequences of up to three attempts, for each effect: the exit code must
// follow from what may have happened, never from the last answer alone.
void CheckSequences(std::vector<admin_attempt>& aAttempts,
                    request_effect aEffect)
{
  if (!aAttempts.empty()) {
    const auto concluded = Conclude(aAttempts, aEffect);
    const auto last = aAttempts.back().mOutcome;
    bool maybeRun = false;
    for (const admin_attempt& attempt : aAttempts) {
      maybeRun = maybeRun || attempt.mOutcome == attempt_outcome::MaybeRun;
    }
    BOOST_TEST(IsOk(concluded) == (last == attempt_outcome::Answered));
    if (!IsOk(concluded)) {
      const bool unknown = maybeRun && aEffect != request_effect::Read;
      BOOST_TEST((ErrorOf(concluded).mExit == exit_code::OutcomeUnknown) ==
                 unknown);
      BOOST_TEST((ErrorOf(concluded).mExit == exit_code::Refused) ==
                 (!unknown && last == attempt_outcome::Refused));
    }
  }
  if (aAttempts.size() == 3 ||
      (!aAttempts.empty() && !MayTryNext(aAttempts.back(), aEffect))) {
    return;
  }
  for (const auto& entry : NameTable(attempt_outcome{})) {
    admin_attempt attempt;
    attempt.mOutcome = entry.mValue;
    attempt.mError.mCode = error_code::InvalidRequest;
    attempt.mReached = entry.mValue == attempt_outcome::Refused;
    aAttempts.push_back(attempt);
    CheckSequences(aAttempts, aEffect);
    aAttempts.pop_back();
  }
}

BOOST_AUTO_TEST_CASE(conclusions_follow_from_all_attempts)
{
  for (const auto& entry : NameTable(request_effect{})) {
    std::vector<admin_attempt> attempts;
    CheckSequences(attempts, entry.mValue);
  }
}

// A conflict after a lost answer is final: the patch did not take effect.
BOOST_AUTO_TEST_CASE(a_conflict_after_a_lost_answer_is_a_conflict)
{
  const scratch folder;
  const auto first = StartFakeRouter();
  const auto second = StartFakeRouter();
  first->mAnswers["POST /admin/config"] = { 200, "", {}, true };
  second->mAnswers["POST /admin/config"] =
    Failure(409, "version_conflict", "no");
  const run_outcome run = Run(
    { "config", "patch", "--if_version=41", Write(folder, "patch.yaml", kPatch),
      "--router=" + first->mAddress + "," + second->mAddress });
  BOOST_TEST(NameOf(run.mExit) == "version_conflict");
}

// Without an identifier that is known beforehand, an interrupted command
// cannot be repeated safely.
BOOST_AUTO_TEST_CASE(random_ids_are_printed_and_differ)
{
  const scratch folder;
  const std::string patch = Write(folder, "patch.yaml", kPatch);
  const dead_port dead(false);
  std::set<std::string> seen;
  for (const auto& line : std::vector<std::vector<std::string>>{
         { "workspace", "topup", "b", "5" },
         { "workspace", "topup", "b", "5" },
         { "config", "patch", "--if-version=1", patch } }) {
    std::vector<std::string> remote = line;
    remote.push_back("--router=" + dead.mAddress);
    const run_outcome run = Run(remote);
    const std::size_t at = run.mErr.find("--id=");
    BOOST_REQUIRE(at != std::string::npos);
    BOOST_TEST(seen.insert(run.mErr.substr(at, 45)).second);
  }
}

// --- Offline commands -------------------------------------------------------

// Two sources that disagree would send the patch with either one.
BOOST_AUTO_TEST_CASE(version_and_id_in_the_file)
{
  const scratch folder;
  const std::string named = Write(
    folder, "named.yaml", "if_version: 41\npatch_id: p1\nmodels: {x: null}\n");
  const std::string plain = Write(folder, "plain.yaml", kPatch);
  const auto router = StartFakeRouter();
  router->mAnswers["POST /admin/config"] = { 200, R"({"version":42})" };
  const std::string to = "--router=" + router->mAddress;
  BOOST_TEST(NameOf(Run({ "config", "patch", named, to }).mExit) == "ok");
  BOOST_TEST(Has(router->mRequests[0].mBody, R"("if_version":41)"));
  BOOST_TEST(Has(router->mRequests[0].mBody, R"("patch_id":"p1")"));
  for (const auto& line : std::vector<std::vector<std::string>>{
         { "config", "patch", plain, to },
         { "config", "patch", named, to, "--if-version=40" },
         { "config", "patch", named, to, "--id=p2" } }) {
    BOOST_TEST(NameOf(Run(line).mExit) == "usage");
  }
  BOOST_TEST(router->mRequests.size() == 1u);
}

BOOST_AUTO_TEST_CASE(examples_are_valid)
{
  const std::string examples =
    std::string(FOXTAILQUAY_SOURCE_DIR) + "/examples/";
  const run_outcome sabarmati =
    Run({ "config", "check", examples + "sabarmati.yaml" });
  BOOST_TEST(NameOf(sabarmati.mExit) == "ok", sabarmati.mErr);
  BOOST_TEST(Has(sabarmati.mOut, "23 backend servers, 10 workspaces"));
  const run_outcome ezerna =
    Run({ "config", "check", examples + "ezerna.yaml" });
  BOOST_TEST(NameOf(ezerna.mExit) == "ok", ezerna.mErr);
  BOOST_TEST(Has(ezerna.mOut, "15 backend servers, 10 workspaces"));
}

// A patch that only fails at the router is found out too late.
BOOST_AUTO_TEST_CASE(patches_are_checked_on_top_of_a_document)
{
  const scratch folder;
  const std::string document =
    Write(folder, "doc.yaml",
          "version: 9\nmodels: {a: {}, b: {}}\n"
          "backends: {m: {kind: engine, zone: z, models: [a]}}\n");
  const std::string good = Write(folder, "good.yaml", "models: {b: null}\n");
  const std::string bad = Write(folder, "bad.yaml", "\nmodels: {a: null}\n");
  const std::string old =
    Write(folder, "old.yaml", "if_version: 8\nmodels: {b: null}\n");
  const run_outcome applied =
    Run({ "config", "check", document, good, "--output=json" });
  BOOST_TEST(NameOf(applied.mExit) == "ok", applied.mErr);
  BOOST_TEST(Has(applied.mOut, "\"version\" : 10"), applied.mOut);
  const run_outcome refused = Run({ "config", "check", document, good, bad });
  BOOST_TEST(NameOf(refused.mExit) == "usage");
  BOOST_TEST(Has(refused.mErr, "bad.yaml:1: backends.m.models: \"a\" is not"),
             refused.mErr);
  const run_outcome stale = Run({ "config", "check", document, old });
  BOOST_TEST(NameOf(stale.mExit) == "usage");
  BOOST_TEST(Has(stale.mErr, "old.yaml:1: if_version: patch is for version 8"),
             stale.mErr);
}

// A hash that includes the line end locks the customer out.
BOOST_AUTO_TEST_CASE(key_hashes)
{
  constexpr char kHash[] =
    "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad";
  for (const char* input : { "abc", "abc\n", "abc\r\n" }) {
    BOOST_TEST(Run({ "config", "hash-key" }, input).mOut ==
               std::string(kHash) + "\n");
  }
  const std::vector<std::string> bad = { "", "\n", "a b\n", "a\nb\n",
                                         std::string(5000, 'x') };
  for (const std::string& input : bad) {
    BOOST_TEST(NameOf(Run({ "config", "hash-key" }, input).mExit) == "usage");
  }
}

// Failures must be readable by programs too.
BOOST_AUTO_TEST_CASE(failures_as_json)
{
  const auto json = ParseJson(Run({ "config", "show", "--output=json" }).mOut);
  BOOST_REQUIRE(IsOk(json));
  BOOST_TEST(ValueOf(json)["exit_code"].asInt() == 2);
  BOOST_TEST(ValueOf(json)["exit_name"].asString() == "usage");
  BOOST_TEST(ValueOf(json)["error"]["param"].asString() == "--router");
}

// A key with a line end in the middle could add headers to the request.
BOOST_AUTO_TEST_CASE(operator_keys_are_one_word)
{
  const scratch folder;
  for (const char* text : { "", "\n", "two words\n", "a\r\nX-Header: b\n" }) {
    const std::string path = Write(folder, "key", text);
    BOOST_TEST(NameOf(Run({ "config", "show", "--router=127.0.0.1:1",
                            "--operator_key_file=" + path })
                        .mExit) == "usage");
  }
}

BOOST_AUTO_TEST_CASE(charts_are_rendered_in_order)
{
  const scratch folder;
  Write(folder, "b.yaml",
        "chart: b\ninitial: on\nstates:\n  on:\n    on:\n      stop:\n"
        "        - {guard: idle, target: off, actions: [report]}\n"
        "        - {target: on}\n  off: {final: true}\n");
  Write(folder, "a.yaml",
        "chart: a\ninitial: only\nstates:\n  only:\n    ignore: [tick]\n");
  Write(folder, "notes.txt", "not a chart");
  const run_outcome run =
    Run({ "charts", "--charts-dir=" + folder.mPath.string() });
  BOOST_TEST(NameOf(run.mExit) == "ok", run.mErr);
  BOOST_TEST(Has(run.mOut, "| `on` | `stop` | `idle` | `off` | `report` |"),
             run.mOut);
  BOOST_TEST(run.mOut.find("## a") < run.mOut.find("## b"));
  const std::string broken = Write(folder, "c.yaml", "chart: [\n");
  const run_outcome refused =
    Run({ "charts", "--charts-dir=" + folder.mPath.string() });
  BOOST_TEST(NameOf(refused.mExit) == "usage");
  BOOST_TEST(Has(refused.mErr, "c.yaml:"), refused.mErr);
}

// Names from a router must not send commands to the operator's terminal.
BOOST_AUTO_TEST_CASE(tables_are_aligned_and_harmless)
{
  const text_table table{
    { "A", "N" },
    { 1 },
    { { "\xD1\x84\xD0\xB0", "5" }, { "x\x1b[2J", "10", "beyond" }, {} }
  };
  BOOST_TEST(Render(table) == "A       N\n"
                              "\xD1\x84\xD0\xB0      5\n"
                              "x?[2J  10\n"
                              "\n");
}

BOOST_AUTO_TEST_CASE(path_parts_are_encoded)
{
  BOOST_TEST(EncodePathPart("a-b_c.d:e") == "a-b_c.d:e");
  BOOST_TEST(EncodePathPart("../x y%?#\n") == "..%2fx%20y%25%3f%23%0a");
}

} // namespace
} // namespace foxtailquay
