#include "gateway_server_share.h"

#include <algorithm>

#include "gateway_directory.h"
#include "gateway_entries.h"

namespace foxtailquay {

namespace {

// Number of gateways that are asked. Some of those listed may have ended.
constexpr std::size_t kMaxAskedPeers = 3;
// Longest wait for their answers before a gateway that starts reports itself as
// ready: a few round trips, since some may have ended.
constexpr absl::Duration kAnswerTime = absl::Milliseconds(300);
// Largest number of servers in a response: far more than leave a large fleet
// at the same time.
constexpr std::size_t kMaxSharedServers = 256;

// Returns what is known of a listed server; nothing if its entry states that.
std::optional<known_server> DescribeListed(const gateway& aGateway,
                                           const backend_id& aBackend,
                                           const backend_entry& aEntry)
{
  const auto notice = aGateway.mNotices.find(aBackend);
  const bool isStated =
    notice != aGateway.mNotices.end() && notice->second.mIsLeaving;
  if (!aEntry.mLeaving && !isStated &&
      aGateway.mWithheldEntries.count(aBackend) == 0) {
    return std::nullopt;
  }
  return known_server{ aBackend,         aEntry.mStartedMs, aEntry.mAddress,
                       aEntry.mSequence, isStated,          false };
}

// Remembers what is known of a server without an entry in force.
void RecordNotice(gateway& aGateway, const known_server& aServer)
{
  server_notice& notice = aGateway.mNotices[aServer.mBackend];
  notice.mStartedMs = aServer.mStartedMs;
  notice.mAddress = aServer.mAddress;
  notice.mSequence = aServer.mSequence;
  notice.mIsLeaving = aServer.mIsLeaving;
  notice.mIsRemoved = aServer.mIsRemoved;
  notice.mHasExpired = false;
}

// Returns true if this gateway knows of a later statement of the server.
bool KnowsLater(const gateway& aGateway, const known_server& aServer)
{
  const auto notice = aGateway.mNotices.find(aServer.mBackend);
  return notice != aGateway.mNotices.end() &&
         std::make_pair(notice->second.mStartedMs, notice->second.mSequence) >=
           std::make_pair(aServer.mStartedMs, aServer.mSequence);
}

void ApplyServer(gateway& aGateway, const known_server& aServer,
                 absl::Time aNow)
{
  const auto listing = aGateway.mListings.find(aServer.mBackend);
  if (listing == aGateway.mListings.end()) {
    if (!KnowsLater(aGateway, aServer)) {
      RecordNotice(aGateway, aServer);
    }
    return;
  }
  const known_statement known{ { aServer.mStartedMs, aServer.mSequence },
                               aServer.mAddress,
                               false,
                               aServer.mIsLeaving,
                               aServer.mIsRemoved };
  if (const auto conflict = FindConflict(known, listing->second.mEntry)) {
    const backend_listing earlier = listing->second;
    RemoveBackend(aGateway, aServer.mBackend,
                  "another gateway knows a later statement", false);
    RecordNotice(aGateway, aServer);
    WithholdEntry(aGateway, aServer.mBackend, earlier, *conflict, aNow);
  }
}

} // namespace

std::vector<known_server> ListKnownServers(const gateway& aGateway)
{
  std::vector<known_server> servers;
  for (const auto& [id, notice] : aGateway.mNotices) {
    if (aGateway.mListings.count(id) == 0) {
      servers.push_back({ id, notice.mStartedMs, notice.mAddress,
                          notice.mSequence, notice.mIsLeaving,
                          notice.mIsRemoved && !notice.mHasExpired });
    }
  }
  for (const auto& [id, listing] : aGateway.mListings) {
    if (auto server = DescribeListed(aGateway, id, listing.mEntry)) {
      servers.push_back(*std::move(server));
    }
  }
  servers.resize(std::min(servers.size(), kMaxSharedServers));
  return servers;
}

void AskForServers(gateway& aGateway, absl::Time aNow)
{
  if (!aGateway.mWantsServers ||
      !GetArea(aGateway, directory_area::Peers).mComplete) {
    return;
  }
  aGateway.mWantsServers = false;
  const auto peers = ListNextPeers(aGateway, kMaxAskedPeers, aNow);
  aGateway.mServerAnswersDue = peers.size();
  aGateway.mServerAnswersUntil = aNow + kAnswerTime;
  for (const listed_peer* peer : peers) {
    aGateway.mActions.push_back(
      request_servers{ peer->first, peer->second.mPeer.mAddress });
  }
}

bool IsAwaitingServers(const gateway& aGateway, absl::Time aNow)
{
  return aGateway.mServerAnswersDue > 0 && aNow < aGateway.mServerAnswersUntil;
}

void OnServersReceived(gateway& aGateway, const servers_received& aEvent,
                       absl::Time aNow)
{
  aGateway.mServerAnswersDue -= aGateway.mServerAnswersDue > 0 ? 1 : 0;
  for (std::size_t i = 0;
       i < std::min(aEvent.mServers.size(), kMaxSharedServers); ++i) {
    ApplyServer(aGateway, aEvent.mServers[i], aNow);
  }
}

} // namespace foxtailquay
