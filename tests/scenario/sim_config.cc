#include "sim_config.h"

#include "sim_caller.h"
#include "yaml_fields.h"

namespace foxtailquay::scenario {

namespace {

using node = YAML::Node;
using text = std::string;

template<typename Id>
std::vector<Id> AsIds(const node& aNode, const text& aFile)
{
  std::vector<Id> ids;
  for (const text& name : ParseNames(aNode, aFile)) {
    ids.push_back(Id{ name });
  }
  return ids;
}

const field_parsers<model_config>& ModelReaders()
{
  using m = model_config;
  static const field_parsers<m> kReaders = {
    { "prompt_price",
      [](m& aTo, const node& aFrom, const text& aFile) {
        aTo.mPromptPrice = ParseAs<token_count>(aFrom, aFile);
      } },
    { "completion_price",
      [](m& aTo, const node& aFrom, const text& aFile) {
        aTo.mCompletionPrice = ParseAs<token_count>(aFrom, aFile);
      } },
    { "default_max_tokens",
      [](m& aTo, const node& aFrom, const text& aFile) {
        aTo.mDefaultMaxTokens = ParseAs<token_count>(aFrom, aFile);
      } },
    { "max_tokens",
      [](m& aTo, const node& aFrom, const text& aFile) {
        aTo.mMaxTokens = ParseAs<token_count>(aFrom, aFile);
      } },
  };
  return kReaders;
}

const field_parsers<service_config>& ServiceReaders()
{
  using s = service_config;
  static const field_parsers<s> kReaders = {
    // Path prefixes whose calls may be repeated; all other calls may not.
    { "repeatable",
      [](s& aTo, const node& aFrom, const text& aFile) {
        for (const text& prefix : ParseNames(aFrom, aFile)) {
          aTo.mCalls.push_back({ "*", prefix, true });
        }
      } },
    { "price",
      [](s& aTo, const node& aFrom, const text& aFile) {
        aTo.mCallPrice = ParseAs<token_count>(aFrom, aFile);
      } },
    { "timeout",
      [](s& aTo, const node& aFrom, const text& aFile) {
        aTo.mTimeout = ParseDuration(aFrom, aFile);
      } },
  };
  return kReaders;
}

const field_parsers<backend_config>& BackendReaders()
{
  using b = backend_config;
  static const field_parsers<b> kReaders = {
    { "zone",
      [](b& aTo, const node& aFrom, const text& aFile) {
        aTo.mZone.mValue = ParseAs<text>(aFrom, aFile);
      } },
    { "models",
      [](b& aTo, const node& aFrom, const text& aFile) {
        aTo.mKind = backend_kind::Engine;
        aTo.mModels = AsIds<model_id>(aFrom, aFile);
      } },
    { "services",
      [](b& aTo, const node& aFrom, const text& aFile) {
        aTo.mKind = backend_kind::Service;
        aTo.mServices = AsIds<service_id>(aFrom, aFile);
      } },
    { "max_concurrency",
      [](b& aTo, const node& aFrom, const text& aFile) {
        aTo.mMaxConcurrency = ParseAs<int>(aFrom, aFile);
      } },
    { "fencing",
      [](b& aTo, const node& aFrom, const text& aFile) {
        aTo.mFencing = ParseEnum<fencing_support>(aFrom, aFile);
      } },
    { "drain",
      [](b& aTo, const node& aFrom, const text& aFile) {
        aTo.mDrain = ParseAs<bool>(aFrom, aFile);
      } },
  };
  return kReaders;
}

const field_parsers<workspace_config>& WorkspaceReaders()
{
  using w = workspace_config;
  static const field_parsers<w> kReaders = {
    { "budgets",
      [](w& aTo, const node& aFrom, const text& aFile) {
        for (const text& name : ParseNames(aFrom, aFile)) {
          aTo.mBudgets.push_back({ budget_id{ name }, {} });
        }
      } },
    { "rate_per_second",
      [](w& aTo, const node& aFrom, const text& aFile) {
        aTo.mRatePerSecond = ParseAs<double>(aFrom, aFile);
      } },
    { "burst",
      [](w& aTo, const node& aFrom, const text& aFile) {
        aTo.mBurst = ParseAs<int>(aFrom, aFile);
      } },
    { "max_concurrency",
      [](w& aTo, const node& aFrom, const text& aFile) {
        aTo.mMaxConcurrency = ParseAs<int>(aFrom, aFile);
      } },
    { "priority",
      [](w& aTo, const node& aFrom, const text& aFile) {
        aTo.mPriority = ParseEnum<priority_class>(aFrom, aFile);
      } },
    { "share_horizon",
      [](w& aTo, const node& aFrom, const text& aFile) {
        aTo.mShareHorizon = ParseDuration(aFrom, aFile);
      } },
  };
  return kReaders;
}

const field_parsers<fleet_config>& FleetReaders()
{
  using f = fleet_config;
  static const field_parsers<f> kReaders = {
    { "account_shards",
      [](f& aTo, const node& aFrom, const text& aFile) {
        aTo.mAccountShards = ParseAs<std::uint32_t>(aFrom, aFile);
      } },
    { "claim_shards",
      [](f& aTo, const node& aFrom, const text& aFile) {
        aTo.mClaimShards = ParseAs<std::uint32_t>(aFrom, aFile);
      } },
    { "request_timeout",
      [](f& aTo, const node& aFrom, const text& aFile) {
        aTo.mRequestTimeout = ParseDuration(aFrom, aFile);
      } },
    { "queue_timeout",
      [](f& aTo, const node& aFrom, const text& aFile) {
        aTo.mQueueTimeout = ParseDuration(aFrom, aFile);
      } },
  };
  return kReaders;
}

template<typename Id, typename Value>
void ReadEntries(std::map<Id, std::optional<Value>>& aTo, const node& aFrom,
                 const text& aFile, const field_parsers<Value>& aReaders)
{
  for (const auto& entry : aFrom) {
    std::optional<Value>& value = aTo[Id{ entry.first.Scalar() }];
    if (!entry.second.IsNull()) {
      value = ParseFields(entry.second, aFile, aReaders);
    }
  }
}

const field_parsers<config_patch>& PatchReaders()
{
  using p = config_patch;
  static const field_parsers<p> kReaders = {
    { "fleet",
      [](p& aTo, const node& aFrom, const text& aFile) {
        aTo.mFleet = ParseFields(aFrom, aFile, FleetReaders());
      } },
    { "models",
      [](p& aTo, const node& aFrom, const text& aFile) {
        ReadEntries(aTo.mModels, aFrom, aFile, ModelReaders());
      } },
    { "services",
      [](p& aTo, const node& aFrom, const text& aFile) {
        ReadEntries(aTo.mServices, aFrom, aFile, ServiceReaders());
      } },
    { "backends",
      [](p& aTo, const node& aFrom, const text& aFile) {
        ReadEntries(aTo.mBackends, aFrom, aFile, BackendReaders());
      } },
    { "workspaces",
      [](p& aTo, const node& aFrom, const text& aFile) {
        ReadEntries(aTo.mWorkspaces, aFrom, aFile, WorkspaceReaders());
      } },
  };
  return kReaders;
}

} // namespace

result<config_patch> ReadPatch(const YAML::Node& aNode,
                               const std::string& aFile)
{
  try {
    config_patch patch = ParseFields(aNode, aFile, PatchReaders());
    for (auto& [id, workspace] : patch.mWorkspaces) {
      if (workspace) {
        workspace->mKeyHashes = { ComputeKeyHash(id.mValue) };
      }
    }
    return patch;
  } catch (const yaml_failure& failure) {
    return failure.mError;
  }
}

} // namespace foxtailquay::scenario
