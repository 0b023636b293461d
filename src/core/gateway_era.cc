// Eras of the store. The store may return to an older state and give out
// versions and leases again; it then states a new era. Everything that a
// gateway concluded from versions of the old era is started anew.

#include "absl/strings/str_cat.h"
#include "gateway_state.h"

namespace foxtailquay {

void ObserveEra(gateway& aGateway, store_era aEra, std::string_view aCause,
                absl::Time aNow)
{
  if (aEra <= aGateway.mEra) {
    return;
  }
  const store_era earlier = aGateway.mEra;
  aGateway.mEra = aEra;
  if (earlier == 0) {
    aGateway.mFirstEra = aEra;
    if (aGateway.mRecovery.mHasRead) {
      aGateway.mRecovery.mFirstEra = aEra;
    }
    for (auto& entry : aGateway.mWorkspaceTokens) {
      entry.second.mShare.mEra = aEra;
    }
    return;
  }
  RecordDecision(aGateway, decision::StoreEraChanged,
                 { { "era", absl::StrCat(aEra) },
                   { "earlier_era", absl::StrCat(earlier) },
                   { "cause", std::string(aCause) } });
  aGateway.mMarksEra = true;
  RestartWatches(aGateway, aNow);
  RestartCrashReports(aGateway);
  StartRecovery(aGateway, aNow);
}

era_match MatchEra(gateway& aGateway, const response_era& aEra, absl::Time aNow)
{
  const store_era stated = aEra.mStated.value_or(aGateway.mEra);
  ObserveEra(aGateway, stated, "store", aNow);
  const store_era known = aEra.mKnown == 0 ? aGateway.mFirstEra : aEra.mKnown;
  if (known != aGateway.mEra) {
    return era_match::Superseded;
  }
  if (stated == aGateway.mEra) {
    return era_match::Current;
  }
  if (aGateway.mIgnoredEra != stated) {
    aGateway.mIgnoredEra = stated;
    RecordDecision(aGateway, decision::StoreEraIgnored,
                   { { "era", absl::StrCat(aGateway.mEra) },
                     { "stated_era", absl::StrCat(stated) } });
  }
  return era_match::Unsound;
}

} // namespace foxtailquay
