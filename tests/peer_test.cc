// Guards against messages that are lost without notice, delivered out of
// order, accepted from strangers, or that block the sender.

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

// A peer that keeps what it receives.
struct test_peer
{
  explicit test_peer(const std::string& aKey = "", std::size_t aLimit = 1000)
    : mFront({ aKey,
               [this, aLimit](const envelope& aEnvelope) {
                 if (aEnvelope.mConfigVersion >= aLimit) {
                   return result<success>(error{ error_code::Overloaded,
                                                 executed::No, "", "",
                                                 absl::ZeroDuration() });
                 }
                 Put(mReceived, aEnvelope.mConfigVersion);
                 return result<success>(success{});
               },
               [this] { mDrained.Notify(); } },
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
  absl::Notification mDrained;
  peer_front mFront;
  http_server_ptr mServer;
  std::string mAddress;
};

envelope Numbered(config_version aNumber)
{
  return {
    { { "r1" }, 1 }, process_role::Router, aNumber, 0, fetch_config_message{}
  };
}

BOOST_AUTO_TEST_CASE(a_message_arrives_and_a_refusal_is_told)
{
  test_peer peer("", 10);
  const auto client = MakePeerClient(peer.mAddress, {});
  std::string detail;
  BOOST_TEST((Deliver(*client, Numbered(7), detail) == delivery::Delivered));
  BOOST_TEST(*Take(peer.mReceived, absl::InfiniteFuture()) == 7u);
  BOOST_TEST((Deliver(*client, Numbered(10), detail) == delivery::Refused));
}

BOOST_AUTO_TEST_CASE(a_stranger_is_refused)
{
  test_peer peer(kKey);
  std::string detail;
  const auto stranger = MakePeerClient(peer.mAddress, {});
  BOOST_TEST((Deliver(*stranger, Numbered(1), detail) != delivery::Delivered));
  peer_client_options options;
  options.mPeerKey = kKey;
  const auto friendly = MakePeerClient(peer.mAddress, options);
  BOOST_TEST((Deliver(*friendly, Numbered(2), detail) == delivery::Delivered));
  BOOST_TEST(*Take(peer.mReceived, absl::InfiniteFuture()) == 2u);
}

// Idle connections are closed by the peer; that must not look like a failure.
BOOST_AUTO_TEST_CASE(a_closed_kept_connection_is_replaced)
{
  auto peer = std::make_unique<test_peer>();
  const std::string address = peer->mAddress;
  const auto client = MakePeerClient(address, {});
  std::string detail;
  BOOST_TEST((Deliver(*client, Numbered(1), detail) == delivery::Delivered));
  peer.reset();
  BOOST_TEST((Deliver(*client, Numbered(2), detail) == delivery::Unreachable));
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

BOOST_AUTO_TEST_CASE(drain_is_a_method)
{
  test_peer peer;
  http_request request;
  request.mBody = R"({"jsonrpc":"2.0","id":1,"method":"drain","params":{}})";
  (void)HandleRpcRequest(peer.mFront, request);
  BOOST_TEST(peer.mDrained.HasBeenNotified());
}

BOOST_AUTO_TEST_CASE(messages_to_one_peer_stay_in_order)
{
  test_peer peer;
  const metrics_ptr metrics = MakeMetrics();
  peer_sender_options options;
  options.mMaxQueued = 1000;
  peer_sender sender(options, *metrics, [](const member_id&) {});
  for (config_version number = 1; number <= 100; ++number) {
    SendToPeer(sender, { { "x" }, peer.mAddress, Numbered(number) });
  }
  for (config_version number = 1; number <= 100; ++number) {
    BOOST_TEST(*Take(peer.mReceived, absl::InfiniteFuture()) == number);
  }
  StopSender(sender);
}

BOOST_AUTO_TEST_CASE(an_unreachable_peer_is_reported_and_others_go_on)
{
  std::string closed;
  {
    const test_peer gone;
    closed = gone.mAddress;
  }
  test_peer peer;
  const metrics_ptr metrics = MakeMetrics();
  mailbox<std::string> unreachable;
  peer_sender sender({}, *metrics, [&unreachable](const member_id& aMember) {
    Put(unreachable, aMember.mValue);
  });
  SendToPeer(sender, { { "gone" }, closed, Numbered(1) });
  SendToPeer(sender, { { "here" }, peer.mAddress, Numbered(2) });
  BOOST_TEST(*Take(unreachable, absl::InfiniteFuture()) == "gone");
  BOOST_TEST(*Take(peer.mReceived, absl::InfiniteFuture()) == 2u);
  StopSender(sender);
}

// A peer that accepts and never answers must not make memory grow.
BOOST_AUTO_TEST_CASE(messages_beyond_the_bound_are_dropped)
{
  absl::Notification go;
  http_server_options serverOptions;
  serverOptions.mIp = "127.0.0.1";
  const auto server =
    MakeHttpServer(serverOptions,
                   [&go](const http_request&,
                         http_connection&) -> std::optional<http_response> {
                     go.WaitForNotification();
                     return http_response{};
                   });
  const auto started = StartServer(*server);
  BOOST_REQUIRE(IsOk(started));
  const metrics_ptr metrics = MakeMetrics();
  peer_sender_options options;
  options.mMaxQueued = 3;
  options.mClient.mResponseTimeout = absl::Seconds(60);
  peer_sender sender(options, *metrics, [](const member_id&) {});
  const std::string address = absl::StrCat("127.0.0.1:", GetValue(started));
  for (config_version number = 0; number < 10; ++number) {
    SendToPeer(sender, { { "x" }, address, Numbered(number) });
  }
  // One may be on its way besides the three that wait.
  BOOST_TEST(GetValue(*metrics, counter::MessagesDropped) >= 6u);
  BOOST_TEST(GetValue(*metrics, counter::MessagesDropped) <= 7u);
  go.Notify();
  StopSender(sender);
  StopServer(*server);
}

} // namespace
} // namespace foxtailquay
