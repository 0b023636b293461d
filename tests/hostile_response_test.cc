// Guards against responses of faulty servers that reach a caller as something
// else: a refusal that belongs to an earlier request, an error in the middle of
// a stream, and a header section that breaks off. Runs over loopback with
// scripted servers.

#define BOOST_TEST_MODULE hostile_response
#include <boost/test/unit_test.hpp>

#include <thread>
#include <vector>

#include "traffic_fixture.h"

namespace foxtailquay {
namespace {

const std::string kRefusal = "HTTP/1.1 503 Busy\r\n"
                             "Foxtailquay-Not-Executed: 1\r\n"
                             "Content-Length: 0\r\n";

// A server that writes an earlier refusal once more must not make the next
// request look as if it had not run.
BOOST_AUTO_TEST_CASE(a_repeated_refusal_does_not_refuse_the_next_request)
{
  traffic_fixture fixture;
  tcp::socket caller = SendCallerBytes(fixture, MakeRequest());
  tcp::socket server = ForwardSecondRequest(
    fixture, caller, CompleteFirstExchange(fixture, caller));
  asio::write(server,
              asio::buffer(kRefusal + "Foxtailquay-Attempt-Id: a1\r\n\r\n" +
                           MakeResponseHead("a2") +
                           "Content-Length: 3\r\n\r\nown"));
  BOOST_TEST(ReadUntil(caller, "own").find("s-a2") != std::string::npos);
  BOOST_TEST(ToName(AwaitEvent<attempt_report>(fixture).mOutcome) ==
             ToName(attempt_outcome::Delivered));
}

// A refusal without an attempt id may be a copy of an earlier one if the
// connection was used before. It does not show that the request did not run.
BOOST_AUTO_TEST_CASE(an_unnamed_refusal_on_a_reused_connection_proves_nothing)
{
  for (const std::string& refusal :
       { kRefusal,
         std::string("HTTP/1.1 421 Other\r\nContent-Length: 0\r\n") }) {
    traffic_fixture fixture;
    tcp::socket caller = SendCallerBytes(fixture, MakeRequest());
    tcp::socket server = ForwardSecondRequest(
      fixture, caller, CompleteFirstExchange(fixture, caller));
    asio::write(server, asio::buffer(refusal + "\r\n"));
    BOOST_TEST(ToName(AwaitEvent<attempt_report>(fixture).mOutcome) ==
               ToName(attempt_outcome::Broken));
  }
}

// The error of the server to which a broken stream was resumed must not become
// a part of the stream, nor end it like a complete one.
BOOST_AUTO_TEST_CASE(an_error_after_a_broken_stream_is_not_relayed_into_it)
{
  const std::string errors[] = {
    "HTTP/1.1 500 Oops\r\nFoxtailquay-Attempt-Id: a1\r\n"
    "Foxtailquay-Server-Seal: s2\r\nContent-Length: 7\r\n\r\nfailure",
    "HTTP/1.1 500 Oops\r\nFoxtailquay-Attempt-Id: a1\r\n"
    "Content-Type: text/event-stream\r\nFoxtailquay-Server-Seal: s2\r\n"
    "Transfer-Encoding: chunked\r\n\r\n"
    "f\r\ndata: failure\n\n\r\n0\r\n\r\n",
    "HTTP/1.1 404 None\r\nFoxtailquay-Attempt-Id: a1\r\n"
    "Content-Length: 7\r\n\r\nfailure",
  };
  for (const std::string& error : errors) {
    BOOST_TEST_CONTEXT(error)
    {
      traffic_fixture fixture;
      tcp::socket caller = SendCallerBytes(fixture, MakeRequest());
      const auto request = AwaitEvent<caller_request>(fixture);
      DispatchAttempt(fixture, request.mHandle, 1, call_kind::Stream);
      RespondOnce(fixture, kResponseHead + "Transfer-Encoding: chunked\r\n\r\n"
                                           "e\r\nid: 1\ndata:x\n\n\r\n")
        .close();
      BOOST_TEST(ToName(AwaitEvent<attempt_report>(fixture).mOutcome) ==
                 ToName(attempt_outcome::BrokenMidway));
      DispatchAttempt(fixture, request.mHandle, 2, call_kind::Stream);
      tcp::socket second = RespondOnce(fixture, error);
      AwaitEvent<attempt_report>(fixture);
      Post(fixture.mLoop, [&fixture, handle = request.mHandle] {
        DeliverFailure(fixture.mTraffic, handle);
      });
      const std::string seen = ReadUntil(caller, "");
      BOOST_TEST(seen.find("data:x\n\n") != std::string::npos);
      BOOST_TEST(seen.find("failure") == std::string::npos);
      BOOST_TEST(seen.find("HTTP/1.1", 1) == std::string::npos);
      BOOST_TEST(seen.find("\r\n0\r\n\r\n") == std::string::npos);
    }
  }
}

// A server that stops in the middle of a header section has not responded.
BOOST_AUTO_TEST_CASE(a_header_section_that_breaks_off_is_no_response)
{
  const std::string whole =
    kResponseHead + "Content-Type: text/event-stream\r\n\r\n";
  for (const call_kind kind :
       { call_kind::Stream, call_kind::Idempotent, call_kind::NonIdempotent }) {
    for (const std::size_t missing : { 1U, 2U, 4U, 20U, 60U }) {
      for (const bool isReset : { false, true }) {
        BOOST_TEST_CONTEXT(ToName(kind) << ", " << missing << " bytes missing")
        {
          traffic_fixture fixture;
          tcp::socket caller = SendCallerBytes(fixture, MakeRequest());
          const auto request = AwaitEvent<caller_request>(fixture);
          DispatchAttempt(fixture, request.mHandle, 1, kind);
          tcp::socket server =
            RespondOnce(fixture, whole.substr(0, whole.size() - missing));
          if (isReset) {
            ResetConnection(server);
          } else {
            server.close();
          }
          const auto report = AwaitEvent<attempt_report>(fixture);
          BOOST_TEST(ToName(report.mOutcome) ==
                     ToName(attempt_outcome::Broken));
          BOOST_TEST(report.mStatus == 0);
          BOOST_TEST(caller.available() == 0U);
        }
      }
    }
  }
}

// A status outside 100 to 599 is none that HTTP defines. Such a response must
// neither reach the caller nor make it wait until its deadline.
BOOST_AUTO_TEST_CASE(a_status_that_http_does_not_define_is_no_response)
{
  for (const char* status : { "000", "099", "600", "999" }) {
    for (const call_kind kind : { call_kind::Stream, call_kind::Idempotent,
                                  call_kind::NonIdempotent }) {
      BOOST_TEST_CONTEXT(ToName(kind) << ", status " << status)
      {
        traffic_fixture fixture;
        tcp::socket caller = SendCallerBytes(fixture, MakeRequest());
        const auto request = AwaitEvent<caller_request>(fixture);
        DispatchAttempt(fixture, request.mHandle, 1, kind);
        const tcp::socket server =
          RespondOnce(fixture, std::string("HTTP/1.1 ") + status +
                                 " Odd\r\nFoxtailquay-Attempt-Id: a1\r\n"
                                 "Foxtailquay-Server-Seal: s1\r\n" +
                                 kOkBody);
        BOOST_TEST(ToName(AwaitEvent<attempt_report>(fixture).mOutcome) ==
                   ToName(attempt_outcome::Broken));
        BOOST_TEST(caller.available() == 0U);
      }
    }
  }
}

// A server that responds before it has read a long body and then resets the
// connection, which the unsent rest of the body would hide, has sent a part of
// its response only.
BOOST_AUTO_TEST_CASE(a_response_that_is_reset_during_an_upload_is_incomplete)
{
  const std::string body(900 << 10, 'u');
  const std::string head = "POST /p/1 HTTP/1.1\r\nHost: h.example\r\n"
                           "Foxtailquay-Attempt-Id: a1\r\n"
                           "Content-Length: " +
                           std::to_string(body.size()) + "\r\n\r\n";
  for (const call_kind kind :
       { call_kind::Stream, call_kind::Idempotent, call_kind::NonIdempotent }) {
    for (const int pauseMs : { 0, 20, 500 }) {
      BOOST_TEST_CONTEXT(ToName(kind) << ", reset after " << pauseMs << " ms")
      {
        traffic_fixture fixture;
        tcp::socket caller = SendCallerBytes(fixture, head + body);
        const auto request = AwaitEvent<caller_request>(fixture);
        DispatchAttempt(fixture, request.mHandle, 1, kind);
        tcp::socket server = fixture.mServerAcceptor.accept();
        ReadUntil(server, "\r\n\r\n");
        asio::write(server,
                    asio::buffer(kResponseHead + "\r\nid: 1\ndata: part\n\n"));
        std::this_thread::sleep_for(std::chrono::milliseconds(pauseMs));
        ResetConnection(server);
        const auto outcome = AwaitEvent<attempt_report>(fixture).mOutcome;
        BOOST_TEST((outcome == attempt_outcome::Broken ||
                    (outcome == attempt_outcome::BrokenMidway &&
                     kind == call_kind::Stream)));
        Post(fixture.mLoop, [&fixture, handle = request.mHandle] {
          SendError(fixture.mTraffic, { handle, error{} });
        });
        const std::string seen = ReadUntil(caller, "}");
        BOOST_TEST((outcome == attempt_outcome::BrokenMidway ||
                    seen.find("200") == std::string::npos));
        BOOST_TEST(seen.find("\r\n0\r\n\r\n") == std::string::npos);
      }
    }
  }
}

} // namespace
} // namespace foxtailquay
