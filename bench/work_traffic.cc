// Servers, calls and options of the simulation, and the time of one choice.

#include <algorithm>
#include <chrono>
#include <cmath>
#include <limits>

#include "work_parts.h"

namespace foxtailquay {

namespace {

constexpr std::size_t kSharedParts = 120;

// Makes the prompt of a call: a shared part of Zipf popularity, a conversation
// and a part of its own.
void MakePrompt(work_sim& aSim, sim_call& aCall)
{
  constexpr double kLongFraction = 0.35;
  constexpr double kLongMean = 6600;
  constexpr double kLongSpread = 1.4;
  constexpr double kShortMean = 500;
  constexpr double kLargest = 55000;
  routing_query& query = aCall.mQuery;
  const bool isLong = Draw(aSim) < kLongFraction;
  const double median = (isLong ? kLongMean : kShortMean) *
                        std::exp(-kLongSpread * kLongSpread / 2);
  const double own = std::clamp(std::lognormal_distribution<double>(
                                  std::log(median), kLongSpread)(aSim.mRandom),
                                50.0, kLargest);
  const auto part = static_cast<std::size_t>(
    std::pow(static_cast<double>(kSharedParts), Draw(aSim)));
  const auto shared = static_cast<token_count>(400 + 30 * (part * 37 % 97));
  query.mPromptTokens = shared + static_cast<token_count>(own);
  query.mSharedTokens = shared;
  query.mPrefixes = { 1 + part * 7919, aSim.mRandom() };
  query.mPrefixTokens = { shared, query.mPromptTokens };
  query.mAffinity = query.mPrefixes[0];
}

} // namespace

void Schedule(work_sim& aSim, absl::Duration aDelay, sim_kind aKind,
              std::size_t aSubject)
{
  aSim.mItems.push({ aSim.mNow + aDelay, ++aSim.mOrder, aKind, aSubject });
}

double Draw(work_sim& aSim)
{
  return std::uniform_real_distribution<double>(0, 1)(aSim.mRandom);
}

void MakeServers(work_sim& aSim)
{
  const work_fleet_options& options = aSim.mOptions;
  aSim.mServers.resize(static_cast<std::size_t>(options.mServers));
  aSim.mGateways.resize(static_cast<std::size_t>(options.mGateways));
  aSim.mModels.resize(aSim.mGateways.size());
  aSim.mReports.resize(aSim.mGateways.size());
  for (std::size_t i = 0; i < aSim.mServers.size(); ++i) {
    aSim.mServers[i].mSpeed = options.mSpeeds[i % options.mSpeeds.size()];
    aSim.mIds.push_back({ "w" + std::to_string(100 + i) });
  }
  for (auto& views : aSim.mGateways) {
    for (std::size_t i = 0; i < aSim.mIds.size(); ++i) {
      backend_view& view = views[aSim.mIds[i]];
      view.mConfig.mKind =
        options.mIsEngine ? backend_kind::Engine : backend_kind::Service;
      view.mConfig.mZone = { "z" + std::to_string(i % kWorkZones) };
      view.mConfig.mModels = { { kWorkService } };
      view.mConfig.mServices = { { kWorkService } };
      view.mConfig.mMaxConcurrency = options.mSlots;
      view.mAddress = "127.0.0.1:" + std::to_string(i);
    }
  }
}

void MakeCalls(work_sim& aSim)
{
  const work_fleet_options& options = aSim.mOptions;
  constexpr double kObjectives[] = { 0.3, 0.5, 1, 2 };
  std::exponential_distribution<double> gap(options.mRequestsPerSecond);
  constexpr double kCallSpread = 0.8;
  std::lognormal_distribution<double> callTime(
    std::log(0.06) - kCallSpread * kCallSpread / 2, kCallSpread);
  absl::Duration at = absl::ZeroDuration();
  while ((at += absl::Seconds(gap(aSim.mRandom))) < options.mTime) {
    sim_call call;
    call.mGateway = aSim.mRandom() % aSim.mGateways.size();
    call.mSentAt = kWorkStart + at;
    call.mQuery.mTarget = kWorkService;
    call.mQuery.mZone = { "z" + std::to_string(call.mGateway % kWorkZones) };
    call.mObjective = absl::Seconds(0.3);
    if (options.mIsEngine) {
      MakePrompt(aSim, call);
      call.mObjective = absl::Seconds(kObjectives[aSim.mRandom() % 4]);
      call.mOutput = kWorkTokensPerEvent *
                     (3 + static_cast<token_count>(aSim.mRandom() % 53));
    } else {
      call.mQuery.mKind = backend_kind::Service;
      call.mCallTime = absl::Seconds(callTime(aSim.mRandom));
    }
    aSim.mCalls.push_back(std::move(call));
    Schedule(aSim, at, sim_kind::Arrive, aSim.mCalls.size() - 1);
  }
  aSim.mOpen = aSim.mCalls.size();
}

routing_options MakeRouting(int aGateways)
{
  routing_options options;
  options.mRouters = aGateways;
  options.mSampleSize = 0;
  options.mSubsetSize = std::numeric_limits<int>::max();
  options.mReportLag = absl::Milliseconds(5);
  options.mMaxAssumedPeers = 0;
  options.mZoneDelay = absl::Milliseconds(5);
  options.mRunTime = absl::Seconds(1);
  options.mPrefillTokensPerSecond = 60000;
  options.mMaxPrefixes = 512;
  options.mAffinityWeight = 20;
  return options;
}

double MeasureChoice(int aServers, bool aLearns)
{
  // Short rounds, since on a busy machine long ones are interrupted.
  constexpr int kRounds = 50;
  constexpr int kChoices = 200;
  work_fleet_options options;
  options.mServers = aServers;
  options.mGateways = 1;
  options.mTime = absl::Seconds(1);
  work_sim sim(options, 1);
  sim.mRouting = MakeRouting(23);
  MakeServers(sim);
  MakeCalls(sim);
  auto& views = sim.mGateways[0];
  for (auto& each : views) {
    backend_view& view = each.second;
    load_report report;
    report.mSequence = 1;
    report.mRunning = static_cast<int>(sim.mRandom() % 20);
    report.mLoadedModels = view.mConfig.mModels;
    RecordLoadReport(view, report, kWorkStart);
    RecordRemotePrompt(view, 3000, sim.mCalls[0].mQuery.mPrefixes, sim.mRouting,
                       kWorkStart);
    if (aLearns) {
      view.mRates = { 70000, absl::Milliseconds(500), absl::Milliseconds(60),
                      8 };
      RecordSlowness(view.mSlowness, 2.5, kWorkStart);
    }
  }
  double best = std::numeric_limits<double>::infinity();
  for (int round = 0; round < kRounds; ++round) {
    const auto from = std::chrono::steady_clock::now();
    for (int i = 0; i < kChoices; ++i) {
      const sim_call& call =
        sim.mCalls[static_cast<std::size_t>(i) % sim.mCalls.size()];
      ChooseBackend(views, call.mQuery, sim.mRouting,
                    kWorkStart + absl::Milliseconds(100), sim.mRandom);
    }
    const std::chrono::duration<double, std::nano> time =
      std::chrono::steady_clock::now() - from;
    best = std::min(best, time.count() / kChoices);
  }
  return best;
}

} // namespace foxtailquay
