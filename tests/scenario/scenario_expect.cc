// Checks of expect steps, one function per kind of subject.

#include <algorithm>

#include "absl/strings/str_cat.h"
#include "enum_text.h"
#include "fake_store.h"
#include "scenario.h"
#include "sim_process.h"

namespace foxtailquay::scenario {

namespace {

using outcome = result<success>;

// Returns true if the request has the expected outcome, code and executed
// value.
bool Matches(const sim_request& aRequest, const step_fields& aFields)
{
  return (!aFields.mOutcome || *aFields.mOutcome == aRequest.mOutcome) &&
         (!aFields.mCode || *aFields.mCode == aRequest.mError.mCode) &&
         (!aFields.mExecuted ||
          *aFields.mExecuted == aRequest.mError.mExecuted);
}

// Returns the outcomes of the requests of one name with their numbers, for
// messages.
std::string DescribeOutcomes(const world& aWorld, const std::string& aName)
{
  std::map<std::string, int> counts;
  for (const sim_request& request : aWorld.mRequests) {
    if (request.mName == aName) {
      std::string text(ToEnumText(request.mOutcome));
      if (request.mOutcome == request_outcome::Refused ||
          request.mOutcome == request_outcome::BrokenOff) {
        absl::StrAppend(&text, "/", ToEnumText(request.mError.mCode), "/",
                        ToEnumText(request.mError.mExecuted));
      }
      ++counts[text];
    }
  }
  std::string all;
  for (const auto& [text, count] : counts) {
    absl::StrAppend(&all, " ", count, "x ", text);
  }
  return all;
}

// Checks aCount against the bounds of the step, or else against its count,
// which is aDefault if not given.
outcome ExpectCount(const step& aStep, const std::string& aWhat, int aCount,
                    int aDefault, const std::string& aSeen)
{
  const step_fields& fields = aStep.mFields;
  const bool bounded = fields.mAtLeast || fields.mAtMost;
  const bool ok = bounded ? aCount >= fields.mAtLeast.value_or(0) &&
                              aCount <= fields.mAtMost.value_or(aCount)
                          : aCount == fields.mCount.value_or(aDefault);
  if (!ok) {
    return MakeStepError(
      aStep, absl::StrCat(aCount, " ", aWhat, " match; found:", aSeen));
  }
  return success{};
}

outcome ExpectRequest(const step& aStep, world& aWorld)
{
  const step_fields& fields = aStep.mFields;
  int all = 0;
  int matching = 0;
  for (const sim_request& request : aWorld.mRequests) {
    if (request.mName == fields.mRequest) {
      ++all;
      matching += Matches(request, fields) ? 1 : 0;
    }
  }
  return ExpectCount(aStep, "requests " + fields.mRequest, matching, all,
                     DescribeOutcomes(aWorld, fields.mRequest));
}

outcome ExpectOperator(const step& aStep, world& aWorld)
{
  const step_fields& fields = aStep.mFields;
  int all = 0;
  int matching = 0;
  std::string seen;
  for (const sim_operator_call& call : aWorld.mOperatorCalls) {
    if (call.mName != fields.mOperator) {
      continue;
    }
    ++all;
    const bool answered = call.mResponse.has_value();
    const bool ok = answered && IsOk(*call.mResponse);
    const bool fits =
      answered && (!fields.mOk || *fields.mOk == ok) &&
      (!fields.mCode ||
       (!ok && GetError(*call.mResponse).mCode == *fields.mCode));
    matching += fits ? 1 : 0;
    absl::StrAppend(&seen, " ",
                    answered ? (ok ? "ok" : ToString(GetError(*call.mResponse)))
                             : "no response");
  }
  return ExpectCount(aStep, "operator requests " + fields.mOperator, matching,
                     all, seen);
}

template<typename Value>
outcome ExpectEqual(const step& aStep, const char* aWhat,
                    const std::optional<Value>& aExpected, Value aSeen)
{
  if (aExpected && *aExpected != aSeen) {
    return MakeStepError(aStep, absl::StrCat("expected ", aWhat, " ",
                                             *aExpected, ", got ", aSeen));
  }
  return success{};
}

outcome ExpectBudget(const step& aStep, world& aWorld)
{
  const step_fields& fields = aStep.mFields;
  const account* found = FindAccount(aWorld.mStore, { fields.mBudget });
  const account account = found == nullptr ? foxtailquay::account{} : *found;
  token_count spent = account.mClosedSpent;
  token_count free = account.mPaidIn - account.mClosedSpent;
  for (const auto& [holder, share] : account.mShares) {
    spent += share.mSpent;
    free -= share.mGranted;
  }
  for (const auto& checked :
       { ExpectEqual(aStep, "paid_in", fields.mPaidIn, account.mPaidIn),
         ExpectEqual(aStep, "spent", fields.mSpent, spent),
         ExpectEqual(aStep, "unallocated", fields.mUnallocated, free) }) {
    if (!IsOk(checked)) {
      return checked;
    }
  }
  return success{};
}

outcome ExpectProcess(const step& aStep, world& aWorld)
{
  const step_fields& fields = aStep.mFields;
  for (const std::string& name : fields.mProcesses) {
    const auto found = aWorld.mProcesses.find(name);
    if (found == aWorld.mProcesses.end()) {
      return MakeStepError(aStep, "unknown process " + name);
    }
    const sim_process& process = found->second;
    if (fields.mStatus && *fields.mStatus != process.mStatus) {
      return MakeStepError(aStep,
                           absl::StrCat(name, ": expected status ",
                                        ToEnumText(*fields.mStatus), ", got ",
                                        ToEnumText(process.mStatus)));
    }
    for (const auto& checked :
         { ExpectEqual(aStep, "version", fields.mVersion,
                       GetConfigVersion(process)),
           ExpectEqual(aStep, "ready", fields.mReady, IsReady(process)) }) {
      if (!IsOk(checked)) {
        return MakeStepError(
          aStep, absl::StrCat(name, ": ", GetError(checked).mDetail));
      }
    }
  }
  return success{};
}

// Checks how often a call that may not be repeated has run.
outcome ExpectNonRepeatableCall(const step& aStep, world& aWorld)
{
  const step_fields& fields = aStep.mFields;
  const auto& calls = aWorld.mObserver.mNonRepeatableRuns;
  const auto found =
    calls.find(absl::StrCat(fields.mWorkspace, "/", fields.mKey));
  return ExpectEqual(aStep, "number of runs", fields.mRuns,
                     found == calls.end() ? 0 : found->second);
}

} // namespace

result<success> RunExpect(const step& aStep, world& aWorld)
{
  const step_fields& fields = aStep.mFields;
  if (!fields.mRequest.empty()) {
    return ExpectRequest(aStep, aWorld);
  }
  if (!fields.mOperator.empty()) {
    return ExpectOperator(aStep, aWorld);
  }
  if (!fields.mBudget.empty()) {
    return ExpectBudget(aStep, aWorld);
  }
  if (!fields.mProcesses.empty()) {
    return ExpectProcess(aStep, aWorld);
  }
  if (!fields.mKey.empty()) {
    return ExpectNonRepeatableCall(aStep, aWorld);
  }
  return MakeStepError(
    aStep,
    "missing subject of expect; give request, operator, budget, process or "
    "key");
}

} // namespace foxtailquay::scenario
