#include "cli/output.h"

#include <array>

#include "absl/strings/escaping.h"
#include "absl/strings/str_cat.h"
#include "openssl/evp.h"
#include "openssl/rand.h"

namespace foxtailquay {

namespace {

constexpr std::size_t kIdBytes = 16;

cli_failure MakeCryptoError(std::string aField)
{
  return { exit_code::Usage,
           { error_code::Internal, executed::No, std::move(aField),
             "cannot be computed: OpenSSL reported a failure",
             absl::ZeroDuration() } };
}

std::string ToHex(const unsigned char* aBytes, std::size_t aSize)
{
  return absl::BytesToHexString(
    absl::string_view(reinterpret_cast<const char*>(aBytes), aSize));
}

const Json::Value& GetMember(const Json::Value& aObject, std::string_view aName)
{
  return aObject.isObject() ? aObject[std::string(aName)]
                            : Json::Value::nullSingleton();
}

} // namespace

std::string ToPrettyText(const Json::Value& aJson)
{
  Json::StreamWriterBuilder builder;
  builder["indentation"] = "  ";
  builder["emitUTF8"] = true;
  return Json::writeString(builder, aJson);
}

Json::Value ToJson(const cli_failure& aFailure)
{
  Json::Value body;
  body["code"] = std::string(ToName(aFailure.mError.mCode));
  body["param"] = aFailure.mError.mField;
  body["message"] = aFailure.mError.mDetail;
  body["ran"] = std::string(ToName(aFailure.mError.mExecuted));
  Json::Value root;
  root["error"] = body;
  root["exit_code"] = static_cast<int>(aFailure.mExit);
  root["exit_name"] = std::string(ToName(aFailure.mExit));
  return root;
}

std::string ToText(const cli_failure& aFailure)
{
  std::string text = absl::StrCat(std::string(ToName(aFailure.mExit)), ": ",
                                  ToString(aFailure.mError));
  if (aFailure.mError.mCode == error_code::Unauthorized) {
    absl::StrAppend(&text, " (check the key file)");
  }
  if (aFailure.mError.mRetryAfter > absl::ZeroDuration()) {
    absl::StrAppend(&text, " (retry after ",
                    absl::FormatDuration(aFailure.mError.mRetryAfter), ")");
  }
  return text;
}

cli_failure MakeBadResponseFailure(std::string_view aName,
                                   std::string_view aExpected)
{
  return { exit_code::Refused,
           { error_code::ProtocolViolation, executed::Unknown,
             std::string(aName),
             absl::StrCat("expected ", std::string(aExpected),
                          " in the router's response; check that the router "
                          "and foxtailquayctl have the same version"),
             absl::ZeroDuration() } };
}

cli_result<std::int64_t> GetInteger(const Json::Value& aObject,
                                    std::string_view aName)
{
  const Json::Value& member = GetMember(aObject, aName);
  if (!member.isInt64()) {
    return MakeBadResponseFailure(aName, "an integer");
  }
  return std::int64_t{ member.asInt64() };
}

cli_result<std::string> GetString(const Json::Value& aObject,
                                  std::string_view aName)
{
  const Json::Value& member = GetMember(aObject, aName);
  if (!member.isString()) {
    return MakeBadResponseFailure(aName, "a string");
  }
  return member.asString();
}

cli_result<std::string> MakeRandomId(std::string_view aPrefix)
{
  std::array<unsigned char, kIdBytes> bytes{};
  if (RAND_bytes(bytes.data(), static_cast<int>(bytes.size())) != 1) {
    return MakeCryptoError("random id");
  }
  return absl::StrCat(std::string(aPrefix), ToHex(bytes.data(), bytes.size()));
}

cli_result<std::string> ComputeSha256(std::string_view aText)
{
  std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
  unsigned int size = 0;
  if (EVP_Digest(aText.data(), aText.size(), digest.data(), &size, EVP_sha256(),
                 nullptr) != 1) {
    return MakeCryptoError("SHA-256");
  }
  return ToHex(digest.data(), size);
}

} // namespace foxtailquay
