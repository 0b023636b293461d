#include <limits>
#include <ostream>

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_join.h"
#include "cli/admin_client.h"
#include "cli/commands.h"
#include "cli/output.h"
#include "cli/text_table.h"
#include "foxtailquay/account.h"
#include "wire/document_codec.h"

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
    return ErrorOf(options);
  }
  return Call(ValueOf(options), aRequest);
}

// Reads the account out of an answer that also has its sums.
cli_result<account> AccountOf(Json::Value aAnswer)
{
  if (!aAnswer.isObject()) {
    return BadAnswer("account", "object");
  }
  aAnswer.removeMember("spent");
  aAnswer.removeMember("unallocated");
  auto decoded = AccountFromJson(aAnswer);
  if (!IsOk(decoded)) {
    return BadAnswer(ErrorOf(decoded).mField, "account field");
  }
  return ValueOf(std::move(decoded));
}

std::string ShareTable(const account& aAccount)
{
  text_table table{ { "HOLDER", "INCARNATION", "GRANTED", "SPENT", "STATUS" },
                    { 1, 2, 3 },
                    {} };
  for (const auto& [holder, share] : aAccount.mShares) {
    table.mRows.push_back(
      { holder.mMember.mValue, absl::StrCat(holder.mIncarnation),
        absl::StrCat(share.mGranted), absl::StrCat(share.mSpent),
        share.mHeld ? "held" : "open" });
  }
  return table.mRows.empty() ? "" : "\n" + Render(table);
}

cli_result<success> PrintAccount(const command_context& aContext,
                                 const std::string& aBudget,
                                 const Json::Value& aAnswer)
{
  auto decoded = AccountOf(aAnswer);
  if (!IsOk(decoded)) {
    return ErrorOf(decoded);
  }
  if (IsJson(aContext)) {
    aContext.mStreams.mOut << ToPrettyText(aAnswer) << "\n";
    return success{};
  }
  const account& shown = ValueOf(decoded);
  const text_table sums{ { "BUDGET", "PAID IN", "SPENT", "UNALLOCATED" },
                         { 1, 2, 3 },
                         { { aBudget, absl::StrCat(shown.mPaidIn),
                             absl::StrCat(Spent(shown)),
                             absl::StrCat(Unallocated(shown)) } } };
  aContext.mStreams.mOut << Render(sums) << ShareTable(shown);
  return success{};
}

// A write whose answer cannot be read may have taken effect.
cli_result<success> AfterWrite(cli_result<success> aPrinted)
{
  if (IsOk(aPrinted)) {
    return aPrinted;
  }
  cli_failure failure = ErrorOf(aPrinted);
  failure.mExit = exit_code::OutcomeUnknown;
  return failure;
}

cli_result<std::vector<std::string>> WorkspaceRow(const Json::Value& aEntry)
{
  auto id = StringOf(aEntry, "id");
  auto priority = StringOf(aEntry, "priority");
  for (const auto* field : { &id, &priority }) {
    if (!IsOk(*field)) {
      return ErrorOf(*field);
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
  return std::vector<std::string>{ ValueOf(id), ValueOf(priority),
                                   absl::StrJoin(budgets, " ") };
}

} // namespace

cli_result<success> WorkspaceList(const command_context& aContext)
{
  auto answer = CallRouter(
    aContext,
    { http_method::Get, "/admin/workspaces", {}, request_effect::Read });
  if (!IsOk(answer)) {
    return ErrorOf(answer);
  }
  const Json::Value& root = ValueOf(answer);
  if (!root.isObject() || !root["workspaces"].isArray()) {
    return BadAnswer("workspaces", "array");
  }
  text_table table{ { "WORKSPACE", "PRIORITY", "BUDGETS" }, {}, {} };
  for (const Json::Value& entry : root["workspaces"]) {
    auto row = WorkspaceRow(entry);
    if (!IsOk(row)) {
      return ErrorOf(row);
    }
    table.mRows.push_back(ValueOf(std::move(row)));
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
      return ErrorOf(made);
    }
    id = ValueOf(std::move(made));
  }
  // Printed before sending, so that it is known after an interruption.
  aContext.mStreams.mErr << "top-up id " << id << " (repeat with --id=" << id
                         << " if the outcome is unknown)\n";
  Json::Value body;
  body["id"] = id;
  body["amount"] = static_cast<Json::Int64>(amount);
  auto answer =
    CallRouter(aContext, { http_method::Post, BudgetPath(budget, "/topups"),
                           body, request_effect::Idempotent });
  if (!IsOk(answer)) {
    return ErrorOf(answer);
  }
  return AfterWrite(PrintAccount(aContext, budget, ValueOf(answer)));
}

cli_result<success> WorkspaceUsage(const command_context& aContext)
{
  const std::string& budget = aContext.mArguments[0];
  auto answer = CallRouter(
    aContext,
    { http_method::Get, BudgetPath(budget, ""), {}, request_effect::Read });
  if (!IsOk(answer)) {
    return ErrorOf(answer);
  }
  return PrintAccount(aContext, budget, ValueOf(answer));
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
  auto answer =
    CallRouter(aContext, { http_method::Post, BudgetPath(budget, "/release"),
                           body, request_effect::Once });
  if (!IsOk(answer)) {
    return ErrorOf(answer);
  }
  if (IsJson(aContext)) {
    aContext.mStreams.mOut << ToPrettyText(ValueOf(answer)) << "\n";
    return success{};
  }
  aContext.mStreams.mOut << "released the share of " << aContext.mArguments[1]
                         << "/" << incarnation << " in budget " << budget
                         << "\n";
  return success{};
}

} // namespace foxtailquay
