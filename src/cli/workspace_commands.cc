#include <initializer_list>
#include <limits>
#include <ostream>

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_join.h"
#include "cli/admin_client.h"
#include "cli/commands.h"
#include "cli/output.h"
#include "cli/text_table.h"
#include "foxtailquay/types.h"

namespace foxtailquay {

namespace {

bool IsJson(const command_context& aContext)
{
  return aContext.mSettings.mOutput == output_format::Json;
}

std::string MakeBudgetPath(const std::string& aBudget, std::string_view aRest)
{
  return absl::StrCat("/admin/budgets/", EncodePathSegment(aBudget),
                      std::string(aRest));
}

// Sends aRequest to the routers in the settings.
cli_result<Json::Value> CallConfiguredRouters(const command_context& aContext,
                                              const admin_request& aRequest)
{
  auto options = MakeClientOptions(aContext.mSettings);
  if (!IsOk(options)) {
    return GetError(options);
  }
  return CallRouters(GetValue(options), aRequest);
}

// Returns a row of aFirst and the members aNames of aObject, which are
// integers.
cli_result<std::vector<std::string>> MakeRow(
  const Json::Value& aObject, std::string aFirst,
  std::initializer_list<std::string_view> aNames)
{
  std::vector<std::string> row{ std::move(aFirst) };
  for (const std::string_view name : aNames) {
    auto value = GetInteger(aObject, name);
    if (!IsOk(value)) {
      return GetError(value);
    }
    row.push_back(absl::StrCat(GetValue(value)));
  }
  return row;
}

cli_result<std::string> MakeShareTable(const Json::Value& aShares)
{
  if (!aShares.isArray()) {
    return MakeBadResponseFailure("shares", "an array");
  }
  text_table table{ { "HOLDER", "INCARNATION", "GRANTED", "SPENT", "STATUS" },
                    { 1, 2, 3 },
                    {} };
  for (const Json::Value& share : aShares) {
    auto holder = GetString(share, "holder");
    if (!IsOk(holder)) {
      return GetError(holder);
    }
    auto row =
      MakeRow(share, GetValue(holder), { "incarnation", "granted", "spent" });
    if (!IsOk(row)) {
      return GetError(row);
    }
    if (!share["held"].isBool()) {
      return MakeBadResponseFailure("shares.held", "a boolean");
    }
    table.mRows.push_back(GetValue(std::move(row)));
    table.mRows.back().emplace_back(share["held"].asBool() ? "held" : "open");
  }
  return table.mRows.empty() ? std::string() : "\n" + RenderTable(table);
}

cli_result<success> PrintAccount(const command_context& aContext,
                                 const std::string& aBudget,
                                 const Json::Value& aResponse)
{
  auto sums =
    MakeRow(aResponse, aBudget, { "paid_in", "spent", "unallocated" });
  if (!IsOk(sums)) {
    return GetError(sums);
  }
  auto shares = MakeShareTable(aResponse["shares"]);
  if (!IsOk(shares)) {
    return GetError(shares);
  }
  if (IsJson(aContext)) {
    aContext.mStreams.mOut << ToPrettyText(aResponse) << "\n";
    return success{};
  }
  const text_table table{ { "BUDGET", "PAID IN", "SPENT", "UNALLOCATED" },
                          { 1, 2, 3 },
                          { GetValue(sums) } };
  aContext.mStreams.mOut << RenderTable(table) << GetValue(shares);
  return success{};
}

// Returns the result of a write after its response was printed. If the response
// cannot be read, the write may have taken effect, so that its outcome is
// unknown.
cli_result<success> ToWriteResult(cli_result<success> aPrinted)
{
  if (IsOk(aPrinted)) {
    return aPrinted;
  }
  cli_failure failure = GetError(aPrinted);
  failure.mExit = exit_code::OutcomeUnknown;
  return failure;
}

cli_result<std::vector<std::string>> MakeWorkspaceRow(const Json::Value& aEntry)
{
  auto id = GetString(aEntry, "id");
  auto priority = GetString(aEntry, "priority");
  for (const auto* field : { &id, &priority }) {
    if (!IsOk(*field)) {
      return GetError(*field);
    }
  }
  std::vector<std::string> budgets;
  if (!aEntry["budgets"].isArray()) {
    return MakeBadResponseFailure("workspaces.budgets", "an array");
  }
  for (const Json::Value& budget : aEntry["budgets"]) {
    if (!budget.isString()) {
      return MakeBadResponseFailure("workspaces.budgets", "a string");
    }
    budgets.push_back(budget.asString());
  }
  return std::vector<std::string>{ GetValue(id), GetValue(priority),
                                   absl::StrJoin(budgets, " ") };
}

} // namespace

cli_result<success> ShowWorkspaces(const command_context& aContext)
{
  auto response = CallConfiguredRouters(
    aContext,
    { http_method::Get, "/admin/workspaces", {}, request_effect::Read });
  if (!IsOk(response)) {
    return GetError(response);
  }
  const Json::Value& root = GetValue(response);
  if (!root.isObject() || !root["workspaces"].isArray()) {
    return MakeBadResponseFailure("workspaces", "an array");
  }
  text_table table{ { "WORKSPACE", "PRIORITY", "BUDGETS" }, {}, {} };
  for (const Json::Value& entry : root["workspaces"]) {
    auto row = MakeWorkspaceRow(entry);
    if (!IsOk(row)) {
      return GetError(row);
    }
    table.mRows.push_back(GetValue(std::move(row)));
  }
  aContext.mStreams.mOut << (IsJson(aContext) ? ToPrettyText(root) + "\n"
                                              : RenderTable(table));
  return success{};
}

cli_result<success> TopUpBudget(const command_context& aContext)
{
  const std::string& budget = aContext.mArguments[0];
  token_count amount = 0;
  if (!absl::SimpleAtoi(aContext.mArguments[1], &amount) || amount <= 0) {
    return MakeUsageError(
      "AMOUNT", absl::StrCat("\"", aContext.mArguments[1],
                             "\" is not a whole number from 1 to ",
                             std::numeric_limits<token_count>::max()));
  }
  std::string id = aContext.mSettings.mId;
  if (id.empty()) {
    auto made = MakeRandomId("topup-");
    if (!IsOk(made)) {
      return GetError(made);
    }
    id = GetValue(std::move(made));
  }
  // The id is printed before the request is sent, so that the operator knows it
  // if the command is interrupted.
  aContext.mStreams.mErr << "top-up id " << id << " (repeat with --id=" << id
                         << " if the outcome is unknown)\n";
  Json::Value body;
  body["id"] = id;
  body["amount"] = static_cast<Json::Int64>(amount);
  auto response = CallConfiguredRouters(
    aContext, { http_method::Post, MakeBudgetPath(budget, "/topups"), body,
                request_effect::Idempotent });
  if (!IsOk(response)) {
    return GetError(response);
  }
  return ToWriteResult(PrintAccount(aContext, budget, GetValue(response)));
}

cli_result<success> ShowBudget(const command_context& aContext)
{
  const std::string& budget = aContext.mArguments[0];
  auto response = CallConfiguredRouters(
    aContext,
    { http_method::Get, MakeBudgetPath(budget, ""), {}, request_effect::Read });
  if (!IsOk(response)) {
    return GetError(response);
  }
  return PrintAccount(aContext, budget, GetValue(response));
}

cli_result<success> ReleaseShare(const command_context& aContext)
{
  const std::string& budget = aContext.mArguments[0];
  incarnation_number incarnation = 0;
  if (!absl::SimpleAtoi(aContext.mArguments[2], &incarnation)) {
    return MakeUsageError("INCARNATION",
                          absl::StrCat("\"", aContext.mArguments[2],
                                       "\" is not a number; \"workspace usage ",
                                       budget, "\" prints the held shares"));
  }
  Json::Value body;
  body["holder"] = aContext.mArguments[1];
  body["incarnation"] = static_cast<Json::UInt64>(incarnation);
  auto response = CallConfiguredRouters(
    aContext, { http_method::Post, MakeBudgetPath(budget, "/release"), body,
                request_effect::Once });
  if (!IsOk(response)) {
    return GetError(response);
  }
  // A share that does not exist counts as released. If the name was misspelt,
  // the account printed below still shows the held share.
  if (!IsJson(aContext)) {
    aContext.mStreams.mOut << "budget " << budget << " holds no share of "
                           << aContext.mArguments[1] << "/" << incarnation
                           << "\n\n";
  }
  return ToWriteResult(PrintAccount(aContext, budget, GetValue(response)));
}

} // namespace foxtailquay
