#include <istream>
#include <iterator>
#include <ostream>

#include "absl/strings/str_cat.h"
#include "cli/admin_client.h"
#include "cli/commands.h"
#include "cli/output.h"
#include "wire/config_file.h"
#include "wire/document_codec.h"

namespace foxtailquay {

namespace {

constexpr std::size_t kMaxKeyBytes = 4096;
constexpr char kConfigPath[] = "/admin/config";

bool IsJson(const command_context& aContext)
{
  return aContext.mSettings.mOutput == output_format::Json;
}

cli_result<yaml_document> LoadYaml(const std::string& aPath)
{
  auto text = ReadFile(aPath, kMaxConfigFileBytes);
  if (!IsOk(text)) {
    return GetError(text);
  }
  auto file = ParseYaml(GetValue(text), aPath);
  if (!IsOk(file)) {
    return LocalError(GetError(file));
  }
  return GetValue(std::move(file));
}

cli_result<config_patch> LoadPatch(const yaml_document& aFile)
{
  auto patch = DecodePatch(aFile);
  if (!IsOk(patch)) {
    return LocalError(GetError(patch));
  }
  return GetValue(std::move(patch));
}

// Takes version and id from the flags; a value in the file must be the same.
cli_result<success> Identify(const yaml_document& aFile,
                             const cli_settings& aSettings,
                             config_patch& aPatch)
{
  const bool inFile = aFile.mJson.isMember("if_version");
  if (!aSettings.mIfVersion && !inFile) {
    return UsageError("--if_version",
                      "is needed: the version that the patch was made for; "
                      "\"config show\" prints the current one");
  }
  if (aSettings.mIfVersion && inFile &&
      *aSettings.mIfVersion != aPatch.mIfVersion) {
    return UsageError("--if_version",
                      absl::StrCat(*aSettings.mIfVersion,
                                   " differs from if_version ",
                                   aPatch.mIfVersion, " in ", aFile.mFile));
  }
  aPatch.mIfVersion = aSettings.mIfVersion.value_or(aPatch.mIfVersion);
  if (!aSettings.mId.empty() && !aPatch.mPatchId.empty() &&
      aSettings.mId != aPatch.mPatchId) {
    return UsageError(
      "--id", absl::StrCat("\"", aSettings.mId, "\" differs from patch_id \"",
                           aPatch.mPatchId, "\" in ", aFile.mFile));
  }
  if (!aSettings.mId.empty()) {
    aPatch.mPatchId = aSettings.mId;
  }
  if (aPatch.mPatchId.empty()) {
    auto id = NewId("patch-");
    if (!IsOk(id)) {
      return GetError(id);
    }
    aPatch.mPatchId = GetValue(std::move(id));
  }
  return success{};
}

void PrintPatched(const command_context& aContext, const config_patch& aPatch,
                  std::int64_t aVersion)
{
  if (IsJson(aContext)) {
    Json::Value json;
    json["version"] = static_cast<Json::Int64>(aVersion);
    json["patch_id"] = aPatch.mPatchId;
    aContext.mStreams.mOut << ToPrettyText(json) << "\n";
  } else {
    aContext.mStreams.mOut << "configuration version " << aVersion
                           << " (patch id " << aPatch.mPatchId << ")\n";
  }
}

cli_result<config_document> CheckFiles(const std::vector<std::string>& aFiles)
{
  auto file = LoadYaml(aFiles[0]);
  if (!IsOk(file)) {
    return GetError(file);
  }
  auto config = DecodeConfig(GetValue(file));
  if (!IsOk(config)) {
    return LocalError(GetError(config));
  }
  for (std::size_t i = 1; i < aFiles.size(); ++i) {
    auto patchFile = LoadYaml(aFiles[i]);
    if (!IsOk(patchFile)) {
      return GetError(patchFile);
    }
    auto patch = LoadPatch(GetValue(patchFile));
    if (!IsOk(patch)) {
      return GetError(patch);
    }
    config_patch applied = GetValue(std::move(patch));
    if (!GetValue(patchFile).mJson.isMember("if_version")) {
      applied.mIfVersion = GetValue(config).mVersion;
    }
    auto next = ApplyPatch(GetValue(config), applied);
    if (!IsOk(next)) {
      return LocalError(AddPosition(GetValue(patchFile), GetError(next)));
    }
    config = std::move(next);
  }
  return GetValue(std::move(config));
}

} // namespace

cli_result<success> ConfigShow(const command_context& aContext)
{
  auto options = RouterOptions(aContext.mSettings);
  if (!IsOk(options)) {
    return GetError(options);
  }
  auto response =
    Call(GetValue(options),
         { http_method::Get, kConfigPath, {}, request_effect::Read });
  if (!IsOk(response)) {
    return GetError(response);
  }
  if (IsJson(aContext)) {
    aContext.mStreams.mOut << ToPrettyText(GetValue(response)) << "\n";
    return success{};
  }
  auto config = ConfigFromJson(GetValue(response));
  if (!IsOk(config)) {
    return BadAnswer(GetError(config).mField, "valid configuration");
  }
  aContext.mStreams.mOut << ToYaml(GetValue(config));
  return success{};
}

cli_result<success> ConfigPatch(const command_context& aContext)
{
  auto options = RouterOptions(aContext.mSettings);
  if (!IsOk(options)) {
    return GetError(options);
  }
  auto file = LoadYaml(aContext.mArguments[0]);
  if (!IsOk(file)) {
    return GetError(file);
  }
  auto loaded = LoadPatch(GetValue(file));
  if (!IsOk(loaded)) {
    return GetError(loaded);
  }
  config_patch patch = GetValue(std::move(loaded));
  auto identified = Identify(GetValue(file), aContext.mSettings, patch);
  if (!IsOk(identified)) {
    return identified;
  }
  // Printed before sending, so that it is known after an interruption.
  aContext.mStreams.mErr << "patch id " << patch.mPatchId
                         << " (repeat with --id=" << patch.mPatchId
                         << " if the outcome is unknown)\n";
  auto response =
    Call(GetValue(options), { http_method::Post, kConfigPath, ToJson(patch),
                              request_effect::Idempotent });
  if (!IsOk(response)) {
    cli_failure failure = GetError(response);
    if (failure.mError.mCode == error_code::InvalidConfig) {
      failure.mError = AddPosition(GetValue(file), failure.mError);
    }
    return failure;
  }
  auto version = IntegerOf(GetValue(response), "version");
  if (!IsOk(version)) {
    // Accepted, but not in a form that shows what became of the patch.
    cli_failure failure = GetError(version);
    failure.mExit = exit_code::OutcomeUnknown;
    return failure;
  }
  PrintPatched(aContext, patch, GetValue(version));
  return success{};
}

cli_result<success> ConfigCheck(const command_context& aContext)
{
  auto checked = CheckFiles(aContext.mArguments);
  if (!IsOk(checked)) {
    return GetError(checked);
  }
  const config_document& config = GetValue(checked);
  if (IsJson(aContext)) {
    aContext.mStreams.mOut << ToPrettyText(ToJson(config)) << "\n";
    return success{};
  }
  aContext.mStreams.mOut << aContext.mArguments.back() << ": valid, "
                         << config.mModels.size() << " models, "
                         << config.mServices.size() << " services, "
                         << config.mBackends.size() << " backend servers, "
                         << config.mWorkspaces.size() << " workspaces\n";
  return success{};
}

cli_result<success> ConfigHashKey(const command_context& aContext)
{
  std::string key;
  std::istream& in = aContext.mStreams.mIn;
  for (char letter = 0; key.size() <= kMaxKeyBytes && in.get(letter);) {
    key += letter;
  }
  // The line end that an editor or echo adds is not part of the key.
  while (!key.empty() && (key.back() == '\n' || key.back() == '\r')) {
    key.pop_back();
  }
  const bool valid = !key.empty() && key.size() <= kMaxKeyBytes &&
                     key.find_first_of(" \t\r\n") == std::string::npos;
  if (!valid) {
    return UsageError("standard input",
                      absl::StrCat("must hold one key of 1 to ", kMaxKeyBytes,
                                   " characters without spaces"));
  }
  auto hash = Sha256(key);
  if (!IsOk(hash)) {
    return GetError(hash);
  }
  if (IsJson(aContext)) {
    Json::Value json;
    json["key_hash"] = GetValue(hash);
    aContext.mStreams.mOut << ToPrettyText(json) << "\n";
  } else {
    aContext.mStreams.mOut << GetValue(hash) << "\n";
  }
  return success{};
}

} // namespace foxtailquay
