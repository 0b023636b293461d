// Guards against documents that change on their way through the store: a
// field that is not encoded, a byte that JSON cannot hold, or a malformed
// value that is taken for an empty one.

#define BOOST_TEST_MODULE document_codec
#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

#include "wire/document_codec.h"

namespace foxtailquay {
namespace {

// --- Comparison -------------------------------------------------------------
// Structured bindings name every member, so that a new member without a
// comparison here does not compile.

template<typename T>
bool Same(const T& aLeft, const T& aRight);

template<typename T>
bool SameList(const T& aLeft, const T& aRight)
{
  return std::equal(
    aLeft.begin(), aLeft.end(), aRight.begin(), aRight.end(),
    [](const auto& aOne, const auto& aOther) { return Same(aOne, aOther); });
}

template<typename T>
bool SameOptional(const std::optional<T>& aLeft, const std::optional<T>& aRight)
{
  return aLeft.has_value() == aRight.has_value() &&
         (!aLeft || Same(*aLeft, *aRight));
}

#define SAME_3(Type)                                                           \
  bool SameMembers(const Type& aLeft, const Type& aRight)                      \
  {                                                                            \
    const auto& [a, b, c] = aLeft;                                             \
    const auto& [d, e, f] = aRight;                                            \
    return Same(a, d) && Same(b, e) && Same(c, f);                             \
  }
#define SAME_4(Type)                                                           \
  bool SameMembers(const Type& aLeft, const Type& aRight)                      \
  {                                                                            \
    const auto& [a, b, c, d] = aLeft;                                          \
    const auto& [e, f, g, h] = aRight;                                         \
    return Same(a, e) && Same(b, f) && Same(c, g) && Same(d, h);               \
  }
#define SAME_5(Type)                                                           \
  bool SameMembers(const Type& aLeft, const Type& aRight)                      \
  {                                                                            \
    const auto& [a, b, c, d, e] = aLeft;                                       \
    const auto& [f, g, h, i, j] = aRight;                                      \
    return Same(a, f) && Same(b, g) && Same(c, h) && Same(d, i) && Same(e, j); \
  }
#define SAME_6(Type)                                                           \
  bool SameMembers(const Type& aLeft, const Type& aRight)                      \
  {                                                                            \
    const auto& [a, b, c, d, e, f] = aLeft;                                    \
    const auto& [g, h, i, j, k, l] = aRight;                                   \
    return Same(a, g) && Same(b, h) && Same(c, i) && Same(d, j) &&             \
           Same(e, k) && Same(f, l);                                           \
  }
#define SAME_7(Type)                                                           \
  bool SameMembers(const Type& aLeft, const Type& aRight)                      \
  {                                                                            \
    const auto& [a, b, c, d, e, f, g] = aLeft;                                 \
    const auto& [h, i, j, k, l, m, n] = aRight;                                \
    return Same(a, h) && Same(b, i) && Same(c, j) && Same(d, k) &&             \
           Same(e, l) && Same(f, m) && Same(g, n);                             \
  }
#define SAME_8(Type)                                                           \
  bool SameMembers(const Type& aLeft, const Type& aRight)                      \
  {                                                                            \
    const auto& [a, b, c, d, e, f, g, h] = aLeft;                              \
    const auto& [i, j, k, l, m, n, o, p] = aRight;                             \
    return Same(a, i) && Same(b, j) && Same(c, k) && Same(d, l) &&             \
           Same(e, m) && Same(f, n) && Same(g, o) && Same(h, p);               \
  }

bool SameMembers(const settled_set& aLeft, const settled_set& aRight)
{
  return aLeft.mThrough == aRight.mThrough && aLeft.mBeyond == aRight.mBeyond;
}
bool SameMembers(const budget_config& aLeft, const budget_config& aRight)
{
  return aLeft.mBudget == aRight.mBudget && aLeft.mPaysFor == aRight.mPaysFor;
}
bool SameMembers(const claim_key& aLeft, const claim_key& aRight)
{
  return !(aLeft < aRight) && !(aRight < aLeft);
}
bool SameMembers(const account_shard& aLeft, const account_shard& aRight)
{
  return Same(aLeft.mAccounts, aRight.mAccounts);
}
bool SameMembers(const claim_shard& aLeft, const claim_shard& aRight)
{
  return Same(aLeft.mClaims, aRight.mClaims);
}
SAME_6(share_record)
SAME_5(account)
SAME_4(stored_answer)
SAME_5(claim_record)
SAME_4(model_config)
SAME_3(service_call_config)
SAME_3(service_config)
SAME_7(backend_config)
SAME_8(workspace_config)
SAME_5(fleet_config)
SAME_7(config_document)
SAME_7(config_patch)
SAME_6(member_record)
SAME_3(fence_record)
SAME_4(member_list)

template<typename T>
struct is_map : std::false_type
{};
template<typename K, typename V>
struct is_map<std::map<K, V>> : std::true_type
{};
template<typename T>
struct is_vector : std::false_type
{};
template<typename T>
struct is_vector<std::vector<T>> : std::true_type
{};
template<typename T>
struct is_optional : std::false_type
{};
template<typename T>
struct is_optional<std::optional<T>> : std::true_type
{};
template<typename T, typename = void>
struct has_equal : std::false_type
{};
template<typename T>
struct has_equal<T,
                 std::void_t<decltype(std::declval<T>() == std::declval<T>())>>
  : std::true_type
{};

bool SameMembers(const store_document& aLeft, const store_document& aRight)
{
  return aLeft.index() == aRight.index() &&
         std::visit(
           [&aRight](const auto& aTyped) {
             using type = std::decay_t<decltype(aTyped)>;
             return SameMembers(aTyped, std::get<type>(aRight));
           },
           aLeft);
}

template<typename T>
bool Same(const T& aLeft, const T& aRight)
{
  if constexpr (is_map<T>::value) {
    return std::equal(aLeft.begin(), aLeft.end(), aRight.begin(), aRight.end(),
                      [](const auto& aOne, const auto& aOther) {
                        return Same(aOne.first, aOther.first) &&
                               Same(aOne.second, aOther.second);
                      });
  } else if constexpr (is_vector<T>::value) {
    return SameList(aLeft, aRight);
  } else if constexpr (is_optional<T>::value) {
    return SameOptional(aLeft, aRight);
  } else if constexpr (has_equal<T>::value &&
                       !std::is_same_v<T, store_document>) {
    return aLeft == aRight;
  } else {
    return SameMembers(aLeft, aRight);
  }
}

// --- Generators -------------------------------------------------------------

token_count AnyCount()
{
  return *rc::gen::oneOf(
    rc::gen::just<token_count>(0), rc::gen::arbitrary<token_count>(),
    rc::gen::just(std::numeric_limits<token_count>::max()),
    rc::gen::just(std::numeric_limits<token_count>::min()));
}

std::uint64_t AnyNumber()
{
  return *rc::gen::oneOf(
    rc::gen::just<std::uint64_t>(0), rc::gen::arbitrary<std::uint64_t>(),
    rc::gen::just(std::numeric_limits<std::uint64_t>::max()));
}

bool AnyBool()
{
  return *rc::gen::arbitrary<bool>();
}

int AnyInt()
{
  return *rc::gen::arbitrary<int>();
}

std::string AnyId()
{
  return *rc::gen::nonEmpty(rc::gen::container<std::string>(
    rc::gen::elementOf(std::string("abcxyzABC019-_.:"))));
}

// Text as it comes out of a parsed JSON string, with characters that need
// escapes.
std::string AnyText()
{
  std::string text;
  for (const int part :
       *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 12))) {
    static const std::string kParts[] = {
      "a",    "\"", "\\", "\n", std::string(1, '\0'), "\x1f", "/", "%",
      "\x7f", "é",  "↓",  "😀"
    };
    text += kParts[part];
  }
  return text;
}

std::string AnyBytes()
{
  return *rc::gen::container<std::string>(rc::gen::arbitrary<char>());
}

template<typename Enum>
Enum AnyEnum()
{
  return static_cast<Enum>(
    *rc::gen::inRange<int>(0, static_cast<int>(CountOf<Enum>())));
}

absl::Duration AnyDuration()
{
  return absl::Milliseconds(*rc::gen::inRange(-1000, 1'000'000'000));
}

process_id AnyProcess()
{
  return { { AnyId() }, AnyNumber() };
}

template<typename Make>
auto AnyVector(Make aMake)
{
  std::vector<decltype(aMake())> list(*rc::gen::inRange(0, 4));
  for (auto& element : list) {
    element = aMake();
  }
  return list;
}

template<typename MakeKey, typename Make>
auto AnyMap(MakeKey aMakeKey, Make aMake)
{
  std::map<decltype(aMakeKey()), decltype(aMake())> map;
  for (int i = *rc::gen::inRange(0, 4); i > 0; --i) {
    map.emplace(aMakeKey(), aMake());
  }
  return map;
}

template<typename Id>
Id AnyIdOf()
{
  return Id{ AnyId() };
}

share_record AnyShare()
{
  share_record share;
  share.mGranted = AnyCount();
  share.mSpent = AnyCount();
  share.mSettled = { AnyNumber(),
                     *rc::gen::arbitrary<std::set<std::uint64_t>>() };
  share.mAdjustment = AnyNumber();
  share.mLossEpoch = AnyNumber();
  share.mHeld = AnyBool();
  return share;
}

account AnyAccount()
{
  return { AnyCount(), AnyCount(), AnyMap(&AnyProcess, &AnyShare),
           AnyMap(&AnyIdOf<member_id>, &AnyNumber),
           AnyMap(&AnyText, &AnyCount) };
}

claim_record AnyClaim()
{
  claim_record claim;
  claim.mHolder = AnyProcess();
  claim.mNumber = AnyNumber();
  claim.mFingerprint = AnyNumber();
  claim.mClaimedAt =
    absl::FromUnixMicros(*rc::gen::inRange<std::int64_t>(0, 4'000'000'000'000));
  if (AnyBool()) {
    claim.mAnswer = stored_answer{ AnyInt(), AnyText(), AnyBytes(), AnyBool() };
  }
  return claim;
}

claim_key AnyClaimKey()
{
  return { { AnyId() }, AnyBytes() };
}

model_config AnyModel()
{
  return { AnyCount(), AnyCount(), AnyCount(), AnyCount() };
}

service_config AnyService()
{
  return { AnyVector([] {
             return service_call_config{ AnyText(), AnyText(), AnyBool() };
           }),
           AnyCount(), AnyDuration() };
}

backend_config AnyBackend()
{
  return { AnyEnum<backend_kind>(),
           { AnyId() },
           AnyVector(&AnyIdOf<model_id>),
           AnyVector(&AnyIdOf<service_id>),
           AnyInt(),
           AnyEnum<fencing_support>(),
           AnyBool() };
}

workspace_config AnyWorkspace()
{
  workspace_config workspace;
  workspace.mKeyHashes = AnyVector(&AnyText);
  workspace.mBudgets = AnyVector([] {
    return budget_config{ { AnyId() }, AnyVector(&AnyText) };
  });
  workspace.mRatePerSecond = *rc::gen::inRange(0, 1'000'000) / 7.0;
  workspace.mBurst = AnyInt();
  workspace.mMaxConcurrency = AnyInt();
  workspace.mPriority = AnyEnum<priority_class>();
  workspace.mShareHorizon = AnyDuration();
  workspace.mAllowed = AnyVector(&AnyText);
  return workspace;
}

fleet_config AnyFleet()
{
  return { *rc::gen::arbitrary<std::uint32_t>(),
           *rc::gen::arbitrary<std::uint32_t>(), AnyDuration(), AnyDuration(),
           AnyInt() };
}

config_document AnyConfig()
{
  return { AnyNumber(),
           AnyMap(&AnyNumber, &AnyText),
           AnyFleet(),
           AnyMap(&AnyIdOf<model_id>, &AnyModel),
           AnyMap(&AnyIdOf<service_id>, &AnyService),
           AnyMap(&AnyIdOf<backend_id>, &AnyBackend),
           AnyMap(&AnyIdOf<workspace_id>, &AnyWorkspace) };
}

template<typename Make>
auto Maybe(Make aMake)
{
  return AnyBool() ? std::make_optional(aMake()) : std::nullopt;
}

config_patch AnyPatch()
{
  return { AnyText(),
           AnyNumber(),
           Maybe(&AnyFleet),
           AnyMap(&AnyIdOf<model_id>, [] { return Maybe(&AnyModel); }),
           AnyMap(&AnyIdOf<service_id>, [] { return Maybe(&AnyService); }),
           AnyMap(&AnyIdOf<backend_id>, [] { return Maybe(&AnyBackend); }),
           AnyMap(&AnyIdOf<workspace_id>,
                  [] { return Maybe(&AnyWorkspace); }) };
}

member_list AnyMembers()
{
  member_list list;
  list.mMembers = AnyMap(&AnyIdOf<member_id>, [] {
    return member_record{
      AnyEnum<process_role>(),  AnyNumber(), { AnyId() }, AnyText(),
      AnyEnum<member_status>(), AnyText()
    };
  });
  list.mFences = AnyVector([] {
    return fence_record{ AnyProcess(), AnyNumber(),
                         AnyMap(&AnyIdOf<member_id>, &AnyNumber) };
  });
  list.mLossEpoch = AnyNumber();
  list.mLastIncarnation = AnyMap(&AnyIdOf<member_id>, &AnyNumber);
  return list;
}

store_document AnyDocument(store_area aArea)
{
  switch (aArea) {
    case store_area::Accounts:
      return account_shard{ AnyMap(&AnyIdOf<budget_id>, &AnyAccount) };
    case store_area::Claims:
      return claim_shard{ AnyMap(&AnyClaimKey, &AnyClaim) };
    case store_area::Config:
      return AnyConfig();
    case store_area::Members:
      return AnyMembers();
  }
  return {};
}

template<typename T>
const T& Checked(const result<T>& aResult)
{
  if (!IsOk(aResult)) {
    RC_FAIL(ToString(ErrorOf(aResult)));
  }
  return ValueOf(aResult);
}

// --- Round trips ------------------------------------------------------------

BOOST_AUTO_TEST_CASE(store_documents_survive_encoding)
{
  BOOST_TEST(rc::check("decode(encode(document)) == document", [] {
    const auto area = AnyEnum<store_area>();
    const store_document document = AnyDocument(area);
    const auto decoded = DecodeDocument(area, EncodeDocument(document));
    RC_ASSERT(Same(Checked(decoded), document));
  }));
}

BOOST_AUTO_TEST_CASE(patches_survive_encoding)
{
  BOOST_TEST(rc::check("decode(encode(patch)) == patch", [] {
    const config_patch patch = AnyPatch();
    const auto json = ParseJson(ToText(ToJson(patch)));
    RC_ASSERT(Same(Checked(PatchFromJson(Checked(json))), patch));
  }));
}

BOOST_AUTO_TEST_CASE(default_documents_are_small_and_survive)
{
  BOOST_TEST(EncodeDocument(account_shard{}) == R"({"accounts":{}})");
  BOOST_TEST(EncodeDocument(claim_shard{}) == R"({"claims":{}})");
  BOOST_TEST(EncodeDocument(config_document{}) == R"({"version":0})");
  BOOST_TEST(EncodeDocument(member_list{}) == R"({"members":{}})");
}

// The text form of every account operation, which other versions must read.
BOOST_AUTO_TEST_CASE(account_operations_keep_their_text)
{
  const share_id share{ { "b" }, { { "r" }, 3 } };
  const std::pair<account_op, const char*> cases[] = {
    { top_up_op{ { "b" }, "t", 5 },
      R"({"amount":5,"budget":"b","op":"top_up","top_up_id":"t"})" },
    { grant_op{ share, 2, 7, 250 },
      R"({"adjustment":2,"max_permille":250,"op":"grant","share":"b/r/3","want":7})" },
    { settle_op{ { share, 9 }, 4 },
      R"({"cost":4,"op":"settle","request":"b/r/3/9"})" },
    { give_back_op{ share, 2, 7 },
      R"({"adjustment":2,"amount":7,"op":"give_back","share":"b/r/3"})" },
    { transfer_op{ { share, 9 }, { { "q" }, 1 }, 8 },
      R"({"amount":8,"from":"b/r/3/9","op":"transfer","to":{"incarnation":1,"member":"q"}})" },
    { close_share_op{ share, 6 },
      R"({"loss_epoch":6,"op":"close_share","share":"b/r/3"})" },
    { note_loss_epoch_op{ share, 6 },
      R"({"loss_epoch":6,"op":"note_loss_epoch","share":"b/r/3"})" },
    { release_held_op{ share }, R"({"op":"release_held","share":"b/r/3"})" },
  };
  BOOST_TEST(std::size(cases) == std::variant_size_v<account_op>);
  for (const auto& [op, text] : cases) {
    BOOST_TEST(ToText(ToJson(op)) == text);
    const auto json = ParseJson(text);
    BOOST_REQUIRE(IsOk(json));
    const auto decoded = AccountOpFromJson(ValueOf(json));
    BOOST_REQUIRE(IsOk(decoded));
    BOOST_TEST(ValueOf(decoded).index() == op.index());
    BOOST_TEST(ToText(ToJson(ValueOf(decoded))) == text);
  }
}

BOOST_AUTO_TEST_CASE(usage_records_keep_their_text)
{
  const usage_record record{ { { { "b" }, { { "r" }, 3 } }, 9 }, { 5, 0 }, 5 };
  const std::string text =
    R"({"cost":5,"request":"b/r/3/9","usage":{"prompt_tokens":5}})";
  BOOST_TEST(ToText(ToJson(record)) == text);
  const auto decoded = UsageRecordFromJson(ValueOf(ParseJson(text)));
  BOOST_REQUIRE(IsOk(decoded));
  BOOST_TEST(ToText(ToJson(ValueOf(decoded))) == text);
}

// --- Bad input --------------------------------------------------------------

struct bad_document
{
  store_area mArea;
  const char* mText;
  const char* mField;
  const char* mDetail;
};

BOOST_AUTO_TEST_CASE(reports_the_path_of_bad_fields)
{
  constexpr auto kAccounts = store_area::Accounts;
  constexpr auto kClaims = store_area::Claims;
  constexpr auto kConfig = store_area::Config;
  constexpr auto kMembers = store_area::Members;
  const bad_document cases[] = {
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
      "workspaces.acme.budgets[0].id", "5 is not a text" },
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
  for (const bad_document& bad : cases) {
    const auto decoded = DecodeDocument(bad.mArea, bad.mText);
    BOOST_REQUIRE_MESSAGE(!IsOk(decoded), "accepted: " << bad.mText);
    const error& failure = ErrorOf(decoded);
    BOOST_TEST(failure.mField == bad.mField);
    BOOST_TEST_INFO(failure.mDetail);
    BOOST_TEST(failure.mDetail.find(bad.mDetail) != std::string::npos);
  }
}

BOOST_AUTO_TEST_CASE(errors_in_configuration_have_their_own_code)
{
  const Json::Value json = ValueOf(ParseJson(R"({"models":{"m":3}})"));
  BOOST_TEST((ErrorOf(PatchFromJson(json)).mCode == error_code::InvalidConfig));
  BOOST_TEST(
    (ErrorOf(ConfigFromJson(json)).mCode == error_code::InvalidConfig));
  BOOST_TEST(
    (ErrorOf(MemberListFromJson(json)).mCode == error_code::ProtocolViolation));
}

BOOST_AUTO_TEST_CASE(account_operations_reject_bad_input)
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
    const auto decoded = AccountOpFromJson(ValueOf(ParseJson(text)));
    BOOST_REQUIRE_MESSAGE(!IsOk(decoded), "accepted: " << text);
    BOOST_TEST(ErrorOf(decoded).mField == field);
  }
}

// jsoncpp throws on deep nesting; a peer could end the process with it.
BOOST_AUTO_TEST_CASE(deep_nesting_is_an_error)
{
  const auto decoded = ParseJson(std::string(100'000, '['));
  BOOST_REQUIRE(!IsOk(decoded));
  BOOST_TEST((ErrorOf(decoded).mCode == error_code::ProtocolViolation));
}

// A patch may remove entries and leave out its identity.
BOOST_AUTO_TEST_CASE(patches_name_only_what_they_change)
{
  const auto patch = PatchFromJson(
    ValueOf(ParseJson(R"({"models":{"old":null,"new":{}},"if_version":4})")));
  BOOST_REQUIRE(IsOk(patch));
  BOOST_TEST(ValueOf(patch).mIfVersion == 4u);
  BOOST_TEST(ValueOf(patch).mModels.size() == 2u);
  BOOST_TEST(!ValueOf(patch).mModels.at({ "old" }).has_value());
  BOOST_TEST(ValueOf(patch).mModels.at({ "new" }).has_value());
  BOOST_TEST(!ValueOf(patch).mFleet.has_value());
}

} // namespace
} // namespace foxtailquay
