// Converts the documents that are kept in the store and sent to peers to and
// from JSON.
//
// Decoders are strict: an unknown or missing field, a wrong type or an unknown
// name is an error whose mField is the path of the field.
//
// Pure functions; safe on any thread with distinct objects.

#ifndef FOXTAILQUAY_WIRE_DOCUMENT_CODEC_H
#define FOXTAILQUAY_WIRE_DOCUMENT_CODEC_H

#include <string>
#include <string_view>

#include "foxtailquay/config.h"
#include "foxtailquay/result.h"
#include "foxtailquay/store.h"
#include "json/json.h"

namespace foxtailquay {

Json::Value ToJson(const account& aAccount);
Json::Value ToJson(const account_shard& aShard);
Json::Value ToJson(const claim_shard& aShard);
Json::Value ToJson(const config_document& aConfig);
Json::Value ToJson(const config_patch& aPatch);
Json::Value ToJson(const member_list& aList);
Json::Value ToJson(const usage_record& aRecord);
Json::Value ToJson(const account_op& aOp);

// Errors: InvalidConfig for configuration, ProtocolViolation for the others.
result<account> AccountFromJson(const Json::Value& aJson);
result<account_shard> AccountShardFromJson(const Json::Value& aJson);
result<claim_shard> ClaimShardFromJson(const Json::Value& aJson);
result<config_document> ConfigFromJson(const Json::Value& aJson);
// A patch has only the sections and entries that it changes; null removes an
// entry. "if_version" and "patch_id" are optional.
result<config_patch> PatchFromJson(const Json::Value& aJson);
result<member_list> MemberListFromJson(const Json::Value& aJson);
result<usage_record> UsageRecordFromJson(const Json::Value& aJson);
result<account_op> AccountOpFromJson(const Json::Value& aJson);

// Returns the text of a store value, compact JSON.
std::string EncodeDocument(const store_document& aDocument);
// Decodes the value of a key in aArea. Errors: InvalidConfig in the area
// Config, ProtocolViolation in the others and if aText is not JSON.
result<store_document> DecodeDocument(store_area aArea, std::string_view aText);

// Convert between JSON values and compact text. Errors: ProtocolViolation with
// the position in the text.
std::string ToText(const Json::Value& aJson);
result<Json::Value> ParseJson(std::string_view aText);

} // namespace foxtailquay

#endif
