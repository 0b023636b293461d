#include "gateway_choice.h"

#include <algorithm>

#include "absl/strings/str_cat.h"
#include "gateway_capacity.h"
#include "gateway_directory.h"
#include "gateway_statements.h"
#include "xxhash.h"

namespace foxtailquay {

namespace {

// Returns the service for a request. It is the same for all attempts with the
// same id, and over all requests in proportion to the weights.
service_id ChooseService(const caller_request& aCaller,
                         const traffic_route& aRoute)
{
  double total = 0;
  for (const weighted_service& each : aRoute.mServices) {
    total += each.mWeight;
  }
  const std::uint64_t hash =
    XXH64(aCaller.mAttemptId.data(), aCaller.mAttemptId.size(), 1);
  double point = static_cast<double>(hash >> 11) /
                 static_cast<double>(std::uint64_t{ 1 } << 53) * total;
  for (const weighted_service& each : aRoute.mServices) {
    if (each.mWeight > 0 && point < each.mWeight) {
      return each.mService;
    }
    point -= each.mWeight;
  }
  return aRoute.mServices.empty() ? service_id{} : aRoute.mServices[0].mService;
}

// Returns the fingerprint of the request. It does not depend on the API key, of
// which a workspace may have several.
std::optional<std::uint64_t> ComputeFingerprint(
  const forwarded_request& aRequest)
{
  const std::optional<std::uint64_t>& content = aRequest.mCaller.mContentHash;
  const std::string& workspace = aRequest.mWorkspace.mValue;
  return content ? std::optional<std::uint64_t>(XXH3_64bits_withSeed(
                     workspace.data(), workspace.size(), *content))
                 : std::nullopt;
}

// Sets the fields of the request that depend on its service.
void ApplyServiceSettings(const gateway& aGateway, forwarded_request& aRequest)
{
  const traffic_service* service =
    FindService(*aGateway.mTable, aRequest.mService);
  if (service != nullptr) {
    aRequest.mIsEngine = service->mIsEngine;
    aRequest.mTokensPerEvent = service->mTokensPerEvent;
    aRequest.mMaxConnections = service->mMaxConnections;
  }
  if (aRequest.mIsEngine) {
    aRequest.mWorstCaseCost = AddTokens(aRequest.mCaller.mPromptTokens,
                                        aRequest.mCaller.mMaxOutputTokens);
  }
}

} // namespace

result<success> AdmitRequest(const gateway& aGateway,
                             forwarded_request& aRequest, absl::Time aNow)
{
  const caller_request& caller = aRequest.mCaller;
  // A later request might not end before the platform kills the process.
  if (aGateway.mStopping && aNow >= aGateway.mStopStartedAt + kStopDrainTime) {
    return MakeError(error_code::ShuttingDown, executed::No,
                     "the gateway is stopping");
  }
  if (!IsDirectoryKnown(aGateway)) {
    return MakeError(
      error_code::NotReady, executed::No,
      "the configuration and the backend servers have not been read "
      "from the store yet; retry later");
  }
  const traffic_route* route =
    FindRoute(*aGateway.mTable, caller.mHost, caller.mPath);
  if (route == nullptr) {
    return MakeError(error_code::NotFound, executed::No,
                     "no route matches host and path");
  }
  const traffic_workspace* payer = FindWorkspace(*aGateway.mTable, caller.mKey);
  if (payer == nullptr && !route->mPublic &&
      !aGateway.mTable->mConfig.mWorkspaces.empty()) {
    return MakeError(error_code::Unauthorized, executed::No, "unknown API key");
  }
  aRequest.mRoute = *route;
  aRequest.mRoutePriority =
    std::clamp(route->mPriority, 0, kRequestPriorities - 1);
  aRequest.mPriority = aRequest.mRoutePriority;
  if (payer != nullptr) {
    aRequest.mWorkspace = payer->mId;
    aRequest.mIsPrepaid = payer->mPrepaid.has_value();
    aRequest.mPriority = std::clamp(payer->mPriority.value_or(route->mPriority),
                                    0, kRequestPriorities - 1);
  }
  aRequest.mFingerprint = ComputeFingerprint(aRequest);
  aRequest.mService = ChooseService(caller, *route);
  ApplyServiceSettings(aGateway, aRequest);
  if (aRequest.mIsPrepaid && aRequest.mWorstCaseCost > *payer->mPrepaid) {
    return MakeError(error_code::BudgetExhausted, executed::No,
                     absl::StrCat("the request needs ", aRequest.mWorstCaseCost,
                                  " tokens, the prepaid total is ",
                                  *payer->mPrepaid));
  }
  if (auto refusal = CheckQuarantine(aGateway, aRequest, aNow)) {
    return *std::move(refusal);
  }
  if (aRequest.mIsEngine) {
    if (auto refusal = CheckMemory(aGateway, aRequest)) {
      return *std::move(refusal);
    }
  }
  aRequest.mDeadline =
    aNow + std::min(route->mTimeout,
                    caller.mCallerTimeout.value_or(absl::InfiniteDuration()));
  return success{};
}

dispatch_choice ChooseDispatch(const gateway& aGateway,
                               const forwarded_request& aRequest,
                               const routing_options& aRouting,
                               const choice_records& aRecords, absl::Time aNow)
{
  dispatch_choice choice;
  choice.mQuery = MakeRoutingQuery(aGateway, aRequest, aNow);
  choice.mQuery.mLimitedUse =
    ChooseLimitedUse(aGateway, aRequest, aRecords.mCosts, aNow);
  choice.mBackend = ChooseBackend(aGateway.mViews, choice.mQuery, aRouting,
                                  aNow, aRecords.mRandom);
  const wait_decision wait = DecideWait(
    aGateway, aRequest, choice.mQuery,
    choice.mBackend ? &aGateway.mViews.at(*choice.mBackend) : nullptr, aRouting,
    aRecords.mPace, aNow);
  choice.mMustWait = wait.mMustWait;
  choice.mDemandRank = wait.mRank;
  return choice;
}

} // namespace foxtailquay
