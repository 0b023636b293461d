#include "wire/config_file.h"

#include <algorithm>
#include <array>
#include <cstdint>
#include <optional>
#include <vector>

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/time/time.h"
#include "wire/document_codec.h"
#include "yaml-cpp/yaml.h"

namespace foxtailquay {

namespace {

// Bounds the recursion. The deepest valid field,
// workspaces.ID.budgets[N].pays_for[M], has 6 levels.
constexpr int kMaxDepth = 16;

// The names of a duration in a file and in JSON. mDepth is the number of names
// before it in the path, so that the name of an entry, which users choose, is
// not mistaken for a field.
struct duration_field
{
  std::string_view mSection;
  int mDepth;
  std::string_view mFileField;
  std::string_view mJsonField;
};

constexpr std::array<duration_field, 4> kDurationFields = {
  { { "fleet", 1, "request_timeout", "request_timeout_ms" },
    { "fleet", 1, "queue_timeout", "queue_timeout_ms" },
    { "services", 2, "timeout", "timeout_ms" },
    { "workspaces", 2, "share_horizon", "share_horizon_ms" } }
};

// The location of a value in the document.
struct yaml_location
{
  std::string mPath;
  // The first name of the path.
  std::string mSection;
  int mDepth = 0;
};

struct yaml_parser
{
  yaml_document mDocument;
  std::size_t mNodeCount = 0;
};

std::string ToStdString(std::string_view aText)
{
  return std::string(aText);
}

error MakeFileError(const std::string& aFile, int aLine,
                    const std::string& aPath, std::string aDetail)
{
  return error{ error_code::InvalidConfig, executed::No,
                absl::StrCat(aFile, ":", aLine, aPath.empty() ? "" : ": ",
                             aPath),
                std::move(aDetail), absl::ZeroDuration() };
}

// Returns the line, from 1. yaml-cpp counts from 0 and has -1 for a node
// without a location.
int ToLineNumber(const YAML::Mark& aMark)
{
  return std::max(aMark.line, 0) + 1;
}

yaml_location MakeChildLocation(const yaml_location& aLocation,
                                const std::string& aName)
{
  return { aLocation.mDepth == 0 ? aName
                                 : absl::StrCat(aLocation.mPath, ".", aName),
           aLocation.mDepth == 0 ? aName : aLocation.mSection,
           aLocation.mDepth + 1 };
}

const duration_field* FindDurationField(const yaml_location& aParent,
                                        std::string_view aName)
{
  for (const duration_field& field : kDurationFields) {
    if (field.mSection == aParent.mSection && field.mDepth == aParent.mDepth &&
        (field.mFileField == aName || field.mJsonField == aName)) {
      return &field;
    }
  }
  return nullptr;
}

bool IsDigits(std::string_view aText)
{
  return !aText.empty() &&
         std::all_of(aText.begin(), aText.end(), [](char aCharacter) {
           return aCharacter >= '0' && aCharacter <= '9';
         });
}

// Returns true if aText has only the characters of a decimal number such as
// "0.5" or "1e3"; "inf" and "nan" are excluded.
bool IsDecimal(std::string_view aText)
{
  return aText.find_first_not_of("+-.0123456789eE") == std::string_view::npos &&
         aText.find_first_of("0123456789") != std::string_view::npos;
}

// Returns the value of a scalar without quotes by YAML's core schema. A number
// that is out of range stays a string; the codec rejects it if the field is a
// number.
Json::Value ParsePlainScalar(const std::string& aText)
{
  if (aText.empty() || aText == "~" || aText == "null") {
    return {};
  }
  if (aText == "true" || aText == "false") {
    return { aText == "true" };
  }
  const bool hasSign = aText[0] == '-' || aText[0] == '+';
  std::int64_t integer = 0;
  std::uint64_t large = 0;
  double fraction = 0;
  if (IsDigits(std::string_view(aText).substr(hasSign ? 1 : 0))) {
    if (absl::SimpleAtoi(aText, &integer)) {
      return { static_cast<Json::Int64>(integer) };
    }
    if (!hasSign && absl::SimpleAtoi(aText, &large)) {
      return { static_cast<Json::UInt64>(large) };
    }
  } else if (IsDecimal(aText) && absl::SimpleAtod(aText, &fraction)) {
    return { fraction };
  }
  return { aText };
}

result<Json::Value> ParseDurationNode(const YAML::Node& aNode,
                                      const yaml_document& aDocument,
                                      const std::string& aPath)
{
  absl::Duration duration;
  const std::string text = aNode.IsScalar() ? aNode.Scalar() : "";
  if (!absl::ParseDuration(text, &duration)) {
    return MakeFileError(
      aDocument.mFile, ToLineNumber(aNode.Mark()), aPath,
      absl::StrCat(aNode.IsScalar() ? "\"" + text + "\""
                                    : std::string("the value"),
                   " is not a duration such as 20s, 1500ms or "
                   "2m"));
  }
  const std::int64_t milliseconds = absl::ToInt64Milliseconds(duration);
  if (absl::Milliseconds(milliseconds) != duration) {
    return MakeFileError(
      aDocument.mFile, ToLineNumber(aNode.Mark()), aPath,
      absl::StrCat("\"", text, "\" is not a whole number of milliseconds"));
  }
  return Json::Value(static_cast<Json::Int64>(milliseconds));
}

result<Json::Value> ParseNode(yaml_parser& aParser, const YAML::Node& aNode,
                              const yaml_location& aLocation);

result<success> ParseMember(yaml_parser& aParser, const YAML::Node& aKey,
                            const YAML::Node& aValue,
                            const yaml_location& aParent, Json::Value& aInto)
{
  yaml_document& document = aParser.mDocument;
  const int line = ToLineNumber(aKey.Mark());
  if (!aKey.IsScalar()) {
    return MakeFileError(document.mFile, line, aParent.mPath,
                         "a field name must be a string");
  }
  const std::string& name = aKey.Scalar();
  const yaml_location location = MakeChildLocation(aParent, name);
  const duration_field* duration = FindDurationField(aParent, name);
  const std::string stored =
    duration != nullptr ? ToStdString(duration->mJsonField) : name;
  if (aInto.isMember(stored)) {
    return MakeFileError(document.mFile, line, location.mPath,
                         "is given twice");
  }
  document.mLines[location.mPath] = line;
  if (duration != nullptr) {
    // Errors of later checks may contain either name of the field.
    document
      .mLines[MakeChildLocation(aParent, ToStdString(duration->mFileField))
                .mPath] = line;
    document.mLines[MakeChildLocation(aParent, stored).mPath] = line;
  }
  const bool isDurationText =
    duration != nullptr && name == duration->mFileField;
  auto value = isDurationText
                 ? ParseDurationNode(aValue, document, location.mPath)
                 : ParseNode(aParser, aValue, location);
  if (!IsOk(value)) {
    return GetError(value);
  }
  aInto[stored] = GetValue(std::move(value));
  return success{};
}

result<Json::Value> ParseMap(yaml_parser& aParser, const YAML::Node& aNode,
                             const yaml_location& aLocation)
{
  Json::Value json(Json::objectValue);
  for (const auto& member : aNode) {
    auto parsed =
      ParseMember(aParser, member.first, member.second, aLocation, json);
    if (!IsOk(parsed)) {
      return GetError(parsed);
    }
  }
  return json;
}

result<Json::Value> ParseSequence(yaml_parser& aParser, const YAML::Node& aNode,
                                  const yaml_location& aLocation)
{
  Json::Value json(Json::arrayValue);
  for (const auto& element : aNode) {
    const yaml_location location{ absl::StrCat(aLocation.mPath, "[",
                                               json.size(), "]"),
                                  aLocation.mSection, aLocation.mDepth + 1 };
    aParser.mDocument.mLines[location.mPath] = ToLineNumber(element.Mark());
    auto value = ParseNode(aParser, element, location);
    if (!IsOk(value)) {
      return value;
    }
    json.append(GetValue(std::move(value)));
  }
  return json;
}

result<Json::Value> ParseNode(yaml_parser& aParser, const YAML::Node& aNode,
                              const yaml_location& aLocation)
{
  if (aLocation.mDepth > kMaxDepth ||
      ++aParser.mNodeCount > kMaxConfigFileNodes) {
    return MakeFileError(aParser.mDocument.mFile, ToLineNumber(aNode.Mark()),
                         aLocation.mPath,
                         absl::StrCat("is nested deeper than ", kMaxDepth,
                                      " levels, or the file has more than ",
                                      kMaxConfigFileNodes, " values"));
  }
  switch (aNode.Type()) {
    case YAML::NodeType::Map:
      return ParseMap(aParser, aNode, aLocation);
    case YAML::NodeType::Sequence:
      return ParseSequence(aParser, aNode, aLocation);
    case YAML::NodeType::Scalar:
      // yaml-cpp gives quoted scalars the tag "!".
      return aNode.Tag() == "!" ? Json::Value(aNode.Scalar())
                                : ParsePlainScalar(aNode.Scalar());
    default:
      return Json::Value();
  }
}

result<yaml_document> ParseRoot(const std::vector<YAML::Node>& aRoots,
                                const std::string& aFile)
{
  if (aRoots.size() != 1 || !aRoots[0].IsMap()) {
    return MakeFileError(
      aFile, 1, "",
      aRoots.size() > 1 ? "holds more than one YAML document"
                        : "must hold the sections of a configuration: fleet, "
                          "models, services, backends, workspaces");
  }
  yaml_parser parser;
  parser.mDocument.mFile = aFile;
  auto json = ParseNode(parser, aRoots[0], {});
  if (!IsOk(json)) {
    return GetError(json);
  }
  parser.mDocument.mJson = GetValue(std::move(json));
  return std::move(parser.mDocument);
}

// Returns a path without its last name or index.
std::string GetParentPath(const std::string& aPath)
{
  const std::size_t end = aPath.find_last_of(".[");
  return end == std::string::npos ? "" : aPath.substr(0, end);
}

void EmitText(YAML::Emitter& aEmitter, const std::string& aText)
{
  // A string that would be parsed as a number, a boolean or null is quoted.
  if (!ParsePlainScalar(aText).isString()) {
    aEmitter << YAML::DoubleQuoted;
  }
  aEmitter << aText;
}

void Emit(YAML::Emitter& aEmitter, const Json::Value& aJson,
          const yaml_location& aLocation);

void EmitMember(YAML::Emitter& aEmitter, const std::string& aName,
                const Json::Value& aValue, const yaml_location& aParent)
{
  const duration_field* duration = FindDurationField(aParent, aName);
  if (duration == nullptr) {
    aEmitter << YAML::Key << aName << YAML::Value;
    Emit(aEmitter, aValue, MakeChildLocation(aParent, aName));
    return;
  }
  aEmitter << YAML::Key << ToStdString(duration->mFileField) << YAML::Value
           << absl::FormatDuration(absl::Milliseconds(aValue.asInt64()));
}

void Emit(YAML::Emitter& aEmitter, const Json::Value& aJson,
          const yaml_location& aLocation)
{
  if (aJson.isObject()) {
    aEmitter << YAML::BeginMap;
    for (const std::string& name : aJson.getMemberNames()) {
      EmitMember(aEmitter, name, aJson[name], aLocation);
    }
    aEmitter << YAML::EndMap;
  } else if (aJson.isArray()) {
    aEmitter << YAML::BeginSeq;
    for (const Json::Value& element : aJson) {
      Emit(aEmitter, element, MakeChildLocation(aLocation, ""));
    }
    aEmitter << YAML::EndSeq;
  } else if (aJson.isString()) {
    EmitText(aEmitter, aJson.asString());
  } else {
    aEmitter << ToText(aJson);
  }
}

} // namespace

result<yaml_document> ParseYaml(std::string_view aText,
                                const std::string& aFile)
{
  if (aText.size() > kMaxConfigFileBytes) {
    return MakeFileError(aFile, 1, "",
                         absl::StrCat("has ", aText.size(),
                                      " bytes, more than the limit of ",
                                      kMaxConfigFileBytes));
  }
  try {
    return ParseRoot(YAML::LoadAll(std::string(aText)), aFile);
  } catch (const YAML::Exception& exception) {
    return MakeFileError(aFile, ToLineNumber(exception.mark), "",
                         absl::StrCat("is not YAML: ", exception.msg));
  }
}

error AddPosition(const yaml_document& aDocument, error aError)
{
  int line = 1;
  for (std::string path = aError.mField; !path.empty();
       path = GetParentPath(path)) {
    const auto found = aDocument.mLines.find(path);
    if (found != aDocument.mLines.end()) {
      line = found->second;
      break;
    }
  }
  const std::string path = aError.mField;
  aError.mField =
    absl::StrCat(aDocument.mFile, ":", line, path.empty() ? "" : ": ", path);
  return aError;
}

result<config_document> DecodeConfig(const yaml_document& aDocument)
{
  Json::Value json = aDocument.mJson;
  if (!json.isMember("version")) {
    json["version"] = 0;
  }
  auto config = ConfigFromJson(json);
  if (!IsOk(config)) {
    return AddPosition(aDocument, GetError(config));
  }
  auto checked = CheckConfig(GetValue(config));
  if (!IsOk(checked)) {
    return AddPosition(aDocument, GetError(checked));
  }
  return config;
}

result<config_patch> DecodePatch(const yaml_document& aDocument)
{
  auto patch = PatchFromJson(aDocument.mJson);
  if (!IsOk(patch)) {
    return AddPosition(aDocument, GetError(patch));
  }
  return patch;
}

std::string ToYaml(const config_document& aConfig)
{
  Json::Value json = ToJson(aConfig);
  json.removeMember("patch_ids");
  YAML::Emitter emitter;
  Emit(emitter, json, {});
  return ToStdString(emitter.c_str()) + "\n";
}

} // namespace foxtailquay
