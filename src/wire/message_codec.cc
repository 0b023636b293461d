#include "wire/message_codec.h"

#include <utility>

#include "wire/document_codec.h"
#include "wire/message_fields.h"

namespace foxtailquay {

namespace {

constexpr char kBodyField[] = "body";

} // namespace

template<>
Json::Value EncodeValue<account_op>(const account_op& aOp)
{
  return ToJson(aOp);
}

template<>
result<success> DecodeValue<account_op>(const Json::Value& aJson,
                                        const json_path& aPath,
                                        account_op& aInto)
{
  return DecodeVariant<account_op_kind>("op", aJson, aPath, aInto);
}

message_kind GetMessageKind(const message& aMessage)
{
  return static_cast<message_kind>(aMessage.index());
}

Json::Value ToJson(const envelope& aEnvelope)
{
  Json::Value json = EncodeValue(aEnvelope);
  json[kBodyField] =
    std::visit([](const auto& aMessage) { return EncodeValue(aMessage); },
               aEnvelope.mBody);
  return json;
}

result<envelope> EnvelopeFromJson(message_kind aKind, const Json::Value& aJson)
{
  const json_path root;
  auto outcome = CheckObject(aJson, root);
  if (!IsOk(outcome)) {
    return GetError(outcome);
  }
  const json_path bodyPath = MakeChildPath(root, kBodyField);
  const Json::Value* body = FindMember(aJson, kBodyField);
  if (body == nullptr) {
    return MakeFieldError(bodyPath, "is missing");
  }
  Json::Value header = aJson;
  header.removeMember(kBodyField);
  envelope decoded;
  outcome = DecodeValue(header, root, decoded);
  if (!IsOk(outcome)) {
    return GetError(outcome);
  }
  outcome = DecodeAlternative<0>(static_cast<std::size_t>(aKind), *body,
                                 bodyPath, decoded.mBody);
  if (!IsOk(outcome)) {
    return GetError(outcome);
  }
  return decoded;
}

} // namespace foxtailquay
