#include "wire/run_codec.h"

#include <utility>

#include "absl/strings/escaping.h"
#include "wire/document_codec.h"
#include "wire/error_codec.h"
#include "wire/message_fields.h"
#include "wire/utf8.h"

namespace foxtailquay {

namespace {

constexpr char kRun[] = "run";
constexpr char kBody[] = "body";
constexpr char kText[] = "text";
constexpr char kError[] = "error";

// The fields of the frame types, except the text and the error, which are added
// separately.
struct head_json
{
  std::uint64_t mNumber = 0;
  frame_type mType = frame_type::Head;
  std::string mRequest;
  int mStatus = 0;
  std::string mContentType;
};

constexpr auto ListFields(const head_json*)
{
  return std::make_tuple(Required("n", &head_json::mNumber),
                         Required("type", &head_json::mType),
                         Required("request", &head_json::mRequest),
                         Required("status", &head_json::mStatus),
                         Required("content_type", &head_json::mContentType));
}

struct data_json
{
  std::uint64_t mNumber = 0;
  frame_type mType = frame_type::Data;
};

constexpr auto ListFields(const data_json*)
{
  return std::make_tuple(Required("n", &data_json::mNumber),
                         Required("type", &data_json::mType));
}

struct end_json
{
  std::uint64_t mNumber = 0;
  frame_type mType = frame_type::End;
  token_count mPromptTokens = 0;
  token_count mCompletionTokens = 0;
};

constexpr auto ListFields(const end_json*)
{
  return std::make_tuple(
    Required("n", &end_json::mNumber), Required("type", &end_json::mType),
    Required("prompt_tokens", &end_json::mPromptTokens),
    Required("completion_tokens", &end_json::mCompletionTokens));
}

std::string ToBase64Name(const char* aName)
{
  return std::string(aName) + "_base64";
}

// Adds bytes under aName, or as base64 under ToBase64Name(aName) if they are
// not valid UTF-8.
void AddBytes(Json::Value& aJson, const char* aName, const std::string& aBytes)
{
  if (IsUtf8(aBytes)) {
    aJson[aName] = aBytes;
  } else {
    aJson[ToBase64Name(aName)] = absl::Base64Escape(aBytes);
  }
}

// Removes and decodes the bytes that AddBytes added.
result<success> TakeBytes(Json::Value& aJson, const json_path& aPath,
                          const char* aName, std::string& aInto)
{
  Json::Value value;
  if (aJson.removeMember(aName, &value)) {
    return DecodeValue(value, MakeChildPath(aPath, aName), aInto);
  }
  const std::string encodedName = ToBase64Name(aName);
  if (!aJson.removeMember(encodedName, &value)) {
    return MakeFieldError(MakeChildPath(aPath, aName), "is missing");
  }
  std::string encoded;
  auto outcome = DecodeValue(value, MakeChildPath(aPath, encodedName), encoded);
  if (IsOk(outcome) && !absl::Base64Unescape(encoded, &aInto)) {
    return MakeFieldError(MakeChildPath(aPath, encodedName), "is not base64");
  }
  return outcome;
}

result<success> TakeError(Json::Value& aJson, const json_path& aPath,
                          error& aInto)
{
  Json::Value wrapped(Json::objectValue);
  if (!aJson.removeMember(kError, &wrapped[kError])) {
    return MakeFieldError(MakeChildPath(aPath, kError), "is missing");
  }
  return DecodeError(wrapped, aInto);
}

result<success> DecodeHead(const Json::Value& aJson, run_frame& aInto)
{
  head_json head;
  auto outcome = DecodeValue(aJson, json_path{}, head);
  aInto.mNumber = head.mNumber;
  aInto.mRequest = std::move(head.mRequest);
  aInto.mStatus = head.mStatus;
  aInto.mContentType = std::move(head.mContentType);
  return outcome;
}

result<success> DecodeData(Json::Value aJson, run_frame& aInto)
{
  auto outcome = TakeBytes(aJson, json_path{}, kText, aInto.mText);
  data_json data;
  if (IsOk(outcome)) {
    outcome = DecodeValue(aJson, json_path{}, data);
  }
  aInto.mNumber = data.mNumber;
  return outcome;
}

result<success> DecodeEnd(Json::Value aJson, run_frame& aInto)
{
  if (aInto.mType == frame_type::Broken) {
    auto outcome = TakeError(aJson, json_path{}, aInto.mError);
    if (!IsOk(outcome)) {
      return outcome;
    }
  }
  end_json end;
  auto outcome = DecodeValue(aJson, json_path{}, end);
  if (IsOk(outcome) && (end.mPromptTokens < 0 || end.mCompletionTokens < 0)) {
    return MakeFieldError(json_path{}, "token counts must not be negative");
  }
  aInto.mNumber = end.mNumber;
  aInto.mUsage = { end.mPromptTokens, end.mCompletionTokens };
  return outcome;
}

result<success> DecodeTyped(const Json::Value& aJson, run_frame& aInto)
{
  switch (aInto.mType) {
    case frame_type::Head:
      return DecodeHead(aJson, aInto);
    case frame_type::Data:
      return DecodeData(aJson, aInto);
    case frame_type::End:
    case frame_type::Broken:
      return DecodeEnd(aJson, aInto);
  }
  return MakeFieldError(json_path{}, "has an unknown type");
}

result<success> DecodeRun(Json::Value aJson, const json_path& aPath,
                          run_request& aInto)
{
  auto outcome = CheckObject(aJson, aPath);
  if (IsOk(outcome)) {
    outcome = TakeBytes(aJson, aPath, kBody, aInto.mBody);
  }
  return IsOk(outcome) ? DecodeValue(aJson, aPath, aInto) : outcome;
}

} // namespace

std::string EncodeFrame(const run_frame& aFrame)
{
  Json::Value json;
  switch (aFrame.mType) {
    case frame_type::Head:
      json =
        EncodeValue(head_json{ aFrame.mNumber, aFrame.mType, aFrame.mRequest,
                               aFrame.mStatus, aFrame.mContentType });
      break;
    case frame_type::Data:
      json = EncodeValue(data_json{ aFrame.mNumber, aFrame.mType });
      AddBytes(json, kText, aFrame.mText);
      break;
    case frame_type::End:
    case frame_type::Broken:
      json = EncodeValue(end_json{ aFrame.mNumber, aFrame.mType,
                                   aFrame.mUsage.mPromptTokens,
                                   aFrame.mUsage.mCompletionTokens });
      if (aFrame.mType == frame_type::Broken) {
        json[kError] = ToJson(aFrame.mError)[kError];
      }
      break;
  }
  return ToText(json);
}

result<run_frame> DecodeFrame(std::string_view aLine)
{
  auto json = ParseJson(aLine);
  if (!IsOk(json)) {
    return GetError(json);
  }
  const json_path root;
  run_frame frame;
  auto outcome = CheckObject(GetValue(json), root);
  if (IsOk(outcome)) {
    outcome = DecodeEnum(GetValue(json)["type"], MakeChildPath(root, "type"),
                         frame.mType);
  }
  if (IsOk(outcome)) {
    outcome = DecodeTyped(GetValue(json), frame);
  }
  if (!IsOk(outcome)) {
    return GetError(outcome);
  }
  return frame;
}

std::string EncodeDispatch(const run_dispatch& aDispatch)
{
  Json::Value json = EncodeValue(aDispatch.mHeader);
  json[kRun] = EncodeValue(aDispatch.mRun);
  AddBytes(json[kRun], kBody, aDispatch.mRun.mBody);
  return ToText(json);
}

result<run_dispatch> DecodeDispatch(std::string_view aText)
{
  auto json = ParseJson(aText);
  if (!IsOk(json)) {
    return GetError(json);
  }
  const json_path root;
  Json::Value header = GetValue(std::move(json));
  auto outcome = CheckObject(header, root);
  run_dispatch dispatch;
  Json::Value run;
  if (IsOk(outcome) && !header.removeMember(kRun, &run)) {
    outcome = MakeFieldError(MakeChildPath(root, kRun), "is missing");
  }
  if (IsOk(outcome)) {
    outcome = DecodeValue(header, root, dispatch.mHeader);
  }
  if (IsOk(outcome)) {
    outcome =
      DecodeRun(std::move(run), MakeChildPath(root, kRun), dispatch.mRun);
  }
  if (!IsOk(outcome)) {
    return GetError(outcome);
  }
  return dispatch;
}

} // namespace foxtailquay
