#include "wire/run_codec.h"

#include "absl/strings/escaping.h"
#include "wire/document_codec.h"
#include "wire/error_codec.h"
#include "wire/json_fields.h"
#include "wire/message_codec.h"

namespace foxtailquay {

namespace {

// Length of the well-formed UTF-8 sequence at the start of aText, 0 if none.
std::size_t SequenceLength(std::string_view aText)
{
  const auto byte = [&aText](std::size_t aAt) {
    return static_cast<unsigned char>(aText[aAt]);
  };
  const unsigned char first = byte(0);
  if (first < 0x80) {
    return 1;
  }
  const std::size_t length = first >= 0xc2 && first <= 0xdf   ? 2
                             : first >= 0xe0 && first <= 0xef ? 3
                             : first >= 0xf0 && first <= 0xf4 ? 4
                                                              : 0;
  if (length == 0 || aText.size() < length) {
    return 0;
  }
  for (std::size_t i = 1; i < length; ++i) {
    if ((byte(i) & 0xc0) != 0x80) {
      return 0;
    }
  }
  // Overlong forms, surrogates and values above U+10FFFF.
  const unsigned char second = byte(1);
  if ((first == 0xe0 && second < 0xa0) || (first == 0xed && second > 0x9f) ||
      (first == 0xf0 && second < 0x90) || (first == 0xf4 && second > 0x8f)) {
    return 0;
  }
  return length;
}

// Stores bytes under aName, or under aName + "_base64" if they are not text.
void WriteBytes(Json::Value& aJson, const std::string& aName,
                const std::string& aBytes)
{
  if (IsUtf8(aBytes)) {
    aJson[aName] = aBytes;
  } else {
    aJson[aName + "_base64"] = absl::Base64Escape(aBytes);
  }
}

std::string ReadBytes(json_fields& aFields, const std::string& aName)
{
  const std::string encodedName = aName + "_base64";
  if (!Has(aFields, encodedName)) {
    return ReadString(aFields, aName);
  }
  std::string bytes;
  if (!absl::Base64Unescape(ReadString(aFields, encodedName), &bytes)) {
    Fail(aFields, encodedName, "not valid base64");
  }
  return bytes;
}

Json::Value RunToJson(const run_request& aRun)
{
  Json::Value json(Json::objectValue);
  json["request"] = ToString(aRun.mRequest);
  json["backend"] = aRun.mBackend.mValue;
  json["kind"] = std::string(NameOf(aRun.mKind));
  json["target"] = aRun.mTarget;
  json["config_version"] = Json::UInt64(aRun.mConfigVersion);
  json["max_tokens"] = Json::Int64(aRun.mMaxTokens);
  json["max_prompt_tokens"] = Json::Int64(aRun.mMaxPromptTokens);
  json["prompt_price"] = Json::Int64(aRun.mPromptPrice);
  json["completion_price"] = Json::Int64(aRun.mCompletionPrice);
  json["call_price"] = Json::Int64(aRun.mCallPrice);
  json["priority"] = std::string(NameOf(aRun.mPriority));
  json["timeout_ms"] = Json::Int64(absl::ToInt64Milliseconds(aRun.mTimeout));
  json["method"] = aRun.mMethod;
  WriteBytes(json, "path", aRun.mPath);
  WriteBytes(json, "content_type", aRun.mContentType);
  WriteBytes(json, "body", aRun.mBody);
  json["stream"] = aRun.mStream;
  return json;
}

result<run_request> RunFromJson(const Json::Value& aJson)
{
  json_fields fields(aJson, "run");
  run_request run;
  auto request = ParseRequestId(ReadString(fields, "request"));
  if (IsOk(request)) {
    run.mRequest = ValueOf(std::move(request));
  } else {
    Fail(fields, ErrorOf(request));
  }
  run.mBackend.mValue = ReadString(fields, "backend");
  run.mKind = ReadName<backend_kind>(fields, "kind");
  run.mTarget = ReadString(fields, "target");
  run.mConfigVersion = ReadUint64(fields, "config_version");
  run.mMaxTokens = ReadInteger<token_count>(fields, "max_tokens");
  run.mMaxPromptTokens = ReadInteger<token_count>(fields, "max_prompt_tokens");
  run.mPromptPrice = ReadInteger<token_count>(fields, "prompt_price");
  run.mCompletionPrice = ReadInteger<token_count>(fields, "completion_price");
  run.mCallPrice = ReadInteger<token_count>(fields, "call_price");
  run.mPriority = ReadName<priority_class>(fields, "priority");
  run.mTimeout =
    absl::Milliseconds(ReadInteger<std::int64_t>(fields, "timeout_ms"));
  run.mMethod = ReadString(fields, "method");
  run.mPath = ReadBytes(fields, "path");
  run.mContentType = ReadBytes(fields, "content_type");
  run.mBody = ReadBytes(fields, "body");
  run.mStream = ReadBool(fields, "stream");
  if (auto done = Finish(fields); !IsOk(done)) {
    return ErrorOf(done);
  }
  return run;
}

void WriteUsage(Json::Value& aJson, const token_usage& aUsage)
{
  aJson["prompt_tokens"] = Json::Int64(aUsage.mPromptTokens);
  aJson["completion_tokens"] = Json::Int64(aUsage.mCompletionTokens);
}

token_usage ReadUsage(json_fields& aFields)
{
  constexpr auto kMax = std::numeric_limits<token_count>::max();
  token_usage usage;
  usage.mPromptTokens = ReadInteger(aFields, "prompt_tokens", 0, kMax);
  usage.mCompletionTokens = ReadInteger(aFields, "completion_tokens", 0, kMax);
  return usage;
}

void ReadFrameError(json_fields& aFields, run_frame& aFrame)
{
  Json::Value wrapped(Json::objectValue);
  wrapped["error"] = Read(aFields, "error");
  auto decoded = ErrorFromJson(wrapped);
  if (IsOk(decoded)) {
    aFrame.mError = ValueOf(std::move(decoded));
  } else {
    Fail(aFields, ErrorOf(decoded));
  }
}

} // namespace

bool IsUtf8(std::string_view aText)
{
  while (!aText.empty()) {
    const std::size_t length = SequenceLength(aText);
    if (length == 0) {
      return false;
    }
    aText.remove_prefix(length);
  }
  return true;
}

std::string EncodeFrame(const run_frame& aFrame)
{
  Json::Value json(Json::objectValue);
  json["n"] = Json::UInt64(aFrame.mNumber);
  json["type"] = std::string(NameOf(aFrame.mType));
  switch (aFrame.mType) {
    case frame_type::Head:
      json["request"] = aFrame.mRequest;
      json["status"] = aFrame.mStatus;
      WriteBytes(json, "content_type", aFrame.mContentType);
      break;
    case frame_type::Data:
      WriteBytes(json, "text", aFrame.mText);
      break;
    case frame_type::Broken:
      json["error"] = ToJson(aFrame.mError)["error"];
      WriteUsage(json, aFrame.mUsage);
      break;
    case frame_type::End:
      WriteUsage(json, aFrame.mUsage);
      break;
  }
  return ToText(json);
}

result<run_frame> DecodeFrame(std::string_view aLine)
{
  auto json = ParseJson(aLine);
  if (!IsOk(json)) {
    return ErrorOf(json);
  }
  json_fields fields(ValueOf(json), "frame");
  run_frame frame;
  frame.mNumber = ReadUint64(fields, "n");
  frame.mType = ReadName<frame_type>(fields, "type");
  switch (frame.mType) {
    case frame_type::Head:
      frame.mRequest = ReadString(fields, "request");
      frame.mStatus =
        static_cast<int>(ReadInteger(fields, "status", 100, 999));
      frame.mContentType = ReadBytes(fields, "content_type");
      break;
    case frame_type::Data:
      frame.mText = ReadBytes(fields, "text");
      break;
    case frame_type::Broken:
      ReadFrameError(fields, frame);
      frame.mUsage = ReadUsage(fields);
      break;
    case frame_type::End:
      frame.mUsage = ReadUsage(fields);
      break;
  }
  if (auto done = Finish(fields); !IsOk(done)) {
    return ErrorOf(done);
  }
  return frame;
}

std::string EncodeDispatch(const run_dispatch& aDispatch)
{
  Json::Value json(Json::objectValue);
  AddHeader(json, aDispatch.mHeader);
  json["run"] = RunToJson(aDispatch.mRun);
  return ToText(json);
}

result<run_dispatch> DecodeDispatch(std::string_view aText)
{
  auto json = ParseJson(aText);
  if (!IsOk(json)) {
    return ErrorOf(json);
  }
  json_fields fields(ValueOf(json), "dispatch");
  run_dispatch dispatch;
  dispatch.mHeader = ReadHeader(fields);
  auto run = RunFromJson(Read(fields, "run"));
  if (auto done = Finish(fields); !IsOk(done)) {
    return ErrorOf(done);
  }
  if (!IsOk(run)) {
    return ErrorOf(run);
  }
  dispatch.mRun = ValueOf(std::move(run));
  return dispatch;
}

} // namespace foxtailquay
