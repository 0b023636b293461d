#include "wire/json_fields.h"

#include <algorithm>
#include <cmath>

#include "wire/document_codec.h"

namespace foxtailquay {

namespace {

// Longest text of a wrong value in an error, in bytes.
constexpr std::size_t kMaxShownBytes = 80;

bool IsInteger(const Json::Value& aJson)
{
  // Unlike isInt64(), this rejects 1.0: the program that wrote it may have
  // rounded a larger integer.
  return aJson.type() == Json::intValue || aJson.type() == Json::uintValue;
}

// Splits aText at the last '/'. Returns false if there is none or if one side
// is empty.
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

error MakeValueError(const json_path& aPath, const Json::Value& aValue,
                     std::string_view aDetail)
{
  std::string shown = ToText(aValue);
  if (shown.size() > kMaxShownBytes) {
    shown.resize(kMaxShownBytes);
    shown += "...";
  }
  return MakeFieldError(aPath, absl::StrCat(shown, " ", std::string(aDetail)));
}

std::string ToKeyText(const process_id& aProcess)
{
  return ToString(aProcess);
}

bool ParseKeyText(std::string_view aText, std::uint64_t& aNumber)
{
  return absl::SimpleAtoi(absl::string_view(aText.data(), aText.size()),
                          &aNumber) &&
         absl::StrCat(aNumber) == aText;
}

bool ParseKeyText(std::string_view aText, process_id& aProcess)
{
  std::string_view member;
  std::string_view incarnation;
  if (!SplitLast(aText, member, incarnation) ||
      member.find('/') != std::string_view::npos) {
    return false;
  }
  aProcess.mMember.mValue = std::string(member);
  return ParseKeyText(incarnation, aProcess.mIncarnation);
}

bool ParseKeyText(std::string_view aText, share_id& aShare)
{
  const auto slash = aText.find('/');
  if (slash == std::string_view::npos || slash == 0) {
    return false;
  }
  aShare.mBudget.mValue = std::string(aText.substr(0, slash));
  return ParseKeyText(aText.substr(slash + 1), aShare.mHolder);
}

result<success> DecodeInteger(const Json::Value& aJson, const json_path& aPath,
                              std::int64_t aMin, std::int64_t aMax,
                              std::int64_t& aInto)
{
  if (!IsInteger(aJson) || !aJson.isInt64() || aJson.asInt64() < aMin ||
      aJson.asInt64() > aMax) {
    return MakeValueError(
      aPath, aJson,
      absl::StrCat("is not a whole number from ", aMin, " to ", aMax));
  }
  aInto = aJson.asInt64();
  return success{};
}

result<success> DecodeInteger(const Json::Value& aJson, const json_path& aPath,
                              std::uint64_t aMax, std::uint64_t& aInto)
{
  if (!IsInteger(aJson) || !aJson.isUInt64() || aJson.asUInt64() > aMax) {
    return MakeValueError(
      aPath, aJson, absl::StrCat("is not a whole number from 0 to ", aMax));
  }
  aInto = aJson.asUInt64();
  return success{};
}

result<success> DecodeText(const Json::Value& aJson, const json_path& aPath,
                           std::string& aInto)
{
  if (!aJson.isString()) {
    return MakeValueError(aPath, aJson, "is not a string");
  }
  aInto = aJson.asString();
  return success{};
}

result<success> DecodeNumber(const Json::Value& aJson, const json_path& aPath,
                             double& aInto)
{
  if (!aJson.isNumeric() || !std::isfinite(aJson.asDouble())) {
    return MakeValueError(aPath, aJson, "is not a number");
  }
  aInto = aJson.asDouble();
  return success{};
}

result<success> DecodeBool(const Json::Value& aJson, const json_path& aPath,
                           bool& aInto)
{
  if (!aJson.isBool()) {
    return MakeValueError(aPath, aJson, "is not true or false");
  }
  aInto = aJson.asBool();
  return success{};
}

result<success> DecodeDuration(const Json::Value& aJson, const json_path& aPath,
                               absl::Duration& aInto)
{
  if (!IsInteger(aJson) || !aJson.isInt64()) {
    return MakeValueError(aPath, aJson,
                          "is not a whole number of milliseconds");
  }
  aInto = absl::Milliseconds(aJson.asInt64());
  return success{};
}

result<success> DecodeTime(const Json::Value& aJson, const json_path& aPath,
                           absl::Time& aInto)
{
  if (!IsInteger(aJson) || !aJson.isInt64()) {
    return MakeValueError(aPath, aJson,
                          "is not a whole number of Unix microseconds");
  }
  aInto = absl::FromUnixMicros(aJson.asInt64());
  return success{};
}

result<success> CheckObject(const Json::Value& aJson, const json_path& aPath)
{
  if (!aJson.isObject()) {
    return MakeValueError(aPath, aJson, "is not an object");
  }
  return success{};
}

result<success> CheckArray(const Json::Value& aJson, const json_path& aPath)
{
  if (!aJson.isArray()) {
    return MakeValueError(aPath, aJson, "is not an array");
  }
  return success{};
}

error MakeUnknownFieldError(const Json::Value& aJson, const json_path& aPath,
                            const std::vector<std::string_view>& aKnown)
{
  std::string names;
  for (const std::string_view name : aKnown) {
    absl::StrAppend(&names, names.empty() ? "" : ", ", std::string(name));
  }
  for (const std::string& name : aJson.getMemberNames()) {
    if (std::find(aKnown.begin(), aKnown.end(), name) == aKnown.end()) {
      return MakeFieldError(MakeChildPath(aPath, name),
                            "is not a known field; known are " + names);
    }
  }
  return MakeFieldError(aPath, "has unknown fields; known are " + names);
}

} // namespace foxtailquay
