// Strict JSON encoding of plain structs, driven by tables of their fields.
//
// To be encodable, a struct needs a function in namespace foxtailquay:
//
//   constexpr auto ListFields(const share_record*)
//   {
//     return std::make_tuple(Required("granted", &share_record::mGranted),
//                            Optional("held", &share_record::mHeld));
//   }
//
// EncodeValue leaves out optional fields that have their default value. Errors
// of DecodeValue have the path of the wrong field, its value and what was
// expected. Names of absl::Duration fields end in "_ms" (integer
// milliseconds), those of absl::Time fields in "_us" (Unix microseconds).
//
// Pure functions; safe on any thread with distinct objects. Time and memory
// are linear in the size of the value.

#ifndef FOXTAILQUAY_WIRE_JSON_FIELDS_H
#define FOXTAILQUAY_WIRE_JSON_FIELDS_H

#include <cstddef>
#include <cstdint>
#include <limits>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <tuple>
#include <type_traits>
#include <utility>
#include <variant>
#include <vector>

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/time/time.h"
#include "foxtailquay/name_table.h"
#include "foxtailquay/result.h"
#include "foxtailquay/types.h"
#include "json/json.h"

namespace foxtailquay {

// Whether a field must be in the JSON object.
enum class presence
{
  Required,
  Optional,
};

// The name of a JSON field and the member that has its value.
template<typename Struct, typename Member>
struct json_field
{
  std::string_view mName;
  Member Struct::*mMember;
  presence mPresence;
};

template<typename Struct, typename Member>
constexpr json_field<Struct, Member> Required(std::string_view aName,
                                              Member Struct::*aMember)
{
  return { aName, aMember, presence::Required };
}

template<typename Struct, typename Member>
constexpr json_field<Struct, Member> Optional(std::string_view aName,
                                              Member Struct::*aMember)
{
  return { aName, aMember, presence::Optional };
}

// The path of a value in a document, as a list of steps from the value up to
// the document. The steps are on the decoder's stack, so that the path's text
// is made only for an error. A parent must outlive its children.
struct json_path
{
  const json_path* mParent = nullptr;
  // The code of all errors in this document.
  error_code mCode = error_code::ProtocolViolation;
  // Name of the member, for a member of an object.
  std::string_view mName;
  // Index of the element, for an element of an array.
  std::optional<std::size_t> mIndex;
};

inline json_path MakeChildPath(const json_path& aParent, std::string_view aName)
{
  return { &aParent, aParent.mCode, aName, std::nullopt };
}

inline json_path MakeChildPath(const json_path& aParent, std::size_t aIndex)
{
  return { &aParent, aParent.mCode, {}, aIndex };
}

// Returns, for example, "workspaces.acme.budgets[0].id"; empty for the whole
// document.
std::string ToString(const json_path& aPath);

// Returns an error at aPath. aDetail states what is wrong or expected.
error MakeFieldError(const json_path& aPath, std::string aDetail);
// Returns an error at aPath whose detail is the found value, shortened, and
// aDetail.
error MakeValueError(const json_path& aPath, const Json::Value& aValue,
                     std::string_view aDetail);

// Convert identifiers that are map keys to and from text. ParseKeyText returns
// false if the text is malformed.
std::string ToKeyText(const process_id& aProcess);
bool ParseKeyText(std::string_view aText, process_id& aProcess);
bool ParseKeyText(std::string_view aText, share_id& aShare);
inline std::string ToKeyText(const std::string& aText)
{
  return aText;
}
inline bool ParseKeyText(std::string_view aText, std::string& aInto)
{
  aInto = std::string(aText);
  return true;
}
inline std::string ToKeyText(std::uint64_t aNumber)
{
  return absl::StrCat(aNumber);
}
// Accepts canonical decimal numbers only, so that each number has exactly one
// key.
bool ParseKeyText(std::string_view aText, std::uint64_t& aNumber);
template<typename Tag>
std::string ToKeyText(const text_id<Tag>& aId)
{
  return aId.mValue;
}
template<typename Tag>
bool ParseKeyText(std::string_view aText, text_id<Tag>& aId)
{
  aId.mValue = std::string(aText);
  return true;
}

// --- Type traits ------------------------------------------------------------

template<typename T>
struct is_text_id : std::false_type
{};
template<typename Tag>
struct is_text_id<text_id<Tag>> : std::true_type
{};

template<typename T>
struct is_list : std::false_type
{};
template<typename T>
struct is_list<std::vector<T>> : std::true_type
{};
template<typename T>
struct is_list<std::set<T>> : std::true_type
{};

template<typename T>
struct is_map : std::false_type
{};
template<typename Key, typename T>
struct is_map<std::map<Key, T>> : std::true_type
{};

template<typename T>
struct is_optional : std::false_type
{};
template<typename T>
struct is_optional<std::optional<T>> : std::true_type
{};

// True for ids of several parts that are one string in JSON.
template<typename T>
constexpr bool kHasTextForm =
  std::is_same_v<T, share_id> || std::is_same_v<T, request_id>;

// --- Encoding ---------------------------------------------------------------

template<typename T>
Json::Value EncodeValue(const T& aValue);

// Returns true if an optional field with this value is left out: it has its
// default, or is an empty container or object.
template<typename T>
bool IsDefault(const T& aValue, const T& aDefault, const Json::Value& aEncoded)
{
  if constexpr (is_optional<T>::value) {
    return !aValue.has_value();
  } else if constexpr (std::is_arithmetic_v<T> || std::is_enum_v<T> ||
                       std::is_same_v<T, std::string> ||
                       std::is_same_v<T, absl::Duration> ||
                       std::is_same_v<T, absl::Time> || is_text_id<T>::value) {
    return aValue == aDefault;
  } else {
    return aEncoded.empty();
  }
}

template<typename Struct, typename Member>
void EncodeField(const json_field<Struct, Member>& aField,
                 const Struct& aStruct, const Struct& aDefaults,
                 Json::Value& aInto)
{
  const Member& value = aStruct.*aField.mMember;
  Json::Value encoded = EncodeValue(value);
  if (aField.mPresence == presence::Required ||
      !IsDefault(value, aDefaults.*aField.mMember, encoded)) {
    aInto[std::string(aField.mName)] = std::move(encoded);
  }
}

template<typename Struct>
Json::Value EncodeStruct(const Struct& aStruct)
{
  [[maybe_unused]] static const Struct kDefaults{};
  Json::Value json(Json::objectValue);
  std::apply(
    [&](const auto&... aFields) {
      (EncodeField(aFields, aStruct, kDefaults, json), ...);
    },
    ListFields(static_cast<const Struct*>(nullptr)));
  return json;
}

template<typename T>
Json::Value EncodeContainer(const T& aValue)
{
  if constexpr (is_map<T>::value) {
    Json::Value json(Json::objectValue);
    for (const auto& [key, entry] : aValue) {
      json[ToKeyText(key)] = EncodeValue(entry);
    }
    return json;
  } else {
    Json::Value json(Json::arrayValue);
    for (const auto& element : aValue) {
      json.append(EncodeValue(element));
    }
    return json;
  }
}

template<typename T>
Json::Value EncodeValue(const T& aValue)
{
  if constexpr (std::is_same_v<T, bool> || std::is_floating_point_v<T> ||
                std::is_same_v<T, std::string>) {
    return { aValue };
  } else if constexpr (std::is_integral_v<T> && std::is_signed_v<T>) {
    return { static_cast<Json::Int64>(aValue) };
  } else if constexpr (std::is_integral_v<T>) {
    return { static_cast<Json::UInt64>(aValue) };
  } else if constexpr (std::is_enum_v<T>) {
    return { std::string(ToName(aValue)) };
  } else if constexpr (is_text_id<T>::value) {
    return { aValue.mValue };
  } else if constexpr (kHasTextForm<T>) {
    return { ToString(aValue) };
  } else if constexpr (std::is_same_v<T, absl::Duration>) {
    return { static_cast<Json::Int64>(absl::ToInt64Milliseconds(aValue)) };
  } else if constexpr (std::is_same_v<T, absl::Time>) {
    return { static_cast<Json::Int64>(absl::ToUnixMicros(aValue)) };
  } else if constexpr (is_optional<T>::value) {
    return aValue ? EncodeValue(*aValue) : Json::Value();
  } else if constexpr (is_map<T>::value || is_list<T>::value) {
    return EncodeContainer(aValue);
  } else {
    return EncodeStruct(aValue);
  }
}

// --- Decoding ---------------------------------------------------------------

template<typename T>
result<success> DecodeValue(const Json::Value& aJson, const json_path& aPath,
                            T& aInto);

result<success> DecodeInteger(const Json::Value& aJson, const json_path& aPath,
                              std::int64_t aMin, std::int64_t aMax,
                              std::int64_t& aInto);
result<success> DecodeInteger(const Json::Value& aJson, const json_path& aPath,
                              std::uint64_t aMax, std::uint64_t& aInto);
result<success> DecodeText(const Json::Value& aJson, const json_path& aPath,
                           std::string& aInto);
result<success> DecodeNumber(const Json::Value& aJson, const json_path& aPath,
                             double& aInto);
result<success> DecodeBool(const Json::Value& aJson, const json_path& aPath,
                           bool& aInto);
result<success> DecodeDuration(const Json::Value& aJson, const json_path& aPath,
                               absl::Duration& aInto);
result<success> DecodeTime(const Json::Value& aJson, const json_path& aPath,
                           absl::Time& aInto);
// Return an error unless aJson is an object or an array respectively.
result<success> CheckObject(const Json::Value& aJson, const json_path& aPath);
result<success> CheckArray(const Json::Value& aJson, const json_path& aPath);
// Returns the error for the first member of aJson that is not in aKnown.
error MakeUnknownFieldError(const Json::Value& aJson, const json_path& aPath,
                            const std::vector<std::string_view>& aKnown);

// Returns the names of an enumeration, such as "a, b, c".
template<typename Enum>
std::string ListEnumeratorNames()
{
  std::string names;
  for (const auto& entry : NameTable(Enum{})) {
    absl::StrAppend(&names, names.empty() ? "" : ", ",
                    std::string(entry.mName));
  }
  return names;
}

template<typename Enum>
result<success> DecodeEnum(const Json::Value& aJson, const json_path& aPath,
                           Enum& aInto)
{
  const auto value =
    aJson.isString() ? FromName<Enum>(aJson.asString()) : std::nullopt;
  if (!value) {
    return MakeValueError(aPath, aJson,
                          "is not one of " + ListEnumeratorNames<Enum>());
  }
  aInto = *value;
  return success{};
}

// Returns the member, or null. Does not copy its name.
inline const Json::Value* FindMember(const Json::Value& aJson,
                                     std::string_view aName)
{
  return aJson.find(aName.data(), aName.data() + aName.size());
}

// Decodes one field; increments aFound if the object has it.
template<typename Struct, typename Member>
result<success> DecodeField(const json_field<Struct, Member>& aField,
                            const Json::Value& aJson, const json_path& aPath,
                            Struct& aInto, std::size_t& aFound)
{
  const Json::Value* member = FindMember(aJson, aField.mName);
  const json_path path = MakeChildPath(aPath, aField.mName);
  if (member == nullptr) {
    if (aField.mPresence == presence::Required) {
      return MakeFieldError(path, "is missing");
    }
    return success{};
  }
  ++aFound;
  return DecodeValue(*member, path, aInto.*aField.mMember);
}

template<typename Struct>
result<success> DecodeStruct(const Json::Value& aJson, const json_path& aPath,
                             Struct& aInto)
{
  result<success> outcome = CheckObject(aJson, aPath);
  if (!IsOk(outcome)) {
    return outcome;
  }
  std::size_t found = 0;
  constexpr auto kFields = ListFields(static_cast<const Struct*>(nullptr));
  const auto decode = [&](const auto& aField) {
    outcome = DecodeField(aField, aJson, aPath, aInto, found);
    return IsOk(outcome);
  };
  std::apply([&](const auto&... aFields) { return (decode(aFields) && ...); },
             kFields);
  if (IsOk(outcome) && found != aJson.size()) {
    const auto names = std::apply(
      [](const auto&... aFields) {
        return std::vector<std::string_view>{ aFields.mName... };
      },
      kFields);
    return MakeUnknownFieldError(aJson, aPath, names);
  }
  return outcome;
}

template<typename Key, typename T>
result<success> DecodeMap(const Json::Value& aJson, const json_path& aPath,
                          std::map<Key, T>& aInto)
{
  result<success> outcome = CheckObject(aJson, aPath);
  for (auto it = aJson.begin(); IsOk(outcome) && it != aJson.end(); ++it) {
    const std::string name = it.name();
    const json_path path = MakeChildPath(aPath, name);
    Key key;
    if (!ParseKeyText(name, key)) {
      return MakeFieldError(
        aPath, absl::StrCat("\"", name, "\" is not a well-formed key"));
    }
    const auto [entry, added] = aInto.try_emplace(std::move(key));
    outcome = added ? DecodeValue(*it, path, entry->second)
                    : MakeFieldError(path, "appears twice");
  }
  return outcome;
}

template<typename List>
result<success> DecodeList(const Json::Value& aJson, const json_path& aPath,
                           List& aInto)
{
  result<success> outcome = CheckArray(aJson, aPath);
  for (Json::ArrayIndex i = 0; IsOk(outcome) && i < aJson.size(); ++i) {
    typename List::value_type element{};
    outcome =
      DecodeValue(aJson[i], MakeChildPath(aPath, std::size_t{ i }), element);
    aInto.insert(aInto.end(), std::move(element));
  }
  return outcome;
}

template<typename T>
result<success> DecodeTextForm(const Json::Value& aJson, const json_path& aPath,
                               T& aInto)
{
  if constexpr (std::is_same_v<T, request_id>) {
    auto parsed =
      ParseRequestId(aJson.isString() ? aJson.asString() : std::string());
    if (!IsOk(parsed)) {
      return MakeValueError(aPath, aJson,
                            "is not budget/router/incarnation/number");
    }
    aInto = GetValue(std::move(parsed));
  } else if (!aJson.isString() || !ParseKeyText(aJson.asString(), aInto)) {
    return MakeValueError(aPath, aJson, "is not budget/router/incarnation");
  }
  return success{};
}

template<typename T>
result<success> DecodeIntegral(const Json::Value& aJson, const json_path& aPath,
                               T& aInto)
{
  using wide =
    std::conditional_t<std::is_signed_v<T>, std::int64_t, std::uint64_t>;
  using limits = std::numeric_limits<T>;
  wide value = 0;
  result<success> outcome;
  if constexpr (std::is_signed_v<T>) {
    outcome = DecodeInteger(aJson, aPath, limits::min(), limits::max(), value);
  } else {
    outcome = DecodeInteger(aJson, aPath, limits::max(), value);
  }
  aInto = static_cast<T>(value);
  return outcome;
}

// Decodes aJson into aInto. Precondition: aInto has its default value. After an
// error aInto is valid but its value is unspecified.
template<typename T>
result<success> DecodeValue(const Json::Value& aJson, const json_path& aPath,
                            T& aInto)
{
  if constexpr (std::is_same_v<T, bool>) {
    return DecodeBool(aJson, aPath, aInto);
  } else if constexpr (std::is_integral_v<T>) {
    return DecodeIntegral(aJson, aPath, aInto);
  } else if constexpr (std::is_floating_point_v<T>) {
    return DecodeNumber(aJson, aPath, aInto);
  } else if constexpr (std::is_enum_v<T>) {
    return DecodeEnum(aJson, aPath, aInto);
  } else if constexpr (std::is_same_v<T, std::string>) {
    return DecodeText(aJson, aPath, aInto);
  } else if constexpr (is_text_id<T>::value) {
    return DecodeText(aJson, aPath, aInto.mValue);
  } else if constexpr (kHasTextForm<T>) {
    return DecodeTextForm(aJson, aPath, aInto);
  } else if constexpr (std::is_same_v<T, absl::Duration>) {
    return DecodeDuration(aJson, aPath, aInto);
  } else if constexpr (std::is_same_v<T, absl::Time>) {
    return DecodeTime(aJson, aPath, aInto);
  } else if constexpr (is_optional<T>::value) {
    return aJson.isNull() ? result<success>()
                          : DecodeValue(aJson, aPath, aInto.emplace());
  } else if constexpr (is_map<T>::value) {
    return DecodeMap(aJson, aPath, aInto);
  } else if constexpr (is_list<T>::value) {
    return DecodeList(aJson, aPath, aInto);
  } else {
    return DecodeStruct(aJson, aPath, aInto);
  }
}

// Decodes a complete document. Errors: aCode.
template<typename T>
result<T> DecodeAs(const Json::Value& aJson, error_code aCode)
{
  T value{};
  const json_path root{ nullptr, aCode, {}, std::nullopt };
  auto outcome = DecodeValue(aJson, root, value);
  if (!IsOk(outcome)) {
    return GetError(outcome);
  }
  return value;
}

// --- Variants ---------------------------------------------------------------

// Encodes a variant as an object with the alternative's name in the member aTag
// and the fields of the alternative. Precondition: the enumerators of Kind have
// the same order as the alternatives.
template<typename Kind, typename... Alternatives>
Json::Value EncodeVariant(const char* aTag,
                          const std::variant<Alternatives...>& aValue)
{
  static_assert(CountEnumerators<Kind>() == sizeof...(Alternatives),
                "each alternative needs a name");
  Json::Value json =
    std::visit([](const auto& aTyped) { return EncodeValue(aTyped); }, aValue);
  json[aTag] = std::string(ToName(static_cast<Kind>(aValue.index())));
  return json;
}

template<std::size_t Index, typename Variant>
result<success> DecodeAlternative(std::size_t aIndex, const Json::Value& aJson,
                                  const json_path& aPath, Variant& aInto)
{
  if constexpr (Index < std::variant_size_v<Variant>) {
    if (aIndex == Index) {
      return DecodeValue(aJson, aPath, aInto.template emplace<Index>());
    }
    return DecodeAlternative<Index + 1>(aIndex, aJson, aPath, aInto);
  } else {
    return MakeFieldError(aPath, "has no such alternative");
  }
}

template<typename Kind, typename... Alternatives>
result<success> DecodeVariant(const char* aTag, const Json::Value& aJson,
                              const json_path& aPath,
                              std::variant<Alternatives...>& aInto)
{
  auto outcome = CheckObject(aJson, aPath);
  if (!IsOk(outcome)) {
    return outcome;
  }
  const Json::Value* tag = FindMember(aJson, aTag);
  const json_path tagPath = MakeChildPath(aPath, aTag);
  if (tag == nullptr) {
    return MakeFieldError(tagPath, "is missing; must be one of " +
                                     ListEnumeratorNames<Kind>());
  }
  Kind kind{};
  outcome = DecodeEnum(*tag, tagPath, kind);
  if (!IsOk(outcome)) {
    return outcome;
  }
  Json::Value fields = aJson;
  fields.removeMember(aTag);
  return DecodeAlternative<0>(static_cast<std::size_t>(kind), fields, aPath,
                              aInto);
}

} // namespace foxtailquay

#endif
