// The command "explain": asks a gateway where a request would go.

#include <algorithm>
#include <array>
#include <ostream>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_format.h"
#include "cli/admin_client.h"
#include "cli/commands.h"
#include "cli/explain_query.h"
#include "cli/output.h"
#include "cli/text_table.h"
#include "wire/explain_codec.h"

namespace foxtailquay {

namespace {

// A column of the table of servers: its title, the member that it shows and the
// digits after the decimal point of a number.
struct server_column
{
  const char* mTitle;
  const char* mMember;
  int mDigits;
};

constexpr std::array<server_column, 18> kServerColumns = { {
  { "SERVER", "server", 0 },
  { "ZONE", "zone", 0 },
  { "VERDICT", "verdict", 0 },
  { "DELAY_MS", "delay_ms", 1 },
  { "AFFINITY_MS", "affinity_ms", 1 },
  { "PROCESS", "tokens_to_process", 0 },
  { "PRODUCE", "tokens_to_produce", 0 },
  { "SLOT_MS", "slot_ms", 0 },
  { "SPREAD", "spread", 2 },
  { "CACHED", "cached", 2 },
  { "HEALTH", "health", 0 },
  { "START", "start", 0 },
  { "LOAD", "load", 1 },
  { "OPEN", "open", 0 },
  { "MAX_OPEN", "max_open", 0 },
  { "NEXT_RUN_MS", "next_run_ms", 0 },
  { "HELD", "held_tokens", 0 },
  { "MEMORY", "memory_tokens", 0 },
} };

// The scalar members of the response above that table.
constexpr std::array<const char*, 10> kSummaryMembers = {
  "outcome", "server",  "route",       "service",     "workspace",
  "waiting", "wait_ms", "demand_rank", "limited_use", "config_version"
};

// Returns the text of a scalar; "-" if it is absent or empty.
std::string ToCell(const Json::Value& aValue, int aDigits)
{
  if (aValue.isString()) {
    return aValue.asString().empty() ? "-" : aValue.asString();
  }
  return aValue.isNumeric()
           ? absl::StrFormat("%.*f", aDigits, aValue.asDouble())
           : "-";
}

void AddMembers(const Json::Value& aObject, const std::string& aPrefix,
                text_table& aTable)
{
  if (!aObject.isObject()) {
    return;
  }
  for (const std::string& name : aObject.getMemberNames()) {
    aTable.mRows.push_back(
      { absl::StrCat(aPrefix, name), ToCell(aObject[name], 0) });
  }
}

std::string MakeServerTable(const Json::Value& aServers)
{
  text_table table;
  for (std::size_t i = 0; i < kServerColumns.size(); ++i) {
    table.mHeader.emplace_back(kServerColumns[i].mTitle);
    const bool isText = std::any_of(
      aServers.begin(), aServers.end(), [i](const Json::Value& aServer) {
        return aServer[kServerColumns[i].mMember].isString();
      });
    if (!isText) {
      table.mRightAligned.insert(i);
    }
  }
  for (const Json::Value& server : aServers) {
    std::vector<std::string> row;
    row.reserve(kServerColumns.size());
    for (const server_column& column : kServerColumns) {
      row.push_back(ToCell(server[column.mMember], column.mDigits));
    }
    table.mRows.push_back(std::move(row));
  }
  return RenderTable(table);
}

// Precondition: aExplanation passed CheckExplanation.
std::string MakeText(const Json::Value& aExplanation)
{
  text_table summary{ { "FIELD", "VALUE" }, {}, {} };
  for (const char* member : kSummaryMembers) {
    summary.mRows.push_back({ member, ToCell(aExplanation[member], 0) });
  }
  AddMembers(aExplanation["refusal"], "refusal.", summary);
  AddMembers(aExplanation["tokens"], "tokens.", summary);
  return absl::StrCat(RenderTable(summary), "\n",
                      MakeServerTable(aExplanation["servers"]));
}

cli_result<Json::Value> CheckExplanation(const Json::Value& aResponse)
{
  const bool isObject = aResponse.isObject() && aResponse["result"].isObject();
  if (!isObject || !aResponse["result"]["outcome"].isString()) {
    return MakeBadResponseFailure("result", "an explanation");
  }
  const Json::Value& servers = aResponse["result"]["servers"];
  const bool isList =
    servers.isArray() &&
    std::all_of(servers.begin(), servers.end(),
                [](const Json::Value& aServer) { return aServer.isObject(); });
  if (!isList) {
    return MakeBadResponseFailure("result.servers", "an array of objects");
  }
  return aResponse["result"];
}

// Adds what an error without a message of the gateway probably means.
cli_failure AddHint(cli_failure aFailure)
{
  if (aFailure.mExit == exit_code::Refused &&
      (aFailure.mError.mCode == error_code::ProtocolViolation ||
       aFailure.mError.mCode == error_code::NotFound)) {
    absl::StrAppend(&aFailure.mError.mDetail,
                    "; it may be a gateway of an earlier version, or another "
                    "port than that for gateways");
  }
  return aFailure;
}

} // namespace

cli_result<success> ExplainRequest(const command_context& aContext)
{
  const std::string& gateway = aContext.mArguments[0];
  auto checked = CheckAddress("GATEWAY", gateway);
  if (!IsOk(checked)) {
    return checked;
  }
  auto query = ReadExplainQuery();
  if (!IsOk(query)) {
    return GetError(query);
  }
  const auto response =
    CallRouters({ { gateway }, "", "", aContext.mSettings.mTimeout },
                { http_method::Post, "/rpc", MakeExplainCall(GetValue(query)),
                  request_effect::Read });
  if (!IsOk(response)) {
    return AddHint(GetError(response));
  }
  const auto explained = CheckExplanation(GetValue(response));
  if (!IsOk(explained)) {
    return AddHint(GetError(explained));
  }
  const bool json = aContext.mSettings.mOutput == output_format::Json;
  aContext.mStreams.mOut << (json ? ToPrettyText(GetValue(explained)) + "\n"
                                  : MakeText(GetValue(explained)));
  return success{};
}

} // namespace foxtailquay
