// Encodes and decodes the JSON-RPC 2.0 messages between gateways: requests for
// tokens, returned tokens, reports of the prompts sent to engines, copies of
// grant records, what is known of backend servers, and the operators' question
// where a request would go.
//
// The JSON-RPC envelope is made with jsoncpp alone, because libjsonrpccpp needs
// the response when its handler returns, whereas a response here may wait for
// the control thread.
//
// Pure functions; safe on any thread with distinct objects.

#ifndef FOXTAILQUAY_WIRE_GATEWAY_CODEC_H
#define FOXTAILQUAY_WIRE_GATEWAY_CODEC_H

#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "foxtailquay/gateway.h"
#include "foxtailquay/result.h"

namespace foxtailquay {

// Return the text of a call.
std::string EncodeRequestTokens(const request_tokens& aCall);
std::string EncodeRecallTokens(const recall_tokens& aCall);
std::string EncodeReturnTokens(const return_tokens& aCall);
std::string EncodeReportPrompts(const report_prompts& aCall);
std::string EncodeShareGrants(const share_grants& aCall);
std::string EncodeRequestServers();

using gateway_message =
  std::variant<tokens_requested, tokens_recalled, tokens_returned,
               prompts_reported, grants_shared, servers_requested,
               explain_requested>;

// Decodes a call. mCall of tokens_requested, tokens_recalled, grants_shared,
// servers_requested and explain_requested is 0; the calling code sets it.
// Errors: ProtocolViolation.
result<gateway_message> DecodeGatewayCall(const std::string& aText);

// Returns the text of the response to a request for tokens or a recall.
std::string EncodeTokenResponse(const token_response& aResponse);
// Decodes that response. Errors: ProtocolViolation.
result<token_response> DecodeTokenResponse(const std::string& aText);

// Returns the text of the response to shared grants.
std::string EncodeShareResponse(const share_response& aResponse);
// Decodes that response. Errors: ProtocolViolation.
result<share_response> DecodeShareResponse(const std::string& aText);

// Returns the text of the response with what is known of servers.
std::string EncodeServersResponse(const std::vector<known_server>& aServers);
// Decodes that response. Errors: ProtocolViolation.
result<std::vector<known_server>> DecodeServersResponse(
  const std::string& aText);

// Returns the text of the response to the question where a request would go.
std::string EncodeExplanation(const explanation& aExplanation);

} // namespace foxtailquay

#endif
