// Validation and patches of the configuration, and look-ups in it.

#include "foxtailquay/config.h"

#include <algorithm>
#include <set>

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"

namespace foxtailquay {

namespace {

// Hexadecimal digits of a SHA-256.
constexpr std::size_t kKeyHashLength = 64;
// Characters of an identifier.
constexpr std::size_t kMaxIdLength = 128;
constexpr std::uint32_t kMaxShards = 4096;
// Budget tokens per prompt or completion token.
constexpr token_count kMaxPrice = 1'000'000;
// Largest max_tokens of a model and largest price of a service call.
constexpr token_count kMaxTokensLimit = 10'000'000;

error MakeConfigError(std::string aField, std::string aDetail)
{
  return error{ error_code::InvalidConfig, executed::No, std::move(aField),
                std::move(aDetail), absl::ZeroDuration() };
}

// Restricts the characters, because identifiers are used in request ids, store
// keys and URLs.
result<success> CheckId(const std::string& aField, const std::string& aId)
{
  const bool valid =
    !aId.empty() && aId.size() <= kMaxIdLength &&
    std::all_of(aId.begin(), aId.end(), [](unsigned char aChar) {
      return std::isalnum(aChar) != 0 || aChar == '-' || aChar == '_' ||
             aChar == '.' || aChar == ':';
    });
  if (!valid) {
    return MakeConfigError(
      aField, absl::StrCat("\"", aId, "\" must be 1 to ", kMaxIdLength,
                           " letters, digits or \"-_.:\""));
  }
  return success{};
}

template<typename Number>
result<success> CheckRange(const std::string& aField, Number aValue,
                           Number aLowest, Number aHighest)
{
  if (aValue < aLowest || aValue > aHighest) {
    return MakeConfigError(aField, absl::StrCat(aValue, " is not between ",
                                                aLowest, " and ", aHighest));
  }
  return success{};
}

result<success> CheckDuration(const std::string& aField,
                              absl::Duration aDuration)
{
  if (aDuration <= absl::ZeroDuration() || aDuration > absl::Hours(24)) {
    return MakeConfigError(aField, absl::StrCat(absl::FormatDuration(aDuration),
                                                " is not between 1ms and 24h"));
  }
  return success{};
}

// Returns the first error of aChecks, or success.
result<success> FindFirstError(std::initializer_list<result<success>> aChecks)
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
  return FindFirstError(
    { CheckRange("fleet.account_shards", aFleet.mAccountShards, 1u, kMaxShards),
      CheckRange("fleet.claim_shards", aFleet.mClaimShards, 1u, kMaxShards),
      CheckDuration("fleet.request_timeout", aFleet.mRequestTimeout),
      CheckDuration("fleet.queue_timeout", aFleet.mQueueTimeout),
      CheckRange("fleet.queue_length", aFleet.mQueueLength, 0, 100'000) });
}

result<success> CheckModel(const std::string& aField,
                           const model_config& aModel)
{
  return FindFirstError(
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
      return MakeConfigError(field + ".method",
                             absl::StrCat("\"", call.mMethod,
                                          "\" is not GET, POST, PUT, PATCH, "
                                          "DELETE or *"));
    }
    if (!absl::StartsWith(call.mPathPrefix, "/")) {
      return MakeConfigError(
        field + ".path",
        absl::StrCat("\"", call.mPathPrefix, "\" does not start with /"));
    }
  }
  return FindFirstError(
    { CheckRange<token_count>(absl::StrCat(aField, ".call_price"),
                              aService.mCallPrice, 0, kMaxTokensLimit),
      CheckDuration(absl::StrCat(aField, ".timeout"), aService.mTimeout) });
}

result<success> CheckBackend(const config_document& aConfig,
                             const std::string& aField,
                             const backend_config& aBackend)
{
  for (const model_id& model : aBackend.mModels) {
    if (aConfig.mModels.count(model) == 0) {
      return MakeConfigError(
        aField + ".models",
        absl::StrCat("\"", model.mValue, "\" is not a configured model"));
    }
  }
  for (const service_id& service : aBackend.mServices) {
    if (aConfig.mServices.count(service) == 0) {
      return MakeConfigError(
        aField + ".services",
        absl::StrCat("\"", service.mValue, "\" is not a configured service"));
    }
  }
  const bool engine = aBackend.mKind == backend_kind::Engine;
  if (engine != aBackend.mServices.empty() ||
      engine == aBackend.mModels.empty()) {
    return MakeConfigError(
      aField + ".kind",
      absl::StrCat(std::string(ToName(aBackend.mKind)), " needs ",
                   engine ? "models" : "services", " and no ",
                   engine ? "services" : "models"));
  }
  return FindFirstError({ CheckId(aField + ".zone", aBackend.mZone.mValue),
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
      return MakeConfigError(aField + ".key_hashes",
                             "a key hash must be 64 lower-case hexadecimal "
                             "digits (SHA-256 of the key)");
    }
  }
  if (aWorkspace.mBudgets.empty()) {
    return MakeConfigError(aField + ".budgets",
                           "a workspace needs at least one budget");
  }
  for (const budget_config& budget : aWorkspace.mBudgets) {
    auto id = CheckId(aField + ".budgets.id", budget.mBudget.mValue);
    if (!IsOk(id)) {
      return id;
    }
  }
  return FindFirstError(
    { CheckRange(aField + ".rate_per_second", aWorkspace.mRatePerSecond, 0.0,
                 1e6),
      CheckRange(aField + ".burst", aWorkspace.mBurst, 0, 1'000'000),
      CheckRange(aField + ".max_concurrency", aWorkspace.mMaxConcurrency, 0,
                 1'000'000),
      CheckDuration(aField + ".share_horizon", aWorkspace.mShareHorizon) });
}

// Returns an error if two workspaces list the same budget or key hash: one
// could then spend the other's tokens.
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
        return MakeConfigError(field,
                               absl::StrCat("budget \"", name,
                                            "\" also belongs to workspace \"",
                                            owner->second, "\""));
      }
    }
    for (const std::string& hash : workspace.mKeyHashes) {
      const auto [owner, added] = hashOwners.emplace(hash, id.mValue);
      if (!added && owner->second != id.mValue) {
        return MakeConfigError(field,
                               absl::StrCat("key hash ", hash.substr(0, 8),
                                            "... also belongs to workspace \"",
                                            owner->second, "\""));
      }
    }
  }
  return success{};
}

// Checks the identifier and the value of each entry. aSection is the name of
// the section in error fields.
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

// Sets the entries of aChanges in aInto and removes those without a value.
template<typename Id, typename Value>
void ApplyChanges(std::map<Id, Value>& aInto,
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

// Returns true if aList contains aName or is empty, which stands for all names.
bool IsListed(const std::vector<std::string>& aList, std::string_view aName)
{
  return aList.empty() ||
         std::find(aList.begin(), aList.end(), aName) != aList.end();
}

} // namespace

result<success> CheckConfig(const config_document& aConfig)
{
  return FindFirstError(
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
    const bool isFirstVersion = aConfig.mVersion == 0;
    if (!isFirstVersion &&
        (aPatch.mFleet->mAccountShards != aConfig.mFleet.mAccountShards ||
         aPatch.mFleet->mClaimShards != aConfig.mFleet.mClaimShards)) {
      return MakeConfigError("fleet.account_shards",
                             "shard counts are fixed by the first version");
    }
    next.mFleet = *aPatch.mFleet;
  }
  ApplyChanges(next.mModels, aPatch.mModels);
  ApplyChanges(next.mServices, aPatch.mServices);
  ApplyChanges(next.mBackends, aPatch.mBackends);
  ApplyChanges(next.mWorkspaces, aPatch.mWorkspaces);
  auto checked = CheckConfig(next);
  if (!IsOk(checked)) {
    return GetError(checked);
  }
  return next;
}

op_outcome ApplyOp(config_document& aConfig, const config_patch& aPatch)
{
  // Patches without an identifier cannot be distinguished: the second one would
  // be reported as already applied.
  if (aPatch.mPatchId.empty()) {
    return op_outcome::Denied;
  }
  const auto applied = aConfig.mPatchIds.find(aPatch.mIfVersion + 1);
  if (applied != aConfig.mPatchIds.end() &&
      applied->second == aPatch.mPatchId) {
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
    if (IsListed(budget.mPaidTargets, aModelOrService)) {
      return &budget;
    }
  }
  return nullptr;
}

bool IsAllowed(const workspace_config& aWorkspace,
               std::string_view aModelOrService)
{
  return IsListed(aWorkspace.mAllowed, aModelOrService);
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
