// Checks of caller requests against the configuration, and what they may cost.

#include <algorithm>

#include "absl/strings/str_cat.h"
#include "router_state.h"

namespace foxtailquay {

namespace {

// Largest deadline that a caller may ask for.
constexpr absl::Duration kMaxTimeout = absl::Minutes(30);

// Fills in what a completion may cost.
result<success> PriceCompletion(const config_document& aConfig,
                                request_state& aRequest)
{
  const caller_request_event& ask = aRequest.mCallerRequest;
  const auto model = aConfig.mModels.find(model_id{ ask.mTarget });
  if (model == aConfig.mModels.end()) {
    return MakeError(
      error_code::UnknownModel, executed::No, "model",
      absl::StrCat("model \"", ask.mTarget, "\" is not configured"));
  }
  const model_config& prices = model->second;
  aRequest.mMaxTokens = ask.mMaxTokens.value_or(prices.mDefaultMaxTokens);
  if (aRequest.mMaxTokens < 1 || aRequest.mMaxTokens > prices.mMaxTokens) {
    return MakeError(error_code::InvalidRequest, executed::No, "max_tokens",
                     absl::StrCat(aRequest.mMaxTokens, " is not between 1 and ",
                                  prices.mMaxTokens));
  }
  aRequest.mPromptPrice = prices.mPromptPrice;
  aRequest.mCompletionPrice = prices.mCompletionPrice;
  aRequest.mWorstCaseCost = ask.mPromptTokensBound * prices.mPromptPrice +
                            aRequest.mMaxTokens * prices.mCompletionPrice;
  return success{};
}

result<success> PriceServiceCall(const config_document& aConfig,
                                 request_state& aRequest)
{
  const caller_request_event& ask = aRequest.mCallerRequest;
  const auto service = aConfig.mServices.find(service_id{ ask.mTarget });
  if (service == aConfig.mServices.end()) {
    return MakeError(
      error_code::UnknownService, executed::No, "service",
      absl::StrCat("service \"", ask.mTarget, "\" is not configured"));
  }
  aRequest.mRepeatable = IsRepeatable(service->second, ask.mMethod, ask.mPath);
  aRequest.mCallPrice = service->second.mCallPrice;
  aRequest.mWorstCaseCost = service->second.mCallPrice;
  return success{};
}

absl::Duration TimeoutOf(const config_document& aConfig,
                         const caller_request_event& aAsk)
{
  absl::Duration timeout = aConfig.mFleet.mRequestTimeout;
  if (aAsk.mKind == request_kind::ServiceCall) {
    const auto service = aConfig.mServices.find(service_id{ aAsk.mTarget });
    if (service != aConfig.mServices.end()) {
      timeout = service->second.mTimeout;
    }
  }
  if (aAsk.mTimeout) {
    timeout = std::min(*aAsk.mTimeout, kMaxTimeout);
  }
  return timeout;
}

} // namespace

result<success> PrepareRequest(const router_state& aState,
                               request_state& aRequest, absl::Time aNow)
{
  const config_document& config = aState.mNode.mConfig;
  const caller_request_event& ask = aRequest.mCallerRequest;
  if (aState.mNode.mStatus != process_status::Ready) {
    const bool stopping = aState.mNode.mStatus > process_status::Ready;
    return MakeError(stopping ? error_code::ShuttingDown : error_code::NotReady,
                     executed::No, "",
                     stopping ? "this router is stopping"
                              : "this router has not joined yet",
                     absl::Seconds(1));
  }
  const auto* owner = FindWorkspace(config, ask.mKeyHash);
  if (owner == nullptr) {
    return MakeError(error_code::Unauthorized, executed::No, "Authorization",
                     "the API key belongs to no workspace");
  }
  const workspace_config& workspace = owner->second;
  aRequest.mWorkspace = owner->first;
  aRequest.mPriority = ask.mPriority.value_or(workspace.mPriority);
  auto priced = ask.mKind == request_kind::Completion
                  ? PriceCompletion(config, aRequest)
                  : PriceServiceCall(config, aRequest);
  if (!IsOk(priced)) {
    return priced;
  }
  if (!IsAllowed(workspace, ask.mTarget)) {
    return MakeError(ask.mKind == request_kind::Completion
                       ? error_code::UnknownModel
                       : error_code::UnknownService,
                     executed::No, "",
                     absl::StrCat("workspace \"", owner->first.mValue,
                                  "\" may not use \"", ask.mTarget, "\""));
  }
  const budget_config* budget = FindBudget(workspace, ask.mTarget);
  if (budget == nullptr) {
    return MakeError(error_code::BudgetExhausted, executed::No, "",
                     absl::StrCat("no budget of workspace \"",
                                  owner->first.mValue, "\" pays for \"",
                                  ask.mTarget, "\""));
  }
  aRequest.mBudget = budget->mBudget;
  aRequest.mDeadline = aNow + TimeoutOf(config, ask);
  return success{};
}

} // namespace foxtailquay
