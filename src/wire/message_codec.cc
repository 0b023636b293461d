#include "wire/message_codec.h"

#include <utility>

#include "absl/strings/str_cat.h"
#include "wire/document_codec.h"

namespace foxtailquay {

namespace {

// --- Parts ------------------------------------------------------------------

Json::Value ProcessToJson(const process_id& aProcess)
{
  Json::Value json(Json::objectValue);
  json["member"] = aProcess.mMember.mValue;
  json["incarnation"] = Json::UInt64(aProcess.mIncarnation);
  return json;
}

process_id ProcessFromJson(json_fields& aParent, const Json::Value& aJson,
                           const std::string& aPath)
{
  json_fields fields(aJson, aPath);
  process_id process;
  process.mMember.mValue = ReadString(fields, "member");
  process.mIncarnation = ReadUint64(fields, "incarnation");
  if (auto done = Finish(fields); !IsOk(done)) {
    Fail(aParent, ErrorOf(done));
  }
  return process;
}

process_id ReadProcess(json_fields& aFields, const std::string& aName)
{
  return ProcessFromJson(aFields, Read(aFields, aName),
                         absl::StrCat(aFields.mPath, ".", aName));
}

// Decodes each element of an array member with aDecode, which returns a
// result<T>.
template<typename T, typename Decode>
std::vector<T> ReadList(json_fields& aFields, const std::string& aName,
                        Decode aDecode)
{
  std::vector<T> list;
  for (const Json::Value& json : ReadArray(aFields, aName)) {
    result<T> item = aDecode(json);
    if (!IsOk(item)) {
      Fail(aFields, ErrorOf(item));
      return list;
    }
    list.push_back(ValueOf(std::move(item)));
  }
  return list;
}

template<typename T, typename Encode>
Json::Value ListToJson(const std::vector<T>& aList, Encode aEncode)
{
  Json::Value json(Json::arrayValue);
  for (const T& item : aList) {
    json.append(aEncode(item));
  }
  return json;
}

std::vector<process_id> ReadProcesses(json_fields& aFields,
                                      const std::string& aName)
{
  std::vector<process_id> list;
  for (const Json::Value& json : ReadArray(aFields, aName)) {
    list.push_back(ProcessFromJson(
      aFields, json, absl::StrCat(aFields.mPath, ".", aName)));
  }
  return list;
}

Json::Value KeyToJson(const store_key& aKey)
{
  Json::Value json(Json::objectValue);
  json["area"] = std::string(NameOf(aKey.mArea));
  json["shard"] = Json::UInt64(aKey.mShard);
  return json;
}

store_key ReadKey(json_fields& aFields, const std::string& aName)
{
  json_fields fields(Read(aFields, aName),
                     absl::StrCat(aFields.mPath, ".", aName));
  store_key key;
  key.mArea = ReadName<store_area>(fields, "area");
  key.mShard = static_cast<std::uint32_t>(
    ReadInteger(fields, "shard", 0, std::numeric_limits<std::uint32_t>::max()));
  if (auto done = Finish(fields); !IsOk(done)) {
    Fail(aFields, ErrorOf(done));
  }
  return key;
}

result<transfer_op> TransferFromJson(const Json::Value& aJson)
{
  auto op = AccountOpFromJson(aJson);
  if (!IsOk(op)) {
    return ErrorOf(op);
  }
  if (!std::holds_alternative<transfer_op>(ValueOf(op))) {
    return error{ error_code::ProtocolViolation, ran::No, "transfer",
                  "expected a transfer operation", absl::ZeroDuration() };
  }
  return std::get<transfer_op>(ValueOf(op));
}

Json::Value TransferToJson(const transfer_op& aTransfer)
{
  return ToJson(account_op(aTransfer));
}

Json::Value RequestToJson(const request_id& aRequest)
{
  return ToString(aRequest);
}

result<request_id> RequestFromJson(const Json::Value& aJson)
{
  return ParseRequestId(aJson.isString() ? aJson.asString() : "");
}

// --- Load reports -----------------------------------------------------------

Json::Value LoadToJson(const load_report& aReport)
{
  Json::Value json(Json::objectValue);
  json["backend"] = aReport.mBackend.mValue;
  json["sequence"] = Json::UInt64(aReport.mSequence);
  json["running"] = aReport.mRunning;
  json["queued"] = aReport.mQueued;
  json["leaving"] = aReport.mLeaving;
  json["cached_prefixes"] = ListToJson(
    aReport.mCachedPrefixes,
    [](std::uint64_t aHash) { return Json::Value(Json::UInt64(aHash)); });
  json["loaded_models"] =
    ListToJson(aReport.mLoadedModels,
               [](const model_id& aModel) { return Json::Value(aModel.mValue); });
  return json;
}

result<load_report> LoadFromJson(const Json::Value& aJson)
{
  json_fields fields(aJson, "load");
  load_report report;
  report.mBackend.mValue = ReadString(fields, "backend");
  report.mSequence = ReadUint64(fields, "sequence");
  report.mRunning = ReadInteger<int>(fields, "running");
  report.mQueued = ReadInteger<int>(fields, "queued");
  report.mLeaving = ReadBool(fields, "leaving");
  for (const Json::Value& hash : ReadArray(fields, "cached_prefixes")) {
    if (!hash.isUInt64()) {
      Fail(fields, "cached_prefixes", "expected whole numbers");
      break;
    }
    report.mCachedPrefixes.push_back(hash.asUInt64());
  }
  for (const Json::Value& model : ReadArray(fields, "loaded_models")) {
    if (!model.isString()) {
      Fail(fields, "loaded_models", "expected strings");
      break;
    }
    report.mLoadedModels.push_back({ model.asString() });
  }
  if (auto done = Finish(fields); !IsOk(done)) {
    return ErrorOf(done);
  }
  return report;
}

// --- Message bodies, one pair of functions per kind ---------------------------

void WriteBody(Json::Value& aJson, const gossip_message& aMessage)
{
  aJson["load"] = ListToJson(aMessage.mLoad, &LoadToJson);
  aJson["suspects"] = ListToJson(aMessage.mSuspects, &ProcessToJson);
  aJson["alive"] = ListToJson(aMessage.mAlive, &ProcessToJson);
  aJson["is_reply"] = aMessage.mIsReply;
}

void ReadBody(json_fields& aFields, gossip_message& aMessage)
{
  aMessage.mLoad = ReadList<load_report>(aFields, "load", &LoadFromJson);
  aMessage.mSuspects = ReadProcesses(aFields, "suspects");
  aMessage.mAlive = ReadProcesses(aFields, "alive");
  aMessage.mIsReply = ReadBool(aFields, "is_reply");
}

void WriteBody(Json::Value&, const fetch_config_message&) {}
void ReadBody(json_fields&, fetch_config_message&) {}

void WriteBody(Json::Value& aJson, const config_message& aMessage)
{
  aJson["config"] = ToJson(aMessage.mConfig);
}

void ReadBody(json_fields& aFields, config_message& aMessage)
{
  auto config = ConfigFromJson(Read(aFields, "config"));
  if (IsOk(config)) {
    aMessage.mConfig = ValueOf(std::move(config));
  } else {
    Fail(aFields, ErrorOf(config));
  }
}

void WriteBody(Json::Value&, const fetch_members_message&) {}
void ReadBody(json_fields&, fetch_members_message&) {}

void WriteBody(Json::Value& aJson, const members_message& aMessage)
{
  aJson["version"] = Json::UInt64(aMessage.mVersion);
  aJson["members"] = ToJson(aMessage.mMembers);
}

void ReadBody(json_fields& aFields, members_message& aMessage)
{
  aMessage.mVersion = ReadUint64(aFields, "version");
  auto members = MemberListFromJson(Read(aFields, "members"));
  if (IsOk(members)) {
    aMessage.mMembers = ValueOf(std::move(members));
  } else {
    Fail(aFields, ErrorOf(members));
  }
}

Json::Value RecordsToJson(const std::vector<usage_record>& aRecords)
{
  return ListToJson(
    aRecords, [](const usage_record& aRecord) { return ToJson(aRecord); });
}

void WriteBody(Json::Value& aJson, const usage_report_message& aMessage)
{
  aJson["records"] = RecordsToJson(aMessage.mRecords);
}

void ReadBody(json_fields& aFields, usage_report_message& aMessage)
{
  aMessage.mRecords =
    ReadList<usage_record>(aFields, "records", &UsageRecordFromJson);
}

void WriteBody(Json::Value& aJson, const usage_ack_message& aMessage)
{
  aJson["requests"] = ListToJson(aMessage.mRequests, &RequestToJson);
}

void ReadBody(json_fields& aFields, usage_ack_message& aMessage)
{
  aMessage.mRequests =
    ReadList<request_id>(aFields, "requests", &RequestFromJson);
}

void WriteBody(Json::Value& aJson, const fence_query_message& aMessage)
{
  aJson["fenced"] = ProcessToJson(aMessage.mFenced);
}

void ReadBody(json_fields& aFields, fence_query_message& aMessage)
{
  aMessage.mFenced = ReadProcess(aFields, "fenced");
}

void WriteBody(Json::Value& aJson, const fence_ack_message& aMessage)
{
  aJson["fenced"] = ProcessToJson(aMessage.mFenced);
  aJson["records"] = RecordsToJson(aMessage.mRecords);
  aJson["transfers"] = ListToJson(aMessage.mTransfers, &TransferToJson);
}

void ReadBody(json_fields& aFields, fence_ack_message& aMessage)
{
  aMessage.mFenced = ReadProcess(aFields, "fenced");
  aMessage.mRecords =
    ReadList<usage_record>(aFields, "records", &UsageRecordFromJson);
  aMessage.mTransfers =
    ReadList<transfer_op>(aFields, "transfers", &TransferFromJson);
}

void WriteBody(Json::Value& aJson, const transfer_request_message& aMessage)
{
  aJson["budget"] = aMessage.mBudget.mValue;
  aJson["want"] = Json::Int64(aMessage.mWant);
}

void ReadBody(json_fields& aFields, transfer_request_message& aMessage)
{
  aMessage.mBudget.mValue = ReadString(aFields, "budget");
  aMessage.mWant = ReadInteger<token_count>(aFields, "want");
}

void WriteBody(Json::Value& aJson, const transfer_message& aMessage)
{
  aJson["transfer"] = TransferToJson(aMessage.mTransfer);
}

void ReadBody(json_fields& aFields, transfer_message& aMessage)
{
  auto transfer = TransferFromJson(Read(aFields, "transfer"));
  if (IsOk(transfer)) {
    aMessage.mTransfer = ValueOf(std::move(transfer));
  } else {
    Fail(aFields, ErrorOf(transfer));
  }
}

void WriteBody(Json::Value& aJson, const hand_over_message& aMessage)
{
  aJson["ops"] = ListToJson(
    aMessage.mOps, [](const account_op& aOp) { return ToJson(aOp); });
  aJson["transfers"] = ListToJson(aMessage.mTransfers, &TransferToJson);
}

void ReadBody(json_fields& aFields, hand_over_message& aMessage)
{
  aMessage.mOps = ReadList<account_op>(aFields, "ops", &AccountOpFromJson);
  aMessage.mTransfers =
    ReadList<transfer_op>(aFields, "transfers", &TransferFromJson);
}

void WriteBody(Json::Value&, const hand_over_ack_message&) {}
void ReadBody(json_fields&, hand_over_ack_message&) {}

using numbered_op = std::pair<std::uint64_t, account_op>;
using numbered_outcome = std::pair<std::uint64_t, op_outcome>;

result<numbered_op> NumberedOpFromJson(const Json::Value& aJson)
{
  json_fields fields(aJson, "ops");
  const std::uint64_t ticket = ReadUint64(fields, "ticket");
  auto op = AccountOpFromJson(Read(fields, "op"));
  if (auto done = Finish(fields); !IsOk(done)) {
    return ErrorOf(done);
  }
  if (!IsOk(op)) {
    return ErrorOf(op);
  }
  return numbered_op(ticket, ValueOf(std::move(op)));
}

void WriteBody(Json::Value& aJson, const commit_ops_message& aMessage)
{
  aJson["key"] = KeyToJson(aMessage.mKey);
  aJson["ops"] = ListToJson(aMessage.mOps, [](const numbered_op& aOp) {
    Json::Value json(Json::objectValue);
    json["ticket"] = Json::UInt64(aOp.first);
    json["op"] = ToJson(aOp.second);
    return json;
  });
}

void ReadBody(json_fields& aFields, commit_ops_message& aMessage)
{
  aMessage.mKey = ReadKey(aFields, "key");
  aMessage.mOps = ReadList<numbered_op>(aFields, "ops", &NumberedOpFromJson);
}

result<numbered_outcome> NumberedOutcomeFromJson(const Json::Value& aJson)
{
  json_fields fields(aJson, "outcomes");
  const std::uint64_t ticket = ReadUint64(fields, "ticket");
  const auto outcome = ReadName<op_outcome>(fields, "outcome");
  if (auto done = Finish(fields); !IsOk(done)) {
    return ErrorOf(done);
  }
  return numbered_outcome(ticket, outcome);
}

void WriteBody(Json::Value& aJson, const commit_result_message& aMessage)
{
  aJson["key"] = KeyToJson(aMessage.mKey);
  aJson["version"] = Json::UInt64(aMessage.mVersion);
  aJson["outcomes"] =
    ListToJson(aMessage.mOutcomes, [](const numbered_outcome& aOutcome) {
      Json::Value json(Json::objectValue);
      json["ticket"] = Json::UInt64(aOutcome.first);
      json["outcome"] = std::string(NameOf(aOutcome.second));
      return json;
    });
  Json::Value accounts(Json::objectValue);
  for (const auto& [budget, account] : aMessage.mAccounts) {
    accounts[budget.mValue] = ToJson(account);
  }
  aJson["accounts"] = accounts;
}

void ReadBody(json_fields& aFields, commit_result_message& aMessage)
{
  aMessage.mKey = ReadKey(aFields, "key");
  aMessage.mVersion = ReadUint64(aFields, "version");
  aMessage.mOutcomes = ReadList<numbered_outcome>(aFields, "outcomes",
                                                  &NumberedOutcomeFromJson);
  const Json::Value& accounts = Read(aFields, "accounts");
  if (!accounts.isObject()) {
    Fail(aFields, "accounts", "expected an object");
    return;
  }
  for (const std::string& budget : accounts.getMemberNames()) {
    auto decoded = AccountFromJson(accounts[budget]);
    if (!IsOk(decoded)) {
      Fail(aFields, ErrorOf(decoded));
      return;
    }
    aMessage.mAccounts[budget_id{ budget }] = ValueOf(std::move(decoded));
  }
}

// Decodes the alternative of `message` with index aKind.
template<std::size_t Index = 0>
message ReadMessage(json_fields& aFields, message_kind aKind)
{
  if constexpr (Index < std::variant_size_v<message>) {
    if (static_cast<std::size_t>(aKind) != Index) {
      return ReadMessage<Index + 1>(aFields, aKind);
    }
    std::variant_alternative_t<Index, message> body;
    ReadBody(aFields, body);
    return body;
  } else {
    Fail(aFields, "kind", "unknown message kind");
    return {};
  }
}

} // namespace

message_kind KindOf(const message& aMessage)
{
  return static_cast<message_kind>(aMessage.index());
}

void AddHeader(Json::Value& aJson, const envelope& aEnvelope)
{
  aJson["sender"] = ProcessToJson(aEnvelope.mSender);
  aJson["role"] = std::string(NameOf(aEnvelope.mRole));
  aJson["config_version"] = Json::UInt64(aEnvelope.mConfigVersion);
  aJson["members_version"] = Json::UInt64(aEnvelope.mMembersVersion);
}

envelope ReadHeader(json_fields& aFields)
{
  envelope header;
  header.mSender = ReadProcess(aFields, "sender");
  header.mRole = ReadName<process_role>(aFields, "role");
  header.mConfigVersion = ReadUint64(aFields, "config_version");
  header.mMembersVersion = ReadUint64(aFields, "members_version");
  return header;
}

Json::Value ToJson(const envelope& aEnvelope)
{
  Json::Value json(Json::objectValue);
  AddHeader(json, aEnvelope);
  Json::Value body(Json::objectValue);
  std::visit([&body](const auto& aMessage) { WriteBody(body, aMessage); },
             aEnvelope.mBody);
  json["body"] = body;
  return json;
}

result<envelope> EnvelopeFromJson(message_kind aKind, const Json::Value& aJson)
{
  json_fields fields(aJson, std::string(NameOf(aKind)));
  envelope decoded = ReadHeader(fields);
  json_fields body(Read(fields, "body"), absl::StrCat(fields.mPath, ".body"));
  decoded.mBody = ReadMessage(body, aKind);
  if (auto done = Finish(fields); !IsOk(done)) {
    return ErrorOf(done);
  }
  if (auto done = Finish(body); !IsOk(done)) {
    return ErrorOf(done);
  }
  return decoded;
}

} // namespace foxtailquay
