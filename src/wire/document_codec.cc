#include "wire/document_codec.h"

#include "absl/strings/escaping.h"
#include "wire/document_fields.h"

namespace foxtailquay {

namespace {

constexpr error_code kProtocol = error_code::ProtocolViolation;
constexpr char kOpTag[] = "op";

// Encodes '%' and all bytes outside printable ASCII as %XX. An idempotency key
// comes from a request header and may have any byte.
std::string EscapeKey(std::string_view aKey)
{
  static constexpr char kDigits[] = "0123456789ABCDEF";
  std::string text;
  for (const char character : aKey) {
    const auto byte = static_cast<unsigned char>(character);
    if (byte < 0x20 || byte > 0x7E || byte == '%') {
      text += { '%', kDigits[byte >> 4], kDigits[byte & 15] };
    } else {
      text += character;
    }
  }
  return text;
}

// Reverses EscapeKey. Returns false for a text that EscapeKey never returns, so
// that each key has exactly one text.
bool UnescapeKey(std::string_view aText, std::string& aKey)
{
  for (std::size_t i = 0; i < aText.size(); ++i) {
    if (aText[i] != '%') {
      aKey += aText[i];
      continue;
    }
    if (i + 2 >= aText.size()) {
      return false;
    }
    aKey += absl::HexStringToBytes(absl::string_view(aText.data() + i + 1, 2));
    i += 2;
  }
  return EscapeKey(aKey) == aText;
}

// Returns "workspace/escaped key". A workspace id has no '/', so the first one
// is the separator.
std::string ToClaimKeyText(const claim_key& aKey)
{
  return absl::StrCat(aKey.mWorkspace.mValue, "/",
                      EscapeKey(aKey.mIdempotencyKey));
}

bool ParseClaimKey(std::string_view aText, claim_key& aKey)
{
  const auto slash = aText.find('/');
  if (slash == std::string_view::npos || slash == 0) {
    return false;
  }
  aKey.mWorkspace.mValue = std::string(aText.substr(0, slash));
  return UnescapeKey(aText.substr(slash + 1), aKey.mIdempotencyKey);
}

claim_json ToClaimJson(const claim_record& aClaim)
{
  claim_json json{ aClaim.mHolder, aClaim.mNumber, aClaim.mFingerprint,
                   aClaim.mClaimedAt, std::nullopt };
  if (aClaim.mResponse) {
    json.mResponse =
      response_json{ aClaim.mResponse->mStatus, aClaim.mResponse->mContentType,
                     absl::Base64Escape(aClaim.mResponse->mBody),
                     aClaim.mResponse->mComplete };
  }
  return json;
}

result<claim_record> ClaimFromJson(const claim_json& aJson,
                                   const json_path& aPath)
{
  claim_record claim{ aJson.mHolder, aJson.mNumber, aJson.mFingerprint,
                      aJson.mClaimedAt, std::nullopt };
  if (aJson.mResponse) {
    stored_response response{ aJson.mResponse->mStatus,
                              aJson.mResponse->mContentType,
                              {},
                              aJson.mResponse->mComplete };
    if (!absl::Base64Unescape(aJson.mResponse->mBodyBase64, &response.mBody)) {
      const json_path responsePath = MakeChildPath(aPath, "answer");
      return MakeValueError(MakeChildPath(responsePath, "body_base64"),
                            aJson.mResponse->mBodyBase64, "is not base64");
    }
    claim.mResponse = std::move(response);
  }
  return claim;
}

template<typename T>
result<store_document> ToDocument(result<T> aDecoded)
{
  if (!IsOk(aDecoded)) {
    return GetError(aDecoded);
  }
  return store_document(GetValue(std::move(aDecoded)));
}

} // namespace

Json::Value ToJson(const account& aAccount)
{
  return EncodeValue(aAccount);
}

Json::Value ToJson(const account_shard& aShard)
{
  return EncodeValue(aShard);
}

Json::Value ToJson(const claim_shard& aShard)
{
  claim_shard_json json;
  for (const auto& [key, claim] : aShard.mClaims) {
    json.mClaims.emplace(ToClaimKeyText(key), ToClaimJson(claim));
  }
  return EncodeValue(json);
}

Json::Value ToJson(const config_document& aConfig)
{
  return EncodeValue(aConfig);
}

Json::Value ToJson(const config_patch& aPatch)
{
  return EncodeValue(aPatch);
}

Json::Value ToJson(const member_list& aList)
{
  return EncodeValue(aList);
}

Json::Value ToJson(const usage_record& aRecord)
{
  return EncodeValue(aRecord);
}

Json::Value ToJson(const account_op& aOp)
{
  return EncodeVariant<account_op_kind>(kOpTag, aOp);
}

result<account> AccountFromJson(const Json::Value& aJson)
{
  return DecodeAs<account>(aJson, kProtocol);
}

result<account_shard> AccountShardFromJson(const Json::Value& aJson)
{
  return DecodeAs<account_shard>(aJson, kProtocol);
}

result<claim_shard> ClaimShardFromJson(const Json::Value& aJson)
{
  const auto decoded = DecodeAs<claim_shard_json>(aJson, kProtocol);
  if (!IsOk(decoded)) {
    return GetError(decoded);
  }
  const json_path root;
  const json_path claims = MakeChildPath(root, "claims");
  claim_shard shard;
  for (const auto& [text, json] : GetValue(decoded).mClaims) {
    const json_path path = MakeChildPath(claims, text);
    claim_key key;
    if (!ParseClaimKey(text, key)) {
      return MakeFieldError(path, "is not workspace/idempotency-key");
    }
    auto claim = ClaimFromJson(json, path);
    if (!IsOk(claim)) {
      return GetError(claim);
    }
    shard.mClaims.emplace(std::move(key), GetValue(std::move(claim)));
  }
  return shard;
}

result<config_document> ConfigFromJson(const Json::Value& aJson)
{
  return DecodeAs<config_document>(aJson, error_code::InvalidConfig);
}

result<config_patch> PatchFromJson(const Json::Value& aJson)
{
  return DecodeAs<config_patch>(aJson, error_code::InvalidConfig);
}

result<member_list> MemberListFromJson(const Json::Value& aJson)
{
  return DecodeAs<member_list>(aJson, kProtocol);
}

result<usage_record> UsageRecordFromJson(const Json::Value& aJson)
{
  return DecodeAs<usage_record>(aJson, kProtocol);
}

result<account_op> AccountOpFromJson(const Json::Value& aJson)
{
  account_op op;
  const auto outcome =
    DecodeVariant<account_op_kind>(kOpTag, aJson, json_path{}, op);
  if (!IsOk(outcome)) {
    return GetError(outcome);
  }
  return op;
}

std::string EncodeDocument(const store_document& aDocument)
{
  return ToText(
    std::visit([](const auto& aTyped) { return ToJson(aTyped); }, aDocument));
}

result<store_document> DecodeDocument(store_area aArea, std::string_view aText)
{
  const auto json = ParseJson(aText);
  if (!IsOk(json)) {
    return GetError(json);
  }
  switch (aArea) {
    case store_area::Accounts:
      return ToDocument(AccountShardFromJson(GetValue(json)));
    case store_area::Claims:
      return ToDocument(ClaimShardFromJson(GetValue(json)));
    case store_area::Config:
      return ToDocument(ConfigFromJson(GetValue(json)));
    case store_area::Members:
      return ToDocument(MemberListFromJson(GetValue(json)));
  }
  return error{ error_code::Internal, executed::No, "area",
                "is not a store area", absl::ZeroDuration() };
}

} // namespace foxtailquay
