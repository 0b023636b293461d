// JSON-RPC 2.0 messages between gateways: tokens that move between them, and
// the prompts that they have sent to engines.
//
// libjsonrpccpp answers inside its handler; an answer here may wait for the
// control thread, so the envelope is made with jsoncpp alone. Pure functions.

#ifndef FOXTAILQUAY_WIRE_GATEWAY_CODEC_H
#define FOXTAILQUAY_WIRE_GATEWAY_CODEC_H

#include <optional>
#include <string>
#include <variant>

#include "foxtailquay/gateway.h"
#include "foxtailquay/result.h"

namespace foxtailquay {

std::string EncodeRequestTokens(const request_tokens& aCall);
std::string EncodeReturnTokens(const return_tokens& aCall);

std::string EncodeReportPrompts(const report_prompts& aCall);

using gateway_message =
  std::variant<tokens_requested, tokens_returned, prompts_reported>;

// tokens_requested is left without mCall. Errors: ProtocolViolation.
result<gateway_message> DecodeGatewayCall(const std::string& aText);

std::string EncodeTokenResponse(const token_response& aResponse);
// Errors: ProtocolViolation.
result<token_response> DecodeTokenResponse(const std::string& aText);

} // namespace foxtailquay

#endif
