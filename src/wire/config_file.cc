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

// The deepest field is workspaces.ID.budgets[N].pays_for[M].
constexpr int kMaxDepth = 16;

// A duration in a file and in JSON. mDepth is the number of names in front
// of it, so that an entry's own name is never taken for one.
struct duration_field
{
  std::string_view mSection;
  int mDepth;
  std::string_view mInFile;
  std::string_view mInJson;
};

constexpr std::array<duration_field, 4> kDurationFields = {
  { { "fleet", 1, "request_timeout", "request_timeout_ms" },
    { "fleet", 1, "queue_timeout", "queue_timeout_ms" },
    { "services", 2, "timeout", "timeout_ms" },
    { "workspaces", 2, "share_horizon", "share_horizon_ms" } }
};

struct yaml_place
{
  std::string mPath;
  // First name of the path.
  std::string mSection;
  int mDepth = 0;
};

struct yaml_reader
{
  yaml_document mDocument;
  std::size_t mNodes = 0;
};

std::string TextOf(std::string_view aText)
{
  return std::string(aText);
}

error FileError(const std::string& aFile, int aLine, const std::string& aPath,
                std::string aDetail)
{
  return error{ error_code::InvalidConfig, executed::No,
                absl::StrCat(aFile, ":", aLine, aPath.empty() ? "" : ": ",
                             aPath),
                std::move(aDetail), absl::ZeroDuration() };
}

// Lines of yaml-cpp count from 0, and are -1 for a node without a place.
int LineOf(const YAML::Mark& aMark)
{
  return std::max(aMark.line, 0) + 1;
}

yaml_place Below(const yaml_place& aPlace, const std::string& aName)
{
  return { aPlace.mDepth == 0 ? aName : absl::StrCat(aPlace.mPath, ".", aName),
           aPlace.mDepth == 0 ? aName : aPlace.mSection, aPlace.mDepth + 1 };
}

const duration_field* FindDuration(const yaml_place& aParent,
                                   std::string_view aName)
{
  for (const duration_field& field : kDurationFields) {
    if (field.mSection == aParent.mSection && field.mDepth == aParent.mDepth &&
        (field.mInFile == aName || field.mInJson == aName)) {
      return &field;
    }
  }
  return nullptr;
}

bool IsDigits(std::string_view aText)
{
  return !aText.empty() &&
         std::all_of(aText.begin(), aText.end(), [](char aLetter) {
           return aLetter >= '0' && aLetter <= '9';
         });
}

// A decimal fraction such as "0.5" or "1e3", without "inf" and "nan".
bool IsDecimal(std::string_view aText)
{
  return aText.find_first_not_of("+-.0123456789eE") == std::string_view::npos &&
         aText.find_first_of("0123456789") != std::string_view::npos;
}

// The value of a scalar without quotes, by YAML's core schema. Numbers that
// do not fit stay text, which the codec refuses where it wants a number.
Json::Value PlainValue(const std::string& aText)
{
  if (aText.empty() || aText == "~" || aText == "null") {
    return {};
  }
  if (aText == "true" || aText == "false") {
    return { aText == "true" };
  }
  const bool sign = aText[0] == '-' || aText[0] == '+';
  std::int64_t whole = 0;
  std::uint64_t large = 0;
  double fraction = 0;
  if (IsDigits(std::string_view(aText).substr(sign ? 1 : 0))) {
    if (absl::SimpleAtoi(aText, &whole)) {
      return { static_cast<Json::Int64>(whole) };
    }
    if (!sign && absl::SimpleAtoi(aText, &large)) {
      return { static_cast<Json::UInt64>(large) };
    }
  } else if (IsDecimal(aText) && absl::SimpleAtod(aText, &fraction)) {
    return { fraction };
  }
  return { aText };
}

result<Json::Value> ReadDuration(const YAML::Node& aNode,
                                 const yaml_document& aDocument,
                                 const std::string& aPath)
{
  absl::Duration duration;
  const std::string text = aNode.IsScalar() ? aNode.Scalar() : "";
  if (!absl::ParseDuration(text, &duration)) {
    return FileError(aDocument.mFile, LineOf(aNode.Mark()), aPath,
                     absl::StrCat(aNode.IsScalar() ? "\"" + text + "\""
                                                   : std::string("the value"),
                                  " is not a duration such as 20s, 1500ms or "
                                  "2m"));
  }
  const std::int64_t milliseconds = absl::ToInt64Milliseconds(duration);
  if (absl::Milliseconds(milliseconds) != duration) {
    return FileError(
      aDocument.mFile, LineOf(aNode.Mark()), aPath,
      absl::StrCat("\"", text, "\" is not a whole number of milliseconds"));
  }
  return Json::Value(static_cast<Json::Int64>(milliseconds));
}

result<Json::Value> ReadNode(yaml_reader& aReader, const YAML::Node& aNode,
                             const yaml_place& aPlace);

result<success> ReadMember(yaml_reader& aReader, const YAML::Node& aKey,
                           const YAML::Node& aValue, const yaml_place& aParent,
                           Json::Value& aInto)
{
  yaml_document& document = aReader.mDocument;
  const int line = LineOf(aKey.Mark());
  if (!aKey.IsScalar()) {
    return FileError(document.mFile, line, aParent.mPath,
                     "a field name must be a plain text");
  }
  const std::string& name = aKey.Scalar();
  const yaml_place place = Below(aParent, name);
  const duration_field* duration = FindDuration(aParent, name);
  const std::string stored =
    duration != nullptr ? TextOf(duration->mInJson) : name;
  if (aInto.isMember(stored)) {
    return FileError(document.mFile, line, place.mPath, "is given twice");
  }
  document.mLines[place.mPath] = line;
  if (duration != nullptr) {
    // Checks report the field by either name.
    document.mLines[Below(aParent, TextOf(duration->mInFile)).mPath] = line;
    document.mLines[Below(aParent, stored).mPath] = line;
  }
  const bool isText = duration != nullptr && name == duration->mInFile;
  auto value = isText ? ReadDuration(aValue, document, place.mPath)
                      : ReadNode(aReader, aValue, place);
  if (!IsOk(value)) {
    return GetError(value);
  }
  aInto[stored] = GetValue(std::move(value));
  return success{};
}

result<Json::Value> ReadMap(yaml_reader& aReader, const YAML::Node& aNode,
                            const yaml_place& aPlace)
{
  Json::Value json(Json::objectValue);
  for (const auto& member : aNode) {
    auto read = ReadMember(aReader, member.first, member.second, aPlace, json);
    if (!IsOk(read)) {
      return GetError(read);
    }
  }
  return json;
}

result<Json::Value> ReadSequence(yaml_reader& aReader, const YAML::Node& aNode,
                                 const yaml_place& aPlace)
{
  Json::Value json(Json::arrayValue);
  for (const auto& element : aNode) {
    const yaml_place place{ absl::StrCat(aPlace.mPath, "[", json.size(), "]"),
                            aPlace.mSection, aPlace.mDepth + 1 };
    aReader.mDocument.mLines[place.mPath] = LineOf(element.Mark());
    auto value = ReadNode(aReader, element, place);
    if (!IsOk(value)) {
      return value;
    }
    json.append(GetValue(std::move(value)));
  }
  return json;
}

result<Json::Value> ReadNode(yaml_reader& aReader, const YAML::Node& aNode,
                             const yaml_place& aPlace)
{
  if (aPlace.mDepth > kMaxDepth || ++aReader.mNodes > kMaxConfigFileNodes) {
    return FileError(aReader.mDocument.mFile, LineOf(aNode.Mark()),
                     aPlace.mPath,
                     absl::StrCat("is nested deeper than ", kMaxDepth,
                                  " levels, or the file has more than ",
                                  kMaxConfigFileNodes, " values"));
  }
  switch (aNode.Type()) {
    case YAML::NodeType::Map:
      return ReadMap(aReader, aNode, aPlace);
    case YAML::NodeType::Sequence:
      return ReadSequence(aReader, aNode, aPlace);
    case YAML::NodeType::Scalar:
      // Quoted scalars have the tag "!".
      return aNode.Tag() == "!" ? Json::Value(aNode.Scalar())
                                : PlainValue(aNode.Scalar());
    default:
      return Json::Value();
  }
}

result<yaml_document> ReadRoot(const std::vector<YAML::Node>& aRoots,
                               const std::string& aFile)
{
  if (aRoots.size() != 1 || !aRoots[0].IsMap()) {
    return FileError(aFile, 1, "",
                     aRoots.size() > 1
                       ? "holds more than one YAML document"
                       : "must hold the sections of a configuration: fleet, "
                         "models, services, backends, workspaces");
  }
  yaml_reader reader;
  reader.mDocument.mFile = aFile;
  auto json = ReadNode(reader, aRoots[0], {});
  if (!IsOk(json)) {
    return GetError(json);
  }
  reader.mDocument.mJson = GetValue(std::move(json));
  return std::move(reader.mDocument);
}

// Cuts the last name or index off a path.
std::string ParentOf(const std::string& aPath)
{
  const std::size_t end = aPath.find_last_of(".[");
  return end == std::string::npos ? "" : aPath.substr(0, end);
}

void EmitText(YAML::Emitter& aEmitter, const std::string& aText)
{
  // A text that would be read back as a number, a boolean or null.
  if (!PlainValue(aText).isString()) {
    aEmitter << YAML::DoubleQuoted;
  }
  aEmitter << aText;
}

void Emit(YAML::Emitter& aEmitter, const Json::Value& aJson,
          const yaml_place& aPlace);

void EmitMember(YAML::Emitter& aEmitter, const std::string& aName,
                const Json::Value& aValue, const yaml_place& aParent)
{
  const duration_field* duration = FindDuration(aParent, aName);
  if (duration == nullptr) {
    aEmitter << YAML::Key << aName << YAML::Value;
    Emit(aEmitter, aValue, Below(aParent, aName));
    return;
  }
  aEmitter << YAML::Key << TextOf(duration->mInFile) << YAML::Value
           << absl::FormatDuration(absl::Milliseconds(aValue.asInt64()));
}

void Emit(YAML::Emitter& aEmitter, const Json::Value& aJson,
          const yaml_place& aPlace)
{
  if (aJson.isObject()) {
    aEmitter << YAML::BeginMap;
    for (const std::string& name : aJson.getMemberNames()) {
      EmitMember(aEmitter, name, aJson[name], aPlace);
    }
    aEmitter << YAML::EndMap;
  } else if (aJson.isArray()) {
    aEmitter << YAML::BeginSeq;
    for (const Json::Value& element : aJson) {
      Emit(aEmitter, element, Below(aPlace, ""));
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
    return FileError(aFile, 1, "",
                     absl::StrCat("has ", aText.size(),
                                  " bytes, more than the limit of ",
                                  kMaxConfigFileBytes));
  }
  try {
    return ReadRoot(YAML::LoadAll(std::string(aText)), aFile);
  } catch (const YAML::Exception& exception) {
    return FileError(aFile, LineOf(exception.mark), "",
                     absl::StrCat("is not YAML: ", exception.msg));
  }
}

error AddPosition(const yaml_document& aDocument, error aError)
{
  int line = 1;
  for (std::string path = aError.mField; !path.empty(); path = ParentOf(path)) {
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
  return TextOf(emitter.c_str()) + "\n";
}

} // namespace foxtailquay
