#include "foxtailquay/config.h"

#include <algorithm>
#include <set>

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"

namespace foxtailquay {

namespace {

constexpr std::size_t kKeyHashLength = 64;
constexpr std::size_t kMaxIdLength = 128;
constexpr std::uint32_t kMaxShards = 4096;
constexpr token_count kMaxPrice = 1'000'000;
constexpr token_count kMaxTokensLimit = 10'000'000;

error ConfigError(std::string aField, std::string aDetail)
{
  return error{ error_code::InvalidConfig, executed::No, std::move(aField),
                std::move(aDetail), absl::ZeroDuration() };
}

// Identifiers become parts of request ids, store keys and URLs.
result<success> CheckId(const std::string& aField, const std::string& aId)
{
  const bool valid =
    !aId.empty() && aId.size() <= kMaxIdLength &&
    std::all_of(aId.begin(), aId.end(), [](unsigned char aChar) {
      return std::isalnum(aChar) != 0 || aChar == '-' || aChar == '_' ||
             aChar == '.' || aChar == ':';
    });
  if (!valid) {
    return ConfigError(aField,
                       absl::StrCat("\"", aId, "\" must be 1 to ", kMaxIdLength,
                                    " letters, digits or \"-_.:\""));
  }
  return success{};
}

template<typename Number>
result<success> CheckRange(const std::string& aField, Number aValue,
                           Number aLowest, Number aHighest)
{
  if (aValue < aLowest || aValue > aHighest) {
    return ConfigError(aField, absl::StrCat(aValue, " is not between ", aLowest,
                                            " and ", aHighest));
  }
  return success{};
}

result<success> CheckPositive(const std::string& aField,
                              absl::Duration aDuration)
{
  if (aDuration <= absl::ZeroDuration() || aDuration > absl::Hours(24)) {
    return ConfigError(aField, absl::StrCat(absl::FormatDuration(aDuration),
                                            " is not between 1ms and 24h"));
  }
  return success{};
}

// Returns the first error of aChecks.
result<success> FirstError(std::initializer_list<result<success>> aChecks)
{
  for (const auto& check : aChecks) {
    if (!IsOk(check)) {
      return check;
    }
  }
  return success{};
}

result<success> CheckFleet(const fleet_config& aFleet)
{
  return FirstError(
    { CheckRange("fleet.account_shards", aFleet.mAccountShards, 1u, kMaxShards),
      CheckRange("fleet.claim_shards", aFleet.mClaimShards, 1u, kMaxShards),
      CheckPositive("fleet.request_timeout", aFleet.mRequestTimeout),
      CheckPositive("fleet.queue_timeout", aFleet.mQueueTimeout),
      CheckRange("fleet.queue_length", aFleet.mQueueLength, 0, 100'000) });
}

result<success> CheckModel(const std::string& aField,
                           const model_config& aModel)
{
  return FirstError(
    { CheckRange<token_count>(absl::StrCat(aField, ".prompt_price"),
                              aModel.mPromptPrice, 0, kMaxPrice),
      CheckRange<token_count>(absl::StrCat(aField, ".completion_price"),
                              aModel.mCompletionPrice, 0, kMaxPrice),
      CheckRange<token_count>(absl::StrCat(aField, ".max_tokens"),
                              aModel.mMaxTokens, 1, kMaxTokensLimit),
      CheckRange<token_count>(absl::StrCat(aField, ".default_max_tokens"),
                              aModel.mDefaultMaxTokens, 1,
                              aModel.mMaxTokens) });
}

result<success> CheckService(const std::string& aField,
                             const service_config& aService)
{
  for (std::size_t i = 0; i < aService.mCalls.size(); ++i) {
    const service_call_config& call = aService.mCalls[i];
    const std::string field = absl::StrCat(aField, ".calls[", i, "]");
    static const std::set<std::string> kMethods = { "*",   "GET",   "POST",
                                                    "PUT", "PATCH", "DELETE" };
    if (kMethods.count(call.mMethod) == 0) {
      return ConfigError(field + ".method",
                         absl::StrCat("\"", call.mMethod,
                                      "\" is not GET, POST, PUT, PATCH, "
                                      "DELETE or *"));
    }
    if (!absl::StartsWith(call.mPathPrefix, "/")) {
      return ConfigError(
        field + ".path",
        absl::StrCat("\"", call.mPathPrefix, "\" does not start with /"));
    }
  }
  return FirstError(
    { CheckRange<token_count>(absl::StrCat(aField, ".call_price"),
                              aService.mCallPrice, 0, kMaxTokensLimit),
      CheckPositive(absl::StrCat(aField, ".timeout"), aService.mTimeout) });
}

result<success> CheckBackend(const config_document& aConfig,
                             const std::string& aField,
                             const backend_config& aBackend)
{
  for (const model_id& model : aBackend.mModels) {
    if (aConfig.mModels.count(model) == 0) {
      return ConfigError(
        aField + ".models",
        absl::StrCat("\"", model.mValue, "\" is not a configured model"));
    }
  }
  for (const service_id& service : aBackend.mServices) {
    if (aConfig.mServices.count(service) == 0) {
      return ConfigError(
        aField + ".services",
        absl::StrCat("\"", service.mValue, "\" is not a configured service"));
    }
  }
  const bool engine = aBackend.mKind == backend_kind::Engine;
  if (engine != aBackend.mServices.empty() ||
      engine == aBackend.mModels.empty()) {
    return ConfigError(aField + ".kind",
                       absl::StrCat(std::string(ToName(aBackend.mKind)),
                                    " needs ", engine ? "models" : "services",
                                    " and no ",
                                    engine ? "services" : "models"));
  }
  return FirstError({ CheckId(aField + ".zone", aBackend.mZone.mValue),
                      CheckRange(aField + ".max_concurrency",
                                 aBackend.mMaxConcurrency, 1, 100'000) });
}

result<success> CheckWorkspace(const std::string& aField,
                               const workspace_config& aWorkspace)
{
  for (const std::string& hash : aWorkspace.mKeyHashes) {
    const bool valid =
      hash.size() == kKeyHashLength &&
      std::all_of(hash.begin(), hash.end(), [](unsigned char aChar) {
        return std::isdigit(aChar) != 0 || (aChar >= 'a' && aChar <= 'f');
      });
    if (!valid) {
      return ConfigError(aField + ".key_hashes",
                         "a key hash must be 64 lower-case hexadecimal "
                         "digits (SHA-256 of the key)");
    }
  }
  if (aWorkspace.mBudgets.empty()) {
    return ConfigError(aField + ".budgets",
                       "a workspace needs at least one budget");
  }
  for (const budget_config& budget : aWorkspace.mBudgets) {
    auto id = CheckId(aField + ".budgets.id", budget.mBudget.mValue);
    if (!IsOk(id)) {
      return id;
    }
  }
  return FirstError(
    { CheckRange(aField + ".rate_per_second", aWorkspace.mRatePerSecond, 0.0,
                 1e6),
      CheckRange(aField + ".burst", aWorkspace.mBurst, 0, 1'000'000),
      CheckRange(aField + ".max_concurrency", aWorkspace.mMaxConcurrency, 0,
                 1'000'000),
      CheckPositive(aField + ".share_horizon", aWorkspace.mShareHorizon) });
}

// A budget or key hash that stands in two workspaces would let one spend the
// other's tokens.
result<success> CheckOwnership(const config_document& aConfig)
{
  std::map<std::string, std::string> budgetOwners;
  std::map<std::string, std::string> hashOwners;
  for (const auto& [id, workspace] : aConfig.mWorkspaces) {
    const std::string field = absl::StrCat("workspaces.", id.mValue);
    for (const budget_config& budget : workspace.mBudgets) {
      const std::string& name = budget.mBudget.mValue;
      const auto [owner, added] = budgetOwners.emplace(name, id.mValue);
      if (!added && owner->second != id.mValue) {
        return ConfigError(field,
                           absl::StrCat("budget \"", name,
                                        "\" also belongs to workspace \"",
                                        owner->second, "\""));
      }
    }
    for (const std::string& hash : workspace.mKeyHashes) {
      const auto [owner, added] = hashOwners.emplace(hash, id.mValue);
      if (!added && owner->second != id.mValue) {
        return ConfigError(field,
                           absl::StrCat("key hash ", hash.substr(0, 8),
                                        "... also belongs to workspace \"",
                                        owner->second, "\""));
      }
    }
  }
  return success{};
}

template<typename Id, typename Value, typename Check>
result<success> CheckEntries(std::string_view aSection,
                             const std::map<Id, Value>& aEntries, Check aCheck)
{
  for (const auto& [id, value] : aEntries) {
    const std::string field =
      absl::StrCat(std::string(aSection), ".", id.mValue);
    auto checked = CheckId(field, id.mValue);
    if (IsOk(checked)) {
      checked = aCheck(field, value);
    }
    if (!IsOk(checked)) {
      return checked;
    }
  }
  return success{};
}

template<typename Id, typename Value>
void Merge(std::map<Id, Value>& aInto,
           const std::map<Id, std::optional<Value>>& aChanges)
{
  for (const auto& [id, change] : aChanges) {
    if (change) {
      aInto[id] = *change;
    } else {
      aInto.erase(id);
    }
  }
}

bool Names(const std::vector<std::string>& aList, std::string_view aName)
{
  return aList.empty() ||
         std::find(aList.begin(), aList.end(), aName) != aList.end();
}

} // namespace

result<success> CheckConfig(const config_document& aConfig)
{
  return FirstError(
    { CheckFleet(aConfig.mFleet),
      CheckEntries("models", aConfig.mModels, &CheckModel),
      CheckEntries("services", aConfig.mServices, &CheckService),
      CheckEntries(
        "backends", aConfig.mBackends,
        [&aConfig](const std::string& aField, const backend_config& aBackend) {
          return CheckBackend(aConfig, aField, aBackend);
        }),
      CheckEntries("workspaces", aConfig.mWorkspaces, &CheckWorkspace),
      CheckOwnership(aConfig) });
}

result<config_document> ApplyPatch(const config_document& aConfig,
                                   const config_patch& aPatch)
{
  if (aPatch.mIfVersion != aConfig.mVersion) {
    return error{ error_code::VersionConflict, executed::No, "if_version",
                  absl::StrCat("patch is for version ", aPatch.mIfVersion,
                               ", current version is ", aConfig.mVersion),
                  absl::ZeroDuration() };
  }
  config_document next = aConfig;
  next.mVersion = aConfig.mVersion + 1;
  next.mPatchIds[next.mVersion] = aPatch.mPatchId;
  while (next.mPatchIds.size() > kMaxPatchIds) {
    next.mPatchIds.erase(next.mPatchIds.begin());
  }
  if (aPatch.mFleet) {
    const bool sharded = aConfig.mVersion != 0;
    if (sharded &&
        (aPatch.mFleet->mAccountShards != aConfig.mFleet.mAccountShards ||
         aPatch.mFleet->mClaimShards != aConfig.mFleet.mClaimShards)) {
      return ConfigError("fleet.account_shards",
                         "shard counts are fixed by the first version");
    }
    next.mFleet = *aPatch.mFleet;
  }
  Merge(next.mModels, aPatch.mModels);
  Merge(next.mServices, aPatch.mServices);
  Merge(next.mBackends, aPatch.mBackends);
  Merge(next.mWorkspaces, aPatch.mWorkspaces);
  auto checked = CheckConfig(next);
  if (!IsOk(checked)) {
    return GetError(checked);
  }
  return next;
}

op_outcome ApplyOp(config_document& aConfig, const config_patch& aPatch)
{
  // Two patches without an identifier could not be told apart, and the second
  // would be reported as applied.
  if (aPatch.mPatchId.empty()) {
    return op_outcome::Denied;
  }
  const auto made = aConfig.mPatchIds.find(aPatch.mIfVersion + 1);
  if (made != aConfig.mPatchIds.end() && made->second == aPatch.mPatchId) {
    return op_outcome::AlreadyApplied;
  }
  auto next = ApplyPatch(aConfig, aPatch);
  if (!IsOk(next)) {
    return op_outcome::Denied;
  }
  aConfig = GetValue(std::move(next));
  return op_outcome::Applied;
}

const std::pair<const workspace_id, workspace_config>* FindWorkspace(
  const config_document& aConfig, std::string_view aKeyHash)
{
  for (const auto& entry : aConfig.mWorkspaces) {
    const auto& hashes = entry.second.mKeyHashes;
    if (std::find(hashes.begin(), hashes.end(), aKeyHash) != hashes.end()) {
      return &entry;
    }
  }
  return nullptr;
}

const budget_config* FindBudget(const workspace_config& aWorkspace,
                                std::string_view aModelOrService)
{
  for (const budget_config& budget : aWorkspace.mBudgets) {
    if (Names(budget.mPaidTargets, aModelOrService)) {
      return &budget;
    }
  }
  return nullptr;
}

bool IsAllowed(const workspace_config& aWorkspace,
               std::string_view aModelOrService)
{
  return Names(aWorkspace.mAllowed, aModelOrService);
}

bool IsRepeatable(const service_config& aService, std::string_view aMethod,
                  std::string_view aPath)
{
  for (const service_call_config& call : aService.mCalls) {
    if ((call.mMethod == "*" || call.mMethod == aMethod) &&
        aPath.substr(0, call.mPathPrefix.size()) == call.mPathPrefix) {
      return call.mRepeatable;
    }
  }
  return false;
}

} // namespace foxtailquay
