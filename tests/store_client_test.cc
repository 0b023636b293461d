// Guards against an outcome that is reported as known although it is not: a
// write that may have taken effect must never be reported as Unavailable, and
// one that did not must not be reported as Ok.

#define BOOST_TEST_MODULE store_client
#include <boost/test/unit_test.hpp>

#include <condition_variable>
#include <mutex>
#include <thread>

#include "absl/strings/str_cat.h"
#include "httplib.h"
#include "platform/store_client.h"
#include "standins/reserved_port.h"

namespace foxtailquay {
namespace {

constexpr absl::Duration kLongTimeout = absl::Seconds(60);

enum class script_kind
{
  Respond,
  // Sends the response headers, then closes the connection.
  BreakOff,
  // Sends no response until the test ends.
  Hang,
};

// HTTP server that handles every request according to the script last set.
struct scripted_server
{
  httplib::Server mServer;
  int mPort = 0;
  std::thread mThread;
  std::mutex mMutex;
  std::condition_variable mStopping;
  // Guarded by mMutex.
  script_kind mKind = script_kind::Respond;
  int mStatus = 200;
  std::string mVersion;
  std::string mBody;
  bool mIsStopping = false;
  std::string mLastTarget;
  std::string mLastBody;
};

void RespondByScript(scripted_server& aScript, const httplib::Request& aRequest,
                     httplib::Response& aResponse)
{
  std::unique_lock<std::mutex> lock(aScript.mMutex);
  aScript.mLastTarget = aRequest.method + " " + aRequest.target;
  aScript.mLastBody = aRequest.body;
  aResponse.status = aScript.mStatus;
  if (!aScript.mVersion.empty()) {
    aResponse.set_header("X-Version", aScript.mVersion);
  }
  if (aScript.mKind == script_kind::Hang) {
    aScript.mStopping.wait(lock, [&aScript] { return aScript.mIsStopping; });
  }
  if (aScript.mKind == script_kind::BreakOff) {
    aResponse.set_content_provider(
      10, "application/json",
      [](std::size_t, std::size_t, httplib::DataSink&) { return false; });
  } else {
    aResponse.set_content(aScript.mBody, "application/json");
  }
}

struct fixture
{
  fixture()
  {
    const auto handler = [this](const httplib::Request& aRequest,
                                httplib::Response& aResponse) {
      RespondByScript(mScript, aRequest, aResponse);
    };
    mScript.mServer.Get(".*", handler);
    mScript.mServer.Put(".*", handler);
    // stop() waits for idle connections; one request per connection leaves
    // none.
    mScript.mServer.set_keep_alive_max_count(1);
    mScript.mPort = mScript.mServer.bind_to_any_port("127.0.0.1");
    mScript.mThread =
      std::thread([this] { mScript.mServer.listen_after_bind(); });
    AwaitServer();
    mClient = MakeClient(kLongTimeout);
  }

  ~fixture()
  {
    {
      const std::lock_guard<std::mutex> lock(mScript.mMutex);
      mScript.mIsStopping = true;
    }
    mScript.mStopping.notify_all();
    mScript.mServer.stop();
    mScript.mThread.join();
  }

  // Waits until the server is running, which a response shows. stop() has no
  // effect before that, and the join after it would then never return.
  void AwaitServer()
  {
    const httplib::Result response =
      httplib::Client("127.0.0.1", mScript.mPort).Get("/ready");
    BOOST_REQUIRE(response);
    const std::lock_guard<std::mutex> lock(mScript.mMutex);
    mScript.mLastTarget.clear();
    mScript.mLastBody.clear();
  }

  store_client_ptr MakeClient(absl::Duration aTimeout) const
  {
    return MakeStoreClient(absl::StrCat("127.0.0.1:", mScript.mPort), aTimeout);
  }

  void SetScript(script_kind aKind, int aStatus, const std::string& aVersion,
                 const std::string& aBody)
  {
    const std::lock_guard<std::mutex> lock(mScript.mMutex);
    mScript.mKind = aKind;
    mScript.mStatus = aStatus;
    mScript.mVersion = aVersion;
    mScript.mBody = aBody;
  }

  scripted_server mScript;
  store_client_ptr mClient;
};

store_request MakeReadRequest()
{
  return { { store_area::Accounts, 3 }, std::nullopt, 0 };
}

store_request MakeWriteRequest()
{
  return { { store_area::Accounts, 3 }, account_shard{}, 7 };
}

constexpr const char* kEmptyShard = R"({"accounts":{}})";

struct call_case
{
  bool mWrite;
  script_kind mKind;
  int mStatus;
  const char* mVersion;
  const char* mBody;
  store_status mExpected;
  store_version mExpectedVersion;
};

BOOST_FIXTURE_TEST_CASE(each_response_has_the_expected_status, fixture)
{
  constexpr auto kRespond = script_kind::Respond;
  constexpr auto kBreakOff = script_kind::BreakOff;
  using s = store_status;
  const call_case cases[] = {
    { false, kRespond, 200, "5", kEmptyShard, s::Ok, 5 },
    { false, kRespond, 404, "", "", s::Ok, 0 },
    { false, kRespond, 200, "", kEmptyShard, s::Unknown, 0 },
    { false, kRespond, 200, "x", kEmptyShard, s::Unknown, 0 },
    { false, kRespond, 200, "5", "{}", s::Unknown, 0 },
    { false, kRespond, 503, "", "", s::Unavailable, 0 },
    { false, kRespond, 500, "", "", s::Unknown, 0 },
    { false, kBreakOff, 200, "5", "", s::Unknown, 0 },
    { true, kRespond, 200, "8", "", s::Ok, 8 },
    { true, kRespond, 200, "", "", s::Unknown, 0 },
    { true, kRespond, 200, "0", "", s::Unknown, 0 },
    { true, kRespond, 409, "9", "", s::Conflict, 9 },
    { true, kRespond, 409, "0", "", s::Conflict, 0 },
    { true, kRespond, 404, "", "", s::Unknown, 0 },
    { true, kRespond, 413, "", "", s::Unavailable, 0 },
    { true, kRespond, 429, "", "", s::Unavailable, 0 },
    { true, kRespond, 503, "", "", s::Unavailable, 0 },
    { true, kRespond, 500, "", "", s::Unknown, 0 },
    { true, kRespond, 502, "", "", s::Unknown, 0 },
    { true, kBreakOff, 200, "8", "", s::Unknown, 0 },
    { true, kBreakOff, 503, "", "", s::Unknown, 0 },
  };
  for (const call_case& testCase : cases) {
    SetScript(testCase.mKind, testCase.mStatus, testCase.mVersion,
              testCase.mBody);
    error problem;
    const store_response response = CallStore(
      *mClient, testCase.mWrite ? MakeWriteRequest() : MakeReadRequest(),
      &problem);
    BOOST_TEST_CONTEXT("write " << testCase.mWrite << ", status "
                                << testCase.mStatus << ", version "
                                << testCase.mVersion)
    {
      BOOST_TEST(ToName(response.mStatus) == ToName(testCase.mExpected));
      BOOST_TEST(response.mVersion == testCase.mExpectedVersion);
      BOOST_TEST(response.mIsWrite == testCase.mWrite);
      BOOST_TEST((response.mKey == store_key{ store_area::Accounts, 3 }));
      BOOST_TEST(response.mDocument.has_value() ==
                 (!testCase.mWrite && testCase.mExpectedVersion != 0));
      const bool failed = testCase.mExpected == s::Unavailable ||
                          testCase.mExpected == s::Unknown;
      BOOST_TEST(problem.mDetail.empty() != failed);
    }
  }
}

BOOST_FIXTURE_TEST_CASE(writes_send_the_expected_version, fixture)
{
  SetScript(script_kind::Respond, 200, "8", "");
  CallStore(*mClient, MakeWriteRequest());
  BOOST_TEST(mScript.mLastTarget == "PUT /v1/kv/accounts/3?if_version=7");
  BOOST_TEST(mScript.mLastBody == kEmptyShard);
  SetScript(script_kind::Respond, 200, "8", kEmptyShard);
  CallStore(*mClient, MakeReadRequest());
  BOOST_TEST(mScript.mLastTarget == "GET /v1/kv/accounts/3");
}

// The write may take effect after the client's timeout.
BOOST_FIXTURE_TEST_CASE(timeout_leaves_the_outcome_unknown, fixture)
{
  SetScript(script_kind::Hang, 200, "8", "");
  const auto shortTimeoutClient = MakeClient(absl::Milliseconds(100));
  error problem;
  const store_response response =
    CallStore(*shortTimeoutClient, MakeWriteRequest(), &problem);
  BOOST_TEST((response.mStatus == store_status::Unknown));
  BOOST_TEST((problem.mExecuted == executed::Unknown));
}

BOOST_AUTO_TEST_CASE(refused_connection_is_unavailable)
{
  const reserved_port unusedPort;
  BOOST_REQUIRE(unusedPort.mPort != 0);
  for (const std::string& address :
       { absl::StrCat("127.0.0.1:", unusedPort.mPort),
         std::string("nowhere") }) {
    const auto client = MakeStoreClient(address, absl::Seconds(5));
    error problem;
    const store_response response =
      CallStore(*client, MakeWriteRequest(), &problem);
    BOOST_TEST((response.mStatus == store_status::Unavailable));
    BOOST_TEST((problem.mExecuted == executed::No));
  }
}

// The service would refuse a value above the limit, so that sending its 1 MB
// would be useless.
BOOST_FIXTURE_TEST_CASE(too_large_values_are_not_sent, fixture)
{
  SetScript(script_kind::Respond, 200, "8", "");
  account_shard shard;
  shard.mAccounts[{ "b" }].mTopUps[std::string(kMaxValueBytes, 'x')] = 1;
  const store_response response =
    CallStore(*mClient, { { store_area::Accounts, 3 }, shard, 7 });
  BOOST_TEST((response.mStatus == store_status::Unavailable));
  BOOST_TEST(mScript.mLastTarget.empty());
}

// Concurrent calls on one client must not receive each other's responses.
BOOST_FIXTURE_TEST_CASE(calls_from_several_threads_are_independent, fixture)
{
  SetScript(script_kind::Respond, 200, "5", kEmptyShard);
  std::vector<std::thread> threads;
  std::vector<store_response> responses(8);
  for (std::size_t i = 0; i < responses.size(); ++i) {
    threads.emplace_back([this, &response = responses[i]] {
      response = CallStore(*mClient, MakeReadRequest());
    });
  }
  for (std::thread& thread : threads) {
    thread.join();
  }
  for (const store_response& response : responses) {
    BOOST_TEST((response.mStatus == store_status::Ok));
  }
}

BOOST_FIXTURE_TEST_CASE(vm_list_distinguishes_leaving_and_removed, fixture)
{
  SetScript(
    script_kind::Respond, 200, "",
    R"({"vms":[{"id":"a","state":"live"},{"id":"b","state":"leaving"}]})");
  const auto list = ReadVmList(*mClient);
  BOOST_REQUIRE(IsOk(list));
  const vm_list& current = GetValue(list);
  BOOST_TEST((current.mLive == std::vector<member_id>{ { "a" } }));
  BOOST_TEST((current.mLeaving == std::vector<member_id>{ { "b" } }));
  const vm_list before{ { { "a" }, { "c" } }, { { "b" }, { "d" } } };
  BOOST_TEST((ListRemovedVms(before, current) ==
              std::vector<member_id>{ { "c" }, { "d" } }));
}

// If an error page were read as an empty list, every VM would be treated as
// removed.
BOOST_FIXTURE_TEST_CASE(unreadable_vm_list_is_an_error, fixture)
{
  const std::pair<int, const char*> cases[] = {
    { 503, "" },
    { 404, R"({"vms":[]})" },
    { 200, "" },
    { 200, "{}" },
    { 200, R"({"vms":[{"id":"a","state":"dead"}]})" },
  };
  for (const auto& [status, body] : cases) {
    SetScript(script_kind::Respond, status, "", body);
    BOOST_TEST(!IsOk(ReadVmList(*mClient)), "accepted: " << body);
  }
}

} // namespace
} // namespace foxtailquay
