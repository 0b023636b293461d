// Guards against operations that are sent to the wrong router or executed
// twice, and against exit codes that do not match what happened. Runs the
// commands against fake routers that refuse requests, lose connections or do
// not respond.

#define BOOST_TEST_MODULE cli_remote
#include <boost/test/unit_test.hpp>

#include <cstdio>
#include <set>

#include <openssl/ec.h>
#include <openssl/pem.h>
#include <openssl/x509v3.h>

#include "cli/admin_client.h"
#include "cli_run.h"
#include "fake_router.h"
#include "wire/document_codec.h"

namespace foxtailquay {
namespace {

fake_response MakeFailure(int aStatus, const std::string& aCode,
                          const std::string& aExecuted)
{
  return { aStatus,
           R"({"error":{"message":"as the test says","type":"t","code":")" +
             aCode + R"(","param":"p","ran":")" + aExecuted + R"("}})",
           {},
           false };
}

constexpr char kAccount[] =
  R"({"id":"main","paid_in":1000,"spent":150,"unallocated":450,"shares":[)"
  R"({"holder":"router-1","incarnation":7,"granted":400,"spent":100,)"
  R"("held":false},{"holder":"router-2","incarnation":3,"granted":100,)"
  R"("spent":0,"held":true}]})";

constexpr char kConfig[] =
  R"({"version":41,"models":{"loom-8b":{}},"workspaces":{"studio":)"
  R"({"budgets":[{"id":"main"}],"share_horizon_ms":45000}}})";

constexpr char kPatch[] = "models: {old: null}\n";

struct remote_case
{
  std::vector<std::string> mArguments;
  // "METHOD path" that the router must receive, and the body of its response.
  std::string mRequest;
  std::string mResponse;
  // Texts that the output contains.
  std::vector<std::string> mParts;
  // Text that the body of the request contains.
  std::string mBody;
};

std::vector<remote_case> MakeRemoteCases(const std::string& aPatch)
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
      { "budget main holds no share of router-2/3\n\nBUDGET  PAID IN" },
      R"({"holder":"router-2","incarnation":3})" },
    { { "state", "HOST" },
      "GET /debug/state",
      R"({"status":"ready","empty":[],"load":{"models":["a","b"]},)"
      R"("members":{"r":{"address":"x","n":{}}},"process":{"member":"r"},)"
      R"("backends":[{"backend":"m-1","outstanding":2}]})",
      { "FIELD           VALUE\nempty\nload.models     a b\n"
        "process.member  r\nstatus          ready\n",
        "\nbackends\nbackend  outstanding\nm-1                2\n",
        "\nmembers\nname  address\nr     x\n" },
      "" },
    { { "drain", "HOST" }, "POST /admin/drain", "{}", { "is stopping" }, "{}" },
  };
}

// Returns the arguments of aCase for the router at aAddress.
std::vector<std::string> MakeArguments(const remote_case& aCase,
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

// Each command must send the request of docs/design.md section 7.1 with the
// operator key, print the response and never print the key.
BOOST_AUTO_TEST_CASE(commands_send_requests_and_print_responses)
{
  const scratch_folder folder;
  const std::string key = WriteFile(folder, "key", "secret-1\n");
  for (const remote_case& entry :
       MakeRemoteCases(WriteFile(folder, "patch.yaml", kPatch))) {
    const auto router = StartFakeRouter();
    router->mResponses[entry.mRequest] = { 200, entry.mResponse };
    std::vector<std::string> line = MakeArguments(entry, router->mAddress);
    line.push_back("--operator-key-file=" + key);
    const run_outcome run = RunCli(line);
    BOOST_TEST_CONTEXT(entry.mRequest)
    {
      BOOST_TEST(ToName(run.mExit) == "ok", run.mErr);
      for (const std::string& part : entry.mParts) {
        BOOST_TEST(Contains(run.mOut, part), run.mOut);
      }
      BOOST_REQUIRE(router->mRequests.size() == 1u);
      BOOST_TEST(router->mRequests[0].mAuthorization == "Bearer secret-1");
      BOOST_TEST(Contains(router->mRequests[0].mBody, entry.mBody),
                 router->mRequests[0].mBody);
      BOOST_TEST(!Contains(run.mOut + run.mErr, "secret-1"));
    }
    line.emplace_back("--output=json");
    const auto json = ParseJson(RunCli(line).mOut);
    BOOST_TEST(IsOk(json), entry.mRequest);
  }
}

struct failure_case
{
  fake_response mResponse;
  std::string mExit;
  std::string mExpectedText;
};

// If a refusal is reported as an unknown outcome, the operator checks and
// repeats needlessly; if an unknown outcome is reported as a refusal, the
// operator repeats an operation that took effect.
BOOST_AUTO_TEST_CASE(failures_of_a_router_give_exit_codes)
{
  const scratch_folder folder;
  const std::string patch = WriteFile(folder, "patch.yaml", kPatch);
  const std::vector<failure_case> cases = {
    { MakeFailure(401, "unauthorized", "no"), "refused", "check the key file" },
    { MakeFailure(409, "version_conflict", "no"), "version_conflict",
      "as the test says" },
    { MakeFailure(400, "invalid_request", "no"), "refused",
      "invalid_request: p" },
    { MakeFailure(503, "store_unavailable", "no"), "refused",
      "as the test says" },
    { MakeFailure(503, "store_outcome_unknown", "unknown"), "outcome_unknown",
      "as the test says" },
    { MakeFailure(500, "from_the_future", "no"), "refused", "from_the_future" },
    { { 503, "{}", { { "X-Foxtailquay-Ran", "no" }, { "Retry-After", "7" } } },
      "refused",
      "retry after 7s" },
    { { 502, "<html>" }, "outcome_unknown", "HTTP status 502" },
    { { 404, "not found" }, "refused", "not_found" },
    { { 200, "{\"version\":" }, "outcome_unknown", "is not JSON" },
    { { 200, "[]" }, "outcome_unknown", "expected an integer" },
    { { 200, R"({"version":"42"})" },
      "outcome_unknown",
      "expected an integer" },
    { { 200, "", {}, true }, "outcome_unknown", "no complete response" },
  };
  for (const failure_case& entry : cases) {
    const auto router = StartFakeRouter();
    router->mResponses["POST /admin/config"] = entry.mResponse;
    const run_outcome run = RunCli({ "config", "patch", "--if_version=41",
                                     patch, "--router=" + router->mAddress });
    BOOST_TEST_CONTEXT(entry.mResponse.mBody)
    {
      BOOST_TEST(ToName(run.mExit) == entry.mExit);
      BOOST_TEST(Contains(run.mErr, entry.mExpectedText), run.mErr);
    }
  }
}

// If a router refuses a patch because of a field, the error must name the line
// of the field in the operator's file.
BOOST_AUTO_TEST_CASE(refused_patches_are_reported_with_file_and_line)
{
  const scratch_folder folder;
  const std::string patch =
    WriteFile(folder, "patch.yaml", "\n\nmodels:\n  p: {}\n");
  const auto router = StartFakeRouter();
  fake_response refusal = MakeFailure(400, "invalid_config", "no");
  refusal.mBody.replace(refusal.mBody.find("\"p\""), 3, "\"models.p\"");
  router->mResponses["POST /admin/config"] = refusal;
  const run_outcome run = RunCli({ "config", "patch", "--if_version=41", patch,
                                   "--router=" + router->mAddress });
  BOOST_TEST(ToName(run.mExit) == "refused");
  BOOST_TEST(Contains(run.mErr, "patch.yaml:4: models.p: as the test"),
             run.mErr);
}

// After a lost connection, reads and operations with an id must be sent to the
// next router; other operations must not be sent twice.
BOOST_AUTO_TEST_CASE(
  only_repeatable_commands_are_resent_after_a_lost_connection)
{
  const scratch_folder folder;
  for (const remote_case& entry :
       MakeRemoteCases(WriteFile(folder, "patch.yaml", kPatch))) {
    const auto first = StartFakeRouter();
    const auto second = StartFakeRouter();
    first->mResponses[entry.mRequest] = { 200, "", {}, true };
    second->mResponses[entry.mRequest] = { 200, entry.mResponse };
    const bool isHost = entry.mArguments.back() == "HOST";
    const bool isRelease = entry.mArguments[1] == "release";
    const bool isRead = entry.mRequest.substr(0, 3) == "GET";
    BOOST_TEST_CONTEXT(entry.mRequest)
    {
      const run_outcome alone = RunCli(MakeArguments(entry, first->mAddress));
      BOOST_TEST(ToName(alone.mExit) ==
                 (isRead ? "unreachable" : "outcome_unknown"));
      if (isHost) {
        continue;
      }
      const run_outcome both =
        RunCli(MakeArguments(entry, first->mAddress + "," + second->mAddress));
      BOOST_TEST(ToName(both.mExit) == (isRelease ? "outcome_unknown" : "ok"));
      BOOST_TEST(second->mRequests.size() == (isRelease ? 0u : 1u));
      if (!isRelease) {
        BOOST_TEST(first->mRequests[1].mBody == second->mRequests[0].mBody);
      }
    }
  }
}

// If the connection is refused, nothing was sent, so that every operation must
// be sent to the next router.
BOOST_AUTO_TEST_CASE(refused_connections_lead_to_the_next_router)
{
  const scratch_folder folder;
  const unresponsive_port refusing(false);
  for (const remote_case& entry :
       MakeRemoteCases(WriteFile(folder, "patch.yaml", kPatch))) {
    const auto second = StartFakeRouter();
    second->mResponses[entry.mRequest] = { 200, entry.mResponse };
    BOOST_TEST_CONTEXT(entry.mRequest)
    {
      const run_outcome alone = RunCli(MakeArguments(entry, refusing.mAddress));
      BOOST_TEST(ToName(alone.mExit) == "unreachable");
      BOOST_TEST(Contains(alone.mErr, refusing.mAddress), alone.mErr);
      if (entry.mArguments.back() != "HOST") {
        const run_outcome both = RunCli(
          MakeArguments(entry, refusing.mAddress + "," + second->mAddress));
        BOOST_TEST(ToName(both.mExit) == "ok", both.mErr);
      }
    }
  }
}

// Agents have no operator interface. If a drain gave up at the response 404,
// the agent would go on running.
BOOST_AUTO_TEST_CASE(peer_ports_are_drained_by_rpc)
{
  const scratch_folder folder;
  const std::string key = WriteFile(folder, "peer", "peer-key\n");
  const auto agent = StartFakeRouter();
  agent->mResponses["POST /rpc"] = { 200, R"({"id":1,"result":{}})" };
  agent->mResponses["GET /debug/state"] = { 200, R"({"status":"ready"})" };
  const std::string withKey = "--peer-key-file=" + key;
  BOOST_TEST(ToName(RunCli({ "drain", agent->mAddress, withKey }).mExit) ==
             "ok");
  BOOST_TEST(ToName(RunCli({ "state", agent->mAddress, withKey }).mExit) ==
             "ok");
  BOOST_REQUIRE(agent->mRequests.size() == 2u);
  BOOST_TEST(Contains(agent->mRequests[0].mBody, R"("method":"drain")"));
  BOOST_TEST(agent->mRequests[0].mAuthorization == "Bearer peer-key");
  BOOST_TEST(agent->mRequests[1].mAuthorization == "Bearer peer-key");
  BOOST_TEST(ToName(RunCli({ "drain", agent->mAddress }).mExit) == "ok");
  BOOST_REQUIRE(agent->mRequests.size() == 4u);
  BOOST_TEST(agent->mRequests[2].mPath == "/admin/drain");
  BOOST_TEST(agent->mRequests[3].mPath == "/rpc");
  agent->mResponses["POST /rpc"] = { 200, R"({"id":1,"error":{"code":1}})" };
  BOOST_TEST(ToName(RunCli({ "drain", agent->mAddress, withKey }).mExit) ==
             "refused");
}

// A router that accepts connections and does not respond must not block the
// command for longer than the timeout.
BOOST_AUTO_TEST_CASE(unresponsive_routers_cause_a_timeout)
{
  const unresponsive_port unresponsive(true);
  const run_outcome write =
    RunCli({ "workspace", "topup", "b", "5", "--id=i", "--timeout=50ms",
             "--router=" + unresponsive.mAddress });
  BOOST_TEST(ToName(write.mExit) == "outcome_unknown");
  const run_outcome read = RunCli({ "workspace", "usage", "b", "--timeout=50ms",
                                    "--router=" + unresponsive.mAddress });
  BOOST_TEST(ToName(read.mExit) == "unreachable");
}

// If one router is stopping, overloaded or without the store, the operation
// must be sent to the next router.
BOOST_AUTO_TEST_CASE(local_refusals_lead_to_the_next_router)
{
  for (const char* code :
       { "not_ready", "shutting_down", "store_unavailable", "overloaded" }) {
    const auto first = StartFakeRouter();
    const auto second = StartFakeRouter();
    const std::string request = "POST /admin/budgets/b/release";
    first->mResponses[request] = MakeFailure(503, code, "no");
    second->mResponses[request] = { 200, kAccount };
    const run_outcome run =
      RunCli({ "workspace", "release", "b", "r", "1",
               "--router=" + first->mAddress + "," + second->mAddress });
    BOOST_TEST(ToName(run.mExit) == "ok", code);
  }
}

// A self-signed certificate for 127.0.0.1.
struct certificate
{
  EVP_PKEY* mKey = EVP_EC_gen("P-256");
  X509* mCertificate = X509_new();

  certificate()
  {
    X509_set_version(mCertificate, 2);
    X509_gmtime_adj(X509_getm_notBefore(mCertificate), -3600);
    X509_gmtime_adj(X509_getm_notAfter(mCertificate), 3600);
    X509_set_pubkey(mCertificate, mKey);
    X509_EXTENSION* name = X509V3_EXT_conf_nid(
      nullptr, nullptr, NID_subject_alt_name, "IP:127.0.0.1");
    X509_add_ext(mCertificate, name, -1);
    X509_EXTENSION_free(name);
    X509_sign(mCertificate, mKey, EVP_sha256());
  }
  certificate(const certificate&) = delete;
  certificate& operator=(const certificate&) = delete;
  ~certificate()
  {
    X509_free(mCertificate);
    EVP_PKEY_free(mKey);
  }
};

std::string WriteFile(const scratch_folder& aFolder, const std::string& aName,
                      const certificate& aCertificate)
{
  std::string path = (aFolder.mPath / aName).string();
  FILE* file = std::fopen(path.c_str(), "w");
  BOOST_REQUIRE(file != nullptr);
  PEM_write_X509(file, aCertificate.mCertificate);
  std::fclose(file);
  return path;
}

// The operator key must be sent to no server without a trusted certificate.
BOOST_AUTO_TEST_CASE(tls_certificates_are_checked)
{
  const scratch_folder folder;
  const certificate serverCertificate;
  const certificate other;
  int served = 0;
  httplib::SSLServer server(serverCertificate.mCertificate,
                            serverCertificate.mKey);
  server.Get("/debug/state",
             [&served](const httplib::Request&, httplib::Response& aResponse) {
               ++served;
               aResponse.set_content("{}", "application/json");
             });
  const std::string address =
    "127.0.0.1:" + std::to_string(server.bind_to_any_port("127.0.0.1"));
  std::thread thread([&server] { server.listen_after_bind(); });
  // stop() has no effect before the server responds.
  httplib::Client probe("https://" + address);
  probe.enable_server_certificate_verification(false);
  while (!probe.Get("/")) {
  }
  const std::string right = WriteFile(folder, "right.pem", serverCertificate);
  const run_outcome trusted =
    RunCli({ "state", address, "--tls-ca-file=" + right });
  const run_outcome wrong = RunCli(
    { "state", address, "--tls-ca-file=" + WriteFile(folder, "x.pem", other) });
  const run_outcome plain = RunCli({ "state", address, "--timeout=1s" });
  const run_outcome missing =
    RunCli({ "state", address, "--tls-ca-file=/no/such/file" });
  server.stop();
  thread.join();
  BOOST_TEST(ToName(trusted.mExit) == "ok", trusted.mErr);
  BOOST_TEST(ToName(wrong.mExit) == "unreachable", wrong.mErr);
  BOOST_TEST(ToName(plain.mExit) != "ok");
  BOOST_TEST(ToName(missing.mExit) != "ok", missing.mErr);
  BOOST_TEST(served == 1);
}

// Checks all sequences of up to three attempts for each effect: the exit code
// must follow from all attempts, not only from the last response.
void CheckSequences(std::vector<admin_attempt>& aAttempts,
                    request_effect aEffect)
{
  if (!aAttempts.empty()) {
    const auto combined = CombineAttempts(aAttempts, aEffect);
    const auto last = aAttempts.back().mOutcome;
    bool maybeExecuted = false;
    for (const admin_attempt& attempt : aAttempts) {
      maybeExecuted =
        maybeExecuted || attempt.mOutcome == admin_attempt_outcome::MaybeRun;
    }
    BOOST_TEST(IsOk(combined) == (last == admin_attempt_outcome::Answered));
    if (!IsOk(combined)) {
      const bool unknown = maybeExecuted && aEffect != request_effect::Read;
      BOOST_TEST((GetError(combined).mExit == exit_code::OutcomeUnknown) ==
                 unknown);
      BOOST_TEST((GetError(combined).mExit == exit_code::Refused) ==
                 (!unknown && last == admin_attempt_outcome::Refused));
    }
  }
  if (aAttempts.size() == 3 ||
      (!aAttempts.empty() && !MayTryNext(aAttempts.back(), aEffect))) {
    return;
  }
  for (const auto& entry : NameTable(admin_attempt_outcome{})) {
    admin_attempt attempt;
    attempt.mOutcome = entry.mValue;
    attempt.mError.mCode = error_code::InvalidRequest;
    attempt.mHasResponse = entry.mValue == admin_attempt_outcome::Refused;
    aAttempts.push_back(attempt);
    CheckSequences(aAttempts, aEffect);
    aAttempts.pop_back();
  }
}

BOOST_AUTO_TEST_CASE(exit_codes_follow_from_all_attempts)
{
  for (const auto& entry : NameTable(request_effect{})) {
    std::vector<admin_attempt> attempts;
    CheckSequences(attempts, entry.mValue);
  }
}

// A version conflict after a lost response is final: the patch did not take
// effect, so that the outcome is known.
BOOST_AUTO_TEST_CASE(a_conflict_after_a_lost_response_is_final)
{
  const scratch_folder folder;
  const auto first = StartFakeRouter();
  const auto second = StartFakeRouter();
  first->mResponses["POST /admin/config"] = { 200, "", {}, true };
  second->mResponses["POST /admin/config"] =
    MakeFailure(409, "version_conflict", "no");
  const run_outcome run =
    RunCli({ "config", "patch", "--if_version=41",
             WriteFile(folder, "patch.yaml", kPatch),
             "--router=" + first->mAddress + "," + second->mAddress });
  BOOST_TEST(ToName(run.mExit) == "version_conflict");
}

// The random identifier must be printed before the request is sent; without it,
// an interrupted command cannot be repeated safely.
BOOST_AUTO_TEST_CASE(random_ids_are_printed_and_differ)
{
  const scratch_folder folder;
  const std::string patch = WriteFile(folder, "patch.yaml", kPatch);
  const unresponsive_port refusing(false);
  std::set<std::string> seen;
  for (const auto& line : std::vector<std::vector<std::string>>{
         { "workspace", "topup", "b", "5" },
         { "workspace", "topup", "b", "5" },
         { "config", "patch", "--if-version=1", patch } }) {
    std::vector<std::string> remote = line;
    remote.push_back("--router=" + refusing.mAddress);
    const run_outcome run = RunCli(remote);
    const std::size_t at = run.mErr.find("--id=");
    BOOST_REQUIRE(at != std::string::npos);
    BOOST_TEST(seen.insert(run.mErr.substr(at, 45)).second);
  }
}

// If the environment overrode a flag, an operation would be sent to another
// router; if an id were read from the environment, a new operation would be
// taken for a repetition.
BOOST_AUTO_TEST_CASE(flags_override_the_environment)
{
  const auto router = StartFakeRouter();
  router->mResponses["GET /admin/workspaces"] = { 200, R"({"workspaces":[]})" };
  const unresponsive_port refusing(false);
  const variables good = { { "FOXTAILQUAY_CTL_ROUTER", router->mAddress } };
  const variables bad = { { "FOXTAILQUAY_CTL_ROUTER", refusing.mAddress } };
  BOOST_TEST(ToName(RunCli({ "workspace", "list" }, "", good).mExit) == "ok");
  BOOST_TEST(ToName(RunCli({ "workspace", "list" }, "", bad).mExit) ==
             "unreachable");
  const run_outcome run =
    RunCli({ "workspace", "list", "--router", router->mAddress }, "", bad);
  BOOST_TEST(ToName(run.mExit) == "ok");
  router->mResponses["POST /admin/budgets/b/topups"] = { 200, kAccount };
  variables withId = good;
  withId["FOXTAILQUAY_CTL_ID"] = "old";
  BOOST_TEST(!Contains(
    RunCli({ "workspace", "topup", "b", "5" }, "", withId).mErr, "old"));
}

// If the version or the id in the file differs from the flag, it is unknown
// which one the operator meant, so that nothing may be sent.
BOOST_AUTO_TEST_CASE(version_and_id_in_file_and_flags_must_agree)
{
  const scratch_folder folder;
  const std::string named = WriteFile(
    folder, "named.yaml", "if_version: 41\npatch_id: p1\nmodels: {x: null}\n");
  const std::string plain = WriteFile(folder, "plain.yaml", kPatch);
  const auto router = StartFakeRouter();
  router->mResponses["POST /admin/config"] = { 200, R"({"version":42})" };
  const std::string to = "--router=" + router->mAddress;
  BOOST_TEST(ToName(RunCli({ "config", "patch", named, to }).mExit) == "ok");
  BOOST_TEST(Contains(router->mRequests[0].mBody, R"("if_version":41)"));
  BOOST_TEST(Contains(router->mRequests[0].mBody, R"("patch_id":"p1")"));
  for (const auto& line : std::vector<std::vector<std::string>>{
         { "config", "patch", plain, to },
         { "config", "patch", named, to, "--if-version=40" },
         { "config", "patch", named, to, "--id=p2" } }) {
    BOOST_TEST(ToName(RunCli(line).mExit) == "usage");
  }
  BOOST_TEST(router->mRequests.size() == 1u);
}

BOOST_AUTO_TEST_CASE(path_segments_are_encoded)
{
  BOOST_TEST(EncodePathSegment("a-b_c.d:e") == "a-b_c.d:e");
  BOOST_TEST(EncodePathSegment("../x y%?#\n") == "..%2fx%20y%25%3f%23%0a");
}

} // namespace
} // namespace foxtailquay
