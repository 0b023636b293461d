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

// One connection performs one call at a time, so each call takes an idle
// connection out of the list or opens a new one.
struct store_client
{
  std::string mHost;
  int mPort = 0;
  absl::Duration mTimeout;
  std::mutex mMutex;
  // Guarded by mMutex.
  std::vector<std::unique_ptr<httplib::Client>> mIdle;
};

namespace {

constexpr int kOk = 200;
constexpr int kNotFound = 404;
constexpr int kConflict = 409;
constexpr int kTooLarge = 413;
constexpr int kTooManyRequests = 429;
constexpr int kUnavailable = 503;
constexpr char kVersionHeader[] = "X-Version";

std::unique_ptr<httplib::Client> Connect(const store_client& aClient)
{
  auto connection =
    std::make_unique<httplib::Client>(aClient.mHost, aClient.mPort);
  const auto timeout = absl::ToChronoMicroseconds(aClient.mTimeout);
  connection->set_connection_timeout(timeout);
  connection->set_read_timeout(timeout);
  connection->set_write_timeout(timeout);
  connection->set_keep_alive(true);
  // Without it a small write can wait for the acknowledgement of the last.
  connection->set_tcp_nodelay(true);
  return connection;
}

std::unique_ptr<httplib::Client> Take(store_client& aClient)
{
  {
    const std::lock_guard<std::mutex> lock(aClient.mMutex);
    if (!aClient.mIdle.empty()) {
      auto connection = std::move(aClient.mIdle.back());
      aClient.mIdle.pop_back();
      return connection;
    }
  }
  return Connect(aClient);
}

void Return(store_client& aClient, std::unique_ptr<httplib::Client> aConnection)
{
  const std::lock_guard<std::mutex> lock(aClient.mMutex);
  if (aClient.mIdle.size() < kMaxIdleConnections) {
    aClient.mIdle.push_back(std::move(aConnection));
  }
}

// Performs aCall on a connection. A connection that failed is closed, so that
// a late answer cannot be taken for that of a later call.
template<typename Function>
httplib::Result WithConnection(store_client& aClient, Function aCall)
{
  auto connection = Take(aClient);
  httplib::Result outcome = aCall(*connection);
  if (outcome) {
    Return(aClient, std::move(connection));
  }
  return outcome;
}

error Problem(error_code aCode, executed aExecuted, std::string aDetail)
{
  return error{
    aCode, aExecuted, {}, std::move(aDetail), absl::ZeroDuration()
  };
}

// True if no byte of the request can have reached the service.
bool IsUnsent(httplib::Error aError)
{
  return aError == httplib::Error::Connection ||
         aError == httplib::Error::ConnectionTimeout ||
         aError == httplib::Error::BindIPAddress;
}

error FailedCall(const store_client& aClient, httplib::Error aError)
{
  const std::string detail =
    absl::StrCat("key-value service at ", aClient.mHost, ":", aClient.mPort,
                 ": ", httplib::to_string(aError));
  return IsUnsent(aError)
           ? Problem(error_code::StoreUnavailable, executed::No, detail)
           : Problem(error_code::StoreOutcomeUnknown, executed::Unknown,
                     detail);
}

bool ReadVersion(const httplib::Response& aResponse, store_version& aVersion)
{
  return absl::SimpleAtoi(aResponse.get_header_value(kVersionHeader),
                          &aVersion) &&
         aVersion != 0;
}

// Completes aReply from an answer with status 200.
result<success> ReadSuccess(const httplib::Response& aResponse,
                            store_response& aReply)
{
  if (!ReadVersion(aResponse, aReply.mVersion)) {
    return Problem(error_code::ProtocolViolation, executed::Unknown,
                   "the answer has no valid X-Version header");
  }
  if (!aReply.mIsWrite) {
    auto document = DecodeDocument(aReply.mKey.mArea, aResponse.body);
    if (!IsOk(document)) {
      error problem = GetError(document);
      problem.mExecuted = executed::Unknown;
      problem.mField =
        absl::StrCat(ToString(aReply.mKey), ": ", problem.mField);
      return problem;
    }
    aReply.mDocument = GetValue(std::move(document));
  }
  aReply.mStatus = store_status::Ok;
  return success{};
}

// Completes aReply from any answer. Returns what is wrong with it, if the
// status is Unavailable or Unknown.
result<success> ReadAnswer(const httplib::Response& aResponse,
                           store_response& aReply)
{
  if (aResponse.status == kOk) {
    return ReadSuccess(aResponse, aReply);
  }
  if (aResponse.status == kNotFound && !aReply.mIsWrite) {
    aReply.mStatus = store_status::Ok;
    return success{};
  }
  if (aResponse.status == kConflict && aReply.mIsWrite) {
    aReply.mStatus = store_status::Conflict;
    // Version 0 with status 409: the key does not exist.
    ReadVersion(aResponse, aReply.mVersion);
    return success{};
  }
  const std::string detail =
    absl::StrCat("key-value service answered HTTP ", aResponse.status);
  if (aResponse.status == kUnavailable || aResponse.status == kTooLarge ||
      aResponse.status == kTooManyRequests) {
    return Problem(error_code::StoreUnavailable, executed::No, detail);
  }
  return Problem(error_code::ProtocolViolation, executed::Unknown, detail);
}

httplib::Result Send(store_client& aClient, const store_request& aRequest,
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

result<success> Perform(store_client& aClient, const store_request& aRequest,
                        store_response& aReply)
{
  std::string value;
  if (aRequest.mWrite) {
    value = EncodeDocument(*aRequest.mWrite);
    if (value.size() > kMaxValueBytes) {
      return Problem(error_code::StoreUnavailable, executed::No,
                     absl::StrCat("the value of ", ToString(aRequest.mKey),
                                  " has ", value.size(),
                                  " bytes; the limit is ", kMaxValueBytes));
    }
  }
  const httplib::Result answer = Send(aClient, aRequest, value);
  if (!answer) {
    return FailedCall(aClient, answer.error());
  }
  return ReadAnswer(*answer, aReply);
}

// JSON form of the VM list.
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

store_response Call(store_client& aClient, const store_request& aRequest,
                    error* aProblem)
{
  store_response reply;
  reply.mKey = aRequest.mKey;
  reply.mIsWrite = aRequest.mWrite.has_value();
  const auto outcome = Perform(aClient, aRequest, reply);
  if (!IsOk(outcome)) {
    const error& problem = GetError(outcome);
    reply.mVersion = 0;
    reply.mStatus = problem.mExecuted == executed::No
                      ? store_status::Unavailable
                      : store_status::Unknown;
    if (aProblem != nullptr) {
      *aProblem = problem;
    }
  }
  return reply;
}

result<vm_list> ReadVmList(store_client& aClient, const std::string& aPath)
{
  const auto answer =
    WithConnection(aClient, [&aPath](httplib::Client& aConnection) {
      return aConnection.Get(aPath);
    });
  if (!answer || answer->status != kOk) {
    // A read changes nothing, whatever became of it.
    error failure =
      answer ? Problem(error_code::StoreUnavailable, executed::No,
                       absl::StrCat("VM list answered HTTP ", answer->status))
             : FailedCall(aClient, answer.error());
    failure.mCode = error_code::StoreUnavailable;
    failure.mExecuted = executed::No;
    return failure;
  }
  return ParseVmList(answer->body);
}

std::vector<member_id> ListRemovedVms(const vm_list& aBefore,
                                      const vm_list& aAfter)
{
  std::set<member_id> present(aAfter.mLive.begin(), aAfter.mLive.end());
  present.insert(aAfter.mLeaving.begin(), aAfter.mLeaving.end());
  std::vector<member_id> gone;
  for (const auto* part : { &aBefore.mLive, &aBefore.mLeaving }) {
    for (const member_id& vm : *part) {
      if (present.count(vm) == 0) {
        gone.push_back(vm);
      }
    }
  }
  return gone;
}

} // namespace foxtailquay
