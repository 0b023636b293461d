// Measures false refusals and stranded budget with 3 routers and 10 workspaces
// of uneven demand, for several values of the share horizon, and compares them
// with the targets of docs/design.md section 1.1. Guards against a share policy
// that refuses requests although the budget could pay for them, or that leaves
// tokens at routers without demand.

#define BOOST_TEST_MODULE false_refusal
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <cstdio>

#include "absl/strings/str_cat.h"
#include "scenario/fake_store.h"
#include "scenario/scenario_host.h"
#include "scenario/sim_caller.h"
#include "scenario/sim_network.h"
#include "scenario/sim_process.h"

namespace foxtailquay::scenario {
namespace {

namespace data = boost::unit_test::data;

// Targets of section 1.1, as fractions of the ended requests and of the budget.
constexpr double kMaxFalseRefusalFraction = 0.001;
constexpr double kMaxStrandedFraction = 0.01;
constexpr double kMaxPartitionFalseRefusalFraction = 0.01;
// A refusal can be false only while at least this fraction of the budget is
// unspent.
constexpr double kMinUnspentFraction = 0.05;

constexpr int kWorkspaceCount = 10;
constexpr int kRouterCount = 3;
constexpr token_count kPromptTokens = 50;
constexpr token_count kPromptTokensBound = 200;
constexpr token_count kMaxTokens = 100;
constexpr token_count kWorstCaseCost = kPromptTokensBound + kMaxTokens;
constexpr double kRequestsPerSecond = 40;

// Returns the demand of a workspace relative to the first one: 1, 1/2, 1/3, ...
double ComputeWeight(int aWorkspace)
{
  return 1.0 / (1 + aWorkspace);
}

std::string MakeWorkspaceName(int aWorkspace)
{
  return absl::StrCat("w", aWorkspace);
}

budget_id MakeBudgetId(int aWorkspace)
{
  return { absl::StrCat("b", aWorkspace) };
}

std::string MakeRouterName(int aRouter)
{
  return absl::StrCat("r", 1 + aRouter);
}

// Returns a random router for a request. A workspace sends 70, 20 and 10
// percent of its requests to the three routers.
int DrawRouter(std::mt19937_64& aRandom, int aWorkspace)
{
  std::discrete_distribution<int> rank({ 70, 20, 10 });
  return (rank(aRandom) + aWorkspace) % kRouterCount;
}

// Returns the tokens paid into a budget; they last for about three minutes of
// the demand.
token_count ComputePaidIn(int aWorkspace)
{
  return static_cast<token_count>(200'000 * ComputeWeight(aWorkspace));
}

config_document MakeConfig(absl::Duration aHorizon)
{
  config_document config;
  config.mVersion = 1;
  config.mModels[{ "m" }] = {};
  for (const char* name : { "e1", "e2" }) {
    backend_config backend;
    backend.mZone.mValue = "z1";
    backend.mModels = { { "m" } };
    backend.mMaxConcurrency = 1000;
    config.mBackends[{ name }] = backend;
  }
  for (int i = 0; i < kWorkspaceCount; ++i) {
    workspace_config workspace;
    workspace.mKeyHashes = { ComputeKeyHash(MakeWorkspaceName(i)) };
    workspace.mBudgets = { { MakeBudgetId(i), {} } };
    workspace.mShareHorizon = aHorizon;
    config.mWorkspaces[{ MakeWorkspaceName(i) }] = workspace;
  }
  return config;
}

void StartFleet(world& aFleet, absl::Duration aHorizon)
{
  SeedConfig(aFleet, MakeConfig(aHorizon));
  for (const char* name : { "r1", "r2", "r3", "e1", "e2" }) {
    aFleet.mProcesses[name].mRole =
      name[0] == 'r' ? process_role::Router : process_role::Agent;
    FireProcess(aFleet, name, process_event::Start);
  }
  RunUntil(aFleet, aFleet.mNow + absl::Seconds(4));
  for (int i = 0; i < kWorkspaceCount; ++i) {
    AddOperatorCall(aFleet, absl::StrCat("t", i), "r1",
                    top_up_request{ MakeBudgetId(i), "t", ComputePaidIn(i) });
  }
  RunUntil(aFleet, aFleet.mNow + absl::Seconds(2));
}

void SendRequest(world& aFleet, int aWorkspace, const std::string& aRouter)
{
  sim_request request;
  request.mName = MakeWorkspaceName(aWorkspace);
  request.mWorkspace = request.mName;
  request.mRouter = { aRouter, 0 };
  request.mRequest.mKeyHash = ComputeKeyHash(request.mWorkspace);
  request.mRequest.mTarget = "m";
  request.mRequest.mPromptTokensBound = kPromptTokensBound;
  request.mRequest.mMaxTokens = kMaxTokens;
  request.mRequest.mBody = absl::StrCat("q", aFleet.mRequests.size());
  work_spec work;
  work.mPromptTokens = kPromptTokens;
  std::uniform_int_distribution<token_count> tokens(20, kMaxTokens);
  work.mTokens = tokens(aFleet.mRandom);
  aFleet.mWork[request.mRequest.mBody] = work;
  AddRequest(aFleet, std::move(request), aFleet.mNow);
}

// Returns the worst-case cost of all pending requests of a workspace.
token_count ComputeReserved(const world& aFleet, int aWorkspace)
{
  token_count reserved = 0;
  for (const sim_request& request : aFleet.mRequests) {
    if (request.mWorkspace == MakeWorkspaceName(aWorkspace) &&
        request.mOutcome == request_outcome::Pending) {
      reserved += kWorstCaseCost;
    }
  }
  return reserved;
}

struct refusal_count
{
  // All requests that ended.
  int mEnded = 0;
  // Requests refused for the budget.
  int mRefused = 0;
  // Requests refused for the budget although it could have paid for them.
  int mFalselyRefused = 0;
};

// Returns true if a request was refused because no tokens were available, from
// the account or, while the store is unreachable, from the shares.
bool IsRefusedForBudget(const sim_request& aRequest)
{
  return aRequest.mOutcome == request_outcome::Refused &&
         (aRequest.mError.mCode == error_code::BudgetExhausted ||
          aRequest.mError.mCode == error_code::StoreUnavailable);
}

std::string MakeViolationText(const world& aFleet)
{
  std::string text;
  for (const violation& entry : aFleet.mObserver.mViolations) {
    absl::StrAppend(&text, std::string(ToName(entry.mCheck)), ": ", entry.mText,
                    "\n");
  }
  return text;
}

token_count ComputeUnspent(world& aFleet, int aWorkspace)
{
  return ComputePaidIn(aWorkspace) -
         aFleet.mObserver.mReceivedCost[MakeBudgetId(aWorkspace)];
}

// Sends the random demand of one step to the first aRouters routers and runs
// the fleet for aStep.
void RunTraffic(world& aFleet, absl::Duration aStep, int aRouters)
{
  double total = 0;
  for (int i = 0; i < kWorkspaceCount; ++i) {
    total += ComputeWeight(i);
  }
  for (int i = 0; i < kWorkspaceCount; ++i) {
    std::poisson_distribution<int> arrivals(kRequestsPerSecond *
                                            absl::ToDoubleSeconds(aStep) *
                                            ComputeWeight(i) / total);
    for (int n = arrivals(aFleet.mRandom); n > 0; --n) {
      SendRequest(aFleet, i,
                  MakeRouterName(DrawRouter(aFleet.mRandom, i) % aRouters));
    }
  }
  RunUntil(aFleet, aFleet.mNow + aStep);
}

// Adds the requests that ended since the last call to aCount. A refusal is
// false if aCouldPay returns true for its workspace. aOpen and aSeen keep the
// requests that were pending and their number between calls.
template<typename CouldPay>
void CountEnded(world& aFleet, std::set<std::size_t>& aOpen, std::size_t& aSeen,
                refusal_count& aCount, CouldPay aCouldPay)
{
  for (; aSeen < aFleet.mRequests.size(); ++aSeen) {
    aOpen.insert(aSeen);
  }
  for (auto it = aOpen.begin(); it != aOpen.end();) {
    const sim_request& request = aFleet.mRequests[*it];
    if (request.mOutcome == request_outcome::Pending) {
      ++it;
      continue;
    }
    const int workspace = std::atoi(request.mWorkspace.c_str() + 1);
    ++aCount.mEnded;
    if (IsRefusedForBudget(request)) {
      ++aCount.mRefused;
      aCount.mFalselyRefused += aCouldPay(workspace) ? 1 : 0;
    }
    it = aOpen.erase(it);
  }
}

// Returns the fraction of a budget that is left after every router has refused
// a request in the same round, so that no router can spend it.
double MeasureStrandedFraction(world& aFleet, int aWorkspace)
{
  for (int round = 0; round < 400; ++round) {
    const std::size_t before = aFleet.mRequests.size();
    for (int r = 0; r < kRouterCount; ++r) {
      SendRequest(aFleet, aWorkspace, MakeRouterName(r));
    }
    RunUntil(aFleet, aFleet.mNow + absl::Seconds(4));
    bool refused = true;
    for (std::size_t i = before; i < aFleet.mRequests.size(); ++i) {
      refused = refused && IsRefusedForBudget(aFleet.mRequests[i]);
    }
    if (refused) {
      break;
    }
  }
  // Less than the worst-case cost of one request cannot be spent anyway.
  const token_count left = std::max<token_count>(
    0, ComputeUnspent(aFleet, aWorkspace) - kWorstCaseCost);
  return static_cast<double>(left) /
         static_cast<double>(ComputePaidIn(aWorkspace));
}

const int kHorizonSeconds[] = { 2, 5, 20, 60 };

BOOST_DATA_TEST_CASE(false_refusals_and_stranded_budget,
                     data::make(kHorizonSeconds), horizon)
{
  world fleet(GetTestCharts(), 7);
  StartFleet(fleet, absl::Seconds(horizon));
  std::set<std::size_t> open;
  std::size_t seen = 0;
  refusal_count total;
  const absl::Time end = fleet.mNow + absl::Minutes(4);
  while (fleet.mNow < end && fleet.mObserver.mViolations.empty()) {
    RunTraffic(fleet, absl::Milliseconds(500), kRouterCount);
    refusal_count now;
    CountEnded(fleet, open, seen, now, [&](int aWorkspace) {
      const token_count unspent = ComputeUnspent(fleet, aWorkspace);
      return unspent - ComputeReserved(fleet, aWorkspace) >= kWorstCaseCost &&
             static_cast<double>(unspent) >=
               kMinUnspentFraction *
                 static_cast<double>(ComputePaidIn(aWorkspace));
    });
    total.mEnded += now.mEnded;
    total.mRefused += now.mRefused;
    total.mFalselyRefused += now.mFalselyRefused;
  }
  Settle(fleet);
  RunUntil(fleet, fleet.mNow + absl::Minutes(2));
  double stranded = 0;
  for (int i = 0; i < kWorkspaceCount; ++i) {
    stranded = std::max(stranded, MeasureStrandedFraction(fleet, i));
  }
  Settle(fleet);
  CheckIdle(fleet);
  const double falseFraction =
    static_cast<double>(total.mFalselyRefused) / total.mEnded;
  std::printf("share horizon %ds: %d requests, %d refused for budget, %d of "
              "them falsely (%.3f%%), stranded at most %.2f%% of a budget\n",
              horizon, total.mEnded, total.mRefused, total.mFalselyRefused,
              100 * falseFraction, 100 * stranded);
  BOOST_TEST(MakeViolationText(fleet) == "");
  BOOST_TEST(falseFraction <= kMaxFalseRefusalFraction);
  BOOST_TEST(stranded <= kMaxStrandedFraction);
}

// Grants of the routers on one side of a partition, by workspace, as stored
// when the partition starts.
struct partition_side
{
  std::map<int, token_count> mGranted;
};

// Returns the cost of the runs that a router has started for a budget.
token_count ComputeCostOn(const world& aFleet, const std::string& aRouter,
                          const budget_id& aBudget)
{
  token_count cost = 0;
  for (std::size_t i = 0; i < aFleet.mStreams.size(); ++i) {
    const sim_stream& stream = aFleet.mStreams[i];
    if (stream.mStarted && stream.mRouter.mName == aRouter &&
        stream.mRun.mRequest.mShare.mBudget == aBudget) {
      cost += ComputeCost(aFleet, i, stream.mRelayedTokens);
    }
  }
  return cost;
}

partition_side ReadGrants(const world& aFleet,
                          const std::set<std::string>& aRouters)
{
  partition_side side;
  for (int i = 0; i < kWorkspaceCount; ++i) {
    const account* found = FindAccount(aFleet.mStore, MakeBudgetId(i));
    for (const auto& [holder, share] : found->mShares) {
      if (aRouters.count(holder.mMember.mValue) != 0) {
        side.mGranted[i] += share.mGranted;
      }
    }
  }
  return side;
}

BOOST_DATA_TEST_CASE(false_refusals_in_a_partition, data::make(kHorizonSeconds),
                     horizon)
{
  world fleet(GetTestCharts(), 11);
  StartFleet(fleet, absl::Seconds(horizon));
  const absl::Time warmUpEnd = fleet.mNow + absl::Seconds(40);
  while (fleet.mNow < warmUpEnd) {
    RunTraffic(fleet, absl::Milliseconds(500), kRouterCount);
  }
  for (const char* left : { "r1", "r2", "e1" }) {
    for (const char* right : { "r3", "e2", kStoreName }) {
      SetCut(fleet, left, right, true);
      SetCut(fleet, right, left, true);
    }
  }
  RunUntil(fleet, fleet.mNow + absl::Seconds(3));
  const partition_side side = ReadGrants(fleet, { "r1", "r2" });
  std::set<std::size_t> open;
  std::size_t seen = fleet.mRequests.size();
  refusal_count count;
  const absl::Time end = fleet.mNow + absl::Minutes(10);
  while (fleet.mNow < end && fleet.mObserver.mViolations.empty()) {
    RunTraffic(fleet, absl::Milliseconds(500), 2);
    std::map<int, bool> known;
    CountEnded(fleet, open, seen, count, [&](int aWorkspace) {
      const auto cached = known.find(aWorkspace);
      if (cached != known.end()) {
        return cached->second;
      }
      const auto granted = side.mGranted.find(aWorkspace);
      const token_count left =
        (granted == side.mGranted.end() ? 0 : granted->second) -
        ComputeCostOn(fleet, "r1", MakeBudgetId(aWorkspace)) -
        ComputeCostOn(fleet, "r2", MakeBudgetId(aWorkspace)) -
        ComputeReserved(fleet, aWorkspace);
      return known[aWorkspace] = left >= kWorstCaseCost;
    });
  }
  Settle(fleet);
  CheckIdle(fleet);
  const double falseFraction =
    static_cast<double>(count.mFalselyRefused) / count.mEnded;
  std::printf("share horizon %ds, 10 min partition: %d requests, %d refused "
              "for budget, %d although the side's shares could pay (%.3f%%)\n",
              horizon, count.mEnded, count.mRefused, count.mFalselyRefused,
              100 * falseFraction);
  BOOST_TEST(MakeViolationText(fleet) == "");
  BOOST_TEST(falseFraction <= kMaxPartitionFalseRefusalFraction);
}

} // namespace
} // namespace foxtailquay::scenario
