// Checks caller requests against the configuration and computes their
// worst-case cost.

#include <algorithm>

#include "absl/strings/str_cat.h"
#include "router_state.h"

namespace foxtailquay {

namespace {

// Upper bound of the timeout that a caller may request.
constexpr absl::Duration kMaxRequestTimeout = absl::Minutes(30);

// Sets the prices, token limit and worst-case cost of a completion. Errors:
// UnknownModel; InvalidRequest if max_tokens is out of range.
result<success> SetCompletionCost(const config_document& aConfig,
                                  request_state& aRequest)
{
  const caller_request_event& callerRequest = aRequest.mCallerRequest;
  const auto model = aConfig.mModels.find(model_id{ callerRequest.mTarget });
  if (model == aConfig.mModels.end()) {
    return MakeError(
      error_code::UnknownModel, executed::No, "model",
      absl::StrCat("model \"", callerRequest.mTarget, "\" is not configured"));
  }
  const model_config& prices = model->second;
  aRequest.mMaxTokens =
    callerRequest.mMaxTokens.value_or(prices.mDefaultMaxTokens);
  if (aRequest.mMaxTokens < 1 || aRequest.mMaxTokens > prices.mMaxTokens) {
    return MakeError(error_code::InvalidRequest, executed::No, "max_tokens",
                     absl::StrCat(aRequest.mMaxTokens, " is not between 1 and ",
                                  prices.mMaxTokens));
  }
  aRequest.mPromptPrice = prices.mPromptPrice;
  aRequest.mCompletionPrice = prices.mCompletionPrice;
  aRequest.mWorstCaseCost =
    callerRequest.mPromptTokensBound * prices.mPromptPrice +
    aRequest.mMaxTokens * prices.mCompletionPrice;
  return success{};
}

// Sets the price of a service call and whether it may be repeated. Errors:
// UnknownService.
result<success> SetServiceCallCost(const config_document& aConfig,
                                   request_state& aRequest)
{
  const caller_request_event& callerRequest = aRequest.mCallerRequest;
  const auto service =
    aConfig.mServices.find(service_id{ callerRequest.mTarget });
  if (service == aConfig.mServices.end()) {
    return MakeError(error_code::UnknownService, executed::No, "service",
                     absl::StrCat("service \"", callerRequest.mTarget,
                                  "\" is not configured"));
  }
  aRequest.mRepeatable =
    IsRepeatable(service->second, callerRequest.mMethod, callerRequest.mPath);
  aRequest.mCallPrice = service->second.mCallPrice;
  aRequest.mWorstCaseCost = service->second.mCallPrice;
  return success{};
}

// Returns the caller's timeout, at most kMaxRequestTimeout, or the default of
// the service or fleet.
absl::Duration ComputeTimeout(const config_document& aConfig,
                              const caller_request_event& aCallerRequest)
{
  absl::Duration timeout = aConfig.mFleet.mRequestTimeout;
  if (aCallerRequest.mKind == request_kind::ServiceCall) {
    const auto service =
      aConfig.mServices.find(service_id{ aCallerRequest.mTarget });
    if (service != aConfig.mServices.end()) {
      timeout = service->second.mTimeout;
    }
  }
  if (aCallerRequest.mTimeout) {
    timeout = std::min(*aCallerRequest.mTimeout, kMaxRequestTimeout);
  }
  return timeout;
}

} // namespace

result<success> PrepareRequest(const router_state& aState,
                               request_state& aRequest, absl::Time aNow)
{
  const config_document& config = aState.mNode.mConfig;
  const caller_request_event& callerRequest = aRequest.mCallerRequest;
  if (aState.mNode.mStatus != process_status::Ready) {
    const bool stopping = aState.mNode.mStatus > process_status::Ready;
    return MakeError(stopping ? error_code::ShuttingDown : error_code::NotReady,
                     executed::No, "",
                     stopping ? "this router is stopping"
                              : "this router has not joined yet",
                     absl::Seconds(1));
  }
  const auto* owner = FindWorkspace(config, callerRequest.mKeyHash);
  if (owner == nullptr) {
    return MakeError(error_code::Unauthorized, executed::No, "Authorization",
                     "unknown API key");
  }
  const workspace_config& workspace = owner->second;
  aRequest.mWorkspace = owner->first;
  aRequest.mPriority = callerRequest.mPriority.value_or(workspace.mPriority);
  auto priced = callerRequest.mKind == request_kind::Completion
                  ? SetCompletionCost(config, aRequest)
                  : SetServiceCallCost(config, aRequest);
  if (!IsOk(priced)) {
    return priced;
  }
  if (!IsAllowed(workspace, callerRequest.mTarget)) {
    return MakeError(callerRequest.mKind == request_kind::Completion
                       ? error_code::UnknownModel
                       : error_code::UnknownService,
                     executed::No, "",
                     absl::StrCat("workspace \"", owner->first.mValue,
                                  "\" may not use \"", callerRequest.mTarget,
                                  "\""));
  }
  const budget_config* budget = FindBudget(workspace, callerRequest.mTarget);
  if (budget == nullptr) {
    return MakeError(error_code::BudgetExhausted, executed::No, "",
                     absl::StrCat("no budget of workspace \"",
                                  owner->first.mValue, "\" pays for \"",
                                  callerRequest.mTarget, "\""));
  }
  aRequest.mBudget = budget->mBudget;
  aRequest.mDeadline = aNow + ComputeTimeout(config, callerRequest);
  return success{};
}

} // namespace foxtailquay
