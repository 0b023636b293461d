// Random documents and their comparison, for the tests of the codecs. The
// Any... functions return random values and may only be called in a rapidcheck
// property.

#ifndef TESTS_DOCUMENT_GENERATORS_H
#define TESTS_DOCUMENT_GENERATORS_H

#include <algorithm>
#include <limits>
#include <map>
#include <optional>
#include <rapidcheck.h>
#include <set>
#include <string>
#include <type_traits>
#include <vector>

#include "foxtailquay/store.h"

namespace foxtailquay {

// --- Comparison -------------------------------------------------------------
// Structured bindings list every member, so that this file does not compile if
// a new member is not compared.

template<typename T>
bool IsSame(const T& aLeft, const T& aRight);

template<typename T>
bool IsSameList(const T& aLeft, const T& aRight)
{
  return std::equal(
    aLeft.begin(), aLeft.end(), aRight.begin(), aRight.end(),
    [](const auto& aOne, const auto& aOther) { return IsSame(aOne, aOther); });
}

template<typename T>
bool IsSameOptional(const std::optional<T>& aLeft,
                    const std::optional<T>& aRight)
{
  return aLeft.has_value() == aRight.has_value() &&
         (!aLeft || IsSame(*aLeft, *aRight));
}

#define SAME_3(Type)                                                           \
  inline bool HasSameMembers(const Type& aLeft, const Type& aRight)            \
  {                                                                            \
    const auto& [a, b, c] = aLeft;                                             \
    const auto& [d, e, f] = aRight;                                            \
    return IsSame(a, d) && IsSame(b, e) && IsSame(c, f);                       \
  }
#define SAME_4(Type)                                                           \
  inline bool HasSameMembers(const Type& aLeft, const Type& aRight)            \
  {                                                                            \
    const auto& [a, b, c, d] = aLeft;                                          \
    const auto& [e, f, g, h] = aRight;                                         \
    return IsSame(a, e) && IsSame(b, f) && IsSame(c, g) && IsSame(d, h);       \
  }
#define SAME_5(Type)                                                           \
  inline bool HasSameMembers(const Type& aLeft, const Type& aRight)            \
  {                                                                            \
    const auto& [a, b, c, d, e] = aLeft;                                       \
    const auto& [f, g, h, i, j] = aRight;                                      \
    return IsSame(a, f) && IsSame(b, g) && IsSame(c, h) && IsSame(d, i) &&     \
           IsSame(e, j);                                                       \
  }
#define SAME_6(Type)                                                           \
  inline bool HasSameMembers(const Type& aLeft, const Type& aRight)            \
  {                                                                            \
    const auto& [a, b, c, d, e, f] = aLeft;                                    \
    const auto& [g, h, i, j, k, l] = aRight;                                   \
    return IsSame(a, g) && IsSame(b, h) && IsSame(c, i) && IsSame(d, j) &&     \
           IsSame(e, k) && IsSame(f, l);                                       \
  }
#define SAME_7(Type)                                                           \
  inline bool HasSameMembers(const Type& aLeft, const Type& aRight)            \
  {                                                                            \
    const auto& [a, b, c, d, e, f, g] = aLeft;                                 \
    const auto& [h, i, j, k, l, m, n] = aRight;                                \
    return IsSame(a, h) && IsSame(b, i) && IsSame(c, j) && IsSame(d, k) &&     \
           IsSame(e, l) && IsSame(f, m) && IsSame(g, n);                       \
  }
#define SAME_8(Type)                                                           \
  inline bool HasSameMembers(const Type& aLeft, const Type& aRight)            \
  {                                                                            \
    const auto& [a, b, c, d, e, f, g, h] = aLeft;                              \
    const auto& [i, j, k, l, m, n, o, p] = aRight;                             \
    return IsSame(a, i) && IsSame(b, j) && IsSame(c, k) && IsSame(d, l) &&     \
           IsSame(e, m) && IsSame(f, n) && IsSame(g, o) && IsSame(h, p);       \
  }

inline bool HasSameMembers(const settled_set& aLeft, const settled_set& aRight)
{
  return aLeft.mWatermark == aRight.mWatermark &&
         aLeft.mAboveWatermark == aRight.mAboveWatermark;
}
inline bool HasSameMembers(const budget_config& aLeft,
                           const budget_config& aRight)
{
  return aLeft.mBudget == aRight.mBudget &&
         aLeft.mPaidTargets == aRight.mPaidTargets;
}
inline bool HasSameMembers(const claim_key& aLeft, const claim_key& aRight)
{
  return !(aLeft < aRight) && !(aRight < aLeft);
}
inline bool HasSameMembers(const account_shard& aLeft,
                           const account_shard& aRight)
{
  return IsSame(aLeft.mAccounts, aRight.mAccounts);
}
inline bool HasSameMembers(const claim_shard& aLeft, const claim_shard& aRight)
{
  return IsSame(aLeft.mClaims, aRight.mClaims);
}
SAME_6(share_record)
SAME_5(account)
SAME_4(stored_response)
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
SAME_5(member_list)

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

inline bool HasSameMembers(const store_document& aLeft,
                           const store_document& aRight)
{
  return aLeft.index() == aRight.index() &&
         std::visit(
           [&aRight](const auto& aTyped) {
             using type = std::decay_t<decltype(aTyped)>;
             return HasSameMembers(aTyped, std::get<type>(aRight));
           },
           aLeft);
}

template<typename T>
bool IsSame(const T& aLeft, const T& aRight)
{
  if constexpr (is_map<T>::value) {
    return std::equal(aLeft.begin(), aLeft.end(), aRight.begin(), aRight.end(),
                      [](const auto& aOne, const auto& aOther) {
                        return IsSame(aOne.first, aOther.first) &&
                               IsSame(aOne.second, aOther.second);
                      });
  } else if constexpr (is_vector<T>::value) {
    return IsSameList(aLeft, aRight);
  } else if constexpr (is_optional<T>::value) {
    return IsSameOptional(aLeft, aRight);
  } else if constexpr (has_equal<T>::value &&
                       !std::is_same_v<T, store_document>) {
    return aLeft == aRight;
  } else {
    return HasSameMembers(aLeft, aRight);
  }
}

// --- Generators -------------------------------------------------------------

// Includes the largest and the smallest value.
inline token_count AnyCount()
{
  return *rc::gen::oneOf(
    rc::gen::just<token_count>(0), rc::gen::arbitrary<token_count>(),
    rc::gen::just(std::numeric_limits<token_count>::max()),
    rc::gen::just(std::numeric_limits<token_count>::min()));
}

inline std::uint64_t AnyNumber()
{
  return *rc::gen::oneOf(
    rc::gen::just<std::uint64_t>(0), rc::gen::arbitrary<std::uint64_t>(),
    rc::gen::just(std::numeric_limits<std::uint64_t>::max()));
}

inline bool AnyBool()
{
  return *rc::gen::arbitrary<bool>();
}

inline int AnyInt()
{
  return *rc::gen::arbitrary<int>();
}

inline std::string AnyId()
{
  return *rc::gen::nonEmpty(rc::gen::container<std::string>(
    rc::gen::elementOf(std::string("abcxyzABC019-_.:"))));
}

// Valid UTF-8 with characters that JSON escapes.
inline std::string AnyText()
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

// Any bytes, also such that are not valid UTF-8.
inline std::string AnyBytes()
{
  return *rc::gen::container<std::string>(rc::gen::arbitrary<char>());
}

template<typename Enum>
Enum AnyEnum()
{
  return static_cast<Enum>(
    *rc::gen::inRange<int>(0, static_cast<int>(CountEnumerators<Enum>())));
}

inline absl::Duration AnyDuration()
{
  return absl::Milliseconds(*rc::gen::inRange(-1000, 1'000'000'000));
}

inline process_id AnyProcess()
{
  return { { AnyId() }, AnyNumber() };
}

// Up to three elements.
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
Id AnyTypedId()
{
  return Id{ AnyId() };
}

inline share_record AnyShare()
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

inline account AnyAccount()
{
  return { AnyCount(), AnyCount(), AnyMap(&AnyProcess, &AnyShare),
           AnyMap(&AnyTypedId<member_id>, &AnyNumber),
           AnyMap(&AnyText, &AnyCount) };
}

inline claim_record AnyClaim()
{
  claim_record claim;
  claim.mHolder = AnyProcess();
  claim.mNumber = AnyNumber();
  claim.mFingerprint = AnyNumber();
  claim.mClaimedAt =
    absl::FromUnixMicros(*rc::gen::inRange<std::int64_t>(0, 4'000'000'000'000));
  if (AnyBool()) {
    claim.mResponse =
      stored_response{ AnyInt(), AnyText(), AnyBytes(), AnyBool() };
  }
  return claim;
}

inline claim_key AnyClaimKey()
{
  return { { AnyId() }, AnyBytes() };
}

inline model_config AnyModel()
{
  return { AnyCount(), AnyCount(), AnyCount(), AnyCount() };
}

inline service_config AnyService()
{
  return { AnyVector([] {
             return service_call_config{ AnyText(), AnyText(), AnyBool() };
           }),
           AnyCount(), AnyDuration() };
}

inline backend_config AnyBackend()
{
  return { AnyEnum<backend_kind>(),
           { AnyId() },
           AnyVector(&AnyTypedId<model_id>),
           AnyVector(&AnyTypedId<service_id>),
           AnyInt(),
           AnyEnum<fencing_support>(),
           AnyBool() };
}

inline workspace_config AnyWorkspace()
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

inline fleet_config AnyFleet()
{
  return { *rc::gen::arbitrary<std::uint32_t>(),
           *rc::gen::arbitrary<std::uint32_t>(), AnyDuration(), AnyDuration(),
           AnyInt() };
}

inline config_document AnyConfig()
{
  return { AnyNumber(),
           AnyMap(&AnyNumber, &AnyText),
           AnyFleet(),
           AnyMap(&AnyTypedId<model_id>, &AnyModel),
           AnyMap(&AnyTypedId<service_id>, &AnyService),
           AnyMap(&AnyTypedId<backend_id>, &AnyBackend),
           AnyMap(&AnyTypedId<workspace_id>, &AnyWorkspace) };
}

template<typename Make>
auto Maybe(Make aMake)
{
  return AnyBool() ? std::make_optional(aMake()) : std::nullopt;
}

inline config_patch AnyPatch()
{
  return { AnyText(),
           AnyNumber(),
           Maybe(&AnyFleet),
           AnyMap(&AnyTypedId<model_id>, [] { return Maybe(&AnyModel); }),
           AnyMap(&AnyTypedId<service_id>, [] { return Maybe(&AnyService); }),
           AnyMap(&AnyTypedId<backend_id>, [] { return Maybe(&AnyBackend); }),
           AnyMap(&AnyTypedId<workspace_id>,
                  [] { return Maybe(&AnyWorkspace); }) };
}

inline member_list AnyMembers()
{
  member_list list;
  list.mMembers = AnyMap(&AnyTypedId<member_id>, [] {
    return member_record{
      AnyEnum<process_role>(),  AnyNumber(), { AnyId() }, AnyText(),
      AnyEnum<member_status>(), AnyText()
    };
  });
  list.mFences = AnyVector([] {
    return fence_record{ AnyProcess(), AnyNumber(),
                         AnyMap(&AnyTypedId<member_id>, &AnyNumber) };
  });
  list.mLossEpoch = AnyNumber();
  list.mLastIncarnation = AnyMap(&AnyTypedId<member_id>, &AnyNumber);
  list.mCommandFences = AnyMap(&AnyTypedId<member_id>, &AnyNumber);
  return list;
}

inline store_document AnyDocument(store_area aArea)
{
  switch (aArea) {
    case store_area::Accounts:
      return account_shard{ AnyMap(&AnyTypedId<budget_id>, &AnyAccount) };
    case store_area::Claims:
      return claim_shard{ AnyMap(&AnyClaimKey, &AnyClaim) };
    case store_area::Config:
      return AnyConfig();
    case store_area::Members:
      return AnyMembers();
  }
  return {};
}

} // namespace foxtailquay

#endif
