#include "sim_config.h"

#include "sim_caller.h"
#include "yaml_fields.h"

namespace foxtailquay::scenario {

namespace {

using node = YAML::Node;
using text = std::string;

template<typename Id>
std::vector<Id> ParseIds(const node& aNode, const text& aFile)
{
  std::vector<Id> ids;
  for (const text& name : ParseNames(aNode, aFile)) {
    ids.push_back(Id{ name });
  }
  return ids;
}

const field_parsers<model_config>& GetModelParsers()
{
  using m = model_config;
  static const field_parsers<m> kParsers = {
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
  return kParsers;
}

const field_parsers<service_config>& GetServiceParsers()
{
  using s = service_config;
  static const field_parsers<s> kParsers = {
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
  return kParsers;
}

const field_parsers<backend_config>& GetBackendParsers()
{
  using b = backend_config;
  static const field_parsers<b> kParsers = {
    { "zone",
      [](b& aTo, const node& aFrom, const text& aFile) {
        aTo.mZone.mValue = ParseAs<text>(aFrom, aFile);
      } },
    { "models",
      [](b& aTo, const node& aFrom, const text& aFile) {
        aTo.mKind = backend_kind::Engine;
        aTo.mModels = ParseIds<model_id>(aFrom, aFile);
      } },
    { "services",
      [](b& aTo, const node& aFrom, const text& aFile) {
        aTo.mKind = backend_kind::Service;
        aTo.mServices = ParseIds<service_id>(aFrom, aFile);
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
  return kParsers;
}

const field_parsers<workspace_config>& GetWorkspaceParsers()
{
  using w = workspace_config;
  static const field_parsers<w> kParsers = {
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
  return kParsers;
}

const field_parsers<fleet_config>& GetFleetParsers()
{
  using f = fleet_config;
  static const field_parsers<f> kParsers = {
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
  return kParsers;
}

template<typename Id, typename Value>
void ParseEntries(std::map<Id, std::optional<Value>>& aTo, const node& aFrom,
                  const text& aFile, const field_parsers<Value>& aParsers)
{
  for (const auto& entry : aFrom) {
    std::optional<Value>& value = aTo[Id{ entry.first.Scalar() }];
    if (!entry.second.IsNull()) {
      value = ParseFields(entry.second, aFile, aParsers);
    }
  }
}

const field_parsers<config_patch>& GetPatchParsers()
{
  using p = config_patch;
  static const field_parsers<p> kParsers = {
    { "fleet",
      [](p& aTo, const node& aFrom, const text& aFile) {
        aTo.mFleet = ParseFields(aFrom, aFile, GetFleetParsers());
      } },
    { "models",
      [](p& aTo, const node& aFrom, const text& aFile) {
        ParseEntries(aTo.mModels, aFrom, aFile, GetModelParsers());
      } },
    { "services",
      [](p& aTo, const node& aFrom, const text& aFile) {
        ParseEntries(aTo.mServices, aFrom, aFile, GetServiceParsers());
      } },
    { "backends",
      [](p& aTo, const node& aFrom, const text& aFile) {
        ParseEntries(aTo.mBackends, aFrom, aFile, GetBackendParsers());
      } },
    { "workspaces",
      [](p& aTo, const node& aFrom, const text& aFile) {
        ParseEntries(aTo.mWorkspaces, aFrom, aFile, GetWorkspaceParsers());
      } },
  };
  return kParsers;
}

} // namespace

result<config_patch> ParseConfigPatch(const YAML::Node& aNode,
                                      const std::string& aFile)
{
  try {
    config_patch patch = ParseFields(aNode, aFile, GetPatchParsers());
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
