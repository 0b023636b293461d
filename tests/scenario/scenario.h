// Scenario files: a list of steps that drive a simulated fleet.
//
//   auto parsed = ParseScenario(text, "partition.yaml");
//   world fleet(charts, GetValue(parsed).mSeed);
//   auto outcome = RunScenario(GetValue(parsed), fleet);
//
// A file has the name of the scenario, the failure that it guards against, and
// the steps:
//
//   scenario: top_up_twice
//   guards: A top-up that is submitted twice counts twice.
//   seed: 1
//   steps:
//     - config: {models: {m: {}}, ...}
//     - start: {routers: [r1, r2], agents: [e1]}
//     - advance: 3s
//     - top_up: {at: r1, as: t, budget: b, id: t1, amount: 1000}
//     - expect: {budget: b, paid_in: 1000}
//
// Unknown words and missing or invalid values are errors with file and line.
// The checks of observer.h run during all steps. After the last step,
// RunScenario ends all faults, waits until the fleet is idle and checks the
// billing.

#ifndef FOXTAILQUAY_TESTS_SCENARIO_SCENARIO_H
#define FOXTAILQUAY_TESTS_SCENARIO_SCENARIO_H

#include <optional>
#include <string>
#include <vector>

#include "foxtailquay/result.h"
#include "world.h"

namespace foxtailquay::scenario {

enum class step_kind
{
  Config,
  Start,
  Advance,
  Settle,
  TopUp,
  Release,
  Patch,
  Drain,
  Send,
  Disconnect,
  Cut,
  Heal,
  Network,
  Kill,
  Restart,
  Pause,
  Resume,
  Stop,
  VmGone,
  Store,
  LoseAnswers,
  Command,
  Expect,
};
constexpr auto NameTable(step_kind)
{
  using k = step_kind;
  return MakeNameTable<k>({ { k::Config, "config" },
                            { k::Start, "start" },
                            { k::Advance, "advance" },
                            { k::Settle, "settle" },
                            { k::TopUp, "top_up" },
                            { k::Release, "release" },
                            { k::Patch, "patch" },
                            { k::Drain, "drain" },
                            { k::Send, "send" },
                            { k::Disconnect, "disconnect" },
                            { k::Cut, "cut" },
                            { k::Heal, "heal" },
                            { k::Network, "network" },
                            { k::Kill, "kill" },
                            { k::Restart, "restart" },
                            { k::Pause, "pause" },
                            { k::Resume, "resume" },
                            { k::Stop, "stop" },
                            { k::VmGone, "vm_gone" },
                            { k::Store, "store" },
                            { k::LoseAnswers, "lose_answers" },
                            { k::Command, "command" },
                            { k::Expect, "expect" } });
}

// The values of one step, named as in the file. Each kind of step uses some of
// them; scenario_parse.cc lists which.
struct step_fields
{
  std::vector<std::string> mAt;
  std::vector<std::string> mProcesses;
  std::vector<std::string> mRouters;
  std::vector<std::string> mAgents;
  std::vector<std::string> mBetween;
  std::vector<std::string> mAnd;
  bool mOneWay = false;
  // Name of the requests, for later steps.
  std::string mAs;
  std::string mId;
  std::string mBudget;
  std::string mWorkspace;
  std::string mModel;
  std::string mService;
  std::string mKey;
  std::string mBody;
  std::string mPath = "/orders";
  std::string mRequest;
  std::string mOperator;
  std::optional<token_count> mAmount;
  token_count mPrompt = 10;
  token_count mTokens = 10;
  std::optional<token_count> mMaxTokens;
  std::optional<token_count> mBreakAfter;
  bool mStream = true;
  std::optional<int> mCount;
  absl::Duration mEvery = absl::ZeroDuration();
  std::optional<absl::Duration> mTimeout;
  absl::Duration mLatency = kBackendLatency;
  absl::Duration mInterval = kTokenInterval;
  absl::Duration mFor = absl::ZeroDuration();
  absl::Duration mDelay = absl::ZeroDuration();
  std::optional<store_mode> mMode;
  std::optional<store_area> mArea;
  std::optional<absl::Duration> mNetworkDelay;
  std::optional<absl::Duration> mJitter;
  std::optional<int> mLoss;
  std::optional<int> mDuplicate;
  std::optional<std::uint64_t> mFencing;
  std::uint64_t mIncarnation = 0;
  config_patch mPatch;
  config_version mIfVersion = 0;
  // Values of an expect step; an empty one is not compared.
  std::optional<request_outcome> mOutcome;
  std::optional<error_code> mCode;
  std::optional<executed> mExecuted;
  std::optional<int> mAtLeast;
  std::optional<int> mAtMost;
  std::optional<token_count> mPaidIn;
  std::optional<token_count> mSpent;
  std::optional<token_count> mUnallocated;
  std::optional<config_version> mVersion;
  std::optional<bool> mReady;
  std::optional<bool> mOk;
  std::optional<process_status> mStatus;
  std::optional<int> mRuns;
};

struct step
{
  step_kind mKind = step_kind::Advance;
  // "file:line", for errors.
  std::string mLocation;
  step_fields mFields;
};

struct scenario_file
{
  std::string mName;
  std::string mGuards;
  std::uint64_t mSeed = 1;
  std::vector<step> mSteps;
};

// Parses a scenario file. Errors: InvalidConfig with mField "file:line".
result<scenario_file> ParseScenario(const std::string& aText,
                                    const std::string& aFile);

// Runs the steps, ends all faults, waits until the fleet is idle and checks the
// billing. Errors: Internal with mField "file:line" of the step whose
// expectation failed or during which the observer recorded a violation.
result<success> RunScenario(const scenario_file& aScenario, world& aWorld);

// Runs one step. Errors: as for RunScenario.
result<success> RunStep(const step& aStep, world& aWorld);
// Ends all faults and waits until the fleet is idle, 5 minutes of simulated
// time at most.
void Settle(world& aWorld);
// Checks an expect step. Errors: Internal if the expectation is not met.
result<success> RunExpect(const step& aStep, world& aWorld);

// Returns an Internal error whose mField is the location of aStep.
error MakeStepError(const step& aStep, std::string aDetail);

} // namespace foxtailquay::scenario

#endif
