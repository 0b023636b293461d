// Guards against a store outcome that is reported as surer than it is: a
// write that may have taken effect must never be called Unavailable, and one
// that did not must not be called Ok.

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
  Answer,
  // The answer's headers arrive, then the connection closes.
  Break,
  // No answer until the test ends.
  Hang,
};

// A server that does to every request what its script says.
struct scripted_server
{
  httplib::Server mServer;
  int mPort = 0;
  std::thread mThread;
  std::mutex mMutex;
  std::condition_variable mEnded;
  // Guarded by mMutex.
  script_kind mKind = script_kind::Answer;
  int mStatus = 200;
  std::string mVersion;
  std::string mBody;
  bool mEnd = false;
  std::string mLastTarget;
  std::string mLastBody;
};

void Answer(scripted_server& aScript, const httplib::Request& aRequest,
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
    aScript.mEnded.wait(lock, [&aScript] { return aScript.mEnd; });
  }
  if (aScript.mKind == script_kind::Break) {
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
      Answer(mScript, aRequest, aResponse);
    };
    mScript.mServer.Get(".*", handler);
    mScript.mServer.Put(".*", handler);
    // Idle connections would keep the server from stopping.
    mScript.mServer.set_keep_alive_max_count(1);
    mScript.mPort = mScript.mServer.bind_to_any_port("127.0.0.1");
    mScript.mThread =
      std::thread([this] { mScript.mServer.listen_after_bind(); });
    AwaitServer();
    mClient = Client(kLongTimeout);
  }

  ~fixture()
  {
    {
      const std::lock_guard<std::mutex> lock(mScript.mMutex);
      mScript.mEnd = true;
    }
    mScript.mEnded.notify_all();
    mScript.mServer.stop();
    mScript.mThread.join();
  }

  // stop() has no effect on a server that does not run yet, and the join after
  // it would then never return. An answered request shows that it runs.
  void AwaitServer()
  {
    const httplib::Result answer =
      httplib::Client("127.0.0.1", mScript.mPort).Get("/ready");
    BOOST_REQUIRE(answer);
    const std::lock_guard<std::mutex> lock(mScript.mMutex);
    mScript.mLastTarget.clear();
    mScript.mLastBody.clear();
  }

  store_client_ptr Client(absl::Duration aTimeout) const
  {
    return MakeStoreClient(absl::StrCat("127.0.0.1:", mScript.mPort), aTimeout);
  }

  void Play(script_kind aKind, int aStatus, const std::string& aVersion,
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

store_request Read()
{
  return { { store_area::Accounts, 3 }, std::nullopt, 0 };
}

store_request Write()
{
  return { { store_area::Accounts, 3 }, account_shard{}, 7 };
}

constexpr const char* kEmpty = R"({"accounts":{}})";

struct exchange
{
  bool mWrite;
  script_kind mKind;
  int mStatus;
  const char* mVersion;
  const char* mBody;
  store_status mExpected;
  store_version mExpectedVersion;
};

BOOST_FIXTURE_TEST_CASE(each_answer_has_one_meaning, fixture)
{
  constexpr auto kAnswer = script_kind::Answer;
  constexpr auto kBreak = script_kind::Break;
  using s = store_status;
  const exchange cases[] = {
    { false, kAnswer, 200, "5", kEmpty, s::Ok, 5 },
    { false, kAnswer, 404, "", "", s::Ok, 0 },
    { false, kAnswer, 200, "", kEmpty, s::Unknown, 0 },
    { false, kAnswer, 200, "x", kEmpty, s::Unknown, 0 },
    { false, kAnswer, 200, "5", "{}", s::Unknown, 0 },
    { false, kAnswer, 503, "", "", s::Unavailable, 0 },
    { false, kAnswer, 500, "", "", s::Unknown, 0 },
    { false, kBreak, 200, "5", "", s::Unknown, 0 },
    { true, kAnswer, 200, "8", "", s::Ok, 8 },
    { true, kAnswer, 200, "", "", s::Unknown, 0 },
    { true, kAnswer, 200, "0", "", s::Unknown, 0 },
    { true, kAnswer, 409, "9", "", s::Conflict, 9 },
    { true, kAnswer, 409, "0", "", s::Conflict, 0 },
    { true, kAnswer, 404, "", "", s::Unknown, 0 },
    { true, kAnswer, 413, "", "", s::Unavailable, 0 },
    { true, kAnswer, 429, "", "", s::Unavailable, 0 },
    { true, kAnswer, 503, "", "", s::Unavailable, 0 },
    { true, kAnswer, 500, "", "", s::Unknown, 0 },
    { true, kAnswer, 502, "", "", s::Unknown, 0 },
    { true, kBreak, 200, "8", "", s::Unknown, 0 },
    { true, kBreak, 503, "", "", s::Unknown, 0 },
  };
  for (const exchange& one : cases) {
    Play(one.mKind, one.mStatus, one.mVersion, one.mBody);
    error problem;
    const store_response response =
      Call(*mClient, one.mWrite ? Write() : Read(), &problem);
    BOOST_TEST_CONTEXT("write " << one.mWrite << ", status " << one.mStatus
                                << ", version " << one.mVersion)
    {
      BOOST_TEST(ToName(response.mStatus) == ToName(one.mExpected));
      BOOST_TEST(response.mVersion == one.mExpectedVersion);
      BOOST_TEST(response.mIsWrite == one.mWrite);
      BOOST_TEST((response.mKey == store_key{ store_area::Accounts, 3 }));
      BOOST_TEST(response.mDocument.has_value() ==
                 (!one.mWrite && one.mExpectedVersion != 0));
      const bool failed =
        one.mExpected == s::Unavailable || one.mExpected == s::Unknown;
      BOOST_TEST(problem.mDetail.empty() != failed);
    }
  }
}

BOOST_FIXTURE_TEST_CASE(writes_name_the_version_they_replace, fixture)
{
  Play(script_kind::Answer, 200, "8", "");
  Call(*mClient, Write());
  BOOST_TEST(mScript.mLastTarget == "PUT /v1/kv/accounts/3?if_version=7");
  BOOST_TEST(mScript.mLastBody == kEmpty);
  Play(script_kind::Answer, 200, "8", kEmpty);
  Call(*mClient, Read());
  BOOST_TEST(mScript.mLastTarget == "GET /v1/kv/accounts/3");
}

// The write may take effect after the client has given up on it.
BOOST_FIXTURE_TEST_CASE(timeout_leaves_the_outcome_unknown, fixture)
{
  Play(script_kind::Hang, 200, "8", "");
  const auto hasty = Client(absl::Milliseconds(100));
  error problem;
  const store_response response = Call(*hasty, Write(), &problem);
  BOOST_TEST((response.mStatus == store_status::Unknown));
  BOOST_TEST((problem.mExecuted == executed::Unknown));
}

BOOST_AUTO_TEST_CASE(refused_connection_is_unavailable)
{
  const reserved_port closed;
  BOOST_REQUIRE(closed.mPort != 0);
  for (const std::string& address :
       { absl::StrCat("127.0.0.1:", closed.mPort), std::string("nowhere") }) {
    const auto client = MakeStoreClient(address, absl::Seconds(5));
    error problem;
    const store_response response = Call(*client, Write(), &problem);
    BOOST_TEST((response.mStatus == store_status::Unavailable));
    BOOST_TEST((problem.mExecuted == executed::No));
  }
}

// A value above the limit would be refused anyway; sending it costs 1 MB.
BOOST_FIXTURE_TEST_CASE(too_large_values_are_not_sent, fixture)
{
  Play(script_kind::Answer, 200, "8", "");
  account_shard shard;
  shard.mAccounts[{ "b" }].mTopUps[std::string(kMaxValueBytes, 'x')] = 1;
  const store_response response =
    Call(*mClient, { { store_area::Accounts, 3 }, shard, 7 });
  BOOST_TEST((response.mStatus == store_status::Unavailable));
  BOOST_TEST(mScript.mLastTarget.empty());
}

// Calls on one client must not take each other's answers.
BOOST_FIXTURE_TEST_CASE(calls_from_several_threads_are_independent, fixture)
{
  Play(script_kind::Answer, 200, "5", kEmpty);
  std::vector<std::thread> threads;
  std::vector<store_response> replies(8);
  for (std::size_t i = 0; i < replies.size(); ++i) {
    threads.emplace_back(
      [this, &response = replies[i]] { response = Call(*mClient, Read()); });
  }
  for (std::thread& thread : threads) {
    thread.join();
  }
  for (const store_response& response : replies) {
    BOOST_TEST((response.mStatus == store_status::Ok));
  }
}

BOOST_FIXTURE_TEST_CASE(vm_list_distinguishes_leaving_and_gone, fixture)
{
  Play(script_kind::Answer, 200, "",
       R"({"vms":[{"id":"a","state":"live"},{"id":"b","state":"leaving"}]})");
  const auto list = ReadVmList(*mClient);
  BOOST_REQUIRE(IsOk(list));
  const vm_list& now = GetValue(list);
  BOOST_TEST((now.mLive == std::vector<member_id>{ { "a" } }));
  BOOST_TEST((now.mLeaving == std::vector<member_id>{ { "b" } }));
  const vm_list before{ { { "a" }, { "c" } }, { { "b" }, { "d" } } };
  BOOST_TEST((ListRemovedVms(before, now) ==
              std::vector<member_id>{ { "c" }, { "d" } }));
}

// An error page taken for an empty list would make every VM seem gone.
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
    Play(script_kind::Answer, status, "", body);
    BOOST_TEST(!IsOk(ReadVmList(*mClient)), "accepted: " << body);
  }
}

} // namespace
} // namespace foxtailquay
