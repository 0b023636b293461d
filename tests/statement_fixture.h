// One backend server, "o1", at a gateway, for tests of what the gateway makes
// of its statements. Another server of the service is always ready.
//
//   server_fixture server = MakeServerFixture();
//   Deliver(server, MakeEntry(8, true));
//   BOOST_TEST(CountRequests(server) == 0);

#ifndef TESTS_STATEMENT_FIXTURE_H
#define TESTS_STATEMENT_FIXTURE_H

#include <optional>
#include <string>
#include <vector>

#include "gateway_fixture.h"

namespace foxtailquay {

constexpr absl::Duration kHeartbeat = absl::Milliseconds(1200);
// Time of silence after which the store removes an entry.
inline const absl::Duration kRemovalTime = 3 * kHeartbeat;
// Time after a change within which the gateway watches again.
constexpr absl::Duration kWatchPause = absl::Milliseconds(250);
constexpr std::int64_t kStartedMs = 1700000000000;
constexpr char kServerAddress[] = "10.0.0.1:1";

struct server_fixture
{
  gateway_fixture mGateway;
  store_version mRevision = 20;
  // True if the store answers no calls of the gateway.
  bool mIsStoreAway = false;
  // Address that got the last request counted by CountRequests.
  std::string mLastAddress;
};

inline backend_entry MakeEntry(std::int64_t aSequence, bool aLeaving)
{
  backend_entry entry = MakeBackendEntry("orders", kServerAddress);
  entry.mStartedMs = kStartedMs;
  entry.mSequence = aSequence;
  entry.mLeaving = aLeaving;
  return entry;
}

// Delivers an event of the watch and waits until the gateway watches again.
inline void DeliverChange(server_fixture& aServer,
                          std::optional<backend_entry> aEntry)
{
  ++aServer.mRevision;
  DeliverBackends(aServer.mGateway, aServer.mRevision, false,
                  { { "o1", aServer.mRevision, std::move(aEntry) } });
  AdvanceTime(aServer.mGateway, kWatchPause);
}

inline void Deliver(server_fixture& aServer, const backend_entry& aEntry)
{
  DeliverChange(aServer, aEntry);
}

inline void Remove(server_fixture& aServer)
{
  DeliverChange(aServer, std::nullopt);
}

// Leaves the service without another server.
inline void RemoveOtherServer(server_fixture& aServer)
{
  ++aServer.mRevision;
  DeliverBackends(aServer.mGateway, aServer.mRevision, false,
                  { { "o2", aServer.mRevision, std::nullopt } });
}

// Delivers a complete read, as after the loss of the store's history.
inline void DeliverComplete(server_fixture& aServer,
                            std::optional<backend_entry> aEntry)
{
  directory_response lost;
  lost.mArea = directory_area::Backends;
  lost.mStatus = directory_status::HistoryLost;
  AdvanceTime(aServer.mGateway, absl::Milliseconds(300));
  FireEvent(aServer.mGateway, lost);
  ++aServer.mRevision;
  std::vector<directory_change<backend_entry>> entries = {
    { "o2", 3, MakeBackendEntry("orders", "10.0.0.2:1") }
  };
  if (aEntry) {
    entries.push_back({ "o1", aServer.mRevision, *std::move(aEntry) });
  }
  DeliverBackends(aServer.mGateway, aServer.mRevision, true,
                  std::move(entries));
}

inline server_fixture MakeServerFixture()
{
  server_fixture server;
  server.mGateway = MakeReadyGateway();
  Deliver(server, MakeEntry(1, false));
  return server;
}

// Passes the time. The store answers calls on backend servers without changes
// within a few milliseconds, or fails them while it is away.
inline void Await(server_fixture& aServer, absl::Duration aTime)
{
  constexpr absl::Duration kStep = absl::Milliseconds(50);
  const absl::Time end = aServer.mGateway.mNow + aTime;
  while (aServer.mGateway.mNow < end) {
    AdvanceTime(aServer.mGateway, kStep);
    bool isCalled = false;
    for (const auto& query : TakeActions<directory_query>(aServer.mGateway)) {
      isCalled = isCalled || query.mArea == directory_area::Backends;
    }
    if (aServer.mIsStoreAway) {
      directory_response lost;
      lost.mArea = directory_area::Backends;
      FireEvent(aServer.mGateway, lost);
    } else if (isCalled) {
      DeliverBackends(aServer.mGateway, aServer.mRevision, false, {});
    }
  }
}

// Returns how many of some requests the server gets.
inline int CountRequests(server_fixture& aServer)
{
  constexpr int kRequests = 30;
  int count = 0;
  for (int i = 0; i < kRequests; ++i) {
    aServer.mGateway.mActions.clear();
    FireEvent(aServer.mGateway,
              MakeCallerRequest(aServer.mGateway, "/order/1"));
    const auto dispatch = TakeOnlyDispatch(aServer.mGateway);
    if (dispatch.mBackend.mValue == "o1") {
      aServer.mLastAddress = dispatch.mAddress;
      ++count;
    }
    FireEvent(aServer.mGateway,
              MakeAttemptReport(dispatch, attempt_outcome::Delivered));
  }
  return count;
}

// Sends requests until the server gets one, which stays open.
inline dispatch_request SendUntilServer(server_fixture& aServer)
{
  constexpr int kMaxRequests = 200;
  for (int i = 0; i < kMaxRequests; ++i) {
    FireEvent(aServer.mGateway,
              MakeCallerRequest(aServer.mGateway, "/order/1"));
    auto dispatch = TakeOnlyDispatch(aServer.mGateway);
    if (dispatch.mBackend.mValue == "o1") {
      return dispatch;
    }
    FireEvent(aServer.mGateway,
              MakeAttemptReport(dispatch, attempt_outcome::Delivered));
  }
  BOOST_FAIL("the server gets no request");
  return {};
}

// Ends the request with a response that states that the server leaves.
inline void StateLeaving(server_fixture& aServer,
                         const dispatch_request& aDispatch)
{
  attempt_report report =
    MakeAttemptReport(aDispatch, attempt_outcome::Delivered);
  report.mStatement = server_statement{};
  report.mStatement->mIsLeaving = true;
  FireEvent(aServer.mGateway, report);
  aServer.mGateway.mActions.clear();
}

inline std::size_t CountUnconfirmed(const server_fixture& aServer)
{
  return GetSummary(*aServer.mGateway.mNode).mUnconfirmedBackends;
}

// Returns the log records on withheld entries and removes all actions.
inline std::vector<decision_record> TakeWithheldLines(server_fixture& aServer)
{
  std::vector<decision_record> lines;
  for (const auto& each : TakeActions<decision_record>(aServer.mGateway)) {
    if (each.mDecision == decision::EntryWithheld) {
      lines.push_back(each);
    }
  }
  return lines;
}

// Returns the input of the record with the name; empty if it has none.
inline std::string GetInput(const decision_record& aRecord,
                            std::string_view aName)
{
  for (const auto& [name, value] : aRecord.mInputs) {
    if (name == aName) {
      return value;
    }
  }
  return {};
}

} // namespace foxtailquay

#endif
