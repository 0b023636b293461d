// The backend servers from which routing chooses, and whether each can take a
// request. Shared by the files of routing; not part of the interface in
// routing.h.

#ifndef FOXTAILQUAY_CORE_ROUTING_CANDIDATES_H
#define FOXTAILQUAY_CORE_ROUTING_CANDIDATES_H

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <iterator>
#include <map>
#include <string>
#include <vector>

#include "foxtailquay/explanation.h"
#include "routing.h"

namespace foxtailquay {

struct candidate
{
  const backend_id* mId = nullptr;
  const backend_view* mView = nullptr;
  std::uint64_t mRank = 0;
};

using candidates = std::vector<candidate>;

// The backend servers of a target. The first mSubsetCount of them are this
// router's subset.
struct ranked_backends
{
  candidates mCandidates;
  std::size_t mSubsetCount = 0;
  double mRoutersPerBackend = 1;
};

std::uint64_t ComputeHash(const std::string& aText, std::uint64_t aSeed);

// Returns the servers that are configured for the target.
ranked_backends RankBackends(const std::map<backend_id, backend_view>& aViews,
                             backend_kind aKind, const std::string& aTarget,
                             const routing_options& aOptions);

// Returns Usable if the server accepts runs, regardless of ejection and of all
// limits; otherwise why it does not.
server_verdict CheckAvailability(const candidate& aCandidate,
                                 const routing_query& aQuery);

bool HasFreeSlot(const backend_view& aView);

// Returns Usable if the server accepts runs and has a free slot and enough
// memory, regardless of ejection and of the limits that it states; otherwise
// why it cannot be used.
server_verdict CheckCapacity(const candidate& aCandidate,
                             const routing_query& aQuery);

// Returns Usable if the server can be used; otherwise why it cannot be used, or
// is used only if there is no other one.
server_verdict CheckServer(const candidate& aCandidate,
                           const routing_query& aQuery, absl::Time aNow);

// Returns true if a server with this result of CheckServer is used if there is
// no other one.
bool IsLastResort(server_verdict aVerdict);

// Returns the earliest time at which the server takes a request of this router,
// according to what it states and to whether it is cold.
absl::Time GetNextRunTime(const backend_view& aView, absl::Time aNow);

template<typename Predicate>
candidates FilterCandidates(const candidates& aFrom, std::size_t aBegin,
                            std::size_t aEnd, Predicate aKeep)
{
  candidates selected;
  selected.reserve(aEnd - aBegin);
  std::copy_if(aFrom.begin() + static_cast<std::ptrdiff_t>(aBegin),
               aFrom.begin() + static_cast<std::ptrdiff_t>(aEnd),
               std::back_inserter(selected), aKeep);
  return selected;
}

// Returns the first non-empty list of: usable servers with a rate limit, if the
// query uses these first; usable servers of the subset, other usable servers,
// all eligible servers (kept for others, ejected, at the limit of Probing or
// not reached since their connections failed).
candidates ListCandidates(const ranked_backends& aBackends,
                          const routing_query& aQuery, absl::Time aNow);

} // namespace foxtailquay

#endif
