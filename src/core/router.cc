#include "foxtailquay/router.h"

#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"
#include "router_state.h"

namespace foxtailquay {

namespace {

// Interval at which shares are adjusted and expired claims and operators'
// requests are removed.
constexpr absl::Duration kHousekeepingInterval = absl::Seconds(1);

void OnStoreResponse(router_state& aState, const store_response& aResponse,
                     absl::Time aNow)
{
  switch (aResponse.mKey.mArea) {
    case store_area::Accounts:
      OnAccountsResponse(aState, aResponse, aNow);
      break;
    case store_area::Claims:
      OnClaimsResponse(aState, aResponse, aNow);
      break;
    case store_area::Config:
      for (const auto& done : OnConfigResponse(aState.mNode, aResponse, aNow)) {
        OnPatchDone(aState, done, aNow);
      }
      break;
    case store_area::Members:
      if (aResponse.mStatus == store_status::Ok) {
        OnStoreReached(aState, aNow);
      }
      for (const auto& done :
           OnMembersResponse(aState.mNode, aResponse, aNow)) {
        const auto* leave = std::get_if<leave_op>(&done.mOp);
        if (leave != nullptr && leave->mProcess == aState.mNode.mSelf) {
          FireProcess(aState, process_event::Left, aNow);
        }
      }
      break;
  }
}

void OnEvent(router_state& aState, caller_request_event&& aEvent,
             absl::Time aNow)
{
  OnCallerRequest(aState, std::move(aEvent), aNow);
}

void OnEvent(router_state& aState, caller_disconnected_event&& aEvent,
             absl::Time aNow)
{
  const auto found = aState.mRequests.find(aEvent.mHandle);
  if (found != aState.mRequests.end()) {
    found->second.mCallerDisconnected = true;
    FireRequest(aState, found->second, request_event::CallerGone, aNow);
  }
}

void OnEvent(router_state& aState, run_accepted_event&& aEvent, absl::Time aNow)
{
  OnRunAccepted(aState, aEvent, aNow);
}

void OnEvent(router_state& aState, run_refused_event&& aEvent, absl::Time aNow)
{
  OnRunRefused(aState, aEvent, aNow);
}

void OnEvent(router_state& aState, run_finished_event&& aEvent, absl::Time aNow)
{
  OnRunFinished(aState, std::move(aEvent), aNow);
}

void OnEvent(router_state& aState, run_failed_event&& aEvent, absl::Time aNow)
{
  OnRunFailed(aState, aEvent, aNow);
}

void OnEvent(router_state& aState, message_event&& aEvent, absl::Time aNow)
{
  OnMessage(aState, aEvent.mEnvelope, aNow);
}

void OnEvent(router_state& aState, peer_unreachable_event&& aEvent,
             absl::Time aNow)
{
  OnPeerUnreachable(aState, aEvent.mMember, aNow);
}

void OnEvent(router_state& aState, store_response_event&& aEvent,
             absl::Time aNow)
{
  OnStoreResponse(aState, aEvent.mResponse, aNow);
}

void OnEvent(router_state& aState, vm_removed_event&& aEvent, absl::Time aNow)
{
  OnVmRemoved(aState, aEvent, aNow);
}

void OnEvent(router_state& aState, operator_event&& aEvent, absl::Time aNow)
{
  OnOperatorRequest(aState, std::move(aEvent), aNow);
}

void OnEvent(router_state& aState, stop_event&&, absl::Time aNow)
{
  FireProcess(aState, process_event::Stop, aNow);
}

void OnEvent(router_state&, tick_event&&, absl::Time) {}

// Does everything that is due at aNow. The process chart is advanced again at
// the end, because finished requests may allow the next step of a stop.
void AdvanceRouter(router_state& aState, absl::Time aNow)
{
  AdvanceProcess(aState, aNow);
  AdvanceTimers(aState, aNow);
  UpdateViews(aState, aNow);
  AdmitQueued(aState, aNow);
  const bool member = aState.mNode.mSelf.mIncarnation != 0;
  if (member && aState.mNextHousekeeping <= aNow) {
    aState.mNextHousekeeping = aNow + kHousekeepingInterval;
    AdvanceShares(aState, aNow);
    ExpireClaims(aState, aNow);
    ExpireOperatorRequests(aState, aNow);
  }
  if (member && aState.mNextGossip <= aNow) {
    SendGossip(aState, aNow);
  }
  if (member && aState.mNextStorePoll <= aNow) {
    PollStore(aState, aNow);
  }
  if (member) {
    RecordLosses(aState, aNow);
    AdvanceFences(aState, aNow);
    SendUpdates(aState);
  }
  RemoveFinished(aState);
  AdvanceProcess(aState, aNow);
}

void AdvanceStoreQueues(router_state& aState, absl::Time aNow)
{
  AdvanceQueues(aState.mNode, aNow);
  AdvanceAccountQueues(aState, aNow);
  for (auto& [shard, queue] : aState.mClaims) {
    if (auto request = TakeDueRequest(queue, aNow)) {
      aState.mNode.mStoreRequests.push_back(std::move(*request));
    }
  }
}

// Parses the chart of the given name into aChart and checks that the file
// defines that chart.
template<typename Chart>
result<success> LoadNamedChart(const std::map<std::string, std::string>& aTexts,
                               const std::string& aName, Chart& aChart)
{
  const std::string file = aName + ".yaml";
  const auto text = aTexts.find(file);
  if (text == aTexts.end()) {
    return error{ error_code::InvalidChart, executed::No, file,
                  "missing chart file", absl::ZeroDuration() };
  }
  auto table = ParseChart(text->second, file, ListNamesOfChart(aChart));
  if (!IsOk(table)) {
    return GetError(table);
  }
  if (GetValue(table).mName != aName) {
    return error{ error_code::InvalidChart, executed::No, file,
                  absl::StrCat("expected chart \"", aName, "\", got \"",
                               GetValue(table).mName, "\""),
                  absl::ZeroDuration() };
  }
  aChart.mTable = GetValue(std::move(table));
  return success{};
}

} // namespace

std::uint64_t AllocateOperationId(router_state& aState)
{
  return aState.mNextOperationId++;
}

result<node_charts_ptr> LoadCharts(
  const std::map<std::string, std::string>& aTexts)
{
  auto charts = std::make_unique<node_charts>();
  const result<success> loaded[] = {
    LoadNamedChart(aTexts, "request", charts->mRequest),
    LoadNamedChart(aTexts, "share", charts->mShare),
    LoadNamedChart(aTexts, "config_patch", charts->mPatch),
    LoadNamedChart(aTexts, "process", charts->mProcess),
    LoadNamedChart(aTexts, "run", charts->mRun),
    LoadNamedChart(aTexts, "backend_server", charts->mBackend),
  };
  for (const auto& one : loaded) {
    if (!IsOk(one)) {
      return GetError(one);
    }
  }
  return node_charts_ptr(charts.release());
}

void node_charts_deleter::operator()(const node_charts* aCharts) const
{
  delete aCharts;
}

void router_state_deleter::operator()(router_state* aState) const
{
  delete aState;
}

router_ptr MakeRouter(const node_settings& aSettings,
                      const router_options& aOptions,
                      const node_charts& aCharts)
{
  router_ptr router(new router_state);
  router->mNode = MakeNodeCore(aSettings, process_role::Router, aCharts,
                               aOptions.mStoreMinInterval);
  router->mOptions = aOptions;
  router->mSettleDelay = aOptions.mSettleDelay;
  router->mRouting.mRouter = aSettings.mMember;
  router->mRetryOptions.mMaxAttempts = aOptions.mMaxAttempts;
  return router;
}

std::vector<router_action> Step(router_state& aState, router_event aEvent,
                                absl::Time aNow)
{
  std::visit(
    [&aState, aNow](auto&& aTyped) {
      OnEvent(aState, std::forward<decltype(aTyped)>(aTyped), aNow);
    },
    std::move(aEvent));
  AdvanceRouter(aState, aNow);
  AdvanceStoreQueues(aState, aNow);
  std::vector<router_action> actions = std::exchange(aState.mActions, {});
  for (auto& request : std::exchange(aState.mNode.mStoreRequests, {})) {
    actions.emplace_back(store_action{ std::move(request) });
  }
  for (auto& send : std::exchange(aState.mNode.mSends, {})) {
    actions.emplace_back(std::move(send));
  }
  return actions;
}

absl::Time GetNextWakeTime(const router_state& aState)
{
  if (aState.mNode.mStatus == process_status::Starting) {
    return absl::InfinitePast();
  }
  absl::Time wake = GetNextQueueWakeTime(aState.mNode);
  for (const auto& [shard, queue] : aState.mAccounts) {
    wake = std::min(wake, GetNextWakeTime(queue));
  }
  for (const auto& [shard, queue] : aState.mClaims) {
    wake = std::min(wake, GetNextWakeTime(queue));
  }
  if (!aState.mTimers.empty()) {
    wake = std::min(wake, std::get<absl::Time>(*aState.mTimers.begin()));
  }
  if (aState.mNode.mSelf.mIncarnation != 0) {
    wake = std::min({ wake, aState.mNextHousekeeping, aState.mNextGossip,
                      aState.mNextStorePoll });
  }
  return std::min({ wake, GetNextExpiry(aState.mAdmission),
                    GetNextForwardWakeTime(aState), aState.mStopDeadline });
}

bool IsReady(const router_state& aState)
{
  return aState.mNode.mStatus == process_status::Ready;
}

const config_document& GetConfig(const router_state& aState)
{
  return aState.mNode.mConfig;
}

router_dump Dump(const router_state& aState)
{
  router_dump dump;
  dump.mProcess = aState.mNode.mSelf;
  dump.mStatus = std::string(ToName(aState.mNode.mStatus));
  dump.mConfigVersion = aState.mNode.mConfig.mVersion;
  dump.mMembersVersion = aState.mNode.mMembersVersion;
  dump.mMembers = aState.mNode.mMembers;
  for (const auto& [budget, share] : aState.mShares) {
    token_count reserved = 0;
    for (const auto& [number, amount] : share.mReservations) {
      reserved += amount;
    }
    dump.mShares.push_back({ share.mId, std::string(ToName(share.mStatus)),
                             share.mGranted, share.mCommittedSpent, reserved });
  }
  for (const auto& [id, view] : aState.mBackends) {
    const std::string status =
      view.mAddress.empty() ? "absent" : std::string(ToName(view.mStatus));
    dump.mBackends.push_back(
      { id, status, view.mOutstanding, view.mReport.mRunning });
  }
  for (const auto& [handle, request] : aState.mRequests) {
    dump.mRequests.push_back({ handle, std::string(ToName(request.mStatus)),
                               request.mRun, request.mBackend });
  }
  for (const auto& [shard, queue] : aState.mAccounts) {
    dump.mPendingStoreOps += queue.mPending.size();
  }
  for (const auto& [shard, queue] : aState.mClaims) {
    dump.mPendingStoreOps += queue.mPending.size();
  }
  return dump;
}

} // namespace foxtailquay
