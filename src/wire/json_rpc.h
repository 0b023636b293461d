// JSON-RPC 2.0 client and server on libjsonrpccpp.
//
// The headers of that library declare dynamic exception specifications, which
// C++17 rejects. Only json_rpc.cc includes them; it is compiled as C++14, so
// this header uses nothing newer.
//
// The library does not open connections: the caller of these functions sends
// and receives the text of requests and responses.

#ifndef FOXTAILQUAY_WIRE_JSON_RPC_H
#define FOXTAILQUAY_WIRE_JSON_RPC_H

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "json/json.h"

namespace foxtailquay {

// Handles one call. Returns true and sets aResult to the result, or returns
// false and sets aResult to the data of the JSON-RPC error.
using rpc_handler =
  std::function<bool(const std::string& aMethod, const Json::Value& aParams,
                     Json::Value& aResult)>;

struct rpc_server;

struct rpc_server_deleter
{
  void operator()(rpc_server* aServer) const;
};
using rpc_server_ptr = std::unique_ptr<rpc_server, rpc_server_deleter>;

// Makes a server for the named methods; the parameters of each are a JSON
// object.
rpc_server_ptr MakeRpcServer(const std::vector<std::string>& aMethods,
                             rpc_handler aHandler);

// Handles the text of one request and returns the text of the response. Any
// thread.
std::string HandleRpc(rpc_server& aServer, const std::string& aRequest);

// Sends the text of a request to the peer and sets aResponse to the text of
// the response. Returns false if there was no response.
using rpc_transport =
  std::function<bool(const std::string& aRequest, std::string& aResponse)>;

struct rpc_outcome
{
  // True if the transport returned a response.
  bool mHasResponse = false;
  // True if the response is a result and not an error.
  bool mSucceeded = false;
  // The result if mSucceeded, else the data of the error.
  Json::Value mResult;
  // Error text for the log; empty if mSucceeded.
  std::string mDetail;
};

// Calls one method. Blocks while aTransport blocks.
rpc_outcome CallRpc(const rpc_transport& aTransport, const std::string& aMethod,
                    const Json::Value& aParams);

} // namespace foxtailquay

#endif
