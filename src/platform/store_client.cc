#include "platform/store_client.h"

#include <mutex>
#include <set>
#include <utility>

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "httplib.h"
#include "wire/document_codec.h"
#include "wire/json_fields.h"

namespace foxtailquay {

// A connection performs one call at a time, so each call removes an idle
// connection from mIdleConnections or opens a new one.
struct store_client
{
  std::string mHost;
  int mPort = 0;
  absl::Duration mTimeout;
  std::mutex mMutex;
  // Guarded by mMutex.
  std::vector<std::unique_ptr<httplib::Client>> mIdleConnections;
};

namespace {

constexpr int kOk = 200;
constexpr int kNotFound = 404;
constexpr int kConflict = 409;
constexpr int kTooLarge = 413;
constexpr int kTooManyRequests = 429;
constexpr int kUnavailable = 503;
constexpr char kVersionHeader[] = "X-Version";

std::unique_ptr<httplib::Client> MakeConnection(const store_client& aClient)
{
  auto connection =
    std::make_unique<httplib::Client>(aClient.mHost, aClient.mPort);
  const auto timeout = absl::ToChronoMicroseconds(aClient.mTimeout);
  connection->set_connection_timeout(timeout);
  connection->set_read_timeout(timeout);
  connection->set_write_timeout(timeout);
  connection->set_keep_alive(true);
  // Disables Nagle's algorithm, which delays a small write until the previous
  // one is acknowledged.
  connection->set_tcp_nodelay(true);
  return connection;
}

std::unique_ptr<httplib::Client> TakeConnection(store_client& aClient)
{
  {
    const std::lock_guard<std::mutex> lock(aClient.mMutex);
    if (!aClient.mIdleConnections.empty()) {
      auto connection = std::move(aClient.mIdleConnections.back());
      aClient.mIdleConnections.pop_back();
      return connection;
    }
  }
  return MakeConnection(aClient);
}

void ReturnConnection(store_client& aClient,
                      std::unique_ptr<httplib::Client> aConnection)
{
  const std::lock_guard<std::mutex> lock(aClient.mMutex);
  if (aClient.mIdleConnections.size() < kMaxIdleConnections) {
    aClient.mIdleConnections.push_back(std::move(aConnection));
  }
}

// Performs aCall on a connection. A connection that failed is closed, so that
// a late response is not taken for the response to a later call.
template<typename Function>
httplib::Result WithConnection(store_client& aClient, Function aCall)
{
  auto connection = TakeConnection(aClient);
  httplib::Result callResult = aCall(*connection);
  if (callResult) {
    ReturnConnection(aClient, std::move(connection));
  }
  return callResult;
}

error MakeError(error_code aCode, executed aExecuted, std::string aDetail)
{
  return error{
    aCode, aExecuted, {}, std::move(aDetail), absl::ZeroDuration()
  };
}

// Returns true if the service cannot have received any byte of the request.
bool IsUnsent(httplib::Error aError)
{
  return aError == httplib::Error::Connection ||
         aError == httplib::Error::ConnectionTimeout ||
         aError == httplib::Error::BindIPAddress;
}

error MakeTransportError(const store_client& aClient, httplib::Error aError)
{
  const std::string detail =
    absl::StrCat("key-value service at ", aClient.mHost, ":", aClient.mPort,
                 ": ", httplib::to_string(aError));
  return IsUnsent(aError)
           ? MakeError(error_code::StoreUnavailable, executed::No, detail)
           : MakeError(error_code::StoreOutcomeUnknown, executed::Unknown,
                       detail);
}

bool ParseVersion(const httplib::Response& aHttpResponse,
                  store_version& aVersion)
{
  return absl::SimpleAtoi(aHttpResponse.get_header_value(kVersionHeader),
                          &aVersion) &&
         aVersion != 0;
}

// Completes aResponse from an HTTP response with status 200. Errors:
// ProtocolViolation, or those of DecodeDocument.
result<success> DecodeSuccess(const httplib::Response& aHttpResponse,
                              store_response& aResponse)
{
  if (!ParseVersion(aHttpResponse, aResponse.mVersion)) {
    return MakeError(
      error_code::ProtocolViolation, executed::Unknown,
      "missing or invalid X-Version header in the response of the "
      "key-value service");
  }
  if (!aResponse.mIsWrite) {
    auto document = DecodeDocument(aResponse.mKey.mArea, aHttpResponse.body);
    if (!IsOk(document)) {
      error problem = GetError(document);
      problem.mExecuted = executed::Unknown;
      problem.mField =
        absl::StrCat(ToString(aResponse.mKey), ": ", problem.mField);
      return problem;
    }
    aResponse.mDocument = GetValue(std::move(document));
  }
  aResponse.mStatus = store_status::Ok;
  return success{};
}

// Completes aResponse from an HTTP response. Returns an error if the status
// must be Unavailable or Unknown; the caller then sets it.
result<success> DecodeResponse(const httplib::Response& aHttpResponse,
                               store_response& aResponse)
{
  if (aHttpResponse.status == kOk) {
    return DecodeSuccess(aHttpResponse, aResponse);
  }
  if (aHttpResponse.status == kNotFound && !aResponse.mIsWrite) {
    aResponse.mStatus = store_status::Ok;
    return success{};
  }
  if (aHttpResponse.status == kConflict && aResponse.mIsWrite) {
    aResponse.mStatus = store_status::Conflict;
    // The version is 0 if the key does not exist; ParseVersion returns false
    // for it, which is not an error here.
    ParseVersion(aHttpResponse, aResponse.mVersion);
    return success{};
  }
  const std::string detail = absl::StrCat(
    "key-value service responded with HTTP ", aHttpResponse.status);
  if (aHttpResponse.status == kUnavailable ||
      aHttpResponse.status == kTooLarge ||
      aHttpResponse.status == kTooManyRequests) {
    return MakeError(error_code::StoreUnavailable, executed::No, detail);
  }
  return MakeError(error_code::ProtocolViolation, executed::Unknown, detail);
}

httplib::Result SendRequest(store_client& aClient,
                            const store_request& aRequest,
                            const std::string& aValue)
{
  const std::string path = "/v1/kv/" + ToString(aRequest.mKey);
  return WithConnection(aClient, [&](httplib::Client& aConnection) {
    return aRequest.mWrite
             ? aConnection.Put(
                 absl::StrCat(path, "?if_version=", aRequest.mIfVersion),
                 aValue, "application/json")
             : aConnection.Get(path);
  });
}

result<success> PerformRequest(store_client& aClient,
                               const store_request& aRequest,
                               store_response& aResponse)
{
  std::string value;
  if (aRequest.mWrite) {
    value = EncodeDocument(*aRequest.mWrite);
    if (value.size() > kMaxValueBytes) {
      return MakeError(error_code::StoreUnavailable, executed::No,
                       absl::StrCat("the value of ", ToString(aRequest.mKey),
                                    " has ", value.size(),
                                    " bytes; the limit is ", kMaxValueBytes));
    }
  }
  const httplib::Result httpResponse = SendRequest(aClient, aRequest, value);
  if (!httpResponse) {
    return MakeTransportError(aClient, httpResponse.error());
  }
  return DecodeResponse(*httpResponse, aResponse);
}

// States of a VM in the JSON form of the VM list.
enum class vm_state
{
  Live,
  Leaving,
};

constexpr auto NameTable(vm_state)
{
  return MakeNameTable<vm_state>(
    { { vm_state::Live, "live" }, { vm_state::Leaving, "leaving" } });
}

struct vm_json
{
  member_id mId;
  vm_state mState = vm_state::Live;
};

constexpr auto ListFields(const vm_json*)
{
  return std::make_tuple(Required("id", &vm_json::mId),
                         Required("state", &vm_json::mState));
}

struct vm_list_json
{
  std::vector<vm_json> mVms;
};

constexpr auto ListFields(const vm_list_json*)
{
  return std::make_tuple(Required("vms", &vm_list_json::mVms));
}

result<vm_list> ParseVmList(std::string_view aText)
{
  const auto json = ParseJson(aText);
  if (!IsOk(json)) {
    return GetError(json);
  }
  const auto decoded =
    DecodeAs<vm_list_json>(GetValue(json), error_code::ProtocolViolation);
  if (!IsOk(decoded)) {
    return GetError(decoded);
  }
  vm_list list;
  for (const vm_json& vm : GetValue(decoded).mVms) {
    (vm.mState == vm_state::Live ? list.mLive : list.mLeaving)
      .push_back(vm.mId);
  }
  return list;
}

} // namespace

void store_client_deleter::operator()(store_client* aClient) const
{
  delete aClient;
}

store_client_ptr MakeStoreClient(const std::string& aAddress,
                                 absl::Duration aTimeout)
{
  store_client_ptr client(new store_client);
  const auto colon = aAddress.rfind(':');
  client->mHost = aAddress.substr(0, colon);
  if (colon == std::string::npos ||
      !absl::SimpleAtoi(aAddress.substr(colon + 1), &client->mPort)) {
    client->mPort = 0;
  }
  client->mTimeout = aTimeout;
  return client;
}

store_response CallStore(store_client& aClient, const store_request& aRequest,
                         error* aProblem)
{
  store_response response;
  response.mKey = aRequest.mKey;
  response.mIsWrite = aRequest.mWrite.has_value();
  const auto callResult = PerformRequest(aClient, aRequest, response);
  if (!IsOk(callResult)) {
    const error& problem = GetError(callResult);
    response.mVersion = 0;
    response.mStatus = problem.mExecuted == executed::No
                         ? store_status::Unavailable
                         : store_status::Unknown;
    if (aProblem != nullptr) {
      *aProblem = problem;
    }
  }
  return response;
}

result<vm_list> ReadVmList(store_client& aClient, const std::string& aPath)
{
  const auto httpResponse =
    WithConnection(aClient, [&aPath](httplib::Client& aConnection) {
      return aConnection.Get(aPath);
    });
  if (!httpResponse || httpResponse->status != kOk) {
    // A read has no effect, so a failed one counts as not executed.
    error failure =
      httpResponse
        ? MakeError(error_code::StoreUnavailable, executed::No,
                    absl::StrCat("VM list at ", aClient.mHost, ":",
                                 aClient.mPort, aPath, " responded with HTTP ",
                                 httpResponse->status))
        : MakeTransportError(aClient, httpResponse.error());
    failure.mCode = error_code::StoreUnavailable;
    failure.mExecuted = executed::No;
    return failure;
  }
  return ParseVmList(httpResponse->body);
}

std::vector<member_id> ListRemovedVms(const vm_list& aBefore,
                                      const vm_list& aAfter)
{
  std::set<member_id> present(aAfter.mLive.begin(), aAfter.mLive.end());
  present.insert(aAfter.mLeaving.begin(), aAfter.mLeaving.end());
  std::vector<member_id> removed;
  for (const auto* vms : { &aBefore.mLive, &aBefore.mLeaving }) {
    for (const member_id& vm : *vms) {
      if (present.count(vm) == 0) {
        removed.push_back(vm);
      }
    }
  }
  return removed;
}

} // namespace foxtailquay
