#include "work_model.h"

#include <algorithm>
#include <cmath>

namespace foxtailquay {

namespace {

// Numbers of measurements that a prior counts for.
constexpr double kServicePrior = 4;
constexpr double kServerPrior = 3;
constexpr double kRoutePrior = 4;
// Largest difference, as a logarithm, between a measurement and the present
// value that counts: a factor of about 2.7.
constexpr double kMaxStep = 1;
// Spread before anything was measured, as a logarithm.
constexpr double kPriorSpread = 0.7;
// Fewest tokens to process from which a run shows the rate of its engine: the
// time for fewer is mostly that of the first event.
constexpr token_count kMinMeasuredTokens = 1000;
// Fewest events from which a stream shows the time for an output token.
constexpr std::int64_t kMinMeasuredEvents = 3;
constexpr absl::Duration kMinMeasuredTime = absl::Milliseconds(1);

double ComputeDecay(const learned_value& aValue, absl::Duration aMemory,
                    absl::Time aNow)
{
  return std::exp(-absl::FDivDuration(
    std::max(absl::ZeroDuration(), aNow - aValue.mUpdatedAt), aMemory));
}

// Adds a measurement, as a logarithm relative to the prior.
void AddMeasurement(learned_value& aValue, double aLog, double aPriorWeight,
                    absl::Duration aMemory, absl::Time aNow)
{
  const double decay = ComputeDecay(aValue, aMemory, aNow);
  const double mean = GetValueOf(aValue, aPriorWeight, aMemory, aNow);
  const double step = std::clamp(aLog - mean, -kMaxStep, kMaxStep);
  aValue.mSum = aValue.mSum * decay + mean + step;
  aValue.mSquares = aValue.mSquares * decay + step * step;
  aValue.mWeight = aValue.mWeight * decay + 1;
  aValue.mUpdatedAt = aNow;
}

double ComputeSpread(const learned_value& aValue, double aPriorWeight)
{
  return std::sqrt(
    (aValue.mSquares + aPriorWeight * kPriorSpread * kPriorSpread) /
    (aValue.mWeight + aPriorWeight));
}

double ComputeFactor(const learned_value& aValue, absl::Time aNow,
                     double aLimit = kMaxLearnedFactor)
{
  return std::clamp(
    std::exp(GetValueOf(aValue, kServicePrior, kServiceMemory, aNow)),
    1 / aLimit, aLimit);
}

void AddServiceMeasurement(learned_value& aValue, double aRatio,
                           absl::Time aNow)
{
  AddMeasurement(aValue, std::log(aRatio), kServicePrior, kServiceMemory, aNow);
}

// Adds a measurement of how fast a server is relative to its service.
void AddSpeed(learned_speed& aSpeed, double aRatio, absl::Time aNow)
{
  AddMeasurement(aSpeed.mLogSpeed, std::log(aRatio), kServerPrior,
                 kServerMemory, aNow);
}

const service_work* FindWork(const work_model& aModel,
                             std::string_view aService)
{
  const auto found = aModel.mServices.find(aService);
  return found == aModel.mServices.end() ? nullptr : &found->second;
}

// Returns the entry of the map, a new one if there are fewer than aMaxSize, and
// otherwise null.
template<typename Value>
Value* FindOrAdd(std::map<std::string, Value, std::less<>>& aMap,
                 std::string_view aKey, std::size_t aMaxSize)
{
  const auto found = aMap.find(aKey);
  if (found != aMap.end()) {
    return &found->second;
  }
  return aMap.size() < aMaxSize ? &aMap[std::string(aKey)] : nullptr;
}

// Returns the output tokens to expect before anything was measured.
double ComputeUsualOutput(const work_model& aModel,
                          const work_features& aFeatures)
{
  const double largest =
    static_cast<double>(std::max<token_count>(0, aFeatures.mMaxOutputTokens));
  if (!aFeatures.mLengthHint) {
    return std::max(1.0, largest * aModel.mPriors.mOutputFraction);
  }
  // A hint above the maximum is false.
  return std::clamp(static_cast<double>(*aFeatures.mLengthHint), 1.0,
                    std::max(1.0, largest));
}

void RecordOutput(const work_model& aModel, service_work& aService,
                  const work_features& aFeatures, double aTokens,
                  absl::Time aNow)
{
  route_work* route = FindOrAdd(aService.mRoutes, aFeatures.mRoute, kMaxRoutes);
  if (route != nullptr) {
    AddMeasurement(
      aFeatures.mLengthHint ? route->mHinted : route->mUnhinted,
      std::log(std::max(1.0, aTokens) / ComputeUsualOutput(aModel, aFeatures)),
      kRoutePrior, kServiceMemory, aNow);
  }
}

// Learns from a stream of an engine.
void RecordStream(const work_model& aModel, service_work& aService,
                  const measured_run& aRun, learned_speed& aSpeed,
                  absl::Time aNow)
{
  const work_priors& priors = aModel.mPriors;
  AddServiceMeasurement(aService.mSlotTime,
                        absl::FDivDuration(aRun.mTotalTime, priors.mSlotTime),
                        aNow);
  if (aRun.mEvents < kMinMeasuredEvents ||
      aRun.mTotalTime - aRun.mFirstTime < kMinMeasuredTime) {
    return;
  }
  const absl::Duration event =
    (aRun.mTotalTime - aRun.mFirstTime) / (aRun.mEvents - 1);
  const double token =
    absl::FDivDuration(event, priors.mTokenTime) /
    static_cast<double>(std::max<token_count>(1, aRun.mTokensPerEvent));
  AddSpeed(aSpeed, ComputeFactor(aService.mTokenTime, aNow) / token, aNow);
  AddServiceMeasurement(aService.mTokenTime, token, aNow);
  const absl::Duration processing = aRun.mFirstTime - event;
  if (aRun.mHasWaited || aRun.mUncachedTokens < kMinMeasuredTokens ||
      processing < kMinMeasuredTime) {
    return;
  }
  const double rate = static_cast<double>(aRun.mUncachedTokens) /
                      absl::ToDoubleSeconds(processing) /
                      priors.mPromptTokensPerSecond;
  AddSpeed(aSpeed,
           rate / ComputeFactor(aService.mPromptRate, aNow, kMaxRateFactor),
           aNow);
  AddServiceMeasurement(aService.mPromptRate, rate, aNow);
}

} // namespace

double GetValueOf(const learned_value& aValue, double aPriorWeight,
                  absl::Duration aMemory, absl::Time aNow)
{
  if (aValue.mWeight == 0) {
    return 0;
  }
  const double decay = ComputeDecay(aValue, aMemory, aNow);
  return aValue.mSum * decay / (aValue.mWeight * decay + aPriorWeight);
}

work_estimate EstimateWork(const work_model& aModel,
                           const work_features& aFeatures, absl::Time aNow)
{
  work_estimate work;
  const work_priors& priors = aModel.mPriors;
  const service_work* service = FindWork(aModel, aFeatures.mService);
  if (!aFeatures.mIsEngine) {
    work.mSlotTime = priors.mCallTime;
    work.mSpread = kPriorSpread;
    if (service != nullptr) {
      work.mSlotTime *= ComputeFactor(service->mCallTime, aNow);
      work.mSpread = ComputeSpread(service->mCallTime, kServicePrior);
    }
    return work;
  }
  work.mTokensToProcess = static_cast<double>(std::max<token_count>(
    0, aFeatures.mPromptTokens -
         std::max<token_count>(0, aFeatures.mCachedTokens)));
  double output = ComputeUsualOutput(aModel, aFeatures);
  double rate = priors.mPromptTokensPerSecond;
  absl::Duration token = priors.mTokenTime;
  work.mSpread = kPriorSpread;
  if (service != nullptr) {
    rate *= ComputeFactor(service->mPromptRate, aNow, kMaxRateFactor);
    token *= ComputeFactor(service->mTokenTime, aNow);
    const auto route = service->mRoutes.find(aFeatures.mRoute);
    if (route != service->mRoutes.end()) {
      const learned_value& ratio =
        aFeatures.mLengthHint ? route->second.mHinted : route->second.mUnhinted;
      output *= std::exp(GetValueOf(ratio, kRoutePrior, kServiceMemory, aNow));
      work.mSpread = ComputeSpread(ratio, kRoutePrior);
    }
  }
  const double largest =
    static_cast<double>(std::max<token_count>(1, aFeatures.mMaxOutputTokens));
  work.mTokensToProduce = std::clamp(output, 1.0, largest);
  work.mSlotTime =
    absl::Seconds(work.mTokensToProcess / rate) + token * work.mTokensToProduce;
  return work;
}

void RecordRun(work_model& aModel, const work_features& aFeatures,
               const measured_run& aRun, learned_speed& aSpeed, absl::Time aNow)
{
  service_work* service =
    FindOrAdd(aModel.mServices, aFeatures.mService, kMaxServices);
  if (service == nullptr || aRun.mTotalTime < kMinMeasuredTime) {
    return;
  }
  if (aFeatures.mIsEngine) {
    if (aRun.mEvents > 0) {
      RecordOutput(aModel, *service, aFeatures,
                   static_cast<double>(aRun.mEvents) *
                     static_cast<double>(aRun.mTokensPerEvent),
                   aNow);
      RecordStream(aModel, *service, aRun, aSpeed, aNow);
    }
    return;
  }
  AddServiceMeasurement(
    service->mSlotTime,
    absl::FDivDuration(aRun.mTotalTime, aModel.mPriors.mSlotTime), aNow);
  if (aRun.mHasWaited) {
    return;
  }
  const double time =
    absl::FDivDuration(aRun.mTotalTime, aModel.mPriors.mCallTime);
  AddSpeed(aSpeed, ComputeFactor(service->mCallTime, aNow) / time, aNow);
  AddServiceMeasurement(service->mCallTime, time, aNow);
}

void RecordUsualLoad(work_model& aModel, std::string_view aService,
                     double aLoad, absl::Time aNow)
{
  service_work* service = FindOrAdd(aModel.mServices, aService, kMaxServices);
  if (service == nullptr) {
    return;
  }
  const double decay = std::exp(-absl::FDivDuration(
    std::max(absl::ZeroDuration(), aNow - service->mLoadAt), kServiceMemory));
  service->mLoadSum = service->mLoadSum * decay + aLoad;
  service->mLoadWeight = service->mLoadWeight * decay + 1;
  service->mLoadAt = aNow;
}

void RecordStatedSlowness(work_model& aModel, std::string_view aService,
                          statement_history& aHistory, double aFactor,
                          absl::Time aNow)
{
  service_work* service = FindOrAdd(aModel.mServices, aService, kMaxServices);
  if (service != nullptr) {
    LearnPeriod(service->mSlowness, aHistory, aFactor, aNow);
  }
}

void PoolStatedSlowness(work_model& aModel, std::string_view aService,
                        const statement_history& aHistory, absl::Time aNow)
{
  const auto service = aModel.mServices.find(aService);
  if (service != aModel.mServices.end()) {
    PoolEvidence(service->second.mSlowness, aHistory, aNow);
  }
}

void UpdateSlownessPeriods(work_model& aModel)
{
  for (auto& service : aModel.mServices) {
    UpdatePeriod(service.second.mSlowness);
  }
}

work_rates EstimateRates(const work_model& aModel, std::string_view aService,
                         const learned_speed& aSpeed, absl::Time aNow)
{
  work_rates rates;
  const service_work* service = FindWork(aModel, aService);
  if (service == nullptr) {
    return rates;
  }
  const double speed = std::clamp(
    std::exp(GetValueOf(aSpeed.mLogSpeed, kServerPrior, kServerMemory, aNow)),
    1 / kMaxServerFactor, kMaxServerFactor);
  const work_priors& priors = aModel.mPriors;
  rates.mPromptTokensPerSecond =
    priors.mPromptTokensPerSecond *
    ComputeFactor(service->mPromptRate, aNow, kMaxRateFactor) * speed;
  rates.mSlotTime =
    priors.mSlotTime * (ComputeFactor(service->mSlotTime, aNow) / speed);
  rates.mCallTime =
    priors.mCallTime * (ComputeFactor(service->mCallTime, aNow) / speed);
  if (service->mLoadWeight > 0) {
    rates.mUsualLoad = service->mLoadSum / service->mLoadWeight;
  }
  rates.mSlownessPeriod = service->mSlowness.mPeriod;
  return rates;
}

} // namespace foxtailquay
