#include "wire/grant_codec.h"

#include <string>
#include <vector>

namespace foxtailquay {

namespace {

std::uint64_t GetNumber(const Json::Value& aObject, const char* aName)
{
  const Json::Value& value = aObject[aName];
  return value.isUInt64() ? value.asUInt64() : 0;
}

std::int64_t GetSignedNumber(const Json::Value& aObject, const char* aName)
{
  const Json::Value& value = aObject[aName];
  return value.isInt64() ? value.asInt64() : 0;
}

std::string GetText(const Json::Value& aObject, const char* aName)
{
  const Json::Value& value = aObject[aName];
  return value.isString() ? value.asString() : std::string();
}

} // namespace

Json::Value EncodeGrantRecord(const grant_record& aRecord)
{
  Json::Value value(Json::objectValue);
  value["closed"] = Json::Int64(aRecord.mClosed);
  value["era"] = Json::UInt64(aRecord.mEra);
  value["sequence"] = Json::UInt64(aRecord.mSequence);
  value["holders"] = Json::Value(Json::objectValue);
  for (const auto& entry : aRecord.mEntries) {
    Json::Value grant(Json::objectValue);
    grant["granted"] = Json::Int64(entry.second.mGranted);
    grant["limit"] = Json::Int64(entry.second.mLimit);
    // "boot" and "checked_ms": steady clock time at which the limit was set.
    grant["boot"] = entry.second.mLimitSetAt.mBoot;
    grant["checked_ms"] = Json::Int64(entry.second.mLimitSetAt.mSteadyMs);
    value["holders"][entry.first] = grant;
  }
  return value;
}

grant_record DecodeGrantRecord(const Json::Value& aValue)
{
  grant_record record;
  if (!aValue.isObject()) {
    return record;
  }
  record.mClosed = GetSignedNumber(aValue, "closed");
  record.mEra = GetNumber(aValue, "era");
  record.mSequence = GetNumber(aValue, "sequence");
  const Json::Value& holders = aValue["holders"];
  for (const std::string& holder : holders.isObject()
                                     ? holders.getMemberNames()
                                     : std::vector<std::string>{}) {
    const Json::Value& grant = holders[holder];
    if (!grant.isObject()) {
      continue;
    }
    grant_entry& entry = record.mEntries[holder];
    entry.mGranted = GetSignedNumber(grant, "granted");
    entry.mLimit = GetSignedNumber(grant, "limit");
    // Steady clock time at which the limit was set.
    entry.mLimitSetAt = { GetText(grant, "boot"),
                          GetSignedNumber(grant, "checked_ms") };
  }
  return record;
}

} // namespace foxtailquay
