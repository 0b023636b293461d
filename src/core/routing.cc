#include "routing.h"

#include <algorithm>

namespace foxtailquay {

namespace {

template<typename Id>
bool HasId(const std::vector<Id>& aIds, const std::string& aText)
{
  return std::any_of(aIds.begin(), aIds.end(),
                     [&aText](const Id& aId) { return aId.mValue == aText; });
}

bool IsUsable(const backend_id& aId, const backend_view& aView,
              const routing_query& aQuery, absl::Time aNow)
{
  return !aView.mConfig.mDrain && !aView.mLeaving && !aView.mReport.mLeaving &&
         !aView.mAddress.empty() && aView.mEjectedUntil <= aNow &&
         aView.mOutstanding < aView.mConfig.mMaxConcurrency &&
         aQuery.mExclude.count(aId) == 0 &&
         Serves(aView.mConfig, aQuery.mKind, aQuery.mTarget);
}

} // namespace

bool Serves(const backend_config& aConfig, backend_kind aKind,
            const std::string& aTarget)
{
  if (aConfig.mKind != aKind) {
    return false;
  }
  return aKind == backend_kind::Engine ? HasId(aConfig.mModels, aTarget)
                                       : HasId(aConfig.mServices, aTarget);
}

std::optional<backend_id> ChooseBackend(
  const std::map<backend_id, backend_view>& aViews, const routing_query& aQuery,
  const routing_options&, absl::Time aNow, random_engine& aRandom)
{
  std::vector<backend_id> best;
  int lowest = 0;
  for (const auto& [id, view] : aViews) {
    if (!IsUsable(id, view, aQuery, aNow)) {
      continue;
    }
    if (best.empty() || view.mOutstanding < lowest) {
      best.clear();
      lowest = view.mOutstanding;
    }
    if (view.mOutstanding == lowest) {
      best.push_back(id);
    }
  }
  if (best.empty()) {
    return std::nullopt;
  }
  std::uniform_int_distribution<std::size_t> pick(0, best.size() - 1);
  return best[pick(aRandom)];
}

void NoteReport(backend_view& aView, const load_report& aReport,
                absl::Time aNow)
{
  if (aReport.mSequence <= aView.mReport.mSequence) {
    return;
  }
  aView.mReport = aReport;
  aView.mReportedAt = aNow;
}

void NoteDispatched(backend_view& aView, absl::Time)
{
  ++aView.mOutstanding;
}

void NoteEnded(backend_view& aView, bool aFailed,
               const routing_options& aOptions, absl::Time aNow)
{
  aView.mOutstanding = std::max(0, aView.mOutstanding - 1);
  if (!aFailed) {
    aView.mFailures = 0;
    return;
  }
  if (++aView.mFailures >= aOptions.mEjectAfterFailures) {
    aView.mEjectedUntil = aNow + aOptions.mEjectionTime;
    aView.mFailures = 0;
  }
}

} // namespace foxtailquay
