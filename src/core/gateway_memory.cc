// Memory of the engines at a gateway: what each request needs and holds, and
// what the gateways state to each other.

#include <algorithm>

#include "absl/strings/str_cat.h"
#include "gateway_capacity.h"
#include "gateway_directory.h"
#include "gateway_statements.h"

namespace foxtailquay {

namespace {

// Time for which ends of requests are batched. It is longer than for starts,
// which others must know before they send more.
constexpr absl::Duration kHoldingEndDelay = absl::Milliseconds(100);

// Returns what estimates of the memory depend on, for no particular request.
memory_need MakeContext(const gateway& aGateway, const service_id& aService,
                        absl::Time aNow)
{
  memory_need need;
  need.mPeers = CountListedGateways(aGateway) - 1;
  need.mNow = aNow;
  const auto sizes = aGateway.mHoldingSizes.find(aService.mValue);
  if (sizes != aGateway.mHoldingSizes.end()) {
    need.mSizes = sizes->second;
  }
  return need;
}

// Has the prompt report at aAt, at the latest, state what this gateway holds at
// the engine.
void ScheduleHoldingReport(gateway& aGateway, const backend_id& aBackend,
                           absl::Time aAt)
{
  if (!aGateway.mPeers.empty()) {
    aGateway.mChangedHoldings.insert(aBackend);
    aGateway.mReportAt = std::min(aGateway.mReportAt, aAt);
  }
}

// States a change of what this gateway holds at the engine at aAt, at the
// latest, if the engine is tight. Statements on all engines would fill the link
// of a gateway with many callers.
void ReportIfTight(gateway& aGateway, const backend_id& aBackend,
                   const backend_view& aView, const service_id& aService,
                   absl::Time aAt, absl::Time aNow)
{
  if (IsTight(aView, MakeContext(aGateway, aService, aNow))) {
    ScheduleHoldingReport(aGateway, aBackend, aAt);
  }
}

// Returns true if the other gateways do not know what this one holds.
bool IsReportDue(const engine_memory& aMemory, absl::Time aNow)
{
  return aMemory.mOwnTokens != aMemory.mReportedTokens ||
         (aMemory.mOwnTokens > 0 &&
          aNow - aMemory.mReportedAt >= kHoldingInterval);
}

} // namespace

token_count GetEngineMemory(const gateway& aGateway, const service_id& aService)
{
  if (!aGateway.mSettings.mIsEngineMemoryLimited || !aGateway.mTable) {
    return 0;
  }
  const traffic_service* service = FindService(*aGateway.mTable, aService);
  return service != nullptr ? service->mMemoryTokens : 0;
}

memory_need MakeMemoryNeed(const gateway& aGateway,
                           const forwarded_request& aRequest, absl::Time aNow)
{
  if (GetEngineMemory(aGateway, aRequest.mService) <= 0) {
    return {};
  }
  memory_need need = MakeContext(aGateway, aRequest.mService, aNow);
  need.mTokens = aRequest.mWorstCaseCost;
  return need;
}

void HoldTokens(gateway& aGateway, forwarded_request& aRequest,
                const backend_id& aBackend, backend_view& aView,
                absl::Time aNow)
{
  aRequest.mHeldTokens = 0;
  if (aView.mMemory.mCapacity <= 0) {
    return;
  }
  aRequest.mHeldTokens = aRequest.mWorstCaseCost;
  RecordHolding(aView.mMemory, aRequest.mHeldTokens);
  RecordSize(aGateway.mHoldingSizes[aRequest.mService.mValue],
             aRequest.mHeldTokens, aNow);
  ReportIfTight(aGateway, aBackend, aView, aRequest.mService, aNow, aNow);
}

void ReleaseHeldTokens(gateway& aGateway, forwarded_request& aRequest,
                       absl::Time aNow)
{
  const token_count held = aRequest.mHeldTokens;
  aRequest.mHeldTokens = 0;
  // Another incarnation does not hold the request.
  backend_view* view = FindAttemptView(aGateway, aRequest);
  if (held == 0 || view == nullptr) {
    return;
  }
  ReportIfTight(aGateway, aRequest.mBackend, *view, aRequest.mService,
                aNow + kHoldingEndDelay, aNow);
  ReleaseHolding(view->mMemory, held);
}

std::optional<error> CheckMemory(const gateway& aGateway,
                                 const forwarded_request& aRequest)
{
  const token_count capacity = GetEngineMemory(aGateway, aRequest.mService);
  if (capacity <= 0 || aRequest.mWorstCaseCost <= capacity) {
    return std::nullopt;
  }
  error refusal = MakeError(
    error_code::InvalidRequest, executed::No,
    absl::StrCat("the request needs ", aRequest.mWorstCaseCost,
                 " tokens, an engine of the service holds ", capacity));
  refusal.mRetryAfter = absl::ZeroDuration();
  return refusal;
}

void RecordMemoryLoad(gateway& aGateway, const backend_id& aBackend,
                      const backend_view& aView, absl::Time aNow)
{
  const auto listing = aGateway.mListings.find(aBackend);
  if (aView.mMemory.mCapacity <= 0 || listing == aGateway.mListings.end()) {
    return;
  }
  const service_id& service = listing->second.mEntry.mService;
  RecordEngineLoad(aGateway.mHoldingSizes[service.mValue],
                   aView.mReport.mRunning + aView.mReport.mQueued, aNow);
  if (IsReportDue(aView.mMemory, aNow)) {
    ReportIfTight(aGateway, aBackend, aView, service, aNow + kLargeReportDelay,
                  aNow);
  }
}

void RecordPeerStatement(gateway& aGateway, const std::string& aPeer,
                         const sent_prompt& aStatement, backend_view& aView,
                         absl::Time aNow)
{
  if (aView.mMemory.mCapacity <= 0 || !aStatement.mHeldTokens) {
    return;
  }
  RecordPeerHolding(aView.mMemory, aPeer, *aStatement.mHeldTokens, aNow);
  if (aStatement.mIsTight && IsReportDue(aView.mMemory, aNow)) {
    ScheduleHoldingReport(aGateway, aStatement.mBackend,
                          aNow + kLargeReportDelay);
  }
}

void AddHolding(gateway& aGateway, sent_prompt& aPrompt, absl::Time aNow)
{
  const auto view = aGateway.mViews.find(aPrompt.mBackend);
  const auto listing = aGateway.mListings.find(aPrompt.mBackend);
  if (view == aGateway.mViews.end() || listing == aGateway.mListings.end() ||
      view->second.mMemory.mCapacity <= 0) {
    return;
  }
  const memory_need context =
    MakeContext(aGateway, listing->second.mEntry.mService, aNow);
  engine_memory& memory = view->second.mMemory;
  aPrompt.mIsTight = IsTight(view->second, context);
  aPrompt.mHeldTokens = memory.mOwnTokens;
  memory.mReportedTokens = memory.mOwnTokens;
  memory.mReportedAt = aNow;
}

void AdvanceHoldings(gateway& aGateway, absl::Time aNow)
{
  for (auto& [id, view] : aGateway.mViews) {
    engine_memory& memory = view.mMemory;
    if (memory.mCapacity <= 0) {
      continue;
    }
    if (!memory.mPeers.empty() || memory.mFadingTokens > 0) {
      AdvancePeerHoldings(memory, aNow);
    }
    const auto listing = aGateway.mListings.find(id);
    if (IsReportDue(memory, aNow) && listing != aGateway.mListings.end()) {
      ReportIfTight(aGateway, id, view, listing->second.mEntry.mService, aNow,
                    aNow);
    }
  }
}

} // namespace foxtailquay
