// Choice of the backend server for one request.
//
// A router keeps one `backend_view` per backend server, from lagging load
// reports and from its own outstanding work, and asks ChooseBackend for each
// dispatch.

#ifndef FOXTAILQUAY_CORE_ROUTING_H
#define FOXTAILQUAY_CORE_ROUTING_H

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "absl/time/time.h"
#include "foxtailquay/config.h"
#include "foxtailquay/messages.h"

namespace foxtailquay {

using random_engine = std::mt19937_64;

struct routing_options
{
  // Consecutive failures after which a backend server is ejected.
  int mEjectAfterFailures = 3;
  absl::Duration mEjectionTime = absl::Seconds(5);
};

struct backend_view
{
  backend_config mConfig;
  member_id mAgent;
  // Empty while the agent is not a member.
  std::string mAddress;
  incarnation_number mAgentIncarnation = 0;
  load_report mReport;
  absl::Time mReportedAt = absl::InfinitePast();
  // Runs that this router has dispatched and that have not ended.
  int mOutstanding = 0;
  int mFailures = 0;
  absl::Time mEjectedUntil = absl::InfinitePast();
  bool mLeaving = false;
};

struct routing_query
{
  backend_kind mKind = backend_kind::Engine;
  // Model or service name.
  std::string mTarget;
  zone_id mZone;
  std::vector<std::uint64_t> mPrefixes;
  priority_class mPriority = priority_class::Standard;
  token_count mPromptTokens = 0;
  // Backend servers that already refused or failed this request.
  std::set<backend_id> mExclude;
};

// Returns the backend server to use, or nothing if none can serve the query.
std::optional<backend_id> ChooseBackend(
  const std::map<backend_id, backend_view>& aViews, const routing_query& aQuery,
  const routing_options& aOptions, absl::Time aNow, random_engine& aRandom);

// Takes a report unless a newer one is known.
void NoteReport(backend_view& aView, const load_report& aReport,
                absl::Time aNow);
void NoteDispatched(backend_view& aView, absl::Time aNow);
// The run ended; aFailed counts towards ejection.
void NoteEnded(backend_view& aView, bool aFailed,
               const routing_options& aOptions, absl::Time aNow);

// True if the backend server is configured for the target.
bool Serves(const backend_config& aConfig, backend_kind aKind,
            const std::string& aTarget);

} // namespace foxtailquay

#endif
