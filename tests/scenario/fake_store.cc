#include "fake_store.h"

#include "absl/strings/str_cat.h"
#include "enum_text.h"
#include "sim_network.h"
#include "sim_process.h"

namespace foxtailquay::scenario {

namespace {

store_response ReplyTo(const store_request& aRequest, store_status aStatus)
{
  store_response response;
  response.mKey = aRequest.mKey;
  response.mIsWrite = aRequest.mWrite.has_value();
  response.mStatus = aStatus;
  return response;
}

void Answer(world& aWorld, std::uint64_t aCall, store_response aReply,
            absl::Duration aAfter)
{
  const process_ref to = aWorld.mStoreCalls.at(aCall).mFrom;
  Schedule(aWorld, aWorld.mNow + aAfter,
           { to, store_response_arrival{ aCall, std::move(aReply) } });
}

// --- Mutations --------------------------------------------------------------

void ChangeRead(const world& aWorld, const std::string& aReader,
                store_response& aReply)
{
  if (!aReply.mDocument) {
    return;
  }
  const store_area area = aReply.mKey.mArea;
  if (area == store_area::Claims &&
      HasFault(aWorld, injected_fault::IgnoreClaims)) {
    aReply.mDocument = claim_shard{};
  }
  const bool late = aReader == aWorld.mProcesses.rbegin()->first;
  if (area == store_area::Config &&
      (HasFault(aWorld, injected_fault::OldConfig) ||
       (late && HasFault(aWorld, injected_fault::WithholdConfig)))) {
    aReply.mDocument = aWorld.mObserver.mConfigs.begin()->second;
  }
}

void ChangeWrittenAccount(const world& aWorld, const account& aOld,
                          account& aNew)
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

store_document ChangeWrite(const world& aWorld, const store_key& aKey,
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
    ChangeWrittenAccount(aWorld,
                         before == old.mAccounts.end() ? foxtailquay::account{}
                                                       : before->second,
                         account);
  }
  return aNew;
}

// --- Service ----------------------------------------------------------------

store_response Read(world& aWorld, const open_store_call& aCall)
{
  ++aWorld.mStore.mReads;
  store_response response = ReplyTo(aCall.mRequest, store_status::Ok);
  const auto found = aWorld.mStore.mEntries.find(aCall.mRequest.mKey);
  if (found != aWorld.mStore.mEntries.end()) {
    response.mVersion = found->second.mVersion;
    response.mDocument = found->second.mDocument;
  }
  ChangeRead(aWorld, aCall.mFrom.mName, response);
  return response;
}

store_response Write(world& aWorld, const open_store_call& aCall)
{
  ++aWorld.mStore.mWrites;
  fake_store::entry& entry = aWorld.mStore.mEntries[aCall.mRequest.mKey];
  if (entry.mVersion != aCall.mRequest.mIfVersion) {
    return ReplyTo(aCall.mRequest, store_status::Conflict);
  }
  store_response response = ReplyTo(aCall.mRequest, store_status::Ok);
  entry.mDocument = ChangeWrite(aWorld, aCall.mRequest.mKey, entry.mDocument,
                                *aCall.mRequest.mWrite);
  response.mVersion = ++entry.mVersion;
  ObserveStoreWrite(aWorld, aCall.mRequest.mKey, *entry.mDocument);
  return response;
}

bool LosesAnswer(world& aWorld, const store_response& aReply)
{
  fake_store& store = aWorld.mStore;
  if (store.mLosesResponses == 0 || !aReply.mIsWrite ||
      aReply.mStatus != store_status::Ok ||
      (store.mLoseArea && *store.mLoseArea != aReply.mKey.mArea)) {
    return false;
  }
  --store.mLosesResponses;
  return true;
}

} // namespace

void CallStore(world& aWorld, const process_ref& aFrom,
               const store_request& aRequest)
{
  const std::uint64_t call = aWorld.mNextCall++;
  aWorld.mStoreCalls[call] = { aFrom, aRequest };
  Schedule(aWorld, aWorld.mNow + NextDelay(aWorld),
           { {}, store_arrival{ call } });
  Answer(aWorld, call, ReplyTo(aRequest, store_status::Unknown), kStoreTimeout);
}

void OnEvent(world& aWorld, const process_ref&, const store_arrival& aArrival)
{
  const open_store_call& call = aWorld.mStoreCalls.at(aArrival.mCall);
  if (aWorld.mStore.mMode == store_mode::Silent ||
      IsCut(aWorld, call.mFrom.mName, kStoreName)) {
    return;
  }
  if (aWorld.mStore.mMode == store_mode::Down) {
    Answer(aWorld, aArrival.mCall,
           ReplyTo(call.mRequest, store_status::Unavailable),
           NextDelay(aWorld));
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
  // The document is not needed again; a long run has many calls.
  found->second.mRequest.mWrite.reset();
  store_response response =
    call.mRequest.mWrite ? Write(aWorld, call) : Read(aWorld, call);
  if (LosesAnswer(aWorld, response) ||
      IsCut(aWorld, kStoreName, call.mFrom.mName)) {
    return;
  }
  Answer(aWorld, aEffect.mCall, std::move(response), NextDelay(aWorld));
}

void OnEvent(world& aWorld, const process_ref& aTarget,
             const store_response_arrival& aAnswer)
{
  open_store_call& call = aWorld.mStoreCalls.at(aAnswer.mCall);
  if (call.mAnswered) {
    return;
  }
  call.mAnswered = true;
  Trace(aWorld, absl::StrCat(aTarget.mName, " ",
                             aAnswer.mResponse.mIsWrite ? "write " : "read ",
                             ToString(aAnswer.mResponse.mKey), ": ",
                             ToEnumText(aAnswer.mResponse.mStatus), " version ",
                             aAnswer.mResponse.mVersion));
  const store_response_event event{ aAnswer.mResponse };
  if (aWorld.mProcesses.at(aTarget.mName).mRouter) {
    Feed(aWorld, aTarget.mName, router_event{ event });
  } else {
    Feed(aWorld, aTarget.mName, agent_event{ event });
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

const account* AccountOf(const fake_store& aStore, const budget_id& aBudget)
{
  for (const account_shard* shard :
       Documents<account_shard>(aStore, store_area::Accounts)) {
    const auto found = shard->mAccounts.find(aBudget);
    if (found != shard->mAccounts.end()) {
      return &found->second;
    }
  }
  return nullptr;
}

} // namespace foxtailquay::scenario
