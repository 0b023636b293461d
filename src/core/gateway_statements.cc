// What backend servers state about themselves in their responses.

#include "gateway_statements.h"

#include <algorithm>

#include "absl/strings/str_cat.h"
#include "gateway_capacity.h"
#include "gateway_cold.h"
#include "gateway_directory.h"
#include "gateway_entries.h"
#include "gateway_evacuation.h"

namespace foxtailquay {

namespace {

// Longest back-off that a server may ask for.
constexpr absl::Duration kMaxStatedBackoff = absl::Minutes(5);
// Random part, relative to a back-off, by which it is prolonged, so that the
// gateways do not return at the same time.
constexpr double kBackoffSpread = 0.2;
// Time for which what a server has stated is known after the store has ceased
// to list it: its entry may only have expired.
constexpr absl::Duration kNoticeMemory = absl::Seconds(60);
// Largest number of servers that are not listed and of which something is
// known: far more than leave a large fleet within kNoticeMemory.
constexpr std::size_t kMaxUnlistedNotices = 4096;

rate_context MakeRateContext(gateway& aGateway, absl::Time aNow)
{
  std::uniform_real_distribution<double> fraction(0, 1);
  return { aGateway.mCharts.mRate, CountListedGateways(aGateway),
           fraction(aGateway.mRandom), aNow };
}

// Number of prompt tokens that an engine with many requests processes in the
// time that one output token of one request costs it.
constexpr double kPromptTokensPerOutputToken = 2;
// Requests for which limited servers are kept, as a ratio of those that the
// limits allow.
constexpr double kReservedRatio = 0.8;

// Returns how many requests a second this gateway may send to the servers of
// the service that state a rate limit or are cold.
double ComputeLimitedRate(const gateway& aGateway, const service_id& aService,
                          absl::Time aNow)
{
  const int gateways = CountListedGateways(aGateway);
  double rate = 0;
  for (const auto& [id, view] : aGateway.mViews) {
    const bool isCold = IsColdLimited(view.mCold, aNow);
    const bool isLimited = view.mRateLimit.mStatus == rate_status::Limited;
    if ((isCold || isLimited) && !view.mIsEvacuated &&
        IsConfiguredFor(view.mConfig, backend_kind::Engine, aService.mValue)) {
      absl::Duration interval =
        isCold ? view.mCold.mInterval : absl::ZeroDuration();
      if (isLimited) {
        interval = std::max(
          interval, ComputeShare(view.mRateLimit.mRate, gateways).mInterval);
      }
      rate += absl::FDivDuration(absl::Seconds(1), interval);
    }
  }
  return rate;
}

using listed_server = std::pair<const backend_id, backend_listing>;

server_notice& GetOrCreateNotice(gateway& aGateway,
                                 const listed_server& aServer)
{
  server_notice& notice = aGateway.mNotices[aServer.first];
  notice.mStartedMs = aServer.second.mEntry.mStartedMs;
  notice.mAddress = aServer.second.mEntry.mAddress;
  notice.mSequence = aServer.second.mEntry.mSequence;
  return notice;
}

void ApplyLeaving(gateway& aGateway, listed_server& aServer,
                  backend_view& aView, const forwarded_request& aRequest,
                  absl::Time aNow)
{
  OnLeavingStated(aGateway, aServer.first, aRequest.mDispatchedAt, aNow);
  server_notice& notice = GetOrCreateNotice(aGateway, aServer);
  if (notice.mIsLeaving) {
    return;
  }
  notice.mIsLeaving = true;
  aServer.second.mEntry.mLeaving = true;
  if (!aView.mLeaving) {
    aView.mLeaving = true;
    aView.mLeavingSince = aNow;
    FireHealth(aView, backend_event::LeaveAnnounced, &aGateway.mCharts.mBackend,
               aGateway.mRouting, aNow);
  }
  RecordDecision(aGateway, decision::BackendChanged,
                 { { "backend", aServer.first.mValue },
                   { "state", "leaving" },
                   { "cause", "stated in a response" },
                   { "started_ms", absl::StrCat(notice.mStartedMs) },
                   { "request", aRequest.mCaller.mAttemptId } });
}

void ApplyBackoff(gateway& aGateway, const listed_server& aServer,
                  backend_view& aView, const forwarded_request& aRequest,
                  absl::Duration aTime, absl::Time aNow)
{
  std::uniform_real_distribution<double> spread(1, 1 + kBackoffSpread);
  const absl::Duration time = std::min(aTime, kMaxStatedBackoff);
  server_notice& notice = GetOrCreateNotice(aGateway, aServer);
  notice.mBackoffUntil =
    std::max(notice.mBackoffUntil, aNow + time * spread(aGateway.mRandom));
  aView.mBackoffUntil = notice.mBackoffUntil;
  RecordDecision(
    aGateway, decision::BackendChanged,
    { { "backend", aServer.first.mValue },
      { "state", "backed_off" },
      { "cause", "stated in a response" },
      { "stated_ms", absl::StrCat(absl::ToInt64Milliseconds(aTime)) },
      { "left_ms",
        absl::StrCat(absl::ToInt64Milliseconds(notice.mBackoffUntil - aNow)) },
      { "request", aRequest.mCaller.mAttemptId } });
}

void ApplyRateLimit(gateway& aGateway, backend_view& aView,
                    const forwarded_request& aRequest,
                    const server_statement& aStatement, absl::Time aNow)
{
  rate_limit& limit = aView.mRateLimit;
  // Most servers state nothing, and each response comes here.
  if (!aStatement.mRateLimit && limit.mStatus == rate_status::Unlimited) {
    return;
  }
  const rate_context context = MakeRateContext(aGateway, aNow);
  const server_counts before = CountServer(aView);
  if (!RecordStatement(limit, aStatement, aRequest.mDispatchedAt, context)) {
    return;
  }
  ReplaceCounts(aGateway.mServerCounts, before, CountServer(aView));
  RecordDecision(
    aGateway, decision::RateLimitChanged,
    { { "backend", aRequest.mBackend.mValue },
      { "state", std::string(ToName(limit.mStatus)) },
      { "rate", absl::StrCat(limit.mRate) },
      { "gateways", absl::StrCat(context.mGateways) },
      { "interval_ms",
        absl::StrCat(absl::ToInt64Milliseconds(
          ComputeShare(limit.mRate, context.mGateways).mInterval)) },
      { "request", aRequest.mCaller.mAttemptId } });
}

} // namespace

double ComputeCost(const caller_request& aCaller)
{
  return static_cast<double>(aCaller.mPromptTokens) +
         kPromptTokensPerOutputToken *
           static_cast<double>(aCaller.mMaxOutputTokens);
}

backend_view* FindAttemptView(gateway& aGateway,
                              const forwarded_request& aRequest)
{
  const auto listing = aGateway.mListings.find(aRequest.mBackend);
  const auto view = aGateway.mViews.find(aRequest.mBackend);
  return listing == aGateway.mListings.end() || view == aGateway.mViews.end() ||
             listing->second.mEntry.mStartedMs != aRequest.mBackendStartedMs
           ? nullptr
           : &view->second;
}

void RecordLoad(gateway& aGateway, const forwarded_request& aRequest,
                const std::optional<observed_load>& aLoad, absl::Time aNow)
{
  backend_view* view = FindAttemptView(aGateway, aRequest);
  if (!aLoad || view == nullptr) {
    return;
  }
  load_report report;
  report.mBackend = aRequest.mBackend;
  report.mSequence = ++aGateway.mLoadSequence;
  report.mRunning = aLoad->mRunning;
  report.mQueued = aLoad->mQueued;
  report.mLoadedModels = view->mConfig.mModels;
  RecordLoadReport(*view, report, aNow);
  RecordSlowness(view->mSlowness, aLoad->mSlowness, aNow);
  RecordMemoryLoad(aGateway, aRequest.mBackend, *view, aNow);
  RecordStatedSlowness(
    aGateway.mWork,
    aGateway.mListings.at(aRequest.mBackend).mEntry.mService.mValue,
    view->mStatements, view->mSlowness.mFactor, aNow);
}

void RecordLimitedDispatch(gateway& aGateway, backend_view& aView,
                           absl::Time aNow)
{
  if (aView.mRateLimit.mStatus == rate_status::Limited) {
    RecordRunStart(aView.mRateLimit, MakeRateContext(aGateway, aNow));
  }
  RecordColdRun(aView.mCold, aNow);
}

limited_use ChooseLimitedUse(const gateway& aGateway,
                             const forwarded_request& aRequest,
                             cost_profile& aCosts, absl::Time aNow)
{
  if (!aRequest.mIsEngine) {
    return limited_use::Alike;
  }
  const double cost = ComputeCost(aRequest.mCaller);
  if (aRequest.mAttempts == 0 && !aRequest.mHasTurn) {
    AddCost(aCosts, cost, aNow);
  }
  const double rate = ComputeLimitedRate(aGateway, aRequest.mService, aNow);
  if (rate <= 0) {
    return limited_use::Alike;
  }
  return cost >= FindCostOfTop(aCosts, kReservedRatio * rate, aNow)
           ? limited_use::First
           : limited_use::Last;
}

error MakeUnroutableError(const gateway& aGateway, const routing_query& aQuery,
                          absl::Time aNow)
{
  error unroutable = MakeError(error_code::NoBackendServer, executed::No,
                               "no backend server can take the request");
  if (FindShortage(aGateway.mViews, aQuery, aNow) == shortage::Memory) {
    unroutable.mCode = error_code::Overloaded;
    unroutable.mDetail = absl::StrCat("no engine has memory for ",
                                      aQuery.mMemory.mTokens, " tokens now");
    return unroutable;
  }
  const absl::Time next = FindNextRunTime(aGateway.mViews, aQuery, aNow);
  if (next != absl::InfiniteFuture()) {
    unroutable.mDetail = "all backend servers are at the limits that they "
                         "state, or cannot take the request";
    unroutable.mRetryAfter = std::max(unroutable.mRetryAfter, next - aNow);
  } else if (HasEvacuatedServer(aGateway, aQuery)) {
    unroutable.mDetail = "backend servers are in evacuated availability zones, "
                         "the others cannot take the request";
  }
  return unroutable;
}

backend_entry AddNotice(gateway& aGateway, const backend_id& aBackend,
                        backend_entry aEntry, bool aIsConfirmed)
{
  const auto notice = aGateway.mNotices.find(aBackend);
  if (notice == aGateway.mNotices.end()) {
    return aEntry;
  }
  if (notice->second.mStartedMs != aEntry.mStartedMs ||
      notice->second.mAddress != aEntry.mAddress) {
    aGateway.mNotices.erase(notice);
    return aEntry;
  }
  notice->second.mIsRemoved = false;
  notice->second.mHasExpired = false;
  if (aIsConfirmed) {
    notice->second.mIsLeaving = aEntry.mLeaving;
  }
  aEntry.mLeaving = aEntry.mLeaving || notice->second.mIsLeaving;
  return aEntry;
}

void KeepLeavingNotices(gateway& aGateway)
{
  for (const listed_server& server : aGateway.mListings) {
    if (server.second.mEntry.mLeaving) {
      GetOrCreateNotice(aGateway, server).mIsLeaving = true;
    }
  }
}

void AddRemovedNotice(gateway& aGateway, const backend_id& aBackend,
                      const backend_entry& aEntry, bool aHasExpired)
{
  server_notice& notice = aGateway.mNotices[aBackend];
  notice.mStartedMs = aEntry.mStartedMs;
  notice.mAddress = aEntry.mAddress;
  notice.mSequence = aEntry.mSequence;
  notice.mIsRemoved = true;
  notice.mHasExpired = aHasExpired;
}

void AdvanceNotices(gateway& aGateway, absl::Time aNow)
{
  std::vector<std::pair<absl::Time, backend_id>> unlisted;
  for (auto it = aGateway.mNotices.begin(); it != aGateway.mNotices.end();) {
    const auto notice = it++;
    if (aGateway.mListings.count(notice->first) > 0) {
      notice->second.mForgetAt = absl::InfiniteFuture();
    } else if (notice->second.mForgetAt == absl::InfiniteFuture()) {
      notice->second.mForgetAt = aNow + kNoticeMemory;
    } else if (aNow >= notice->second.mForgetAt) {
      aGateway.mNotices.erase(notice);
      continue;
    }
    if (notice->second.mForgetAt != absl::InfiniteFuture()) {
      unlisted.emplace_back(notice->second.mForgetAt, notice->first);
    }
  }
  if (unlisted.size() > kMaxUnlistedNotices) {
    std::sort(unlisted.begin(), unlisted.end());
    unlisted.resize(unlisted.size() - kMaxUnlistedNotices);
    for (const auto& each : unlisted) {
      aGateway.mNotices.erase(each.second);
    }
  }
}

void ApplyStatement(gateway& aGateway, const forwarded_request& aRequest,
                    const server_statement& aStatement, absl::Time aNow)
{
  backend_view* view = FindAttemptView(aGateway, aRequest);
  if (view == nullptr) {
    return;
  }
  listed_server& server = *aGateway.mListings.find(aRequest.mBackend);
  if (aStatement.mIsLeaving) {
    ApplyLeaving(aGateway, server, *view, aRequest, aNow);
  }
  if (aStatement.mBackoff) {
    ApplyBackoff(aGateway, server, *view, aRequest, *aStatement.mBackoff, aNow);
  }
  ApplyRateLimit(aGateway, *view, aRequest, aStatement, aNow);
}

void ApplyServerReport(gateway& aGateway, const forwarded_request& aRequest,
                       const attempt_report& aReport, absl::Time aNow)
{
  if (aReport.mStatement) {
    ApplyStatement(aGateway, aRequest, *aReport.mStatement, aNow);
    if (!aReport.mWrongServer) {
      RecordColdStatement(aGateway, aRequest, *aReport.mStatement, aNow);
    }
  }
  if (aReport.mIsConnectionLost) {
    RecordConnectionLoss(aGateway, aRequest, aNow);
  }
}

} // namespace foxtailquay
