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

cli_result<yaml_document> ReadYamlFile(const std::string& aPath)
{
  auto text = ReadFile(aPath, kMaxConfigFileBytes);
  if (!IsOk(text)) {
    return GetError(text);
  }
  auto file = ParseYaml(GetValue(text), aPath);
  if (!IsOk(file)) {
    return MakeLocalError(GetError(file));
  }
  return GetValue(std::move(file));
}

cli_result<config_patch> DecodePatchFile(const yaml_document& aFile)
{
  auto patch = DecodePatch(aFile);
  if (!IsOk(patch)) {
    return MakeLocalError(GetError(patch));
  }
  return GetValue(std::move(patch));
}

// Sets the version and the id of aPatch from the flags, or a random id if there
// is none. Errors: Usage if the file has another value than the flag, or if the
// version is missing.
cli_result<success> SetVersionAndId(const yaml_document& aFile,
                                    const cli_settings& aSettings,
                                    config_patch& aPatch)
{
  const bool inFile = aFile.mJson.isMember("if_version");
  if (!aSettings.mIfVersion && !inFile) {
    return MakeUsageError(
      "--if_version",
      "is missing; give the version that the patch was made for "
      "(\"config show\" prints the current one)");
  }
  if (aSettings.mIfVersion && inFile &&
      *aSettings.mIfVersion != aPatch.mIfVersion) {
    return MakeUsageError("--if_version",
                          absl::StrCat(*aSettings.mIfVersion,
                                       " differs from if_version ",
                                       aPatch.mIfVersion, " in ", aFile.mFile));
  }
  aPatch.mIfVersion = aSettings.mIfVersion.value_or(aPatch.mIfVersion);
  if (!aSettings.mId.empty() && !aPatch.mPatchId.empty() &&
      aSettings.mId != aPatch.mPatchId) {
    return MakeUsageError(
      "--id", absl::StrCat("\"", aSettings.mId, "\" differs from patch_id \"",
                           aPatch.mPatchId, "\" in ", aFile.mFile));
  }
  if (!aSettings.mId.empty()) {
    aPatch.mPatchId = aSettings.mId;
  }
  if (aPatch.mPatchId.empty()) {
    auto id = MakeRandomId("patch-");
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

// Checks the configuration in the first file, applies the patches in the others
// in turn and returns the resulting document.
cli_result<config_document> CheckFiles(const std::vector<std::string>& aFiles)
{
  auto file = ReadYamlFile(aFiles[0]);
  if (!IsOk(file)) {
    return GetError(file);
  }
  auto config = DecodeConfig(GetValue(file));
  if (!IsOk(config)) {
    return MakeLocalError(GetError(config));
  }
  for (std::size_t i = 1; i < aFiles.size(); ++i) {
    auto patchFile = ReadYamlFile(aFiles[i]);
    if (!IsOk(patchFile)) {
      return GetError(patchFile);
    }
    auto patch = DecodePatchFile(GetValue(patchFile));
    if (!IsOk(patch)) {
      return GetError(patch);
    }
    config_patch applied = GetValue(std::move(patch));
    if (!GetValue(patchFile).mJson.isMember("if_version")) {
      applied.mIfVersion = GetValue(config).mVersion;
    }
    auto next = ApplyPatch(GetValue(config), applied);
    if (!IsOk(next)) {
      return MakeLocalError(AddPosition(GetValue(patchFile), GetError(next)));
    }
    config = std::move(next);
  }
  return GetValue(std::move(config));
}

} // namespace

cli_result<success> ShowConfig(const command_context& aContext)
{
  auto options = MakeClientOptions(aContext.mSettings);
  if (!IsOk(options)) {
    return GetError(options);
  }
  auto response =
    CallRouters(GetValue(options),
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
    return MakeBadResponseFailure(GetError(config).mField,
                                  "a valid configuration");
  }
  aContext.mStreams.mOut << ToYaml(GetValue(config));
  return success{};
}

cli_result<success> SendConfigPatch(const command_context& aContext)
{
  auto options = MakeClientOptions(aContext.mSettings);
  if (!IsOk(options)) {
    return GetError(options);
  }
  auto file = ReadYamlFile(aContext.mArguments[0]);
  if (!IsOk(file)) {
    return GetError(file);
  }
  auto loaded = DecodePatchFile(GetValue(file));
  if (!IsOk(loaded)) {
    return GetError(loaded);
  }
  config_patch patch = GetValue(std::move(loaded));
  auto identified = SetVersionAndId(GetValue(file), aContext.mSettings, patch);
  if (!IsOk(identified)) {
    return identified;
  }
  // The id is printed before the request is sent, so that the operator knows it
  // if the command is interrupted.
  aContext.mStreams.mErr << "patch id " << patch.mPatchId
                         << " (repeat with --id=" << patch.mPatchId
                         << " if the outcome is unknown)\n";
  auto response = CallRouters(GetValue(options),
                              { http_method::Post, kConfigPath, ToJson(patch),
                                request_effect::Idempotent });
  if (!IsOk(response)) {
    cli_failure failure = GetError(response);
    if (failure.mError.mCode == error_code::InvalidConfig) {
      failure.mError = AddPosition(GetValue(file), failure.mError);
    }
    return failure;
  }
  auto version = GetInteger(GetValue(response), "version");
  if (!IsOk(version)) {
    // The router accepted the request, but the response does not show whether
    // the patch took effect.
    cli_failure failure = GetError(version);
    failure.mExit = exit_code::OutcomeUnknown;
    return failure;
  }
  PrintPatched(aContext, patch, GetValue(version));
  return success{};
}

cli_result<success> CheckConfigFiles(const command_context& aContext)
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

cli_result<success> HashApiKey(const command_context& aContext)
{
  std::string key;
  std::istream& in = aContext.mStreams.mIn;
  for (char letter = 0; key.size() <= kMaxKeyBytes && in.get(letter);) {
    key += letter;
  }
  // A line end added by an editor or echo is not part of the key.
  while (!key.empty() && (key.back() == '\n' || key.back() == '\r')) {
    key.pop_back();
  }
  const bool valid = !key.empty() && key.size() <= kMaxKeyBytes &&
                     key.find_first_of(" \t\r\n") == std::string::npos;
  if (!valid) {
    return MakeUsageError("standard input",
                          absl::StrCat("must contain one key of 1 to ",
                                       kMaxKeyBytes,
                                       " characters without spaces"));
  }
  auto hash = ComputeSha256(key);
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
