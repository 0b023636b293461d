// Tests the messages between processes over HTTP. Guards against messages that
// are lost without a report, delivered out of order or accepted without the
// peer key, and against slow or unreachable peers that block the sender.

#define BOOST_TEST_MODULE peer
#include <boost/test/unit_test.hpp>

#include "absl/strings/str_cat.h"
#include "absl/synchronization/notification.h"
#include "runtime/mailbox.h"
#include "wire/document_codec.h"
#include "wire/peer_front.h"
#include "wire/peer_sender.h"

namespace foxtailquay {
namespace {

constexpr char kKey[] = "0123456789abcdef";

// A peer that records the config versions of the messages it receives, which
// the tests use as message numbers. It refuses numbers from aRefuseFrom on.
struct test_peer
{
  explicit test_peer(const std::string& aKey = "",
                     std::size_t aRefuseFrom = 1000)
    : mFront({ aKey,
               [this, aRefuseFrom](const envelope& aEnvelope) {
                 if (aEnvelope.mConfigVersion >= aRefuseFrom) {
                   return result<success>(error{ error_code::Overloaded,
                                                 executed::No, "", "",
                                                 absl::ZeroDuration() });
                 }
                 Put(mReceived, aEnvelope.mConfigVersion);
                 return result<success>(success{});
               },
               [this] { mDrainRequested.Notify(); } },
             *mMetrics)
  {
    http_server_options options;
    options.mIp = "127.0.0.1";
    mServer = MakeHttpServer(
      options, [this](const http_request& aRequest, http_connection&) {
        return HandleRpcRequest(mFront, aRequest);
      });
    const auto started = StartServer(*mServer);
    BOOST_REQUIRE(IsOk(started));
    mAddress = absl::StrCat("127.0.0.1:", GetValue(started));
  }
  ~test_peer() { StopServer(*mServer); }

  metrics_ptr mMetrics = MakeMetrics();
  mailbox<config_version> mReceived;
  absl::Notification mDrainRequested;
  peer_front mFront;
  http_server_ptr mServer;
  std::string mAddress;
};

envelope MakeNumberedEnvelope(config_version aNumber)
{
  return {
    { { "r1" }, 1 }, process_role::Router, aNumber, 0, fetch_config_message{}
  };
}

BOOST_AUTO_TEST_CASE(delivery_and_refusal_are_reported_to_the_sender)
{
  test_peer peer("", 10);
  const auto client = MakePeerClient(peer.mAddress, {});
  std::string detail;
  BOOST_TEST((DeliverMessage(*client, MakeNumberedEnvelope(7), detail) ==
              delivery_outcome::Delivered));
  BOOST_TEST(*Take(peer.mReceived, absl::InfiniteFuture()) == 7u);
  BOOST_TEST((DeliverMessage(*client, MakeNumberedEnvelope(10), detail) ==
              delivery_outcome::Refused));
}

BOOST_AUTO_TEST_CASE(a_client_without_the_peer_key_is_rejected)
{
  test_peer peer(kKey);
  std::string detail;
  const auto unauthenticated = MakePeerClient(peer.mAddress, {});
  BOOST_TEST((DeliverMessage(*unauthenticated, MakeNumberedEnvelope(1),
                             detail) != delivery_outcome::Delivered));
  peer_client_options options;
  options.mPeerKey = kKey;
  const auto authenticated = MakePeerClient(peer.mAddress, options);
  BOOST_TEST((DeliverMessage(*authenticated, MakeNumberedEnvelope(2), detail) ==
              delivery_outcome::Delivered));
  BOOST_TEST(*Take(peer.mReceived, absl::InfiniteFuture()) == 2u);
}

// The client tries once more on a new connection if its open one fails. If
// that fails too, it must report the peer as unreachable.
BOOST_AUTO_TEST_CASE(a_stopped_peer_is_unreachable_on_an_open_connection)
{
  auto peer = std::make_unique<test_peer>();
  const std::string address = peer->mAddress;
  const auto client = MakePeerClient(address, {});
  std::string detail;
  BOOST_TEST((DeliverMessage(*client, MakeNumberedEnvelope(1), detail) ==
              delivery_outcome::Delivered));
  peer.reset();
  BOOST_TEST((DeliverMessage(*client, MakeNumberedEnvelope(2), detail) ==
              delivery_outcome::Unreachable));
}

BOOST_AUTO_TEST_CASE(malformed_calls_get_json_rpc_errors)
{
  test_peer peer;
  http_request request;
  request.mMethod = "POST";
  for (const char* body :
       { "", "{", "[]", R"({"jsonrpc":"2.0","id":1})",
         R"({"jsonrpc":"2.0","id":1,"method":"nope","params":{}})",
         R"({"jsonrpc":"2.0","id":1,"method":"gossip","params":{}})",
         R"({"jsonrpc":"2.0","id":1,"method":"gossip","params":[5]})" }) {
    request.mBody = body;
    const http_response response = HandleRpcRequest(peer.mFront, request);
    const auto json = ParseJson(response.mBody);
    BOOST_REQUIRE_MESSAGE(IsOk(json), body << " -> " << response.mBody);
    BOOST_TEST(GetValue(json).isMember("error"), body);
  }
  BOOST_TEST(GetValue(*peer.mMetrics, counter::MessagesReceived) == 0u);
}

BOOST_AUTO_TEST_CASE(a_drain_call_starts_the_graceful_stop)
{
  test_peer peer;
  http_request request;
  request.mBody = R"({"jsonrpc":"2.0","id":1,"method":"drain","params":{}})";
  (void)HandleRpcRequest(peer.mFront, request);
  BOOST_TEST(peer.mDrainRequested.HasBeenNotified());
}

BOOST_AUTO_TEST_CASE(messages_to_one_peer_stay_in_order)
{
  test_peer peer;
  const metrics_ptr metrics = MakeMetrics();
  peer_sender_options options;
  options.mMaxQueuedMessages = 1000;
  peer_sender sender(options, *metrics, [](const member_id&) {});
  for (config_version number = 1; number <= 100; ++number) {
    SendToPeer(sender,
               { { "x" }, peer.mAddress, MakeNumberedEnvelope(number) });
  }
  for (config_version number = 1; number <= 100; ++number) {
    BOOST_TEST(*Take(peer.mReceived, absl::InfiniteFuture()) == number);
  }
  StopSender(sender);
}

BOOST_AUTO_TEST_CASE(an_unreachable_peer_is_reported_and_does_not_delay_others)
{
  std::string closed;
  {
    const test_peer stopped;
    closed = stopped.mAddress;
  }
  test_peer peer;
  const metrics_ptr metrics = MakeMetrics();
  mailbox<std::string> unreachable;
  peer_sender sender({}, *metrics, [&unreachable](const member_id& aMember) {
    Put(unreachable, aMember.mValue);
  });
  SendToPeer(sender, { { "gone" }, closed, MakeNumberedEnvelope(1) });
  SendToPeer(sender, { { "here" }, peer.mAddress, MakeNumberedEnvelope(2) });
  BOOST_TEST(*Take(unreachable, absl::InfiniteFuture()) == "gone");
  BOOST_TEST(*Take(peer.mReceived, absl::InfiniteFuture()) == 2u);
  StopSender(sender);
}

// A peer that accepts connections but does not respond must not make the
// memory of the sender grow.
BOOST_AUTO_TEST_CASE(messages_beyond_the_queue_bound_are_dropped)
{
  absl::Notification mayRespond;
  http_server_options serverOptions;
  serverOptions.mIp = "127.0.0.1";
  const auto server = MakeHttpServer(
    serverOptions,
    [&mayRespond](const http_request&,
                  http_connection&) -> std::optional<http_response> {
      mayRespond.WaitForNotification();
      return http_response{};
    });
  const auto started = StartServer(*server);
  BOOST_REQUIRE(IsOk(started));
  const metrics_ptr metrics = MakeMetrics();
  peer_sender_options options;
  options.mMaxQueuedMessages = 3;
  options.mClient.mResponseTimeout = absl::Seconds(60);
  peer_sender sender(options, *metrics, [](const member_id&) {});
  const std::string address = absl::StrCat("127.0.0.1:", GetValue(started));
  for (config_version number = 0; number < 10; ++number) {
    SendToPeer(sender, { { "x" }, address, MakeNumberedEnvelope(number) });
  }
  // Three messages are queued, and one more may be in flight.
  BOOST_TEST(GetValue(*metrics, counter::MessagesDropped) >= 6u);
  BOOST_TEST(GetValue(*metrics, counter::MessagesDropped) <= 7u);
  mayRespond.Notify();
  StopSender(sender);
  StopServer(*server);
}

} // namespace
} // namespace foxtailquay
