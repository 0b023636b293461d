// Guards against documents that differ after encoding and decoding: a field
// that is not encoded, a byte that JSON cannot represent, or a malformed value
// that is decoded as an empty one.

#define BOOST_TEST_MODULE document_codec
#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

#include "document_generators.h"
#include "wire/document_codec.h"

namespace foxtailquay {
namespace {

// Returns the value, or fails the property with the error's text.
template<typename T>
const T& GetValueOrFail(const result<T>& aResult)
{
  if (!IsOk(aResult)) {
    RC_FAIL(ToString(GetError(aResult)));
  }
  return GetValue(aResult);
}

// --- Round trips ------------------------------------------------------------

BOOST_AUTO_TEST_CASE(store_documents_round_trip)
{
  BOOST_TEST(rc::check("decode(encode(document)) == document", [] {
    const auto area = AnyEnum<store_area>();
    const store_document document = AnyDocument(area);
    const auto decoded = DecodeDocument(area, EncodeDocument(document));
    RC_ASSERT(IsSame(GetValueOrFail(decoded), document));
  }));
}

BOOST_AUTO_TEST_CASE(patches_round_trip)
{
  BOOST_TEST(rc::check("decode(encode(patch)) == patch", [] {
    const config_patch patch = AnyPatch();
    const auto json = ParseJson(ToText(ToJson(patch)));
    RC_ASSERT(
      IsSame(GetValueOrFail(PatchFromJson(GetValueOrFail(json))), patch));
  }));
}

BOOST_AUTO_TEST_CASE(default_documents_omit_default_fields)
{
  BOOST_TEST(EncodeDocument(account_shard{}) == R"({"accounts":{}})");
  BOOST_TEST(EncodeDocument(claim_shard{}) == R"({"claims":{}})");
  BOOST_TEST(EncodeDocument(config_document{}) == R"({"version":0})");
  BOOST_TEST(EncodeDocument(member_list{}) == R"({"members":{}})");
}

// Processes of other versions must decode the text form of every account
// operation.
BOOST_AUTO_TEST_CASE(account_operations_have_a_stable_encoding)
{
  const share_id share{ { "b" }, { { "r" }, 3 } };
  const std::pair<account_op, const char*> cases[] = {
    { top_up_op{ { "b" }, "t", 5 },
      R"({"amount":5,"budget":"b","op":"top_up","top_up_id":"t"})" },
    { grant_op{ share, 2, 7, 3, 250 },
      R"({"adjustment":2,"max_permille":250,"need":3,"op":"grant","share":"b/r/3","want":7})" },
    { settle_op{ { share, 9 }, 4 },
      R"({"cost":4,"op":"settle","request":"b/r/3/9"})" },
    { return_op{ share, 2, 7 },
      R"({"adjustment":2,"amount":7,"op":"give_back","share":"b/r/3"})" },
    { transfer_op{ { share, 9 }, { { "q" }, 1 }, 8 },
      R"({"amount":8,"from":"b/r/3/9","op":"transfer","to":{"incarnation":1,"member":"q"}})" },
    { close_share_op{ share, 6 },
      R"({"loss_epoch":6,"op":"close_share","share":"b/r/3"})" },
    { record_loss_epoch_op{ share, 6 },
      R"({"loss_epoch":6,"op":"note_loss_epoch","share":"b/r/3"})" },
    { release_held_op{ share }, R"({"op":"release_held","share":"b/r/3"})" },
  };
  BOOST_TEST(std::size(cases) == std::variant_size_v<account_op>);
  for (const auto& [op, text] : cases) {
    BOOST_TEST(ToText(ToJson(op)) == text);
    const auto json = ParseJson(text);
    BOOST_REQUIRE(IsOk(json));
    const auto decoded = AccountOpFromJson(GetValue(json));
    BOOST_REQUIRE(IsOk(decoded));
    BOOST_TEST(GetValue(decoded).index() == op.index());
    BOOST_TEST(ToText(ToJson(GetValue(decoded))) == text);
  }
}

BOOST_AUTO_TEST_CASE(usage_records_have_a_stable_encoding)
{
  const usage_record record{ { { { "b" }, { { "r" }, 3 } }, 9 }, { 5, 0 }, 5 };
  const std::string text =
    R"({"cost":5,"request":"b/r/3/9","usage":{"prompt_tokens":5}})";
  BOOST_TEST(ToText(ToJson(record)) == text);
  const auto decoded = UsageRecordFromJson(GetValue(ParseJson(text)));
  BOOST_REQUIRE(IsOk(decoded));
  BOOST_TEST(ToText(ToJson(GetValue(decoded))) == text);
}

// --- Invalid input -----------------------------------------------------------

struct invalid_document
{
  store_area mArea;
  const char* mText;
  // Path of the invalid field, as the error reports it.
  const char* mField;
  // Substring of the expected error detail.
  const char* mDetail;
};

BOOST_AUTO_TEST_CASE(errors_name_the_path_of_invalid_fields)
{
  constexpr auto kAccounts = store_area::Accounts;
  constexpr auto kClaims = store_area::Claims;
  constexpr auto kConfig = store_area::Config;
  constexpr auto kMembers = store_area::Members;
  const invalid_document cases[] = {
    { kAccounts, R"({})", "accounts", "is missing" },
    { kAccounts, R"([])", "", "[] is not an object" },
    { kAccounts, R"({"accounts":{},"x":1})", "x", "known are accounts" },
    { kAccounts, R"({"accounts":{"b":{}}})", "accounts.b.paid_in",
      "is missing" },
    { kAccounts, R"({"accounts":{"b":{"paid_in":1.0}}})", "accounts.b.paid_in",
      "1.0 is not a whole number" },
    { kAccounts, R"({"accounts":{"b":{"paid_in":9223372036854775808}}})",
      "accounts.b.paid_in", "is not a whole number" },
    { kAccounts, R"({"accounts":{"b":{"paid_in":1,"shares":{"r":{}}}}})",
      "accounts.b.shares", "\"r\" is not a well-formed key" },
    { kAccounts, R"({"accounts":{"b":{"paid_in":1,"shares":{"r/01":{}}}}})",
      "accounts.b.shares", "\"r/01\" is not a well-formed key" },
    { kAccounts,
      R"({"accounts":{"b":{"paid_in":1,"shares":{"r/1":{"held":1}}}}})",
      "accounts.b.shares.r/1.held", "1 is not true or false" },
    { kAccounts,
      R"({"accounts":{"b":{"paid_in":1,"min_incarnation":{"r":-1}}}})",
      "accounts.b.min_incarnation.r", "-1 is not a whole number from 0" },
    { kAccounts, R"({"accounts":{"b":null}})", "accounts.b",
      "null is not an object" },
    { kClaims, R"({"claims":{"w":{}}})", "claims.w.holder", "is missing" },
    { kClaims,
      R"({"claims":{"w":{"holder":{"member":"r","incarnation":1},)"
      R"("number":1,"fingerprint":1,"claimed_at_us":1}}})",
      "claims.w", "is not workspace/idempotency-key" },
    { kClaims,
      R"({"claims":{"w/%4":{"holder":{"member":"r","incarnation":1},)"
      R"("number":1,"fingerprint":1,"claimed_at_us":1}}})",
      "claims.w/%4", "is not workspace/idempotency-key" },
    { kClaims,
      R"({"claims":{"w/k":{"holder":{"member":"r","incarnation":1},)"
      R"("number":1,"fingerprint":1,"claimed_at_us":1,)"
      R"("answer":{"status":200,"body_base64":"?"}}}})",
      "claims.w/k.answer.body_base64", "\"?\" is not base64" },
    { kConfig, R"({"version":-1})", "version", "-1 is not a whole number" },
    { kConfig, R"({"version":1,"workspaces":{"acme":{}}})",
      "workspaces.acme.budgets", "is missing" },
    { kConfig, R"({"version":1,"workspaces":{"acme":{"budgets":[{"id":5}]}}})",
      "workspaces.acme.budgets[0].id", "5 is not a string" },
    { kConfig,
      R"({"version":1,"workspaces":{"acme":{"budgets":[],"priority":"high"}}})",
      "workspaces.acme.priority",
      "\"high\" is not one of interactive, standard, batch" },
    { kConfig,
      R"({"version":1,"workspaces":{"a":{"budgets":[],"rate_per_second":"1"}}})",
      "workspaces.a.rate_per_second", "\"1\" is not a number" },
    { kConfig, R"({"version":1,"fleet":{"queue_length":3000000000}})",
      "fleet.queue_length", "from -2147483648 to 2147483647" },
    { kConfig, R"({"version":1,"fleet":{"queue_timeout_ms":"5s"}})",
      "fleet.queue_timeout_ms", "whole number of milliseconds" },
    { kConfig, R"({"version":1,"models":{"m":{"price":1}}})", "models.m.price",
      "known are prompt_price" },
    { kConfig, R"({"version":1,"backends":{"e":{"zone":"z"}}})",
      "backends.e.kind", "is missing" },
    { kConfig, R"({"version":1,"patch_ids":{"one":"p"}})", "patch_ids",
      "\"one\" is not a well-formed key" },
    { kMembers, R"({"members":[]})", "members", "[] is not an object" },
    { kMembers, R"({"members":{},"fences":[{"fenced":{"member":"r"}}]})",
      "fences[0].fenced.incarnation", "is missing" },
    { kMembers, R"({"members":{},"members":{}})", "", "is not JSON" },
    { kMembers, R"({"members":{}} x)", "", "is not JSON" },
    { kMembers, "{\"members\":{\"\xff\":1}}", "byte 13", "UTF-8" },
    { kMembers, "", "", "is not JSON" },
  };
  for (const invalid_document& bad : cases) {
    const auto decoded = DecodeDocument(bad.mArea, bad.mText);
    BOOST_REQUIRE_MESSAGE(!IsOk(decoded), "accepted: " << bad.mText);
    const error& failure = GetError(decoded);
    BOOST_TEST(failure.mField == bad.mField);
    BOOST_TEST_INFO(failure.mDetail);
    BOOST_TEST(failure.mDetail.find(bad.mDetail) != std::string::npos);
  }
}

BOOST_AUTO_TEST_CASE(configuration_errors_have_their_own_code)
{
  const Json::Value json = GetValue(ParseJson(R"({"models":{"m":3}})"));
  BOOST_TEST(
    (GetError(PatchFromJson(json)).mCode == error_code::InvalidConfig));
  BOOST_TEST(
    (GetError(ConfigFromJson(json)).mCode == error_code::InvalidConfig));
  BOOST_TEST((GetError(MemberListFromJson(json)).mCode ==
              error_code::ProtocolViolation));
}

BOOST_AUTO_TEST_CASE(invalid_account_operations_are_rejected)
{
  const std::pair<const char*, const char*> cases[] = {
    { R"({"amount":5})", "op" },
    { R"({"op":"take"})", "op" },
    { R"({"op":"settle","request":"b/r/3","cost":1})", "request" },
    { R"({"op":"release_held","share":"b/r"})", "share" },
    { R"({"op":"release_held","share":"b/r/3","cost":1})", "cost" },
    { R"({"op":"close_share","share":"b/r/3"})", "loss_epoch" },
  };
  for (const auto& [text, field] : cases) {
    const auto decoded = AccountOpFromJson(GetValue(ParseJson(text)));
    BOOST_REQUIRE_MESSAGE(!IsOk(decoded), "accepted: " << text);
    BOOST_TEST(GetError(decoded).mField == field);
  }
}

// jsoncpp throws an exception on deep nesting. A peer must not be able to end
// the process with such a message.
BOOST_AUTO_TEST_CASE(deep_nesting_is_rejected)
{
  const auto decoded = ParseJson(std::string(100'000, '['));
  BOOST_REQUIRE(!IsOk(decoded));
  BOOST_TEST((GetError(decoded).mCode == error_code::ProtocolViolation));
}

// A patch may remove entries and omit its identifier.
BOOST_AUTO_TEST_CASE(patches_may_omit_fields_and_remove_entries)
{
  const auto patch = PatchFromJson(
    GetValue(ParseJson(R"({"models":{"old":null,"new":{}},"if_version":4})")));
  BOOST_REQUIRE(IsOk(patch));
  BOOST_TEST(GetValue(patch).mIfVersion == 4u);
  BOOST_TEST(GetValue(patch).mModels.size() == 2u);
  BOOST_TEST(!GetValue(patch).mModels.at({ "old" }).has_value());
  BOOST_TEST(GetValue(patch).mModels.at({ "new" }).has_value());
  BOOST_TEST(!GetValue(patch).mFleet.has_value());
}

} // namespace
} // namespace foxtailquay
