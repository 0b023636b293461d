// Compiled as C++14; see json_rpc.h.

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

// Receives requests from the HTTP server; the response goes to the string that
// OnRequest is given.
class http_server_connector : public jsonrpc::AbstractServerConnector
{
public:
  // The HTTP server listens on its own.
  bool StartListening() override { return true; }
  bool StopListening() override { return true; }
  bool SendResponse(const std::string& aResponse, void* aAnswer) override
  {
    *static_cast<std::string*>(aAnswer) = aResponse;
    return true;
  }
};

class http_client_connector : public jsonrpc::IClientConnector
{
public:
  explicit http_client_connector(const rpc_transport& aTransport)
    : mTransport(aTransport)
  {}

  void SendRPCMessage(const std::string& aMessage, std::string& aResult) throw(
    jsonrpc::JsonRpcException) override
  {
    mAnswered = mTransport(aMessage, aResult);
    if (!mAnswered) {
      throw jsonrpc::JsonRpcException(jsonrpc::Errors::ERROR_CLIENT_CONNECTOR,
                                      "no answer");
    }
  }

  bool mAnswered = false;

private:
  const rpc_transport& mTransport;
};

// Outside the range that JSON-RPC reserves for itself.
constexpr int kCallFailed = 1;

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
      throw jsonrpc::JsonRpcException(kCallFailed, "call failed", response);
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
    outcome.mOk = true;
  } catch (const jsonrpc::JsonRpcException& exception) {
    outcome.mResult = exception.GetData();
    outcome.mDetail = exception.what();
  }
  outcome.mAnswered = connector.mAnswered;
  return outcome;
}

} // namespace foxtailquay
