#include "fake_store.h"

#include "absl/strings/str_cat.h"
#include "enum_text.h"
#include "sim_network.h"
#include "sim_process.h"

namespace foxtailquay::scenario {

namespace {

store_response MakeResponse(const store_request& aRequest, store_status aStatus)
{
  store_response response;
  response.mKey = aRequest.mKey;
  response.mIsWrite = aRequest.mWrite.has_value();
  response.mStatus = aStatus;
  return response;
}

// Schedules the response of a call after aAfter.
void ScheduleResponse(world& aWorld, std::uint64_t aCall,
                      store_response aResponse, absl::Duration aAfter)
{
  const process_ref to = aWorld.mStoreCalls.at(aCall).mFrom;
  Schedule(aWorld, aWorld.mNow + aAfter,
           { to, store_response_arrival{ aCall, std::move(aResponse) } });
}

// --- Injected faults ---------------------------------------------------------

void InjectReadFault(const world& aWorld, const std::string& aReader,
                     store_response& aResponse)
{
  if (!aResponse.mDocument) {
    return;
  }
  const store_area area = aResponse.mKey.mArea;
  if (area == store_area::Claims &&
      HasFault(aWorld, injected_fault::IgnoreClaims)) {
    aResponse.mDocument = claim_shard{};
  }
  const bool late = aReader == aWorld.mProcesses.rbegin()->first;
  if (area == store_area::Config &&
      (HasFault(aWorld, injected_fault::OldConfig) ||
       (late && HasFault(aWorld, injected_fault::WithholdConfig)))) {
    aResponse.mDocument = aWorld.mObserver.mConfigs.begin()->second;
  }
}

void InjectAccountFault(const world& aWorld, const account& aOld, account& aNew)
{
  for (auto& [holder, share] : aNew.mShares) {
    const auto old = aOld.mShares.find(holder);
    const token_count before =
      old == aOld.mShares.end() ? 0 : old->second.mSpent;
    if (HasFault(aWorld, injected_fault::SettleTwice)) {
      share.mSpent += share.mSpent - before;
    }
    if (HasFault(aWorld, injected_fault::LoseSettlement)) {
      share.mSpent = before;
    }
  }
}

store_document InjectWriteFault(const world& aWorld, const store_key& aKey,
                                const std::optional<store_document>& aOld,
                                store_document aNew)
{
  if (aKey.mArea != store_area::Accounts || aWorld.mFaults.empty()) {
    return aNew;
  }
  const account_shard empty;
  const account_shard& old = aOld ? std::get<account_shard>(*aOld) : empty;
  for (auto& [budget, account] : std::get<account_shard>(aNew).mAccounts) {
    const auto before = old.mAccounts.find(budget);
    InjectAccountFault(aWorld,
                       before == old.mAccounts.end() ? foxtailquay::account{}
                                                     : before->second,
                       account);
  }
  return aNew;
}

// --- Service ----------------------------------------------------------------

store_response ReadDocument(world& aWorld, const open_store_call& aCall)
{
  ++aWorld.mStore.mReads;
  store_response response = MakeResponse(aCall.mRequest, store_status::Ok);
  const auto found = aWorld.mStore.mEntries.find(aCall.mRequest.mKey);
  if (found != aWorld.mStore.mEntries.end()) {
    response.mVersion = found->second.mVersion;
    response.mDocument = found->second.mDocument;
  }
  InjectReadFault(aWorld, aCall.mFrom.mName, response);
  return response;
}

store_response WriteDocument(world& aWorld, const open_store_call& aCall)
{
  ++aWorld.mStore.mWrites;
  fake_store::entry& entry = aWorld.mStore.mEntries[aCall.mRequest.mKey];
  if (entry.mVersion != aCall.mRequest.mIfVersion) {
    return MakeResponse(aCall.mRequest, store_status::Conflict);
  }
  store_response response = MakeResponse(aCall.mRequest, store_status::Ok);
  entry.mDocument = InjectWriteFault(aWorld, aCall.mRequest.mKey,
                                     entry.mDocument, *aCall.mRequest.mWrite);
  response.mVersion = ++entry.mVersion;
  ObserveStoreWrite(aWorld, aCall.mRequest.mKey, *entry.mDocument);
  return response;
}

// Returns true if the response is one of those that the scenario loses, and
// counts it.
bool ConsumeResponseLoss(world& aWorld, const store_response& aResponse)
{
  fake_store& store = aWorld.mStore;
  if (store.mResponsesToLose == 0 || !aResponse.mIsWrite ||
      aResponse.mStatus != store_status::Ok ||
      (store.mLoseArea && *store.mLoseArea != aResponse.mKey.mArea)) {
    return false;
  }
  --store.mResponsesToLose;
  return true;
}

} // namespace

void CallStore(world& aWorld, const process_ref& aFrom,
               const store_request& aRequest)
{
  const std::uint64_t call = aWorld.mNextCall++;
  aWorld.mStoreCalls[call] = { aFrom, aRequest };
  Schedule(aWorld, aWorld.mNow + ChooseDelay(aWorld),
           { {}, store_arrival{ call } });
  ScheduleResponse(aWorld, call, MakeResponse(aRequest, store_status::Unknown),
                   kStoreTimeout);
}

void OnEvent(world& aWorld, const process_ref&, const store_arrival& aArrival)
{
  const open_store_call& call = aWorld.mStoreCalls.at(aArrival.mCall);
  if (aWorld.mStore.mMode == store_mode::Silent ||
      IsCut(aWorld, call.mFrom.mName, kStoreName)) {
    return;
  }
  if (aWorld.mStore.mMode == store_mode::Down) {
    ScheduleResponse(aWorld, aArrival.mCall,
                     MakeResponse(call.mRequest, store_status::Unavailable),
                     ChooseDelay(aWorld));
    return;
  }
  Schedule(aWorld, aWorld.mNow + aWorld.mStore.mDelay,
           { {}, store_effect{ aArrival.mCall } });
}

void OnEvent(world& aWorld, const process_ref&, const store_effect& aEffect)
{
  const auto found = aWorld.mStoreCalls.find(aEffect.mCall);
  if (found == aWorld.mStoreCalls.end()) {
    return;
  }
  const open_store_call call = found->second;
  // Frees the document, which is not needed again: a long scenario has many
  // calls.
  found->second.mRequest.mWrite.reset();
  store_response response = call.mRequest.mWrite ? WriteDocument(aWorld, call)
                                                 : ReadDocument(aWorld, call);
  if (ConsumeResponseLoss(aWorld, response) ||
      IsCut(aWorld, kStoreName, call.mFrom.mName)) {
    return;
  }
  ScheduleResponse(aWorld, aEffect.mCall, std::move(response),
                   ChooseDelay(aWorld));
}

void OnEvent(world& aWorld, const process_ref& aTarget,
             const store_response_arrival& aResponse)
{
  open_store_call& call = aWorld.mStoreCalls.at(aResponse.mCall);
  if (call.mHasResponse) {
    return;
  }
  call.mHasResponse = true;
  Trace(aWorld, absl::StrCat(aTarget.mName, " ",
                             aResponse.mResponse.mIsWrite ? "write " : "read ",
                             ToString(aResponse.mResponse.mKey), ": ",
                             ToEnumText(aResponse.mResponse.mStatus),
                             " version ", aResponse.mResponse.mVersion));
  const store_response_event event{ aResponse.mResponse };
  if (aWorld.mProcesses.at(aTarget.mName).mRouter) {
    StepProcess(aWorld, aTarget.mName, router_event{ event });
  } else {
    StepProcess(aWorld, aTarget.mName, agent_event{ event });
  }
}

void SeedConfig(world& aWorld, config_document aConfig)
{
  const store_key key{ store_area::Config, 0 };
  fake_store::entry& entry = aWorld.mStore.mEntries[key];
  ++entry.mVersion;
  entry.mDocument = std::move(aConfig);
  ObserveStoreWrite(aWorld, key, *entry.mDocument);
}

const account* FindAccount(const fake_store& aStore, const budget_id& aBudget)
{
  for (const account_shard* shard :
       ListDocuments<account_shard>(aStore, store_area::Accounts)) {
    const auto found = shard->mAccounts.find(aBudget);
    if (found != shard->mAccounts.end()) {
      return &found->second;
    }
  }
  return nullptr;
}

} // namespace foxtailquay::scenario
