// Guards against a configuration whose version decreases or skips a number,
// against operators' patches that are lost or applied twice, and against
// entries that contradict each other.

#define BOOST_TEST_MODULE config
#include <boost/test/unit_test.hpp>

#include <functional>
#include <limits>
#include <set>

#include "foxtailquay/config.h"
#include "rapidcheck.h"
#include "rapidcheck/boost_test.h"

namespace foxtailquay {
namespace {

const std::string kKeyHash(64, 'a');

// Returns version 7 with one entry of each kind.
config_document MakeValidConfig()
{
  config_document config;
  config.mVersion = 7;
  config.mPatchIds[7] = "p6";
  config.mModels[{ "m" }] = {};
  config.mServices[{ "s" }].mCalls = { { "GET", "/", true } };
  config.mBackends[{ "e1" }].mZone = { "z" };
  config.mBackends[{ "e1" }].mModels = { { "m" } };
  config.mBackends[{ "s1" }].mKind = backend_kind::Service;
  config.mBackends[{ "s1" }].mZone = { "z" };
  config.mBackends[{ "s1" }].mServices = { { "s" } };
  config.mWorkspaces[{ "w" }].mKeyHashes = { kKeyHash };
  config.mWorkspaces[{ "w" }].mBudgets = { { { "b" }, {} } };
  return config;
}

// A change that makes the valid configuration invalid.
struct invalid_change
{
  // Field of the expected error.
  std::string mField;
  // Substring of the expected error detail.
  std::string mDetail;
  std::function<void(config_document&)> mApply;
};

std::vector<invalid_change> ListInvalidFleets()
{
  using c = config_document;
  return {
    { "fleet.account_shards", "0 is not between 1 and 4096",
      [](c& aConfig) { aConfig.mFleet.mAccountShards = 0; } },
    { "fleet.account_shards", "4097 is not",
      [](c& aConfig) { aConfig.mFleet.mAccountShards = 4097; } },
    { "fleet.claim_shards", "0 is not",
      [](c& aConfig) { aConfig.mFleet.mClaimShards = 0; } },
    { "fleet.request_timeout", "0 is not between 1ms and 24h",
      [](c& aConfig) {
        aConfig.mFleet.mRequestTimeout = absl::ZeroDuration();
      } },
    { "fleet.request_timeout", "inf is not",
      [](c& aConfig) {
        aConfig.mFleet.mRequestTimeout = absl::InfiniteDuration();
      } },
    { "fleet.queue_timeout", "-1s is not",
      [](c& aConfig) { aConfig.mFleet.mQueueTimeout = -absl::Seconds(1); } },
    { "fleet.queue_length", "-1 is not between 0 and 100000",
      [](c& aConfig) { aConfig.mFleet.mQueueLength = -1; } },
  };
}

std::vector<invalid_change> ListInvalidTargets()
{
  using c = config_document;
  return {
    { "models.a/b", "\"a/b\" must be 1 to 128",
      [](c& aConfig) { aConfig.mModels[{ "a/b" }] = {}; } },
    { "models.", "\"\" must be 1 to 128",
      [](c& aConfig) { aConfig.mModels[{ "" }] = {}; } },
    { "models." + std::string(129, 'x'), "must be 1 to 128",
      [](c& aConfig) { aConfig.mModels[{ std::string(129, 'x') }] = {}; } },
    { "models.m.prompt_price", "-1 is not between 0 and 1000000",
      [](c& aConfig) { aConfig.mModels[{ "m" }].mPromptPrice = -1; } },
    { "models.m.completion_price", "1000001 is not",
      [](c& aConfig) {
        aConfig.mModels[{ "m" }].mCompletionPrice = 1'000'001;
      } },
    { "models.m.max_tokens", "0 is not between 1 and 10000000",
      [](c& aConfig) { aConfig.mModels[{ "m" }].mMaxTokens = 0; } },
    { "models.m.default_max_tokens", "8193 is not between 1 and 8192",
      [](c& aConfig) { aConfig.mModels[{ "m" }].mDefaultMaxTokens = 8193; } },
    { "services.s.calls[0].method", "\"get\" is not GET, POST",
      [](c& aConfig) {
        aConfig.mServices[{ "s" }].mCalls[0].mMethod = "get";
      } },
    { "services.s.calls[0].path", "\"x\" does not start with /",
      [](c& aConfig) {
        aConfig.mServices[{ "s" }].mCalls[0].mPathPrefix = "x";
      } },
    { "services.s.call_price", "-1 is not",
      [](c& aConfig) { aConfig.mServices[{ "s" }].mCallPrice = -1; } },
    { "services.s.timeout", "0 is not",
      [](c& aConfig) { aConfig.mServices[{ "s" }].mTimeout = {}; } },
    { "backends.e1.models", "\"x\" is not a configured model",
      [](c& aConfig) { aConfig.mBackends[{ "e1" }].mModels = { { "x" } }; } },
    { "backends.s1.services", "\"x\" is not a configured service",
      [](c& aConfig) { aConfig.mBackends[{ "s1" }].mServices = { { "x" } }; } },
    { "backends.e1.kind", "engine needs models and no services",
      [](c& aConfig) { aConfig.mBackends[{ "e1" }].mModels.clear(); } },
    { "backends.e1.kind", "engine needs models and no services",
      [](c& aConfig) { aConfig.mBackends[{ "e1" }].mServices = { { "s" } }; } },
    { "backends.s1.kind", "service needs services and no models",
      [](c& aConfig) { aConfig.mBackends[{ "s1" }].mModels = { { "m" } }; } },
    { "backends.e1.zone", "\"\" must be 1 to 128",
      [](c& aConfig) { aConfig.mBackends[{ "e1" }].mZone = {}; } },
    { "backends.e1.max_concurrency", "0 is not between 1 and 100000",
      [](c& aConfig) { aConfig.mBackends[{ "e1" }].mMaxConcurrency = 0; } },
  };
}

std::vector<invalid_change> ListInvalidWorkspaces()
{
  using c = config_document;
  const auto with = [](auto aSet) {
    return [aSet](c& aConfig) { aSet(aConfig.mWorkspaces[{ "w" }]); };
  };
  using w = workspace_config;
  return {
    { "workspaces.w.key_hashes", "64 lower-case hexadecimal",
      with([](w& aEntry) { aEntry.mKeyHashes = { std::string(63, 'a') }; }) },
    { "workspaces.w.key_hashes", "64 lower-case hexadecimal",
      with([](w& aEntry) { aEntry.mKeyHashes = { std::string(64, 'A') }; }) },
    { "workspaces.w.budgets", "at least one budget",
      with([](w& aEntry) { aEntry.mBudgets.clear(); }) },
    { "workspaces.w.budgets.id", "\"a b\" must be",
      with([](w& aEntry) { aEntry.mBudgets[0].mBudget = { "a b" }; }) },
    { "workspaces.w.rate_per_second", "-1 is not between 0 and",
      with([](w& aEntry) { aEntry.mRatePerSecond = -1; }) },
    { "workspaces.w.burst", "-1 is not",
      with([](w& aEntry) { aEntry.mBurst = -1; }) },
    { "workspaces.w.max_concurrency", "-1 is not",
      with([](w& aEntry) { aEntry.mMaxConcurrency = -1; }) },
    { "workspaces.w.share_horizon", "0 is not",
      with([](w& aEntry) { aEntry.mShareHorizon = {}; }) },
    { "workspaces.x", "budget \"b\" also belongs to workspace \"w\"",
      [](c& aConfig) {
        aConfig.mWorkspaces[{ "x" }].mBudgets = { { { "b" }, {} } };
      } },
    { "workspaces.x", "key hash aaaaaaaa... also belongs to workspace \"w\"",
      [](c& aConfig) {
        aConfig.mWorkspaces[{ "x" }].mKeyHashes = { kKeyHash };
        aConfig.mWorkspaces[{ "x" }].mBudgets = { { { "b2" }, {} } };
      } },
  };
}

// Returns the patch that turns aFrom into aTo.
config_patch MakePatch(const config_document& aFrom, const config_document& aTo,
                       const std::string& aId)
{
  config_patch patch;
  patch.mPatchId = aId;
  patch.mIfVersion = aFrom.mVersion;
  patch.mFleet = aTo.mFleet;
  const auto fill = [](const auto& aOld, const auto& aNew, auto& aInto) {
    for (const auto& [id, value] : aOld) {
      if (aNew.count(id) == 0) {
        aInto[id] = std::nullopt;
      }
    }
    for (const auto& [id, value] : aNew) {
      aInto[id] = value;
    }
  };
  fill(aFrom.mModels, aTo.mModels, patch.mModels);
  fill(aFrom.mServices, aTo.mServices, patch.mServices);
  fill(aFrom.mBackends, aTo.mBackends, patch.mBackends);
  fill(aFrom.mWorkspaces, aTo.mWorkspaces, patch.mWorkspaces);
  return patch;
}

// Violates each rule of CheckConfig alone. Such a document must not be stored,
// neither directly nor through a patch.
BOOST_AUTO_TEST_CASE(invalid_documents_are_rejected_with_field_and_value)
{
  BOOST_REQUIRE(IsOk(CheckConfig(MakeValidConfig())));
  for (const auto& table :
       { ListInvalidFleets(), ListInvalidTargets(), ListInvalidWorkspaces() }) {
    for (const invalid_change& bad : table) {
      config_document config = MakeValidConfig();
      bad.mApply(config);
      const auto checked = CheckConfig(config);
      BOOST_TEST_CONTEXT(bad.mField << ": " << bad.mDetail)
      {
        BOOST_REQUIRE(!IsOk(checked));
        BOOST_TEST((GetError(checked).mCode == error_code::InvalidConfig));
        BOOST_TEST(GetError(checked).mField == bad.mField);
        BOOST_TEST(GetError(checked).mDetail.find(bad.mDetail) !=
                     std::string::npos,
                   GetError(checked).mDetail);
        config_document stored = MakeValidConfig();
        BOOST_TEST((ApplyOp(stored, MakePatch(MakeValidConfig(), config,
                                              "p")) == op_outcome::Denied));
        BOOST_TEST(stored.mVersion == MakeValidConfig().mVersion);
      }
    }
  }
}

// Guards against a comparison of only the first characters, which takes two
// hashes for the same key.
BOOST_AUTO_TEST_CASE(key_hashes_are_compared_in_full)
{
  config_patch patch;
  for (const char* last : { "1", "2" }) {
    workspace_config workspace;
    workspace.mKeyHashes = { std::string(63, '0') + last };
    workspace.mBudgets = { { { std::string("budget-") + last }, {} } };
    patch.mWorkspaces[{ std::string("workspace-") + last }] = workspace;
  }
  BOOST_TEST(IsOk(ApplyPatch(config_document{}, patch)));
  patch.mWorkspaces.begin()->second->mKeyHashes[0].back() = '2';
  BOOST_TEST(!IsOk(ApplyPatch(config_document{}, patch)));
}

// A reference to a removed model would route requests to a model that does not
// exist.
BOOST_AUTO_TEST_CASE(entries_in_use_cannot_be_removed)
{
  config_patch patch;
  patch.mIfVersion = 7;
  patch.mPatchId = "p";
  patch.mModels[{ "m" }] = std::nullopt;
  const auto refused = ApplyPatch(MakeValidConfig(), patch);
  BOOST_REQUIRE(!IsOk(refused));
  BOOST_TEST(GetError(refused).mField == "backends.e1.models");
  patch.mBackends[{ "e1" }] = std::nullopt;
  const auto applied = ApplyPatch(MakeValidConfig(), patch);
  BOOST_REQUIRE(IsOk(applied));
  BOOST_TEST(GetValue(applied).mModels.empty());
  BOOST_TEST(GetValue(applied).mBackends.size() == 1u);
}

// With another shard count, accounts would be looked up in the wrong shard.
BOOST_AUTO_TEST_CASE(shard_counts_are_fixed_by_the_first_version)
{
  config_document empty;
  config_patch first;
  first.mPatchId = "p0";
  first.mFleet.emplace().mAccountShards = 16;
  auto made = ApplyPatch(empty, first);
  BOOST_REQUIRE(IsOk(made));
  BOOST_TEST(GetValue(made).mVersion == 1u);
  BOOST_TEST(GetValue(made).mFleet.mAccountShards == 16u);
  for (const bool accounts : { true, false }) {
    config_patch later;
    later.mPatchId = "p1";
    later.mIfVersion = 1;
    later.mFleet = GetValue(made).mFleet;
    (accounts ? later.mFleet->mAccountShards : later.mFleet->mClaimShards)++;
    BOOST_TEST(!IsOk(ApplyPatch(GetValue(made), later)));
  }
}

// Tries patches for the versions 0 to 4 on each of these versions: a patch
// applies only to its own version, independent of its identifier.
BOOST_AUTO_TEST_CASE(patches_apply_to_their_version_only)
{
  config_document config;
  for (config_version current = 0; current < 5; ++current) {
    for (config_version requiredVersion = 0; requiredVersion < 5;
         ++requiredVersion) {
      config_patch patch;
      patch.mIfVersion = requiredVersion;
      patch.mPatchId = "other";
      const auto applied = ApplyPatch(config, patch);
      BOOST_TEST(IsOk(applied) == (requiredVersion == current));
      if (!IsOk(applied)) {
        BOOST_TEST((GetError(applied).mCode == error_code::VersionConflict));
        BOOST_TEST((GetError(applied).mExecuted == executed::No));
        config_document copy = config;
        BOOST_TEST((ApplyOp(copy, patch) == op_outcome::Denied));
      }
    }
    config_patch next;
    next.mIfVersion = current;
    next.mPatchId = "p" + std::to_string(current);
    BOOST_REQUIRE((ApplyOp(config, next) == op_outcome::Applied));
    BOOST_REQUIRE(config.mVersion == current + 1);
  }
}

BOOST_AUTO_TEST_CASE(maximum_version_number_does_not_wrap)
{
  config_document config = MakeValidConfig();
  config_patch patch;
  patch.mPatchId = "p";
  patch.mIfVersion = std::numeric_limits<config_version>::max();
  BOOST_TEST((ApplyOp(config, patch) == op_outcome::Denied));
}

// Of two patches without identifiers for the same version, the second is not
// applied and must not be reported as applied.
BOOST_AUTO_TEST_CASE(patches_without_identifier_are_not_reported_as_applied)
{
  config_document config = MakeValidConfig();
  config_patch first;
  first.mIfVersion = 7;
  first.mModels[{ "first" }] = model_config{};
  config_patch second;
  second.mIfVersion = 7;
  second.mModels[{ "second" }] = model_config{};
  ApplyOp(config, first);
  BOOST_TEST((ApplyOp(config, second) != op_outcome::AlreadyApplied));
  BOOST_TEST(config.mModels.count({ "second" }) == 0u);
}

// --- Random sequences -------------------------------------------------------

// Returns a random patch for a version near the current one. It changes up to
// three entries and may be invalid.
config_patch DrawPatch(const config_document& aConfig)
{
  config_patch patch;
  patch.mPatchId = "p" + std::to_string(*rc::gen::inRange(0, 6));
  const int behind = *rc::gen::inRange(-1, 3);
  const auto version = static_cast<std::int64_t>(aConfig.mVersion) - behind;
  patch.mIfVersion =
    static_cast<config_version>(std::max<std::int64_t>(version, 0));
  const int changes = *rc::gen::inRange(0, 4);
  for (int i = 0; i < changes; ++i) {
    const model_id model{ "m" + std::to_string(*rc::gen::inRange(0, 4)) };
    const backend_id backend{ "e" + std::to_string(*rc::gen::inRange(0, 3)) };
    switch (*rc::gen::inRange(0, 4)) {
      case 0:
        patch.mModels[model] = model_config{};
        break;
      case 1:
        patch.mModels[model] = std::nullopt;
        break;
      case 2:
        patch.mBackends[backend] = backend_config{};
        patch.mBackends[backend]->mZone = { "z" };
        patch.mBackends[backend]->mModels = { model };
        break;
      default:
        patch.mBackends[backend] = std::nullopt;
        break;
    }
  }
  return patch;
}

bool HasSameContent(const config_document& aLeft, const config_document& aRight)
{
  const auto keys = [](const auto& aMap) {
    std::set<std::string> names;
    for (const auto& entry : aMap) {
      names.insert(entry.first.mValue);
    }
    return names;
  };
  return aLeft.mVersion == aRight.mVersion &&
         aLeft.mPatchIds == aRight.mPatchIds &&
         keys(aLeft.mModels) == keys(aRight.mModels) &&
         keys(aLeft.mBackends) == keys(aRight.mBackends);
}

// Applies random patches. Each applied patch increases the version by one, the
// document stays valid, and neither a rejected patch nor a repeated one changes
// anything.
RC_BOOST_PROP(versions_increase_by_one_and_patches_apply_once, ())
{
  config_document config;
  const int steps = *rc::gen::inRange(1, 30);
  for (int i = 0; i < steps; ++i) {
    const config_patch patch = DrawPatch(config);
    const config_document before = config;
    const op_outcome outcome = ApplyOp(config, patch);
    RC_ASSERT(IsOk(CheckConfig(config)));
    if (outcome != op_outcome::Applied) {
      RC_ASSERT(HasSameContent(config, before));
      continue;
    }
    RC_ASSERT(config.mVersion == before.mVersion + 1);
    RC_ASSERT(patch.mIfVersion == before.mVersion);
    const config_document once = config;
    RC_ASSERT(ApplyOp(config, patch) == op_outcome::AlreadyApplied);
    RC_ASSERT(HasSameContent(config, once));
  }
}

// A router that did not receive the store's response reads the document after
// other routers have applied further patches. It must recognize its own patch
// and must not take another patch for it.
RC_BOOST_PROP(patch_is_recognized_after_lost_response_and_further_patches, ())
{
  config_document config;
  config_patch localPatch;
  localPatch.mPatchId = "mine";
  localPatch.mIfVersion = 0;
  config_patch competingPatch = localPatch;
  competingPatch.mPatchId = "rival";
  RC_ASSERT(ApplyOp(config, localPatch) == op_outcome::Applied);
  const auto further = *rc::gen::inRange<config_version>(0, 2 * kMaxPatchIds);
  for (config_version i = 0; i < further; ++i) {
    config_patch other;
    other.mPatchId = "other";
    other.mIfVersion = config.mVersion;
    RC_ASSERT(ApplyOp(config, other) == op_outcome::Applied);
  }
  RC_ASSERT(config.mPatchIds.size() <= kMaxPatchIds);
  const bool isRecorded = further < kMaxPatchIds;
  RC_ASSERT(ApplyOp(config, localPatch) ==
            (isRecorded ? op_outcome::AlreadyApplied : op_outcome::Denied));
  RC_ASSERT(ApplyOp(config, competingPatch) == op_outcome::Denied);
  RC_ASSERT(config.mVersion == further + 1);
}

// --- Look-ups ---------------------------------------------------------------

// A wrong look-up would charge the wrong budget or workspace, or repeat a call
// that is not repeatable.
BOOST_AUTO_TEST_CASE(lookups_return_the_first_match)
{
  config_document config = MakeValidConfig();
  BOOST_REQUIRE(FindWorkspace(config, kKeyHash) != nullptr);
  BOOST_TEST(FindWorkspace(config, kKeyHash)->first.mValue == "w");
  BOOST_TEST(FindWorkspace(config, "") == nullptr);
  workspace_config workspace;
  workspace.mBudgets = { { { "large" }, { "m" } }, { { "rest" }, {} } };
  BOOST_TEST(FindBudget(workspace, "m")->mBudget.mValue == "large");
  BOOST_TEST(FindBudget(workspace, "x")->mBudget.mValue == "rest");
  workspace.mBudgets.pop_back();
  BOOST_TEST(FindBudget(workspace, "x") == nullptr);
  BOOST_TEST(IsAllowed(workspace, "x"));
  workspace.mAllowed = { "m" };
  BOOST_TEST(IsAllowed(workspace, "m"));
  BOOST_TEST(!IsAllowed(workspace, "x"));
  service_config service;
  BOOST_TEST(!IsRepeatable(service, "GET", "/"));
  service.mCalls = { { "POST", "/cut", false }, { "*", "/", true } };
  BOOST_TEST(!IsRepeatable(service, "POST", "/cut/7"));
  BOOST_TEST(IsRepeatable(service, "GET", "/cut/7"));
  BOOST_TEST(IsRepeatable(service, "POST", "/quote"));
  BOOST_TEST(!IsRepeatable(service, "POST", "cut"));
}

} // namespace
} // namespace foxtailquay
