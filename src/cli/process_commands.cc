#include <ostream>

#include "absl/strings/str_cat.h"
#include "cli/admin_client.h"
#include "cli/chart_pages.h"
#include "cli/commands.h"
#include "cli/output.h"
#include "cli/text_table.h"

namespace foxtailquay {

namespace {

cli_result<Json::Value> CallHost(const command_context& aContext,
                                 const admin_request& aRequest)
{
  const std::string& host = aContext.mArguments[0];
  auto checked = CheckAddress("HOST", host);
  if (!IsOk(checked)) {
    return ErrorOf(checked);
  }
  const cli_settings& settings = aContext.mSettings;
  return Call(
    { { host }, settings.mOperatorKey, settings.mTlsCaFile, settings.mTimeout },
    aRequest);
}

std::string CellOf(const Json::Value& aValue)
{
  return aValue.isString() ? aValue.asString()
         : aValue.isNull() ? std::string("-")
                           : ToPrettyText(aValue);
}

bool IsScalar(const Json::Value& aValue)
{
  return !aValue.isObject() && !aValue.isArray();
}

// A list of objects as a table of their scalar members.
std::string ListTable(const std::string& aName, const Json::Value& aList)
{
  text_table table;
  std::vector<std::string> members;
  for (const std::string& member : aList[0].getMemberNames()) {
    if (IsScalar(aList[0][member])) {
      members.push_back(member);
      table.mHeader.push_back(member);
      if (aList[0][member].isNumeric()) {
        table.mRight.insert(members.size() - 1);
      }
    }
  }
  for (const Json::Value& entry : aList) {
    std::vector<std::string> row;
    row.reserve(members.size());
    for (const std::string& member : members) {
      row.push_back(CellOf(entry.isObject() ? entry[member] : Json::Value()));
    }
    table.mRows.push_back(std::move(row));
  }
  return absl::StrCat("\n", aName, "\n", Render(table));
}

// Scalars first, then one table for each list. The dump is for people and
// grows with the router, so that its members are shown as they come.
std::string StateText(const Json::Value& aState)
{
  text_table scalars{ { "FIELD", "VALUE" }, {}, {} };
  std::string lists;
  for (const std::string& name : aState.getMemberNames()) {
    const Json::Value& value = aState[name];
    if (IsScalar(value)) {
      scalars.mRows.push_back({ name, CellOf(value) });
    } else if (value.isArray() && !value.empty() && value[0].isObject()) {
      lists += ListTable(name, value);
    } else if (!value.empty()) {
      absl::StrAppend(&lists, "\n", name, "\n", ToPrettyText(value), "\n");
    }
  }
  return Render(scalars) + lists;
}

} // namespace

cli_result<success> ShowState(const command_context& aContext)
{
  auto answer = CallHost(
    aContext, { http_method::Get, "/debug/state", {}, request_effect::Read });
  if (!IsOk(answer)) {
    return ErrorOf(answer);
  }
  if (!ValueOf(answer).isObject()) {
    return BadAnswer("state", "object");
  }
  const bool json = aContext.mSettings.mOutput == output_format::Json;
  aContext.mStreams.mOut << (json ? ToPrettyText(ValueOf(answer)) + "\n"
                                  : StateText(ValueOf(answer)));
  return success{};
}

cli_result<success> DrainProcess(const command_context& aContext)
{
  auto answer = CallHost(aContext, { http_method::Post, "/admin/drain",
                                     Json::Value(Json::objectValue),
                                     request_effect::Once });
  if (!IsOk(answer)) {
    return ErrorOf(answer);
  }
  if (aContext.mSettings.mOutput == output_format::Json) {
    aContext.mStreams.mOut << ToPrettyText(ValueOf(answer)) << "\n";
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
    return ErrorOf(page);
  }
  if (aContext.mSettings.mOutput == output_format::Json) {
    Json::Value json;
    json["markdown"] = ValueOf(page);
    aContext.mStreams.mOut << ToPrettyText(json) << "\n";
  } else {
    aContext.mStreams.mOut << ValueOf(page);
  }
  return success{};
}

} // namespace foxtailquay
