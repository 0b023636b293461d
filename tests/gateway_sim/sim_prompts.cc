// Prompts with parts that several requests have in common, and servers that
// crash.

#include "gateway_sim/sim_parts.h"

#include "absl/strings/str_cat.h"
#include "core/crash_quarantine.h"

namespace foxtailquay::gateway_sim {

namespace {

constexpr std::uint64_t kCommonPart = 0x10;
constexpr std::uint64_t kPoisonousPart = 0xdead;
constexpr std::uint64_t kFirstSubject = 0x100;
constexpr int kSubjects = 40;
constexpr token_count kPromptTokens = 300;
constexpr token_count kAmplePrepaid = 100000000;
// Contents of a quarter of the sound requests, which come again.
constexpr int kPopularContents = 40;
constexpr std::uint64_t kPoisonousContent = 0xdead;
// One request in so many is poisonous.
constexpr int kPoisonousInterval = 20;

// Adds engines, so that some are up while others are down, and tokens.
void PrepareForPrompts(fleet_sim& aSim)
{
  aSim.mServersFail = false;
  for (auto& prepaid : aSim.mPrepaid) {
    prepaid.second = kAmplePrepaid;
  }
  PutConfig(aSim, aSim.mStore.mConfig.mVersion + 1);
  for (int i = 3; i <= 10; ++i) {
    backend_entry entry = aSim.mStore.mBackends["e1"].first;
    entry.mAddress = absl::StrCat("e", i, ":1");
    SetBackend(aSim, absl::StrCat("e", i), entry);
  }
  RunUntil(aSim, aSim.mNow + absl::Seconds(1));
}

std::vector<std::uint64_t> MakePoisonousParts(fleet_sim& aSim,
                                              poisonous_pattern aPattern)
{
  const std::uint64_t subject = kFirstSubject + Draw(aSim, kSubjects);
  switch (aPattern) {
    case poisonous_pattern::WholeRequest:
      return { kCommonPart, kFirstSubject };
    case poisonous_pattern::VaryingCompanion:
      return { kCommonPart, subject, kPoisonousPart };
    case poisonous_pattern::FixedCompanion:
      return { kCommonPart, kFirstSubject, kPoisonousPart };
    case poisonous_pattern::First:
      return { kPoisonousPart, subject };
  }
  return {};
}

// Returns the hash of what a request contains besides its prompt.
std::uint64_t DrawContent(fleet_sim& aSim, request_handle aHandle,
                          bool aIsPoisonous)
{
  const std::uint64_t unique = 0x100000 + aHandle;
  if (aIsPoisonous) {
    return aSim.mPrompts.mIsWholeRequest ? kPoisonousContent : unique;
  }
  return Draw(aSim, 4) == 0 ? 1U + Draw(aSim, kPopularContents) : unique;
}

// Sends a stream request with these parts and a last one of its own.
void SendPrompt(fleet_sim& aSim, const std::vector<std::uint64_t>& aParts,
                bool aIsPoisonous)
{
  caller_request request;
  request.mHandle = aSim.mNextHandle++;
  request.mAttemptId = absl::StrCat("a", request.mHandle);
  request.mHost = "shop.example";
  request.mPath = "/chat/";
  // A request that comes again has one caller.
  const int workspace =
    aIsPoisonous && aSim.mPrompts.mIsWholeRequest ? 0 : Draw(aSim, 2);
  request.mKey = absl::StrCat("key-", workspace);
  request.mContentHash = DrawContent(aSim, request.mHandle, aIsPoisonous);
  request.mCallerTimeout = absl::Seconds(3);
  request.mPromptTokens = kPromptTokens;
  request.mMaxOutputTokens = kTokensPerEvent * 10;
  for (const std::uint64_t part : aParts) {
    request.mPromptParts.push_back({ part, 100 });
  }
  request.mPromptParts.push_back({ 0x100000 + request.mHandle, 100 });
  sim_request& known = aSim.mRequests[request.mHandle];
  known.mWorkspace = workspace_id{ absl::StrCat("w", workspace) };
  known.mKind = call_kind::Stream;
  known.mPrompt = request.mPromptTokens;
  known.mMaxOutput = request.mMaxOutputTokens;
  known.mIsPoisonous = aIsPoisonous;
  known.mIsSound = !aIsPoisonous;
  prompt_counts& counts = aSim.mPrompts;
  const std::size_t allowed = counts.mAllowedCrashes;
  if (!aIsPoisonous && counts.mCrashes.size() >= allowed &&
      aSim.mNow - counts.mCrashes[allowed - 1] > 2 * kContactTime) {
    ++counts.mSound;
  }
  Deliver(aSim, DrawGateway(aSim), request);
}

// Sends a request and schedules the next one, up to aEnd.
void SendPromptsPeriodically(fleet_sim& aSim,
                             std::optional<poisonous_pattern> aPattern,
                             absl::Time aEnd)
{
  if (aSim.mNow >= aEnd) {
    return;
  }
  const bool isPoisonous = aPattern && Draw(aSim, kPoisonousInterval) == 0;
  SendPrompt(
    aSim,
    isPoisonous
      ? MakePoisonousParts(aSim, *aPattern)
      : std::vector<std::uint64_t>{ kCommonPart,
                                    kFirstSubject + Draw(aSim, kSubjects) },
    isPoisonous);
  Schedule(
    aSim, DrawTime(aSim, absl::Milliseconds(40)),
    [&aSim, aPattern, aEnd] { SendPromptsPeriodically(aSim, aPattern, aEnd); });
}

void DisturbGatewaysPeriodically(fleet_sim& aSim, absl::Time aEnd)
{
  if (aSim.mNow >= aEnd) {
    return;
  }
  const std::size_t index = DrawGateway(aSim);
  if (Draw(aSim, 3) == 0) {
    DisconnectGateway(aSim, index,
                      absl::Seconds(1) + DrawTime(aSim, absl::Seconds(4)));
  } else {
    KillGateway(aSim, index, Draw(aSim, 2) == 0);
  }
  Schedule(aSim, absl::Seconds(2) + DrawTime(aSim, absl::Seconds(4)),
           [&aSim, aEnd] { DisturbGatewaysPeriodically(aSim, aEnd); });
}

void CrashServersPeriodically(fleet_sim& aSim, absl::Time aEnd)
{
  if (aSim.mNow >= aEnd) {
    return;
  }
  CrashServer(aSim, absl::StrCat("e", 1 + Draw(aSim, 10)));
  Schedule(aSim, DrawTime(aSim, absl::Seconds(1)),
           [&aSim, aEnd] { CrashServersPeriodically(aSim, aEnd); });
}

} // namespace

void RunPoisonousPrompts(fleet_sim& aSim, const poisonous_requests& aRequests,
                         bool aRestarts, absl::Duration aTime)
{
  PrepareForPrompts(aSim);
  aSim.mPrompts.mMoment = aRequests.mMoment;
  if (aRequests.mPattern == poisonous_pattern::WholeRequest) {
    aSim.mPrompts.mIsWholeRequest = true;
    aSim.mPrompts.mAllowedCrashes = kQuarantineCrashes;
  }
  const absl::Time end = aSim.mNow + aTime;
  SendPromptsPeriodically(aSim, aRequests.mPattern, end);
  if (aRestarts) {
    DisturbGatewaysPeriodically(aSim, end);
  }
  RunUntil(aSim, end);
}

void RunCrashingServers(fleet_sim& aSim, absl::Duration aTime)
{
  PrepareForPrompts(aSim);
  aSim.mServersFail = true;
  const absl::Time end = aSim.mNow + aTime;
  SendPromptsPeriodically(aSim, std::nullopt, end);
  CrashServersPeriodically(aSim, end);
  RunUntil(aSim, end);
}

} // namespace foxtailquay::gateway_sim
