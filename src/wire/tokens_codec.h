// JSON-RPC 2.0 messages by which gateways move tokens between each other.
//
// libjsonrpccpp answers inside its handler; an answer here may wait for the
// control thread, so the envelope is made with jsoncpp alone. Pure functions.

#ifndef FOXTAILQUAY_WIRE_TOKENS_CODEC_H
#define FOXTAILQUAY_WIRE_TOKENS_CODEC_H

#include <optional>
#include <string>
#include <variant>

#include "foxtailquay/gateway.h"
#include "foxtailquay/result.h"

namespace foxtailquay {

std::string EncodeAskTokens(const ask_tokens& aCall);
std::string EncodeReturnTokens(const return_tokens& aCall);

// tokens_asked is left without mCall. Errors: ProtocolViolation.
result<std::variant<tokens_asked, tokens_returned>> DecodeTokensCall(
  const std::string& aText);

std::string EncodeTokensAnswer(const tokens_answer& aAnswer);
// Errors: ProtocolViolation.
result<tokens_answer> DecodeTokensAnswer(const std::string& aText);

} // namespace foxtailquay

#endif
