#include <algorithm>
#include <ostream>

#include "absl/strings/str_cat.h"
#include "cli/admin_client.h"
#include "cli/chart_pages.h"
#include "cli/commands.h"
#include "cli/output.h"
#include "cli/text_table.h"

namespace foxtailquay {

namespace {

// Sends aRequest to HOST, with the peer key if there is one (HOST is then a
// peer port) and with the operator key otherwise.
cli_result<Json::Value> CallHost(const command_context& aContext,
                                 const admin_request& aRequest)
{
  const std::string& host = aContext.mArguments[0];
  auto checked = CheckAddress("HOST", host);
  if (!IsOk(checked)) {
    return GetError(checked);
  }
  const cli_settings& settings = aContext.mSettings;
  const std::string& key =
    settings.mPeerKey.empty() ? settings.mOperatorKey : settings.mPeerKey;
  return CallRouters({ { host }, key, settings.mTlsCaFile, settings.mTimeout },
                     aRequest);
}

// Sends the drain request of the peer interface, which routers and agents have.
cli_result<Json::Value> CallPeerDrain(const command_context& aContext)
{
  Json::Value body;
  body["jsonrpc"] = "2.0";
  body["id"] = 1;
  body["method"] = "drain";
  body["params"] = Json::Value(Json::objectValue);
  auto response = CallHost(
    aContext, { http_method::Post, "/rpc", body, request_effect::Once });
  if (IsOk(response) && (!GetValue(response).isObject() ||
                         !GetValue(response).isMember("result"))) {
    return MakeBadResponseFailure("result", "the result of the drain");
  }
  return response;
}

// Tries the operator interface first if there is no peer key.
cli_result<Json::Value> CallDrain(const command_context& aContext)
{
  if (!aContext.mSettings.mPeerKey.empty()) {
    return CallPeerDrain(aContext);
  }
  auto response = CallHost(aContext, { http_method::Post, "/admin/drain",
                                       Json::Value(Json::objectValue),
                                       request_effect::Once });
  // A peer port has no operator interface. It accepts requests without
  // authentication if the process has no peer key.
  const bool isPeerPort =
    !IsOk(response) && GetError(response).mExit == exit_code::Refused &&
    GetError(response).mError.mCode == error_code::NotFound;
  return isPeerPort ? CallPeerDrain(aContext) : response;
}

std::string ToCell(const Json::Value& aValue)
{
  return aValue.isString() ? aValue.asString()
         : aValue.isNull() ? std::string("-")
                           : ToPrettyText(aValue);
}

bool IsScalar(const Json::Value& aValue)
{
  return !aValue.isObject() && !aValue.isArray();
}

// Returns whether aValue has elements and all of them are objects.
bool HasOnlyObjects(const Json::Value& aValue)
{
  return !aValue.empty() && std::all_of(aValue.begin(), aValue.end(),
                                        [](const Json::Value& aEntry) {
                                          return aEntry.isObject();
                                        });
}

// Formats an array or object of objects as a table of their scalar members,
// with the columns of the first entry. The first column of an object is the
// names of its members.
std::string MakeEntryTable(const std::string& aName,
                           const Json::Value& aEntries)
{
  text_table table;
  if (aEntries.isObject()) {
    table.mHeader.emplace_back("name");
  }
  const Json::Value& first = *aEntries.begin();
  std::vector<std::string> members;
  for (const std::string& member : first.getMemberNames()) {
    if (IsScalar(first[member])) {
      if (first[member].isNumeric()) {
        table.mRightAligned.insert(table.mHeader.size());
      }
      members.push_back(member);
      table.mHeader.push_back(member);
    }
  }
  for (auto entry = aEntries.begin(); entry != aEntries.end(); ++entry) {
    std::vector<std::string> row;
    row.reserve(table.mHeader.size());
    if (aEntries.isObject()) {
      row.push_back(entry.name());
    }
    for (const std::string& member : members) {
      row.push_back(ToCell((*entry)[member]));
    }
    table.mRows.push_back(std::move(row));
  }
  return absl::StrCat("\n", aName, "\n", RenderTable(table));
}

// Adds aValue to the table of scalars, or to the text of the further tables.
void AddStateMember(const std::string& aName, const Json::Value& aValue,
                    text_table& aScalars, std::string& aTables)
{
  if (IsScalar(aValue)) {
    aScalars.mRows.push_back({ aName, ToCell(aValue) });
  } else if (HasOnlyObjects(aValue)) {
    aTables += MakeEntryTable(aName, aValue);
  } else if (aValue.isObject()) {
    for (const std::string& name : aValue.getMemberNames()) {
      AddStateMember(absl::StrCat(aName, ".", name), aValue[name], aScalars,
                     aTables);
    }
  } else {
    std::string cells;
    for (const Json::Value& element : aValue) {
      absl::StrAppend(&cells, cells.empty() ? "" : " ", ToCell(element));
    }
    aScalars.mRows.push_back({ aName, cells });
  }
}

// Formats a state dump as a table of its scalar members and one table for each
// array or object of objects. It uses no member names, since the members of the
// dump change with the version of the process.
std::string MakeStateText(const Json::Value& aState)
{
  text_table scalars{ { "FIELD", "VALUE" }, {}, {} };
  std::string tables;
  for (const std::string& name : aState.getMemberNames()) {
    AddStateMember(name, aState[name], scalars, tables);
  }
  return RenderTable(scalars) + tables;
}

} // namespace

cli_result<success> ShowState(const command_context& aContext)
{
  auto response = CallHost(
    aContext, { http_method::Get, "/debug/state", {}, request_effect::Read });
  if (!IsOk(response)) {
    return GetError(response);
  }
  if (!GetValue(response).isObject()) {
    return MakeBadResponseFailure("state", "an object");
  }
  const bool json = aContext.mSettings.mOutput == output_format::Json;
  aContext.mStreams.mOut << (json ? ToPrettyText(GetValue(response)) + "\n"
                                  : MakeStateText(GetValue(response)));
  return success{};
}

cli_result<success> DrainProcess(const command_context& aContext)
{
  auto response = CallDrain(aContext);
  if (!IsOk(response)) {
    return GetError(response);
  }
  if (aContext.mSettings.mOutput == output_format::Json) {
    aContext.mStreams.mOut << ToPrettyText(GetValue(response)) << "\n";
  } else {
    aContext.mStreams.mOut << aContext.mArguments[0] << " is stopping; \"state "
                           << aContext.mArguments[0]
                           << "\" shows what is left\n";
  }
  return success{};
}

cli_result<success> ShowCharts(const command_context& aContext)
{
  auto page = RenderCharts(aContext.mSettings.mChartsDir);
  if (!IsOk(page)) {
    return GetError(page);
  }
  if (aContext.mSettings.mOutput == output_format::Json) {
    Json::Value json;
    json["markdown"] = GetValue(page);
    aContext.mStreams.mOut << ToPrettyText(json) << "\n";
  } else {
    aContext.mStreams.mOut << GetValue(page);
  }
  return success{};
}

} // namespace foxtailquay
