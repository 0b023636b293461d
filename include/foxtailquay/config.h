// The numbered configuration document that operators patch.
//
// One document configures the complete fleet. CheckConfig validates it and
// ApplyPatch produces the next version. src/wire encodes it as YAML for files
// and as JSON for the store.
//
// Pure functions on plain values; safe on any thread with distinct objects.

#ifndef FOXTAILQUAY_CONFIG_H
#define FOXTAILQUAY_CONFIG_H

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "absl/time/time.h"
#include "foxtailquay/account.h"
#include "foxtailquay/types.h"

namespace foxtailquay {

// Prices and limits of one model.
struct model_config
{
  // Price of one prompt or completion token, in budget tokens.
  token_count mPromptPrice = 1;
  token_count mCompletionPrice = 1;
  // Completion tokens of a request that sets no max_tokens.
  token_count mDefaultMaxTokens = 512;
  // Largest max_tokens that a request may set.
  token_count mMaxTokens = 8192;
};

// One kind of call on a plain service, matched by method and path prefix.
struct service_call_config
{
  std::string mMethod; // "GET", "POST", ... or "*"
  std::string mPathPrefix;
  // True if the call may be executed more than once.
  bool mRepeatable = false;
};

// One plain service.
struct service_config
{
  // The first match applies. A call without a match is not repeatable.
  std::vector<service_call_config> mCalls;
  // Price of one call, in budget tokens.
  token_count mCallPrice = 0;
  // Longest time that one call may take.
  absl::Duration mTimeout = absl::Seconds(10);
};

// What a backend server runs.
enum class backend_kind
{
  Engine,
  Service,
};

constexpr auto NameTable(backend_kind)
{
  return MakeNameTable<backend_kind>({ { backend_kind::Engine, "engine" },
                                       { backend_kind::Service, "service" } });
}

// How a backend server treats a command with an outdated fencing number.
enum class fencing_support
{
  // It rejects the command.
  Honours,
  // It executes the command; its agent must reject it instead.
  Ignores,
};

constexpr auto NameTable(fencing_support)
{
  return MakeNameTable<fencing_support>(
    { { fencing_support::Honours, "honours" },
      { fencing_support::Ignores, "ignores" } });
}

// One backend server.
struct backend_config
{
  backend_kind mKind = backend_kind::Engine;
  zone_id mZone;
  std::vector<model_id> mModels;
  std::vector<service_id> mServices;
  // Largest number of requests that run at the same time.
  int mMaxConcurrency = 16;
  fencing_support mFencing = fencing_support::Ignores;
  // Set by an operator: the backend server gets no new requests.
  bool mDrain = false;
};

// One budget of a workspace.
struct budget_config
{
  budget_id mBudget;
  // Models and services that this budget pays for; empty means all.
  std::vector<std::string> mPaidTargets;
};

// One workspace.
struct workspace_config
{
  // SHA-256 of the workspace's API keys, in lower-case hexadecimal.
  std::vector<std::string> mKeyHashes;
  // The first budget that pays for the target is charged.
  std::vector<budget_config> mBudgets;
  // Limits on requests per second and on the burst; 0 means no limit.
  double mRatePerSecond = 0;
  int mBurst = 0;
  // Largest number of requests in flight per router; 0 means no limit.
  int mMaxConcurrency = 0;
  priority_class mPriority = priority_class::Standard;
  // Expected spending time that a router covers with its share. A longer time
  // causes fewer refusals of affordable requests in a partition; a shorter one
  // ties up fewer tokens on routers that do not need them.
  absl::Duration mShareHorizon = absl::Minutes(10);
  // Models and services that this workspace may use; empty means all.
  std::vector<std::string> mAllowed;
};

// Settings of the fleet.
struct fleet_config
{
  // Numbers of account and claim shards. They must not change once accounts
  // exist.
  std::uint32_t mAccountShards = 4;
  std::uint32_t mClaimShards = 4;
  // Longest time from the arrival of a request to the end of its response.
  absl::Duration mRequestTimeout = absl::Seconds(120);
  // Longest time that a request waits in an admission queue.
  absl::Duration mQueueTimeout = absl::Seconds(5);
  // Largest number of queued requests per target.
  int mQueueLength = 256;
};

// The configuration of the fleet at one version.
struct config_document
{
  config_version mVersion = 0;
  // Identifiers of the patches that produced the newest versions. With them
  // a router recognizes its own patch after the response was lost.
  std::map<config_version, std::string> mPatchIds;
  fleet_config mFleet;
  std::map<model_id, model_config> mModels;
  std::map<service_id, service_config> mServices;
  std::map<backend_id, backend_config> mBackends;
  std::map<workspace_id, workspace_config> mWorkspaces;
};

// A patch replaces or removes complete entries; the others stay.
struct config_patch
{
  std::string mPatchId;
  // The version to which the patch applies.
  config_version mIfVersion = 0;
  std::optional<fleet_config> mFleet;
  // An empty optional removes the entry.
  std::map<model_id, std::optional<model_config>> mModels;
  std::map<service_id, std::optional<service_config>> mServices;
  std::map<backend_id, std::optional<backend_config>> mBackends;
  std::map<workspace_id, std::optional<workspace_config>> mWorkspaces;
};

// Number of newest versions whose patch identifier the document keeps.
constexpr config_version kMaxPatchIds = 256;

// Checks ranges and the references between entries. Errors: InvalidConfig with
// the path of the field, its value and the accepted values.
result<success> CheckConfig(const config_document& aConfig);

// Returns the next version; aConfig stays unchanged. Errors: VersionConflict if
// aPatch.mIfVersion is not aConfig.mVersion; InvalidConfig if CheckConfig
// rejects the result.
result<config_document> ApplyPatch(const config_document& aConfig,
                                   const config_patch& aPatch);

// Applies aPatch as a store operation. Returns AlreadyApplied if this patch
// produced version mIfVersion + 1. Returns Denied if another patch produced it,
// if the patch is invalid, or if it has no identifier.
op_outcome ApplyOp(config_document& aConfig, const config_patch& aPatch);

// Returns the workspace that owns the API key with this SHA-256, or null.
const std::pair<const workspace_id, workspace_config>* FindWorkspace(
  const config_document& aConfig, std::string_view aKeyHash);

// Returns the budget of aWorkspace that pays for a model or service, or null.
const budget_config* FindBudget(const workspace_config& aWorkspace,
                                std::string_view aModelOrService);

// Returns true if the workspace may use the model or service.
bool IsAllowed(const workspace_config& aWorkspace,
               std::string_view aModelOrService);

// Returns true if a call on the service may be executed more than once.
bool IsRepeatable(const service_config& aService, std::string_view aMethod,
                  std::string_view aPath);

} // namespace foxtailquay

#endif
