// The work that requests are, and the speed of servers, learned from the times
// of earlier requests.
//
//   work_estimate work = EstimateWork(model, features);     // of a request
//   RecordRun(model, features, run, view.mSpeed, now);      // has ended
//   view.mRates = EstimateRates(model, service, view.mSpeed, now);
//
// Each learned value is a mean of logarithms with a prior, so that times that
// differ by a factor count alike in both directions. Old measurements lose
// their weight within kServiceMemory or kServerMemory, and a value without
// recent ones returns to its prior. A single measurement counts for at most the
// factor kMaxStep, divided by the weight of all. Memory is bounded by
// kMaxServices and kMaxRoutes. The functions take time logarithmic in the
// numbers of services and routes. Not thread-safe.

#ifndef FOXTAILQUAY_CORE_WORK_MODEL_H
#define FOXTAILQUAY_CORE_WORK_MODEL_H

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "absl/time/time.h"
#include "foxtailquay/types.h"
#include "slowness_period.h"

namespace foxtailquay {

// Memory of values for a whole service and for one server. A server has some
// measurements in kServerMemory: one gateway sends it a request every few
// seconds.
constexpr absl::Duration kServiceMemory = absl::Seconds(30);
constexpr absl::Duration kServerMemory = absl::Seconds(20);
constexpr std::size_t kMaxServices = 256;
constexpr std::size_t kMaxRoutes = 64;
// Range of a learned value around its prior, as a factor. Engines and servers
// of one kind differ less.
constexpr double kMaxLearnedFactor = 8;
// The same for the rate at which engines process prompts, which is published.
// Tokens that were taken for uncached and are cached would raise it without
// bound.
constexpr double kMaxRateFactor = 3;
// The same for the speed of one server relative to its service.
constexpr double kMaxServerFactor = 3;

// Values before anything was measured. They are published values of engines and
// plain services.
struct work_priors
{
  double mPromptTokensPerSecond = 60000;
  absl::Duration mTokenTime = absl::Milliseconds(5);
  // Time in a slot of an engine, and of a plain service when it is full.
  absl::Duration mSlotTime = absl::Seconds(1);
  absl::Duration mCallTime = absl::Milliseconds(60);
  // Fraction of the largest number of output tokens that is produced.
  double mOutputFraction = 0.5;
};

// Mean of logarithms, relative to a prior of 0, with a spread.
struct learned_value
{
  double mSum = 0;
  double mSquares = 0;
  double mWeight = 0;
  absl::Time mUpdatedAt = absl::InfinitePast();
};

// The learned speed of one server relative to its service; positive if faster.
struct learned_speed
{
  learned_value mLogSpeed;
};

// Values for one server that routing uses. A value of 0 means that routing uses
// its own constant.
struct work_rates
{
  double mPromptTokensPerSecond = 0;
  absl::Duration mSlotTime = absl::ZeroDuration();
  absl::Duration mCallTime = absl::ZeroDuration();
  // Usual number of requests at a server of the service; negative if unknown.
  double mUsualLoad = -1;
  // Time for which a stated slowness holds.
  absl::Duration mSlownessPeriod = kPriorSlownessPeriod;
};

// What is known of a request before it runs.
struct work_features
{
  std::string_view mService;
  std::string_view mRoute;
  bool mIsEngine = false;
  token_count mPromptTokens = 0;
  // Tokens of the prompt that are probably cached.
  token_count mCachedTokens = 0;
  token_count mMaxOutputTokens = 0;
  // Output tokens that the caller expects; absent if not stated.
  std::optional<token_count> mLengthHint;
};

// The likely work of a request.
struct work_estimate
{
  double mTokensToProcess = 0;
  double mTokensToProduce = 0;
  absl::Duration mSlotTime = absl::ZeroDuration();
  // Standard deviation of the logarithm of mSlotTime.
  double mSpread = 0;
};

// A request that one attempt has served completely.
struct measured_run
{
  // Time from the dispatch to the first event, and to the end.
  absl::Duration mFirstTime = absl::ZeroDuration();
  absl::Duration mTotalTime = absl::ZeroDuration();
  std::int64_t mEvents = 0;
  token_count mTokensPerEvent = 1;
  // Tokens that the server had to process for the request.
  token_count mUncachedTokens = 0;
  // True if other requests were probably ahead of it.
  bool mHasWaited = false;
};

struct route_work
{
  // Output tokens relative to the hint, or to the prior if there is none.
  learned_value mHinted;
  learned_value mUnhinted;
};

struct service_work
{
  learned_value mPromptRate;
  learned_value mTokenTime;
  learned_value mSlotTime;
  learned_value mCallTime;
  // Mean number of requests that servers state, as a decayed sum.
  double mLoadSum = 0;
  double mLoadWeight = 0;
  absl::Time mLoadAt = absl::InfinitePast();
  slowness_period mSlowness;
  std::map<std::string, route_work, std::less<>> mRoutes;
};

struct work_model
{
  work_priors mPriors;
  std::map<std::string, service_work, std::less<>> mServices;
};

// Returns the learned value, 0 before the first measurement. aPriorWeight is
// the number of measurements that the prior counts for; positive.
double GetValueOf(const learned_value& aValue, double aPriorWeight,
                  absl::Duration aMemory, absl::Time aNow);

// Returns the likely work of a request. The result is finite and not negative
// for all features; the output does not exceed a stated maximum.
work_estimate EstimateWork(const work_model& aModel,
                           const work_features& aFeatures, absl::Time aNow);

// Learns from a run. Precondition: the run was the first attempt at the server
// and was delivered completely.
void RecordRun(work_model& aModel, const work_features& aFeatures,
               const measured_run& aRun, learned_speed& aSpeed,
               absl::Time aNow);

// Learns the usual number of requests at a server of the service.
void RecordUsualLoad(work_model& aModel, std::string_view aService,
                     double aLoad, absl::Time aNow);

// Learns from the present slowness that a server of the service states.
void RecordStatedSlowness(work_model& aModel, std::string_view aService,
                          statement_history& aHistory, double aFactor,
                          absl::Time aNow);

// Adds what a server has stated to the sum of its service, from which
// UpdateSlownessPeriods computes the periods of all services. Not called for a
// server between two updates, it counts for nothing.
void PoolStatedSlowness(work_model& aModel, std::string_view aService,
                        const statement_history& aHistory, absl::Time aNow);
void UpdateSlownessPeriods(work_model& aModel);

// Returns the values for a server of the service.
work_rates EstimateRates(const work_model& aModel, std::string_view aService,
                         const learned_speed& aSpeed, absl::Time aNow);

} // namespace foxtailquay

#endif
