// Guards against stand-ins that are more permissive than the systems they
// replace, and against faults that have no effect when they are set: tests that
// rely on them would pass without testing anything.

#define BOOST_TEST_MODULE standins
#include <boost/test/unit_test.hpp>

#include "absl/strings/str_cat.h"
#include "platform/store_client.h"
#include "process_fleet.h"

namespace foxtailquay {
namespace {

struct fixture
{
  int StartProgram(const std::string& aProgram, std::vector<std::string> aFlags)
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

Json::Value MakeFault(const std::string& aName, const Json::Value& aValue)
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
  std::string StartLease(int aTtlMs) const
  {
    return CallHttp(mPort, "POST", "/v1/leases", {},
                    MakeFault("ttl_ms", aTtlMs))
      .mJson["id"]
      .asString();
  }

  int mPort = StartProgram("standin_platform", {});
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
  // If a version were used again after a deletion, a stale write would succeed.
  BOOST_TEST(CallHttp(mPort, "DELETE", "/v1/kv/a/1").mStatus == 200);
  BOOST_TEST(FindHeader(Put("a/1"), "X-Version") != version);
}

BOOST_FIXTURE_TEST_CASE(lost_responses_hide_writes_that_took_effect,
                        platform_fixture)
{
  SetFault(mPort, MakeFault("lose_answers", 1));
  BOOST_TEST(Put("a?if_version=0").mStatus == 0);
  BOOST_TEST(Get("a").mStatus == 200);
  BOOST_TEST(Put("a").mStatus == 200);
}

BOOST_FIXTURE_TEST_CASE(outage_refuses_all_requests, platform_fixture)
{
  SetFault(mPort, MakeFault("down", true));
  BOOST_TEST(Put("a").mStatus == 503);
  BOOST_TEST(Get("a").mStatus == 503);
  BOOST_TEST(CallHttp(mPort, "GET", "/v1/vms").mStatus == 503);
  SetFault(mPort, MakeFault("down", false));
  BOOST_TEST(Get("a").mStatus == 404);
}

BOOST_FIXTURE_TEST_CASE(unknown_faults_are_rejected, platform_fixture)
{
  BOOST_TEST(SetFault(mPort, MakeFault("downn", true)).mStatus == 400);
  BOOST_TEST(SetFault(mPort, MakeFault("down", 1)).mStatus == 400);
  BOOST_TEST(SetFault(mPort, MakeFault("delay_ms", -1)).mStatus == 400);
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

BOOST_FIXTURE_TEST_CASE(dropped_watches_report_no_change, platform_fixture)
{
  SetFault(mPort, MakeFault("drop_watches", true));
  Put("a");
  BOOST_TEST(Get("a?timeout_ms=50&wait_version=0").mStatus == 304);
}

BOOST_FIXTURE_TEST_CASE(leases_delete_their_keys_when_they_end,
                        platform_fixture)
{
  const std::string ended = StartLease(600'000);
  const std::string expired = StartLease(50);
  const std::string kept = StartLease(600'000);
  Put("ended?lease=" + ended);
  Put("kept?lease=" + kept);
  BOOST_TEST(Put("none?lease=999").mStatus == 404);
  BOOST_TEST(CallHttp(mPort, "DELETE", "/v1/leases/" + ended).mStatus == 200);
  BOOST_TEST(Get("ended").mStatus == 404);
  const auto renew = [this](const std::string& aId) {
    return CallHttp(mPort, "POST", "/v1/leases/" + aId + "/renew").mStatus;
  };
  // The lease of 50 ms expires without a call; a renewal here would extend it.
  BOOST_TEST(AwaitCondition(
    [&] { return Put("expired?lease=" + expired).mStatus == 404; }));
  BOOST_TEST(renew(expired) == 404);
  BOOST_TEST(renew(kept) == 200);
  SetFault(mPort, MakeFault("expire_leases", true));
  BOOST_TEST(AwaitCondition([&] { return Get("kept").mStatus == 404; }));
}

BOOST_FIXTURE_TEST_CASE(vm_list_is_what_was_set, platform_fixture)
{
  const std::string list =
    R"({"vms":[{"id":"a","state":"live"},{"id":"b","state":"leaving"}]})";
  BOOST_TEST(CallHttp(mPort, "POST", "/vms", {}, list).mStatus == 200);
  BOOST_TEST(CallHttp(mPort, "GET", "/v1/vms").mBody == list);
}

// Guards against a store client and a stand-in that implement different
// protocols.
BOOST_FIXTURE_TEST_CASE(store_client_and_stand_in_agree_on_the_protocol,
                        platform_fixture)
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
  SetFault(mPort, MakeFault("lose_answers", 1));
  const store_response lost =
    CallStore(*client, { key, shard, created.mVersion });
  BOOST_TEST((lost.mStatus == store_status::Unknown));
  SetFault(mPort, MakeFault("down", true));
  const store_response down =
    CallStore(*client, { key, shard, created.mVersion });
  BOOST_TEST((down.mStatus == store_status::Unavailable));
  BOOST_TEST(!IsOk(ReadVmList(*client)));
}

// --- Engine -----------------------------------------------------------------

struct engine_fixture : fixture
{
  std::unique_ptr<streamed_response> StartStream(const std::string& aPrompt,
                                                 int aMaxTokens,
                                                 int aPriority = 0) const
  {
    Json::Value body = MakeChatBody(aPrompt, aMaxTokens, true);
    body["priority"] = aPriority;
    return StartHttpCall(mPort, "POST", "/v1/chat/completions",
                         { { "X-Request-Id", aPrompt } }, body);
  }
  client_response GetCompletion(const std::string& aPrompt,
                                int aMaxTokens) const
  {
    return CallHttp(mPort, "POST", "/v1/chat/completions", {},
                    MakeChatBody(aPrompt, aMaxTokens));
  }
  Json::Value ReadLoad() const { return CallHttp(mPort, "GET", "/load").mJson; }
  bool AwaitLoad(int aRunning, int aQueued) const
  {
    return AwaitCondition([&] {
      const Json::Value load = ReadLoad();
      return load["running"].asInt() == aRunning &&
             load["queued"].asInt() == aQueued;
    });
  }

  int mPort =
    StartProgram("standin_engine",
                 { "--models=briefs", "--slots=1", "--answer_tokens=10",
                   "--cached_prefixes=4", "--prefill_tokens_per_s=1000000" });
};

// A delay in ms that is longer than the test, to stop a stream before its next
// token.
constexpr int kForever = 1'000'000;

BOOST_FIXTURE_TEST_CASE(streams_end_with_usage_and_done, engine_fixture)
{
  const auto response = StartStream("hello there", 3);
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

BOOST_FIXTURE_TEST_CASE(completions_end_at_their_default_length, engine_fixture)
{
  const client_response response = GetCompletion("hello", 100);
  BOOST_TEST(response.mJson["usage"]["completion_tokens"].asInt() == 10);
  BOOST_TEST(response.mJson["choices"][0]["finish_reason"].asString() ==
             "stop");
  const client_response cut = GetCompletion("hello", 5);
  BOOST_TEST(cut.mJson["choices"][0]["finish_reason"].asString() == "length");
  BOOST_TEST(
    CallHttp(mPort, "POST", "/v1/completions", {}, MakeFault("model", "other"))
      .mStatus == 404);
}

BOOST_FIXTURE_TEST_CASE(disconnecting_cancels_the_run, engine_fixture)
{
  SetFault(mPort, MakeFault("token_delay_ms", 20));
  auto response = StartStream("hello", 10);
  BOOST_REQUIRE(AwaitText(*response, "t2 "));
  SetFault(mPort, MakeFault("token_delay_ms", kForever));
  response.reset();
  SetFault(mPort, MakeFault("token_delay_ms", 0));
  BOOST_TEST(AwaitCondition([this] {
    return ReadExecutedCalls(mPort)["ran"][0]["cancelled"].asBool();
  }));
  BOOST_TEST(ReadExecutedCalls(mPort)["ran"][0]["completion_tokens"].asInt() <
             10);
}

BOOST_FIXTURE_TEST_CASE(
  slots_limit_concurrent_runs_and_priority_orders_the_queue, engine_fixture)
{
  SetFault(mPort, MakeFault("token_delay_ms", kForever));
  const auto first = StartStream("first", 1);
  BOOST_REQUIRE(AwaitLoad(1, 0));
  const auto low = StartStream("low", 1, 5);
  BOOST_REQUIRE(AwaitLoad(1, 1));
  const auto high = StartStream("high", 1, 1);
  BOOST_REQUIRE(AwaitLoad(1, 2));
  SetFault(mPort, MakeFault("token_delay_ms", 0));
  for (const auto* response : { &first, &low, &high }) {
    BOOST_TEST(AwaitEnd(**response));
  }
  const Json::Value runs = ReadExecutedCalls(mPort)["ran"];
  BOOST_TEST(runs[1]["request_id"].asString() == "high");
  BOOST_TEST(runs[2]["request_id"].asString() == "low");
}

BOOST_FIXTURE_TEST_CASE(load_reports_are_delayed, engine_fixture)
{
  SetFault(mPort, MakeFault("load_lag_ms", kForever));
  SetFault(mPort, MakeFault("token_delay_ms", kForever));
  const auto response = StartStream("hello", 1);
  BOOST_REQUIRE(AwaitCondition(
    [this] { return ReadExecutedCalls(mPort)["ran"].size() == 1; }));
  BOOST_TEST(ReadLoad()["running"].asInt() == 0);
  SetFault(mPort, MakeFault("load_lag_ms", 0));
  BOOST_TEST(ReadLoad()["running"].asInt() == 1);
}

BOOST_FIXTURE_TEST_CASE(prefix_cache_is_limited_and_its_events_have_gaps,
                        engine_fixture)
{
  const std::string prompt(600, 'p');
  GetCompletion(prompt, 1);
  BOOST_TEST(ReadLoad()["cached_prefixes"].size() == 2u);
  BOOST_TEST(GetCompletion(prompt, 1)
               .mJson["usage"]["prompt_tokens_details"]["cached_tokens"]
               .asInt() == 128);
  SetFault(mPort, MakeFault("cache_events", "late"));
  GetCompletion(std::string(300, 'q'), 1);
  SetFault(mPort, MakeFault("cache_events", "normal"));
  BOOST_TEST(ReadLoad()["cached_prefixes"].size() == 3u);
  for (int i = 0; i < 20; ++i) {
    GetCompletion(absl::StrCat(i, std::string(300, 'r')), 1);
  }
  BOOST_TEST(ReadLoad()["cached_prefixes"].size() == 4u);
  // Every third hash is missing in the load report, so that one of 20 reports
  // must have fewer than 4 prefixes.
  SetFault(mPort, MakeFault("cache_events", "gaps"));
  bool gap = false;
  for (int i = 0; i < 20 && !gap; ++i) {
    GetCompletion(absl::StrCat(i, std::string(300, 's')), 1);
    gap = ReadLoad()["cached_prefixes"].size() < 4;
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
  SetFault(mPort, MakeFault("fencing", "honours"));
  BOOST_TEST(command(4, "load other") == 409);
  BOOST_TEST(command(5, "load other") == 200);
  BOOST_TEST(command(6, "dance") == 400);
  BOOST_TEST(ReadLoad()["loaded_models"].size() == 2u);
  BOOST_TEST(ReadExecutedCalls(mPort)["commands"].size() == 3u);
}

BOOST_FIXTURE_TEST_CASE(engine_faults_interrupt_responses, engine_fixture)
{
  SetFault(mPort, MakeFault("break_after_tokens", 2));
  const auto broken = StartStream("hello", 5);
  BOOST_TEST(!AwaitEnd(*broken));
  BOOST_TEST(broken->mText.find("t2 ") != std::string::npos);
  BOOST_TEST(broken->mText.find("t3 ") == std::string::npos);
  BOOST_TEST(GetCompletion("hello", 5).mStatus == 0);
  SetFault(mPort, MakeFault("break_after_tokens", 0));
  SetFault(mPort, MakeFault("fail_requests", 1));
  BOOST_TEST(GetCompletion("hello", 5).mStatus == 500);
  BOOST_TEST(GetCompletion("hello", 5).mStatus == 200);
  BOOST_TEST(ReadExecutedCalls(mPort)["ran"].size() == 3u);
}

// --- Service ----------------------------------------------------------------

struct service_fixture : fixture
{
  client_response PlaceOrder() const
  {
    return CallHttp(mPort, "POST", "/orders", {}, MakeFault("cloth", "indigo"));
  }

  int mPort = StartProgram("standin_service", {});
};

BOOST_FIXTURE_TEST_CASE(repeated_orders_are_placed_again, service_fixture)
{
  BOOST_TEST(PlaceOrder().mJson["id"].asInt() == 1);
  BOOST_TEST(PlaceOrder().mJson["id"].asInt() == 2);
  BOOST_TEST(CallHttp(mPort, "GET", "/orders/2").mStatus == 200);
  BOOST_TEST(CallHttp(mPort, "GET", "/orders/3").mStatus == 404);
  BOOST_TEST(ReadExecutedCalls(mPort)["orders"].asInt() == 2);
  BOOST_TEST(ReadExecutedCalls(mPort)["ran"].size() == 4u);
}

BOOST_FIXTURE_TEST_CASE(service_faults_hide_or_prevent_orders, service_fixture)
{
  SetFault(mPort, MakeFault("break_before_answer", 1));
  BOOST_TEST(PlaceOrder().mStatus == 0);
  BOOST_TEST(ReadExecutedCalls(mPort)["orders"].asInt() == 1);
  SetFault(mPort, MakeFault("fail", 1));
  BOOST_TEST(PlaceOrder().mStatus == 500);
  BOOST_TEST(ReadExecutedCalls(mPort)["orders"].asInt() == 1);
  SetFault(mPort, MakeFault("delay_ms", kForever));
  const auto delayed =
    StartHttpCall(mPort, "POST", "/orders", {}, MakeFault("cloth", "madder"));
  BOOST_REQUIRE(AwaitCondition(
    [this] { return ReadExecutedCalls(mPort)["waiting"].asInt() == 1; }));
  BOOST_TEST(ReadExecutedCalls(mPort)["orders"].asInt() == 1);
  SetFault(mPort, MakeFault("delay_ms", 0));
  BOOST_TEST(AwaitEnd(*delayed));
  BOOST_TEST(ReadExecutedCalls(mPort)["orders"].asInt() == 2);
}

} // namespace
} // namespace foxtailquay
