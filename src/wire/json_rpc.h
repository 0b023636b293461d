// JSON-RPC 2.0 by libjsonrpccpp, without its headers: they declare dynamic
// exception specifications, which C++17 rejects, so json_rpc.cc alone is
// compiled as C++14 and this header uses nothing newer.
//
// The library sees one connector on each side, which hands the text of calls
// and answers to the HTTP code of foxtailquay.

#ifndef FOXTAILQUAY_WIRE_JSON_RPC_H
#define FOXTAILQUAY_WIRE_JSON_RPC_H

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "json/json.h"

namespace foxtailquay {

// Handles one call; returns its result. A failure is reported by returning
// false with aResult as the error's data.
using rpc_handler =
  std::function<bool(const std::string& aMethod, const Json::Value& aParams,
                     Json::Value& aResult)>;

struct rpc_server;

struct rpc_server_deleter
{
  void operator()(rpc_server* aServer) const;
};
using rpc_server_ptr = std::unique_ptr<rpc_server, rpc_server_deleter>;

// Serves the named methods, each with an object as parameters.
rpc_server_ptr MakeRpcServer(const std::vector<std::string>& aMethods,
                             rpc_handler aHandler);

// Handles the text of one request and returns the text of the answer. Any
// thread.
std::string HandleRpc(rpc_server& aServer, const std::string& aRequest);

// Sends the text of a request to the peer and returns false if there was no
// answer.
using rpc_transport =
  std::function<bool(const std::string& aRequest, std::string& aResponse)>;

struct rpc_outcome
{
  // The peer answered; mResult is its result if mOk, else its error's data.
  bool mAnswered = false;
  bool mOk = false;
  Json::Value mResult;
  // What failed, for the log.
  std::string mDetail;
};

// Calls one method. Blocks as long as aTransport does.
rpc_outcome CallRpc(const rpc_transport& aTransport, const std::string& aMethod,
                    const Json::Value& aParams);

} // namespace foxtailquay

#endif
