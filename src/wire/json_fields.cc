#include "wire/json_fields.h"

#include <algorithm>
#include <cmath>

#include "wire/document_codec.h"

namespace foxtailquay {

namespace {

// Longest part of a wrong value that an error repeats.
constexpr std::size_t kShownBytes = 80;

bool IsWhole(const Json::Value& aJson)
{
  // isInt64() also accepts 1.0, which another writer may have rounded.
  return aJson.type() == Json::intValue || aJson.type() == Json::uintValue;
}

// Splits off the text behind the last '/'. Returns false if there is none or
// a part is empty.
bool SplitLast(std::string_view aText, std::string_view& aHead,
               std::string_view& aTail)
{
  const auto slash = aText.rfind('/');
  if (slash == std::string_view::npos) {
    return false;
  }
  aHead = aText.substr(0, slash);
  aTail = aText.substr(slash + 1);
  return !aHead.empty() && !aTail.empty();
}

} // namespace

std::string ToString(const json_path& aPath)
{
  if (aPath.mParent == nullptr) {
    return {};
  }
  std::string text = ToString(*aPath.mParent);
  if (aPath.mIndex) {
    absl::StrAppend(&text, "[", *aPath.mIndex, "]");
  } else {
    absl::StrAppend(&text, text.empty() ? "" : ".", std::string(aPath.mName));
  }
  return text;
}

error MakeFieldError(const json_path& aPath, std::string aDetail)
{
  return error{ aPath.mCode, executed::No, ToString(aPath), std::move(aDetail),
                absl::ZeroDuration() };
}

error ValueError(const json_path& aPath, const Json::Value& aValue,
                 std::string_view aDetail)
{
  std::string shown = ToText(aValue);
  if (shown.size() > kShownBytes) {
    shown.resize(kShownBytes);
    shown += "...";
  }
  return MakeFieldError(aPath, absl::StrCat(shown, " ", std::string(aDetail)));
}

std::string ToKeyText(const process_id& aProcess)
{
  return ToString(aProcess);
}

bool FromKeyText(std::string_view aText, std::uint64_t& aNumber)
{
  return absl::SimpleAtoi(absl::string_view(aText.data(), aText.size()),
                          &aNumber) &&
         absl::StrCat(aNumber) == aText;
}

bool FromKeyText(std::string_view aText, process_id& aProcess)
{
  std::string_view member;
  std::string_view incarnation;
  if (!SplitLast(aText, member, incarnation) ||
      member.find('/') != std::string_view::npos) {
    return false;
  }
  aProcess.mMember.mValue = std::string(member);
  return FromKeyText(incarnation, aProcess.mIncarnation);
}

bool FromKeyText(std::string_view aText, share_id& aShare)
{
  const auto slash = aText.find('/');
  if (slash == std::string_view::npos || slash == 0) {
    return false;
  }
  aShare.mBudget.mValue = std::string(aText.substr(0, slash));
  return FromKeyText(aText.substr(slash + 1), aShare.mHolder);
}

result<success> DecodeInteger(const Json::Value& aJson, const json_path& aPath,
                              std::int64_t aLowest, std::int64_t aHighest,
                              std::int64_t& aInto)
{
  if (!IsWhole(aJson) || !aJson.isInt64() || aJson.asInt64() < aLowest ||
      aJson.asInt64() > aHighest) {
    return ValueError(
      aPath, aJson,
      absl::StrCat("is not a whole number from ", aLowest, " to ", aHighest));
  }
  aInto = aJson.asInt64();
  return success{};
}

result<success> DecodeInteger(const Json::Value& aJson, const json_path& aPath,
                              std::uint64_t aHighest, std::uint64_t& aInto)
{
  if (!IsWhole(aJson) || !aJson.isUInt64() || aJson.asUInt64() > aHighest) {
    return ValueError(
      aPath, aJson, absl::StrCat("is not a whole number from 0 to ", aHighest));
  }
  aInto = aJson.asUInt64();
  return success{};
}

result<success> DecodeText(const Json::Value& aJson, const json_path& aPath,
                           std::string& aInto)
{
  if (!aJson.isString()) {
    return ValueError(aPath, aJson, "is not a text");
  }
  aInto = aJson.asString();
  return success{};
}

result<success> DecodeNumber(const Json::Value& aJson, const json_path& aPath,
                             double& aInto)
{
  if (!aJson.isNumeric() || !std::isfinite(aJson.asDouble())) {
    return ValueError(aPath, aJson, "is not a number");
  }
  aInto = aJson.asDouble();
  return success{};
}

result<success> DecodeBool(const Json::Value& aJson, const json_path& aPath,
                           bool& aInto)
{
  if (!aJson.isBool()) {
    return ValueError(aPath, aJson, "is not true or false");
  }
  aInto = aJson.asBool();
  return success{};
}

result<success> DecodeDuration(const Json::Value& aJson, const json_path& aPath,
                               absl::Duration& aInto)
{
  if (!IsWhole(aJson) || !aJson.isInt64()) {
    return ValueError(aPath, aJson, "is not a whole number of milliseconds");
  }
  aInto = absl::Milliseconds(aJson.asInt64());
  return success{};
}

result<success> DecodeTime(const Json::Value& aJson, const json_path& aPath,
                           absl::Time& aInto)
{
  if (!IsWhole(aJson) || !aJson.isInt64()) {
    return ValueError(aPath, aJson,
                      "is not a whole number of Unix microseconds");
  }
  aInto = absl::FromUnixMicros(aJson.asInt64());
  return success{};
}

result<success> CheckObject(const Json::Value& aJson, const json_path& aPath)
{
  if (!aJson.isObject()) {
    return ValueError(aPath, aJson, "is not an object");
  }
  return success{};
}

result<success> CheckArray(const Json::Value& aJson, const json_path& aPath)
{
  if (!aJson.isArray()) {
    return ValueError(aPath, aJson, "is not an array");
  }
  return success{};
}

error UnknownField(const Json::Value& aJson, const json_path& aPath,
                   const std::vector<std::string_view>& aKnown)
{
  std::string names;
  for (const std::string_view name : aKnown) {
    absl::StrAppend(&names, names.empty() ? "" : ", ", std::string(name));
  }
  for (const std::string& name : aJson.getMemberNames()) {
    if (std::find(aKnown.begin(), aKnown.end(), name) == aKnown.end()) {
      return MakeFieldError(Below(aPath, name),
                            "is not a known field; known are " + names);
    }
  }
  return MakeFieldError(aPath, "has unknown fields; known are " + names);
}

} // namespace foxtailquay
