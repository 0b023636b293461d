// Guards against a server that returns under its id and gets no requests
// because of what was still under way at its earlier incarnation.

#define BOOST_TEST_MODULE incarnation
#include <boost/test/unit_test.hpp>

#include "gateway_fixture.h"
#include "statement_fixture.h"

namespace foxtailquay {
namespace {

// Opens requests at both servers and returns those at "o1". Fails if there are
// none.
std::vector<dispatch_request> OpenRequests(server_fixture& aServer, int aCount)
{
  std::vector<dispatch_request> open;
  for (int i = 0; i < aCount; ++i) {
    FireEvent(aServer.mGateway,
              MakeCallerRequest(aServer.mGateway, "/order/1"));
    const auto dispatch = TakeOnlyDispatch(aServer.mGateway);
    if (dispatch.mBackend.mValue == "o1") {
      open.push_back(dispatch);
    }
  }
  BOOST_REQUIRE(!open.empty());
  return open;
}

void Restart(server_fixture& aServer)
{
  backend_entry restarted = MakeEntry(1, false);
  restarted.mStartedMs = kStartedMs + 1;
  Deliver(aServer, restarted);
}

// Guards against an ejection of the present incarnation: the connections to the
// earlier one break off after the entry of the present one was read.
BOOST_AUTO_TEST_CASE(failures_of_an_earlier_incarnation_are_not_counted)
{
  constexpr int kOpen = 12;
  server_fixture server = MakeServerFixture();
  const auto open = OpenRequests(server, kOpen);
  Restart(server);
  for (const dispatch_request& dispatch : open) {
    attempt_report report =
      MakeAttemptReport(dispatch, attempt_outcome::Broken);
    report.mIsConnectionLost = true;
    FireEvent(server.mGateway, report);
  }
  BOOST_TEST(CountRequests(server) > 0);
}

// Guards against the same after responses of the earlier incarnation that state
// that it is full.
BOOST_AUTO_TEST_CASE(the_load_of_an_earlier_incarnation_is_not_recorded)
{
  server_fixture server = MakeServerFixture();
  const auto open = OpenRequests(server, 8);
  BOOST_REQUIRE(open.size() >= 2U);
  Restart(server);
  first_byte begun{
    open[0].mHandle, open[0].mAttempt, observed_load{ 8, 500, 1 }, {}
  };
  FireEvent(server.mGateway, begun);
  attempt_report report =
    MakeAttemptReport(open[1], attempt_outcome::Delivered);
  report.mLoad = observed_load{ 8, 500, 1 };
  FireEvent(server.mGateway, report);
  BOOST_TEST(CountRequests(server) > 0);
}

// Guards against a count of open requests that is too low, since it includes
// the end of requests that the present incarnation never had.
BOOST_AUTO_TEST_CASE(
  requests_of_an_earlier_incarnation_do_not_end_at_the_present)
{
  server_fixture server = MakeServerFixture();
  const auto earlier = OpenRequests(server, 6);
  Restart(server);
  const auto present = OpenRequests(server, 6);
  for (const dispatch_request& dispatch : earlier) {
    FireEvent(server.mGateway,
              MakeAttemptReport(dispatch, attempt_outcome::Delivered));
  }
  explain_query query;
  query.mHost = "shop.example";
  query.mPath = "/order/1";
  query.mKey = "key";
  server.mGateway.mActions.clear();
  FireEvent(server.mGateway, explain_requested{ 1, query });
  const auto explained = TakeActions<send_explanation>(server.mGateway);
  BOOST_REQUIRE(explained.size() == 1U);
  for (const explained_server& each : explained[0].mExplanation.mServers) {
    if (each.mBackend.mValue == "o1") {
      BOOST_TEST(each.mOutstanding == static_cast<int>(present.size()));
    }
  }
}

} // namespace
} // namespace foxtailquay
