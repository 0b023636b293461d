#include "wire/explain_codec.h"

#include <algorithm>

#include "wire/json_fields.h"

namespace foxtailquay {

constexpr auto ListFields(const prompt_part*)
{
  return std::make_tuple(Required("hash", &prompt_part::mHash),
                         Required("tokens", &prompt_part::mTokens));
}

constexpr auto ListFields(const explain_query*)
{
  using q = explain_query;
  return std::make_tuple(Required("host", &q::mHost),
                         Required("path", &q::mPath), Optional("key", &q::mKey),
                         Optional("workspace", &q::mWorkspace),
                         Optional("attempt", &q::mAttemptId),
                         Optional("prompt_tokens", &q::mPromptTokens),
                         Optional("max_output_tokens", &q::mMaxOutputTokens),
                         Optional("length_hint", &q::mLengthHint),
                         Optional("time_left_ms", &q::mTimeLeft),
                         Optional("prompt_parts", &q::mPromptParts));
}

constexpr auto ListFields(const explained_refusal*)
{
  using r = explained_refusal;
  return std::make_tuple(Required("code", &r::mCode),
                         Required("message", &r::mDetail),
                         Required("retry_after_ms", &r::mRetryAfter));
}

constexpr auto ListFields(const explained_tokens*)
{
  using t = explained_tokens;
  return std::make_tuple(
    Required("source", &t::mSource), Optional("gateway", &t::mPeer),
    Required("needed", &t::mNeeded), Required("free", &t::mFree),
    Required("granted", &t::mGranted), Required("prepaid", &t::mPrepaid),
    Required("served_waiters", &t::mServedWaiters));
}

constexpr auto ListFields(const explained_server*)
{
  using s = explained_server;
  return std::make_tuple(
    Required("server", &s::mBackend), Required("address", &s::mAddress),
    Required("zone", &s::mZone), Required("verdict", &s::mVerdict),
    Required("delay_ms", &s::mDelayMs),
    Required("affinity_ms", &s::mAffinityMs),
    Required("tokens_to_process", &s::mTokensToProcess),
    Required("tokens_to_produce", &s::mTokensToProduce),
    Required("slot_ms", &s::mSlotMs), Required("spread", &s::mSpread),
    Required("cached", &s::mCachedFraction), Required("health", &s::mHealth),
    Required("start", &s::mStart), Required("load", &s::mLoad),
    Required("open", &s::mOutstanding),
    Required("max_open", &s::mMaxOutstanding), Required("slots", &s::mSlots),
    Optional("rate_limit", &s::mRateLimit),
    Optional("next_run_ms", &s::mNextRunMs),
    Optional("memory_tokens", &s::mMemoryTokens),
    Optional("held_tokens", &s::mHeldTokens));
}

constexpr auto ListFields(const explanation*)
{
  using e = explanation;
  return std::make_tuple(
    Required("outcome", &e::mOutcome), Optional("refusal", &e::mRefusal),
    Required("config_version", &e::mVersion), Required("route", &e::mRoute),
    Required("service", &e::mService), Required("workspace", &e::mWorkspace),
    Required("tokens", &e::mTokens), Required("waiting", &e::mWaiting),
    Required("wait_ms", &e::mWaitMs), Required("demand_rank", &e::mDemandRank),
    Required("limited_use", &e::mLimitedUse), Required("server", &e::mBackend),
    Required("servers", &e::mServers));
}

namespace {

bool IsTokenCount(token_count aCount)
{
  return aCount >= 0 && aCount <= kMaxTokenCount;
}

bool HasTokenCounts(const explain_query& aQuery)
{
  return IsTokenCount(aQuery.mPromptTokens) &&
         IsTokenCount(aQuery.mMaxOutputTokens) &&
         IsTokenCount(aQuery.mLengthHint.value_or(0)) &&
         std::all_of(aQuery.mPromptParts.begin(), aQuery.mPromptParts.end(),
                     [](const prompt_part& aPart) {
                       return IsTokenCount(aPart.mTokens);
                     });
}

} // namespace

Json::Value MakeExplainCall(const explain_query& aQuery)
{
  Json::Value call(Json::objectValue);
  call["jsonrpc"] = "2.0";
  call["id"] = 1;
  call["method"] = kExplainMethod;
  call["params"] = EncodeValue(aQuery);
  return call;
}

result<explain_query> DecodeExplainQuery(const Json::Value& aParams)
{
  explain_query query;
  const auto decoded = DecodeValue(aParams, json_path{}, query);
  if (!IsOk(decoded)) {
    return error{ error_code::ProtocolViolation, executed::No,
                  GetError(decoded).mField,
                  "the field is missing, unknown or has another type",
                  absl::ZeroDuration() };
  }
  if (!HasTokenCounts(query)) {
    return error{ error_code::ProtocolViolation, executed::No, "tokens",
                  "a number of tokens is out of range", absl::ZeroDuration() };
  }
  return query;
}

Json::Value ToJson(const explanation& aExplanation)
{
  return EncodeValue(aExplanation);
}

} // namespace foxtailquay
