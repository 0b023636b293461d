// Encodes and decodes the question where a request would go at a gateway, and
// the response (foxtailquay/explanation.h). The JSON-RPC envelope of the call
// is that of gateway_codec.h.
//
// Pure functions; safe on any thread with distinct objects.

#ifndef FOXTAILQUAY_WIRE_EXPLAIN_CODEC_H
#define FOXTAILQUAY_WIRE_EXPLAIN_CODEC_H

#include <string>

#include "foxtailquay/explanation.h"
#include "foxtailquay/gateway_events.h"
#include "foxtailquay/result.h"
#include "json/json.h"

namespace foxtailquay {

constexpr char kExplainMethod[] = "explain";

// Returns the call, which a gateway serves at POST /rpc on its port for peers.
Json::Value MakeExplainCall(const explain_query& aQuery);

// Decodes the parameters of a call. Errors: ProtocolViolation with the path of
// the field, without its value, which may be an API key.
result<explain_query> DecodeExplainQuery(const Json::Value& aParams);

Json::Value ToJson(const explanation& aExplanation);

} // namespace foxtailquay

#endif
