// The numbered configuration document that operators patch.
//
// One document configures the whole fleet. It is a plain value: CheckConfig
// validates it, ApplyPatch produces the next version. Encoding (YAML files,
// JSON in the store) lives in src/wire.
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

struct model_config
{
  // Price of one prompt or completion token, in budget tokens.
  token_count mPromptPrice = 1;
  token_count mCompletionPrice = 1;
  // Used when a request gives no max_tokens.
  token_count mDefaultMaxTokens = 512;
  // Upper bound of max_tokens.
  token_count mMaxTokens = 8192;
};

// One kind of call on a plain service, matched by method and path prefix.
struct service_call_config
{
  std::string mMethod; // "GET", "POST", ... or "*"
  std::string mPathPrefix;
  bool mRepeatable = false;
};

struct service_config
{
  // First match applies; a call without a match is not repeatable.
  std::vector<service_call_config> mCalls;
  // Price of one call, in budget tokens.
  token_count mCallPrice = 0;
  absl::Duration mTimeout = absl::Seconds(10);
};

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

// What a backend server does with a command that carries an old fencing
// number.
enum class fencing_support
{
  Honours,
  Ignores,
};

constexpr auto NameTable(fencing_support)
{
  return MakeNameTable<fencing_support>(
    { { fencing_support::Honours, "honours" },
      { fencing_support::Ignores, "ignores" } });
}

struct backend_config
{
  backend_kind mKind = backend_kind::Engine;
  zone_id mZone;
  std::vector<model_id> mModels;
  std::vector<service_id> mServices;
  // Requests that may run at once.
  int mMaxConcurrency = 16;
  fencing_support mFencing = fencing_support::Ignores;
  // Set by operators to take the backend server out of use.
  bool mDrain = false;
};

struct budget_config
{
  budget_id mBudget;
  // Models and services paid from this budget; empty means all.
  std::vector<std::string> mPaidTargets;
};

struct workspace_config
{
  // Lower-case hexadecimal SHA-256 of the API keys that belong here.
  std::vector<std::string> mKeyHashes;
  // First match pays.
  std::vector<budget_config> mBudgets;
  // Requests per second and burst; 0 means no limit.
  double mRatePerSecond = 0;
  int mBurst = 0;
  // Requests in flight per router; 0 means no limit.
  int mMaxConcurrency = 0;
  priority_class mPriority = priority_class::Standard;
  // How many seconds of expected spending a router keeps ready in its share.
  // Longer: fewer false refusals in a partition. Shorter: fewer tokens tied
  // up on routers that do not need them.
  absl::Duration mShareHorizon = absl::Minutes(10);
  // Models and services that this workspace may use; empty means all.
  std::vector<std::string> mAllowed;
};

struct fleet_config
{
  // Number of account and claim shards. Fixed once accounts exist.
  std::uint32_t mAccountShards = 4;
  std::uint32_t mClaimShards = 4;
  absl::Duration mRequestTimeout = absl::Seconds(120);
  // Longest time a request waits in an admission queue.
  absl::Duration mQueueTimeout = absl::Seconds(5);
  int mQueueLength = 256;
};

struct config_document
{
  config_version mVersion = 0;
  // Identifiers of the patches that made the newest versions, so that a
  // router recognizes its own patch after a lost answer.
  std::map<config_version, std::string> mPatchIds;
  fleet_config mFleet;
  std::map<model_id, model_config> mModels;
  std::map<service_id, service_config> mServices;
  std::map<backend_id, backend_config> mBackends;
  std::map<workspace_id, workspace_config> mWorkspaces;
};

// A patch replaces or removes whole entries; entries it does not name stay.
struct config_patch
{
  std::string mPatchId;
  config_version mIfVersion = 0;
  std::optional<fleet_config> mFleet;
  // An empty optional removes the entry.
  std::map<model_id, std::optional<model_config>> mModels;
  std::map<service_id, std::optional<service_config>> mServices;
  std::map<backend_id, std::optional<backend_config>> mBackends;
  std::map<workspace_id, std::optional<workspace_config>> mWorkspaces;
};

// Versions whose patch identifier is kept in the document.
constexpr config_version kMaxPatchIds = 256;

// Checks ranges and references between entries. Errors: InvalidConfig with
// the path of the field, its value and what would be right.
result<success> CheckConfig(const config_document& aConfig);

// Returns the next version. Errors: VersionConflict if aPatch.mIfVersion is
// not aConfig.mVersion, InvalidConfig if the result would not pass
// CheckConfig. aConfig is unchanged.
result<config_document> ApplyPatch(const config_document& aConfig,
                                   const config_patch& aPatch);

// Store operation form of ApplyPatch: AlreadyApplied if this patch made
// version mIfVersion + 1, Denied if another one did, the patch is invalid or
// its identifier is empty.
op_outcome ApplyOp(config_document& aConfig, const config_patch& aPatch);

// The workspace that owns the API key with this SHA-256, or null.
const std::pair<const workspace_id, workspace_config>* FindWorkspace(
  const config_document& aConfig, std::string_view aKeyHash);

// The budget of aWorkspace that pays for a model or service, or null.
const budget_config* FindBudget(const workspace_config& aWorkspace,
                                std::string_view aModelOrService);

// True if the workspace may use the model or service.
bool IsAllowed(const workspace_config& aWorkspace,
               std::string_view aModelOrService);

// Whether a call on a service may be repeated.
bool IsRepeatable(const service_config& aService, std::string_view aMethod,
                  std::string_view aPath);

} // namespace foxtailquay

#endif
