#include <algorithm>

#include "enum_text.h"
#include "scenario.h"
#include "sim_config.h"
#include "yaml_fields.h"

namespace foxtailquay::scenario {

namespace {

using node = YAML::Node;
using text = std::string;
using field = std::function<void(step_fields&, const node&, const text&)>;

// Readers for the usual types of fields, by pointer to member.
field Text(text step_fields::*aMember)
{
  return [aMember](step_fields& aTo, const node& aFrom, const text& aFile) {
    aTo.*aMember = As<text>(aFrom, aFile);
  };
}

field Names(std::vector<text> step_fields::*aMember)
{
  return [aMember](step_fields& aTo, const node& aFrom, const text& aFile) {
    aTo.*aMember = AsNames(aFrom, aFile);
  };
}

template<typename Value>
field Plain(Value step_fields::*aMember)
{
  return [aMember](step_fields& aTo, const node& aFrom, const text& aFile) {
    aTo.*aMember = As<Value>(aFrom, aFile);
  };
}

template<typename Value>
field Plain(std::optional<Value> step_fields::*aMember)
{
  return [aMember](step_fields& aTo, const node& aFrom, const text& aFile) {
    aTo.*aMember = As<Value>(aFrom, aFile);
  };
}

template<typename Member>
field Time(Member step_fields::*aMember)
{
  return [aMember](step_fields& aTo, const node& aFrom, const text& aFile) {
    aTo.*aMember = AsDuration(aFrom, aFile);
  };
}

template<typename Enum>
field Word(std::optional<Enum> step_fields::*aMember)
{
  return [aMember](step_fields& aTo, const node& aFrom, const text& aFile) {
    aTo.*aMember = AsEnum<Enum>(aFrom, aFile);
  };
}

void ReadPatchField(step_fields& aTo, const node& aFrom, const text& aFile)
{
  auto patch = ReadPatch(aFrom, aFile);
  if (!IsOk(patch)) {
    throw yaml_failure{ GetError(patch) };
  }
  aTo.mPatch = GetValue(std::move(patch));
}

const std::map<text, field>& Fields()
{
  using f = step_fields;
  static const std::map<text, field> kFields = {
    { "at", Names(&f::mAt) },
    { "process", Names(&f::mProcesses) },
    { "routers", Names(&f::mRouters) },
    { "agents", Names(&f::mAgents) },
    { "between", Names(&f::mBetween) },
    { "and", Names(&f::mAnd) },
    { "one_way", Plain(&f::mOneWay) },
    { "as", Text(&f::mAs) },
    { "id", Text(&f::mId) },
    { "budget", Text(&f::mBudget) },
    { "workspace", Text(&f::mWorkspace) },
    { "model", Text(&f::mModel) },
    { "service", Text(&f::mService) },
    { "key", Text(&f::mKey) },
    { "body", Text(&f::mBody) },
    { "path", Text(&f::mPath) },
    { "request", Text(&f::mRequest) },
    { "operator", Text(&f::mOperator) },
    { "amount", Plain(&f::mAmount) },
    { "prompt", Plain(&f::mPrompt) },
    { "tokens", Plain(&f::mTokens) },
    { "max_tokens", Plain(&f::mMaxTokens) },
    { "break_after", Plain(&f::mBreakAfter) },
    { "stream", Plain(&f::mStream) },
    { "count", Plain(&f::mCount) },
    { "every", Time(&f::mEvery) },
    { "timeout", Time(&f::mTimeout) },
    { "latency", Time(&f::mLatency) },
    { "interval", Time(&f::mInterval) },
    { "for", Time(&f::mFor) },
    { "delay", Time(&f::mDelay) },
    { "mode", Word(&f::mMode) },
    { "area", Word(&f::mArea) },
    { "network_delay", Time(&f::mNetworkDelay) },
    { "jitter", Time(&f::mJitter) },
    { "loss", Plain(&f::mLoss) },
    { "duplicate", Plain(&f::mDuplicate) },
    { "fencing", Plain(&f::mFencing) },
    { "incarnation", Plain(&f::mIncarnation) },
    { "patch", &ReadPatchField },
    { "if_version", Plain(&f::mIfVersion) },
    { "outcome", Word(&f::mOutcome) },
    { "code", Word(&f::mCode) },
    { "ran", Word(&f::mExecuted) },
    { "at_least", Plain(&f::mAtLeast) },
    { "at_most", Plain(&f::mAtMost) },
    { "paid_in", Plain(&f::mPaidIn) },
    { "spent", Plain(&f::mSpent) },
    { "unallocated", Plain(&f::mUnallocated) },
    { "version", Plain(&f::mVersion) },
    { "ready", Plain(&f::mReady) },
    { "ok", Plain(&f::mOk) },
    { "status", Word(&f::mStatus) },
    { "runs", Plain(&f::mRuns) },
  };
  return kFields;
}

// Which fields a kind of step takes.
struct step_form
{
  step_kind mKind;
  // Field that a step without a mapping gives, as in "advance: 5s".
  const char* mShort;
  std::vector<const char*> mRequired;
  std::vector<const char*> mOptional;
};

const std::vector<step_form>& Forms()
{
  using k = step_kind;
  static const std::vector<step_form> kForms = {
    { k::Config, "patch", { "patch" }, {} },
    { k::Start, "", {}, { "routers", "agents" } },
    { k::Advance, "for", { "for" }, {} },
    { k::Settle, "as", {}, { "as" } },
    { k::TopUp, "", { "at", "as", "budget", "amount" }, { "id" } },
    { k::Release, "", { "at", "as", "budget", "process", "incarnation" }, {} },
    { k::Patch, "", { "at", "as", "if_version", "patch" }, { "id" } },
    { k::Drain, "process", { "process" }, {} },
    { k::Send,
      "",
      { "at", "as", "workspace" },
      { "model", "service", "key", "body", "path", "prompt", "tokens",
        "max_tokens", "break_after", "stream", "count", "every", "timeout",
        "latency", "interval" } },
    { k::Disconnect, "request", { "request" }, {} },
    { k::Cut, "", { "between", "and" }, { "one_way" } },
    { k::Heal, "as", {}, { "as", "between", "and", "one_way" } },
    { k::Network, "", {}, { "network_delay", "jitter", "loss", "duplicate" } },
    { k::Kill, "process", { "process" }, {} },
    { k::Restart, "process", { "process" }, {} },
    { k::Pause, "process", { "process" }, {} },
    { k::Resume, "process", { "process" }, {} },
    { k::Stop, "process", { "process" }, {} },
    { k::VmGone, "", { "at", "process" }, {} },
    { k::Store, "mode", {}, { "mode", "delay" } },
    { k::LoseAnswers, "count", { "count" }, { "area" } },
    { k::Command, "", { "process", "fencing" }, {} },
    { k::Expect, "", {}, { "request", "outcome",  "code",        "ran",
                           "count",   "at_least", "at_most",     "budget",
                           "paid_in", "spent",    "unallocated", "process",
                           "version", "ready",    "status",      "operator",
                           "ok",      "key",      "workspace",   "runs" } },
  };
  return kForms;
}

const step_form& FormOf(step_kind aKind)
{
  const auto& forms = Forms();
  return *std::find_if(
    forms.begin(), forms.end(),
    [aKind](const step_form& aForm) { return aForm.mKind == aKind; });
}

bool Lists(const std::vector<const char*>& aNames, const text& aName)
{
  return std::find(aNames.begin(), aNames.end(), aName) != aNames.end();
}

step_fields ReadStepFields(const step_form& aForm, const node& aNode,
                           const text& aFile)
{
  step_fields fields;
  const bool isPatch = aForm.mKind == step_kind::Config;
  if (!aNode.IsMap() || isPatch) {
    if (text(aForm.mShort).empty()) {
      throw yaml_failure{ YamlError(aFile, aNode, "expected a mapping") };
    }
    Fields().at(aForm.mShort)(fields, aNode, aFile);
    return fields;
  }
  for (const auto& entry : aNode) {
    const text name = entry.first.Scalar();
    if (!Lists(aForm.mRequired, name) && !Lists(aForm.mOptional, name)) {
      throw yaml_failure{ YamlError(aFile, entry.first,
                                    absl::StrCat("unknown word \"", name,
                                                 "\" in step ",
                                                 ToEnumText(aForm.mKind))) };
    }
    Fields().at(name)(fields, entry.second, aFile);
  }
  for (const char* name : aForm.mRequired) {
    if (!aNode[name]) {
      throw yaml_failure{ YamlError(aFile, aNode,
                                    absl::StrCat("step ",
                                                 ToEnumText(aForm.mKind),
                                                 " needs \"", name, "\"")) };
    }
  }
  return fields;
}

step ReadStep(const node& aNode, const text& aFile)
{
  if (!aNode.IsMap() || aNode.size() != 1) {
    throw yaml_failure{ YamlError(aFile, aNode, "expected one step") };
  }
  const auto entry = *aNode.begin();
  step parsed;
  parsed.mKind = AsEnum<step_kind>(entry.first, aFile);
  parsed.mPlace = YamlError(aFile, entry.first, "").mField;
  parsed.mFields = ReadStepFields(FormOf(parsed.mKind), entry.second, aFile);
  return parsed;
}

const field_readers<scenario_file>& ScenarioReaders()
{
  using s = scenario_file;
  static const field_readers<s> kReaders = {
    { "scenario",
      [](s& aTo, const node& aFrom, const text& aFile) {
        aTo.mName = As<text>(aFrom, aFile);
      } },
    { "guards",
      [](s& aTo, const node& aFrom, const text& aFile) {
        aTo.mGuards = As<text>(aFrom, aFile);
      } },
    { "seed",
      [](s& aTo, const node& aFrom, const text& aFile) {
        aTo.mSeed = As<std::uint64_t>(aFrom, aFile);
      } },
    { "steps",
      [](s& aTo, const node& aFrom, const text& aFile) {
        for (const node& child : aFrom) {
          aTo.mSteps.push_back(ReadStep(child, aFile));
        }
      } },
  };
  return kReaders;
}

} // namespace

result<scenario_file> ParseScenario(const std::string& aText,
                                    const std::string& aFile)
{
  try {
    const node root = YAML::Load(aText);
    scenario_file file = ReadFields(root, aFile, ScenarioReaders());
    if (file.mName.empty() || file.mGuards.empty() || file.mSteps.empty()) {
      return YamlError(aFile, root,
                       "a scenario needs \"scenario\", \"guards\", \"steps\"");
    }
    return file;
  } catch (const yaml_failure& failure) {
    return failure.mError;
  } catch (const YAML::Exception& exception) {
    return error{ error_code::InvalidConfig, executed::No,
                  absl::StrCat(aFile, ":", exception.mark.line + 1),
                  exception.msg, absl::ZeroDuration() };
  }
}

} // namespace foxtailquay::scenario
