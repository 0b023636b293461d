// This file is compiled as C++14; json_rpc.h has the reason.

#include "wire/json_rpc.h"

#include <utility>

#include "jsonrpccpp/client/client.h"
#include "jsonrpccpp/client/iclientconnector.h"
#include "jsonrpccpp/common/exception.h"
#include "jsonrpccpp/common/procedure.h"
#include "jsonrpccpp/server/abstractserverconnector.h"
#include "jsonrpccpp/server/iprocedureinvokationhandler.h"
#include "jsonrpccpp/server/requesthandlerfactory.h"

namespace foxtailquay {

namespace {

// Passes requests from the HTTP server to the library. The response is stored
// in the string whose address is passed to OnRequest.
class http_server_connector : public jsonrpc::AbstractServerConnector
{
public:
  // The HTTP server listens, so there is nothing to start or stop here.
  bool StartListening() override { return true; }
  bool StopListening() override { return true; }
  bool SendResponse(const std::string& aResponse, void* aResponseText) override
  {
    *static_cast<std::string*>(aResponseText) = aResponse;
    return true;
  }
};

// Sends the requests of the library with an rpc_transport.
class http_client_connector : public jsonrpc::IClientConnector
{
public:
  explicit http_client_connector(const rpc_transport& aTransport)
    : mTransport(aTransport)
  {}

  void SendRPCMessage(const std::string& aMessage, std::string& aResult) throw(
    jsonrpc::JsonRpcException) override
  {
    mHasResponse = mTransport(aMessage, aResult);
    if (!mHasResponse) {
      throw jsonrpc::JsonRpcException(jsonrpc::Errors::ERROR_CLIENT_CONNECTOR,
                                      "no response");
    }
  }

  bool mHasResponse = false;

private:
  const rpc_transport& mTransport;
};

// JSON-RPC error code of a call whose handler failed. It is outside the range
// that JSON-RPC reserves.
constexpr int kCallFailedCode = 1;

} // namespace

struct rpc_server : public jsonrpc::IProcedureInvokationHandler
{
  rpc_server(const std::vector<std::string>& aMethods, rpc_handler aHandler)
    : mHandler(std::move(aHandler))
    , mProtocol(jsonrpc::RequestHandlerFactory::createProtocolHandler(
        jsonrpc::JSONRPC_SERVER_V2, *this))
  {
    for (const std::string& method : aMethods) {
      mProtocol->AddProcedure(jsonrpc::Procedure(
        method, jsonrpc::PARAMS_BY_NAME, jsonrpc::JSON_OBJECT, NULL));
    }
    mConnector.SetHandler(mProtocol.get());
  }

  void HandleMethodCall(jsonrpc::Procedure& aProcedure,
                        const Json::Value& aInput,
                        Json::Value& aOutput) override
  {
    Json::Value response(Json::objectValue);
    if (!mHandler(aProcedure.GetProcedureName(), aInput, response)) {
      throw jsonrpc::JsonRpcException(kCallFailedCode, "call failed", response);
    }
    aOutput = response;
  }

  void HandleNotificationCall(jsonrpc::Procedure&, const Json::Value&) override
  {}

  rpc_handler mHandler;
  std::unique_ptr<jsonrpc::IProtocolHandler> mProtocol;
  http_server_connector mConnector;
};

void rpc_server_deleter::operator()(rpc_server* aServer) const
{
  delete aServer;
}

rpc_server_ptr MakeRpcServer(const std::vector<std::string>& aMethods,
                             rpc_handler aHandler)
{
  return rpc_server_ptr(new rpc_server(aMethods, std::move(aHandler)));
}

std::string HandleRpc(rpc_server& aServer, const std::string& aRequest)
{
  std::string response;
  aServer.mConnector.OnRequest(aRequest, &response);
  return response;
}

rpc_outcome CallRpc(const rpc_transport& aTransport, const std::string& aMethod,
                    const Json::Value& aParams)
{
  rpc_outcome outcome;
  http_client_connector connector(aTransport);
  try {
    jsonrpc::Client client(connector, jsonrpc::JSONRPC_CLIENT_V2);
    outcome.mResult = client.CallMethod(aMethod, aParams);
    outcome.mSucceeded = true;
  } catch (const jsonrpc::JsonRpcException& exception) {
    outcome.mResult = exception.GetData();
    outcome.mDetail = exception.what();
  }
  outcome.mHasResponse = connector.mHasResponse;
  return outcome;
}

} // namespace foxtailquay
