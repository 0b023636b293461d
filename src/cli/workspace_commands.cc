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

std::string BudgetPath(const std::string& aBudget, std::string_view aRest)
{
  return absl::StrCat("/admin/budgets/", EncodePathPart(aBudget),
                      std::string(aRest));
}

cli_result<Json::Value> CallRouter(const command_context& aContext,
                                   const admin_request& aRequest)
{
  auto options = RouterOptions(aContext.mSettings);
  if (!IsOk(options)) {
    return GetError(options);
  }
  return Call(GetValue(options), aRequest);
}

// Integers of aObject as the cells of a row, behind aFirst.
cli_result<std::vector<std::string>> RowOf(
  const Json::Value& aObject, std::string aFirst,
  std::initializer_list<std::string_view> aNames)
{
  std::vector<std::string> row{ std::move(aFirst) };
  for (const std::string_view name : aNames) {
    auto value = IntegerOf(aObject, name);
    if (!IsOk(value)) {
      return GetError(value);
    }
    row.push_back(absl::StrCat(GetValue(value)));
  }
  return row;
}

cli_result<std::string> ShareTable(const Json::Value& aShares)
{
  if (!aShares.isArray()) {
    return BadAnswer("shares", "array");
  }
  text_table table{ { "HOLDER", "INCARNATION", "GRANTED", "SPENT", "STATUS" },
                    { 1, 2, 3 },
                    {} };
  for (const Json::Value& share : aShares) {
    auto holder = StringOf(share, "holder");
    if (!IsOk(holder)) {
      return GetError(holder);
    }
    auto row =
      RowOf(share, GetValue(holder), { "incarnation", "granted", "spent" });
    if (!IsOk(row)) {
      return GetError(row);
    }
    if (!share["held"].isBool()) {
      return BadAnswer("shares.held", "boolean");
    }
    table.mRows.push_back(GetValue(std::move(row)));
    table.mRows.back().emplace_back(share["held"].asBool() ? "held" : "open");
  }
  return table.mRows.empty() ? std::string() : "\n" + Render(table);
}

cli_result<success> PrintAccount(const command_context& aContext,
                                 const std::string& aBudget,
                                 const Json::Value& aResponse)
{
  auto sums = RowOf(aResponse, aBudget, { "paid_in", "spent", "unallocated" });
  if (!IsOk(sums)) {
    return GetError(sums);
  }
  auto shares = ShareTable(aResponse["shares"]);
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
  aContext.mStreams.mOut << Render(table) << GetValue(shares);
  return success{};
}

// A write whose response cannot be read may have taken effect.
cli_result<success> AfterWrite(cli_result<success> aPrinted)
{
  if (IsOk(aPrinted)) {
    return aPrinted;
  }
  cli_failure failure = GetError(aPrinted);
  failure.mExit = exit_code::OutcomeUnknown;
  return failure;
}

cli_result<std::vector<std::string>> WorkspaceRow(const Json::Value& aEntry)
{
  auto id = StringOf(aEntry, "id");
  auto priority = StringOf(aEntry, "priority");
  for (const auto* field : { &id, &priority }) {
    if (!IsOk(*field)) {
      return GetError(*field);
    }
  }
  std::vector<std::string> budgets;
  if (!aEntry["budgets"].isArray()) {
    return BadAnswer("workspaces.budgets", "array");
  }
  for (const Json::Value& budget : aEntry["budgets"]) {
    if (!budget.isString()) {
      return BadAnswer("workspaces.budgets", "string");
    }
    budgets.push_back(budget.asString());
  }
  return std::vector<std::string>{ GetValue(id), GetValue(priority),
                                   absl::StrJoin(budgets, " ") };
}

} // namespace

cli_result<success> WorkspaceList(const command_context& aContext)
{
  auto response = CallRouter(
    aContext,
    { http_method::Get, "/admin/workspaces", {}, request_effect::Read });
  if (!IsOk(response)) {
    return GetError(response);
  }
  const Json::Value& root = GetValue(response);
  if (!root.isObject() || !root["workspaces"].isArray()) {
    return BadAnswer("workspaces", "array");
  }
  text_table table{ { "WORKSPACE", "PRIORITY", "BUDGETS" }, {}, {} };
  for (const Json::Value& entry : root["workspaces"]) {
    auto row = WorkspaceRow(entry);
    if (!IsOk(row)) {
      return GetError(row);
    }
    table.mRows.push_back(GetValue(std::move(row)));
  }
  aContext.mStreams.mOut << (IsJson(aContext) ? ToPrettyText(root) + "\n"
                                              : Render(table));
  return success{};
}

cli_result<success> WorkspaceTopUp(const command_context& aContext)
{
  const std::string& budget = aContext.mArguments[0];
  token_count amount = 0;
  if (!absl::SimpleAtoi(aContext.mArguments[1], &amount) || amount <= 0) {
    return UsageError("AMOUNT",
                      absl::StrCat("\"", aContext.mArguments[1],
                                   "\" is not a whole number from 1 to ",
                                   std::numeric_limits<token_count>::max()));
  }
  std::string id = aContext.mSettings.mId;
  if (id.empty()) {
    auto made = NewId("topup-");
    if (!IsOk(made)) {
      return GetError(made);
    }
    id = GetValue(std::move(made));
  }
  // Printed before sending, so that it is known after an interruption.
  aContext.mStreams.mErr << "top-up id " << id << " (repeat with --id=" << id
                         << " if the outcome is unknown)\n";
  Json::Value body;
  body["id"] = id;
  body["amount"] = static_cast<Json::Int64>(amount);
  auto response =
    CallRouter(aContext, { http_method::Post, BudgetPath(budget, "/topups"),
                           body, request_effect::Idempotent });
  if (!IsOk(response)) {
    return GetError(response);
  }
  return AfterWrite(PrintAccount(aContext, budget, GetValue(response)));
}

cli_result<success> WorkspaceUsage(const command_context& aContext)
{
  const std::string& budget = aContext.mArguments[0];
  auto response = CallRouter(
    aContext,
    { http_method::Get, BudgetPath(budget, ""), {}, request_effect::Read });
  if (!IsOk(response)) {
    return GetError(response);
  }
  return PrintAccount(aContext, budget, GetValue(response));
}

cli_result<success> WorkspaceRelease(const command_context& aContext)
{
  const std::string& budget = aContext.mArguments[0];
  incarnation_number incarnation = 0;
  if (!absl::SimpleAtoi(aContext.mArguments[2], &incarnation)) {
    return UsageError("INCARNATION",
                      absl::StrCat("\"", aContext.mArguments[2],
                                   "\" is not a number; \"workspace usage ",
                                   budget, "\" prints the held shares"));
  }
  Json::Value body;
  body["holder"] = aContext.mArguments[1];
  body["incarnation"] = static_cast<Json::UInt64>(incarnation);
  auto response =
    CallRouter(aContext, { http_method::Post, BudgetPath(budget, "/release"),
                           body, request_effect::Once });
  if (!IsOk(response)) {
    return GetError(response);
  }
  // A share that does not exist counts as released; the account shows one
  // that is still held because of a misspelt name.
  if (!IsJson(aContext)) {
    aContext.mStreams.mOut << "budget " << budget << " holds no share of "
                           << aContext.mArguments[1] << "/" << incarnation
                           << "\n\n";
  }
  return AfterWrite(PrintAccount(aContext, budget, GetValue(response)));
}

} // namespace foxtailquay
