#include "wire/state_json.h"

#include "wire/document_codec.h"
#include "wire/message_fields.h"

namespace foxtailquay {

// --- Tables of the dumps' fields --------------------------------------------

constexpr auto ListFields(const share_dump*)
{
  return std::make_tuple(Required("share", &share_dump::mShare),
                         Required("status", &share_dump::mStatus),
                         Required("granted", &share_dump::mGranted),
                         Required("spent", &share_dump::mSpent),
                         Required("reserved", &share_dump::mReserved));
}

constexpr auto ListFields(const backend_dump*)
{
  return std::make_tuple(
    Required("backend", &backend_dump::mBackend),
    Required("status", &backend_dump::mStatus),
    Required("outstanding", &backend_dump::mOutstanding),
    Required("reported_running", &backend_dump::mReportedRunning));
}

constexpr auto ListFields(const request_dump*)
{
  return std::make_tuple(Required("handle", &request_dump::mHandle),
                         Required("status", &request_dump::mStatus),
                         Required("request", &request_dump::mRequest),
                         Required("backend", &request_dump::mBackend));
}

constexpr auto ListFields(const router_dump*)
{
  return std::make_tuple(
    Required("process", &router_dump::mProcess),
    Required("status", &router_dump::mStatus),
    Required("config_version", &router_dump::mConfigVersion),
    Required("members_version", &router_dump::mMembersVersion),
    Required("members", &router_dump::mMembers),
    Required("shares", &router_dump::mShares),
    Required("backends", &router_dump::mBackends),
    Required("requests", &router_dump::mRequests),
    Required("pending_store_ops", &router_dump::mPendingStoreOps));
}

constexpr auto ListFields(const run_dump*)
{
  return std::make_tuple(Required("handle", &run_dump::mHandle),
                         Required("request", &run_dump::mRequest),
                         Required("status", &run_dump::mStatus));
}

constexpr auto ListFields(const agent_dump*)
{
  return std::make_tuple(
    Required("process", &agent_dump::mProcess),
    Required("status", &agent_dump::mStatus),
    Required("config_version", &agent_dump::mConfigVersion),
    Required("members_version", &agent_dump::mMembersVersion),
    Required("load", &agent_dump::mLoad), Required("runs", &agent_dump::mRuns),
    Required("records", &agent_dump::mRecords));
}

namespace {

struct share_summary
{
  member_id mHolder;
  incarnation_number mIncarnation = 0;
  token_count mGranted = 0;
  token_count mSpent = 0;
  bool mHeld = false;
};

constexpr auto ListFields(const share_summary*)
{
  return std::make_tuple(Required("holder", &share_summary::mHolder),
                         Required("incarnation", &share_summary::mIncarnation),
                         Required("granted", &share_summary::mGranted),
                         Required("spent", &share_summary::mSpent),
                         Required("held", &share_summary::mHeld));
}

struct account_summary
{
  budget_id mBudget;
  token_count mPaidIn = 0;
  token_count mSpent = 0;
  token_count mUnallocated = 0;
  std::vector<share_summary> mShares;
};

constexpr auto ListFields(const account_summary*)
{
  return std::make_tuple(
    Required("id", &account_summary::mBudget),
    Required("paid_in", &account_summary::mPaidIn),
    Required("spent", &account_summary::mSpent),
    Required("unallocated", &account_summary::mUnallocated),
    Required("shares", &account_summary::mShares));
}

struct workspace_summary
{
  workspace_id mWorkspace;
  std::vector<budget_id> mBudgets;
  priority_class mPriority = priority_class::Standard;
};

constexpr auto ListFields(const workspace_summary*)
{
  return std::make_tuple(Required("id", &workspace_summary::mWorkspace),
                         Required("budgets", &workspace_summary::mBudgets),
                         Required("priority", &workspace_summary::mPriority));
}

} // namespace

Json::Value ToJson(const router_dump& aDump)
{
  return EncodeValue(aDump);
}

Json::Value ToJson(const agent_dump& aDump)
{
  return EncodeValue(aDump);
}

Json::Value MakeAccountSummary(const budget_id& aBudget,
                               const account& aAccount)
{
  account_summary summary{ aBudget,
                           aAccount.mPaidIn,
                           ComputeSpent(aAccount),
                           ComputeUnallocated(aAccount),
                           {} };
  for (const auto& [holder, share] : aAccount.mShares) {
    summary.mShares.push_back({ holder.mMember, holder.mIncarnation,
                                share.mGranted, share.mSpent, share.mHeld });
  }
  return EncodeValue(summary);
}

Json::Value MakeWorkspaceList(const config_document& aConfig)
{
  std::vector<workspace_summary> list;
  for (const auto& [id, workspace] : aConfig.mWorkspaces) {
    workspace_summary summary{ id, {}, workspace.mPriority };
    for (const budget_config& budget : workspace.mBudgets) {
      summary.mBudgets.push_back(budget.mBudget);
    }
    list.push_back(std::move(summary));
  }
  Json::Value json(Json::objectValue);
  json["workspaces"] = EncodeValue(list);
  return json;
}

} // namespace foxtailquay
