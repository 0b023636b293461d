// Guards against stand-ins that are kinder than the systems they stand for:
// a fault that is switched on but has no effect makes every test that relies
// on it pass for nothing.

#define BOOST_TEST_MODULE standins
#include <boost/test/unit_test.hpp>

#include "absl/strings/str_cat.h"
#include "platform/store_client.h"
#include "process_fleet.h"

namespace foxtailquay {
namespace {

struct fixture
{
  int StartOne(const std::string& aProgram, std::vector<std::string> aFlags)
  {
    aFlags.insert(aFlags.begin(), aProgram);
    int port = 0;
    mChildren.push_back(std::make_unique<child_process>());
    const auto started =
      StartStandIn(mFleet, *mChildren.back(),
                   absl::StrCat(aProgram, mChildren.size()), aFlags, port);
    BOOST_REQUIRE(IsOk(started));
    return port;
  }

  ~fixture()
  {
    for (const auto& child : mChildren) {
      Kill(*child);
    }
  }

  process_fleet mFleet;
  std::vector<std::unique_ptr<child_process>> mChildren;
};

Json::Value Fault(const std::string& aName, const Json::Value& aValue)
{
  Json::Value fault;
  fault[aName] = aValue;
  return fault;
}

// --- Platform ---------------------------------------------------------------

struct platform_fixture : fixture
{
  client_response Put(const std::string& aKeyAndQuery,
                      const std::string& aValue = "{}") const
  {
    return CallHttp(mPort, "PUT", "/v1/kv/" + aKeyAndQuery, {}, aValue);
  }
  client_response Get(const std::string& aKeyAndQuery) const
  {
    return CallHttp(mPort, "GET", "/v1/kv/" + aKeyAndQuery);
  }
  std::string NewLease(int aTtlMs) const
  {
    return CallHttp(mPort, "POST", "/v1/leases", {}, Fault("ttl_ms", aTtlMs))
      .mJson["id"]
      .asString();
  }

  int mPort = StartOne("standin_platform", {});
};

BOOST_FIXTURE_TEST_CASE(writes_are_compared_with_the_version, platform_fixture)
{
  BOOST_TEST(Get("a/1").mStatus == 404);
  BOOST_TEST(Put("a/1?if_version=1").mStatus == 409);
  const client_response created = Put("a/1?if_version=0", "{\"n\":1}");
  BOOST_TEST(created.mStatus == 200);
  const std::string version = FindHeader(created, "X-Version");
  BOOST_TEST(Get("a/1").mBody == "{\"n\":1}");
  BOOST_TEST(FindHeader(Get("a/1"), "X-Version") == version);
  const client_response stale = Put("a/1?if_version=0");
  BOOST_TEST(stale.mStatus == 409);
  BOOST_TEST(FindHeader(stale, "X-Version") == version);
  BOOST_TEST(Put("a/1", std::string(1'000'001, 'x')).mStatus == 413);
  // A version that came back after a deletion would let a stale write pass.
  BOOST_TEST(CallHttp(mPort, "DELETE", "/v1/kv/a/1").mStatus == 200);
  BOOST_TEST(FindHeader(Put("a/1"), "X-Version") != version);
}

BOOST_FIXTURE_TEST_CASE(lost_answers_hide_writes_that_took_effect,
                        platform_fixture)
{
  SetFault(mPort, Fault("lose_answers", 1));
  BOOST_TEST(Put("a?if_version=0").mStatus == 0);
  BOOST_TEST(Get("a").mStatus == 200);
  BOOST_TEST(Put("a").mStatus == 200);
}

BOOST_FIXTURE_TEST_CASE(outage_refuses_everything, platform_fixture)
{
  SetFault(mPort, Fault("down", true));
  BOOST_TEST(Put("a").mStatus == 503);
  BOOST_TEST(Get("a").mStatus == 503);
  BOOST_TEST(CallHttp(mPort, "GET", "/v1/vms").mStatus == 503);
  SetFault(mPort, Fault("down", false));
  BOOST_TEST(Get("a").mStatus == 404);
}

BOOST_FIXTURE_TEST_CASE(unknown_faults_are_rejected, platform_fixture)
{
  BOOST_TEST(SetFault(mPort, Fault("downn", true)).mStatus == 400);
  BOOST_TEST(SetFault(mPort, Fault("down", 1)).mStatus == 400);
  BOOST_TEST(SetFault(mPort, Fault("delay_ms", -1)).mStatus == 400);
}

BOOST_FIXTURE_TEST_CASE(watches_wait_for_a_change, platform_fixture)
{
  const std::string version = FindHeader(Put("a"), "X-Version");
  BOOST_TEST(Get("a?timeout_ms=50&wait_version=" + version).mStatus == 304);
  const auto watch = StartHttpCall(
    mPort, "GET", "/v1/kv/a?timeout_ms=60000&wait_version=" + version, {},
    Json::Value(Json::objectValue));
  BOOST_REQUIRE(AwaitCondition(
    [this] { return ReadExecutedCalls(mPort)["watches"].asInt() == 2; }));
  Put("a", "{\"n\":2}");
  BOOST_TEST(AwaitText(*watch, "{\"n\":2}"));
}

BOOST_FIXTURE_TEST_CASE(dropped_watches_notice_nothing, platform_fixture)
{
  SetFault(mPort, Fault("drop_watches", true));
  Put("a");
  BOOST_TEST(Get("a?timeout_ms=50&wait_version=0").mStatus == 304);
}

BOOST_FIXTURE_TEST_CASE(leases_delete_their_keys_when_they_end,
                        platform_fixture)
{
  const std::string ended = NewLease(600'000);
  const std::string expired = NewLease(50);
  const std::string kept = NewLease(600'000);
  Put("ended?lease=" + ended);
  Put("kept?lease=" + kept);
  BOOST_TEST(Put("none?lease=999").mStatus == 404);
  BOOST_TEST(CallHttp(mPort, "DELETE", "/v1/leases/" + ended).mStatus == 200);
  BOOST_TEST(Get("ended").mStatus == 404);
  const auto renew = [this](const std::string& aId) {
    return CallHttp(mPort, "POST", "/v1/leases/" + aId + "/renew").mStatus;
  };
  // The lease of 50 ms ends by itself; renewing it here would prolong it.
  BOOST_TEST(AwaitCondition(
    [&] { return Put("expired?lease=" + expired).mStatus == 404; }));
  BOOST_TEST(renew(expired) == 404);
  BOOST_TEST(renew(kept) == 200);
  SetFault(mPort, Fault("expire_leases", true));
  BOOST_TEST(AwaitCondition([&] { return Get("kept").mStatus == 404; }));
}

BOOST_FIXTURE_TEST_CASE(vm_list_is_what_was_set, platform_fixture)
{
  const std::string list =
    R"({"vms":[{"id":"a","state":"live"},{"id":"b","state":"leaving"}]})";
  BOOST_TEST(CallHttp(mPort, "POST", "/vms", {}, list).mStatus == 200);
  BOOST_TEST(CallHttp(mPort, "GET", "/v1/vms").mBody == list);
}

// The adapter and the stand-in must agree on the protocol.
BOOST_FIXTURE_TEST_CASE(store_client_speaks_the_protocol, platform_fixture)
{
  const auto client =
    MakeStoreClient(absl::StrCat("127.0.0.1:", mPort), absl::Seconds(60));
  const store_key key{ store_area::Accounts, 3 };
  BOOST_TEST(CallStore(*client, { key, std::nullopt, 0 }).mVersion == 0u);
  account_shard shard;
  shard.mAccounts[{ "b" }].mPaidIn = 7;
  const store_response created = CallStore(*client, { key, shard, 0 });
  BOOST_REQUIRE((created.mStatus == store_status::Ok));
  const store_response stale = CallStore(*client, { key, shard, 0 });
  BOOST_TEST((stale.mStatus == store_status::Conflict));
  BOOST_TEST(stale.mVersion == created.mVersion);
  const store_response read = CallStore(*client, { key, std::nullopt, 0 });
  BOOST_REQUIRE(read.mDocument.has_value());
  const auto& found = std::get<account_shard>(*read.mDocument);
  BOOST_TEST(found.mAccounts.at({ "b" }).mPaidIn == 7);
  SetFault(mPort, Fault("lose_answers", 1));
  const store_response lost =
    CallStore(*client, { key, shard, created.mVersion });
  BOOST_TEST((lost.mStatus == store_status::Unknown));
  SetFault(mPort, Fault("down", true));
  const store_response down =
    CallStore(*client, { key, shard, created.mVersion });
  BOOST_TEST((down.mStatus == store_status::Unavailable));
  BOOST_TEST(!IsOk(ReadVmList(*client)));
}

// --- Engine -----------------------------------------------------------------

struct engine_fixture : fixture
{
  std::unique_ptr<streamed_response> Stream(const std::string& aPrompt,
                                            int aMaxTokens,
                                            int aPriority = 0) const
  {
    Json::Value body = MakeChatBody(aPrompt, aMaxTokens, true);
    body["priority"] = aPriority;
    return StartHttpCall(mPort, "POST", "/v1/chat/completions",
                         { { "X-Request-Id", aPrompt } }, body);
  }
  client_response Whole(const std::string& aPrompt, int aMaxTokens) const
  {
    return CallHttp(mPort, "POST", "/v1/chat/completions", {},
                    MakeChatBody(aPrompt, aMaxTokens));
  }
  Json::Value Load() const { return CallHttp(mPort, "GET", "/load").mJson; }
  bool AwaitLoad(int aRunning, int aQueued) const
  {
    return AwaitCondition([&] {
      const Json::Value load = Load();
      return load["running"].asInt() == aRunning &&
             load["queued"].asInt() == aQueued;
    });
  }

  int mPort =
    StartOne("standin_engine",
             { "--models=briefs", "--slots=1", "--answer_tokens=10",
               "--cached_prefixes=4", "--prefill_tokens_per_s=1000000" });
};

// Holds a stream before its first token.
constexpr int kForever = 1'000'000;

BOOST_FIXTURE_TEST_CASE(streams_end_with_usage_and_done, engine_fixture)
{
  const auto response = Stream("hello there", 3);
  BOOST_TEST(AwaitEnd(*response));
  BOOST_TEST(response->mText.find("there ") != std::string::npos);
  BOOST_TEST(response->mText.find("t3 ") != std::string::npos);
  BOOST_TEST(response->mText.find("t4 ") == std::string::npos);
  const auto usage = response->mText.find("\"completion_tokens\":3");
  BOOST_TEST(usage != std::string::npos);
  BOOST_TEST(response->mText.find("data: [DONE]\n\n", usage) !=
             std::string::npos);
  const Json::Value run = ReadExecutedCalls(mPort)["ran"][0];
  BOOST_TEST(run["request_id"].asString() == "hello there");
  BOOST_TEST(run["completion_tokens"].asInt() == 3);
  BOOST_TEST(run["state"].asString() == "finished");
}

BOOST_FIXTURE_TEST_CASE(answers_end_at_their_natural_length, engine_fixture)
{
  const client_response response = Whole("hello", 100);
  BOOST_TEST(response.mJson["usage"]["completion_tokens"].asInt() == 10);
  BOOST_TEST(response.mJson["choices"][0]["finish_reason"].asString() ==
             "stop");
  const client_response cut = Whole("hello", 5);
  BOOST_TEST(cut.mJson["choices"][0]["finish_reason"].asString() == "length");
  BOOST_TEST(
    CallHttp(mPort, "POST", "/v1/completions", {}, Fault("model", "other"))
      .mStatus == 404);
}

BOOST_FIXTURE_TEST_CASE(disconnecting_cancels_the_run, engine_fixture)
{
  SetFault(mPort, Fault("token_delay_ms", 20));
  auto response = Stream("hello", 10);
  BOOST_REQUIRE(AwaitText(*response, "t2 "));
  SetFault(mPort, Fault("token_delay_ms", kForever));
  response.reset();
  SetFault(mPort, Fault("token_delay_ms", 0));
  BOOST_TEST(AwaitCondition([this] {
    return ReadExecutedCalls(mPort)["ran"][0]["cancelled"].asBool();
  }));
  BOOST_TEST(ReadExecutedCalls(mPort)["ran"][0]["completion_tokens"].asInt() <
             10);
}

BOOST_FIXTURE_TEST_CASE(slots_limit_what_runs_and_priority_orders_it,
                        engine_fixture)
{
  SetFault(mPort, Fault("token_delay_ms", kForever));
  const auto first = Stream("first", 1);
  BOOST_REQUIRE(AwaitLoad(1, 0));
  const auto low = Stream("low", 1, 5);
  BOOST_REQUIRE(AwaitLoad(1, 1));
  const auto high = Stream("high", 1, 1);
  BOOST_REQUIRE(AwaitLoad(1, 2));
  SetFault(mPort, Fault("token_delay_ms", 0));
  for (const auto* response : { &first, &low, &high }) {
    BOOST_TEST(AwaitEnd(**response));
  }
  const Json::Value ran = ReadExecutedCalls(mPort)["ran"];
  BOOST_TEST(ran[1]["request_id"].asString() == "high");
  BOOST_TEST(ran[2]["request_id"].asString() == "low");
}

BOOST_FIXTURE_TEST_CASE(load_reports_lag, engine_fixture)
{
  SetFault(mPort, Fault("load_lag_ms", kForever));
  SetFault(mPort, Fault("token_delay_ms", kForever));
  const auto response = Stream("hello", 1);
  BOOST_REQUIRE(AwaitCondition(
    [this] { return ReadExecutedCalls(mPort)["ran"].size() == 1; }));
  BOOST_TEST(Load()["running"].asInt() == 0);
  SetFault(mPort, Fault("load_lag_ms", 0));
  BOOST_TEST(Load()["running"].asInt() == 1);
}

BOOST_FIXTURE_TEST_CASE(prefix_cache_is_limited_and_its_events_have_gaps,
                        engine_fixture)
{
  const std::string prompt(600, 'p');
  Whole(prompt, 1);
  BOOST_TEST(Load()["cached_prefixes"].size() == 2u);
  BOOST_TEST(Whole(prompt, 1)
               .mJson["usage"]["prompt_tokens_details"]["cached_tokens"]
               .asInt() == 128);
  SetFault(mPort, Fault("cache_events", "late"));
  Whole(std::string(300, 'q'), 1);
  SetFault(mPort, Fault("cache_events", "normal"));
  BOOST_TEST(Load()["cached_prefixes"].size() == 3u);
  for (int i = 0; i < 20; ++i) {
    Whole(absl::StrCat(i, std::string(300, 'r')), 1);
  }
  BOOST_TEST(Load()["cached_prefixes"].size() == 4u);
  // Every third hash is missing, so not all of 4 x 20 can be there.
  SetFault(mPort, Fault("cache_events", "gaps"));
  bool gap = false;
  for (int i = 0; i < 20 && !gap; ++i) {
    Whole(absl::StrCat(i, std::string(300, 's')), 1);
    gap = Load()["cached_prefixes"].size() < 4;
  }
  BOOST_TEST(gap);
}

BOOST_FIXTURE_TEST_CASE(fencing_is_honoured_or_ignored, engine_fixture)
{
  const auto command = [this](int aFence, const std::string& aText) {
    Json::Value body;
    body["fencing_number"] = aFence;
    body["command"] = aText;
    return CallHttp(mPort, "POST", "/command", {}, body).mStatus;
  };
  BOOST_TEST(command(5, "load other") == 200);
  BOOST_TEST(command(4, "unload other") == 200);
  SetFault(mPort, Fault("fencing", "honours"));
  BOOST_TEST(command(4, "load other") == 409);
  BOOST_TEST(command(5, "load other") == 200);
  BOOST_TEST(command(6, "dance") == 400);
  BOOST_TEST(Load()["loaded_models"].size() == 2u);
  BOOST_TEST(ReadExecutedCalls(mPort)["commands"].size() == 3u);
}

BOOST_FIXTURE_TEST_CASE(engine_faults_break_answers, engine_fixture)
{
  SetFault(mPort, Fault("break_after_tokens", 2));
  const auto broken = Stream("hello", 5);
  BOOST_TEST(!AwaitEnd(*broken));
  BOOST_TEST(broken->mText.find("t2 ") != std::string::npos);
  BOOST_TEST(broken->mText.find("t3 ") == std::string::npos);
  BOOST_TEST(Whole("hello", 5).mStatus == 0);
  SetFault(mPort, Fault("break_after_tokens", 0));
  SetFault(mPort, Fault("fail_requests", 1));
  BOOST_TEST(Whole("hello", 5).mStatus == 500);
  BOOST_TEST(Whole("hello", 5).mStatus == 200);
  BOOST_TEST(ReadExecutedCalls(mPort)["ran"].size() == 3u);
}

// --- Service ----------------------------------------------------------------

struct service_fixture : fixture
{
  client_response Order() const
  {
    return CallHttp(mPort, "POST", "/orders", {}, Fault("cloth", "indigo"));
  }

  int mPort = StartOne("standin_service", {});
};

BOOST_FIXTURE_TEST_CASE(orders_are_counted_each_time, service_fixture)
{
  BOOST_TEST(Order().mJson["id"].asInt() == 1);
  BOOST_TEST(Order().mJson["id"].asInt() == 2);
  BOOST_TEST(CallHttp(mPort, "GET", "/orders/2").mStatus == 200);
  BOOST_TEST(CallHttp(mPort, "GET", "/orders/3").mStatus == 404);
  BOOST_TEST(ReadExecutedCalls(mPort)["orders"].asInt() == 2);
  BOOST_TEST(ReadExecutedCalls(mPort)["ran"].size() == 4u);
}

BOOST_FIXTURE_TEST_CASE(service_faults_hide_or_prevent_orders, service_fixture)
{
  SetFault(mPort, Fault("break_before_answer", 1));
  BOOST_TEST(Order().mStatus == 0);
  BOOST_TEST(ReadExecutedCalls(mPort)["orders"].asInt() == 1);
  SetFault(mPort, Fault("fail", 1));
  BOOST_TEST(Order().mStatus == 500);
  BOOST_TEST(ReadExecutedCalls(mPort)["orders"].asInt() == 1);
  SetFault(mPort, Fault("delay_ms", kForever));
  const auto delayed =
    StartHttpCall(mPort, "POST", "/orders", {}, Fault("cloth", "madder"));
  BOOST_REQUIRE(AwaitCondition(
    [this] { return ReadExecutedCalls(mPort)["waiting"].asInt() == 1; }));
  BOOST_TEST(ReadExecutedCalls(mPort)["orders"].asInt() == 1);
  SetFault(mPort, Fault("delay_ms", 0));
  BOOST_TEST(AwaitEnd(*delayed));
  BOOST_TEST(ReadExecutedCalls(mPort)["orders"].asInt() == 2);
}

} // namespace
} // namespace foxtailquay
