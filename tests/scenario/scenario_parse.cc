// Parses scenario files.

#include <algorithm>

#include "enum_text.h"
#include "scenario.h"
#include "sim_config.h"
#include "yaml_fields.h"

namespace foxtailquay::scenario {

namespace {

using node = YAML::Node;
using text = std::string;
using field_parser =
  std::function<void(step_fields&, const node&, const text&)>;

// Each of these functions returns a parser that stores a value in a member of
// step_fields.
field_parser MakeTextParser(text step_fields::*aMember)
{
  return [aMember](step_fields& aTo, const node& aFrom, const text& aFile) {
    aTo.*aMember = ParseAs<text>(aFrom, aFile);
  };
}

field_parser MakeNamesParser(std::vector<text> step_fields::*aMember)
{
  return [aMember](step_fields& aTo, const node& aFrom, const text& aFile) {
    aTo.*aMember = ParseNames(aFrom, aFile);
  };
}

template<typename Value>
field_parser MakeValueParser(Value step_fields::*aMember)
{
  return [aMember](step_fields& aTo, const node& aFrom, const text& aFile) {
    aTo.*aMember = ParseAs<Value>(aFrom, aFile);
  };
}

template<typename Value>
field_parser MakeValueParser(std::optional<Value> step_fields::*aMember)
{
  return [aMember](step_fields& aTo, const node& aFrom, const text& aFile) {
    aTo.*aMember = ParseAs<Value>(aFrom, aFile);
  };
}

template<typename Member>
field_parser MakeDurationParser(Member step_fields::*aMember)
{
  return [aMember](step_fields& aTo, const node& aFrom, const text& aFile) {
    aTo.*aMember = ParseDuration(aFrom, aFile);
  };
}

template<typename Enum>
field_parser MakeEnumParser(std::optional<Enum> step_fields::*aMember)
{
  return [aMember](step_fields& aTo, const node& aFrom, const text& aFile) {
    aTo.*aMember = ParseEnum<Enum>(aFrom, aFile);
  };
}

void ParsePatchField(step_fields& aTo, const node& aFrom, const text& aFile)
{
  auto patch = ParseConfigPatch(aFrom, aFile);
  if (!IsOk(patch)) {
    throw yaml_failure{ GetError(patch) };
  }
  aTo.mPatch = GetValue(std::move(patch));
}

const std::map<text, field_parser>& GetFieldParsers()
{
  using f = step_fields;
  static const std::map<text, field_parser> kFields = {
    { "at", MakeNamesParser(&f::mAt) },
    { "process", MakeNamesParser(&f::mProcesses) },
    { "routers", MakeNamesParser(&f::mRouters) },
    { "agents", MakeNamesParser(&f::mAgents) },
    { "between", MakeNamesParser(&f::mBetween) },
    { "and", MakeNamesParser(&f::mAnd) },
    { "one_way", MakeValueParser(&f::mOneWay) },
    { "as", MakeTextParser(&f::mAs) },
    { "id", MakeTextParser(&f::mId) },
    { "budget", MakeTextParser(&f::mBudget) },
    { "workspace", MakeTextParser(&f::mWorkspace) },
    { "model", MakeTextParser(&f::mModel) },
    { "service", MakeTextParser(&f::mService) },
    { "key", MakeTextParser(&f::mKey) },
    { "body", MakeTextParser(&f::mBody) },
    { "path", MakeTextParser(&f::mPath) },
    { "request", MakeTextParser(&f::mRequest) },
    { "operator", MakeTextParser(&f::mOperator) },
    { "amount", MakeValueParser(&f::mAmount) },
    { "prompt", MakeValueParser(&f::mPrompt) },
    { "tokens", MakeValueParser(&f::mTokens) },
    { "max_tokens", MakeValueParser(&f::mMaxTokens) },
    { "break_after", MakeValueParser(&f::mBreakAfter) },
    { "stream", MakeValueParser(&f::mStream) },
    { "count", MakeValueParser(&f::mCount) },
    { "every", MakeDurationParser(&f::mEvery) },
    { "timeout", MakeDurationParser(&f::mTimeout) },
    { "latency", MakeDurationParser(&f::mLatency) },
    { "interval", MakeDurationParser(&f::mInterval) },
    { "for", MakeDurationParser(&f::mFor) },
    { "delay", MakeDurationParser(&f::mDelay) },
    { "mode", MakeEnumParser(&f::mMode) },
    { "area", MakeEnumParser(&f::mArea) },
    { "network_delay", MakeDurationParser(&f::mNetworkDelay) },
    { "jitter", MakeDurationParser(&f::mJitter) },
    { "loss", MakeValueParser(&f::mLoss) },
    { "duplicate", MakeValueParser(&f::mDuplicate) },
    { "fencing", MakeValueParser(&f::mFencing) },
    { "incarnation", MakeValueParser(&f::mIncarnation) },
    { "patch", &ParsePatchField },
    { "if_version", MakeValueParser(&f::mIfVersion) },
    { "outcome", MakeEnumParser(&f::mOutcome) },
    { "code", MakeEnumParser(&f::mCode) },
    { "ran", MakeEnumParser(&f::mExecuted) },
    { "at_least", MakeValueParser(&f::mAtLeast) },
    { "at_most", MakeValueParser(&f::mAtMost) },
    { "paid_in", MakeValueParser(&f::mPaidIn) },
    { "spent", MakeValueParser(&f::mSpent) },
    { "unallocated", MakeValueParser(&f::mUnallocated) },
    { "version", MakeValueParser(&f::mVersion) },
    { "ready", MakeValueParser(&f::mReady) },
    { "ok", MakeValueParser(&f::mOk) },
    { "status", MakeEnumParser(&f::mStatus) },
    { "runs", MakeValueParser(&f::mRuns) },
  };
  return kFields;
}

// The fields that a kind of step accepts.
struct step_form
{
  step_kind mKind;
  // Field set by a step without a mapping, as in "advance: 5s"; empty if the
  // step needs a mapping.
  const char* mShorthandField;
  std::vector<const char*> mRequired;
  std::vector<const char*> mOptional;
};

const std::vector<step_form>& GetStepForms()
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

const step_form& FindStepForm(step_kind aKind)
{
  const auto& forms = GetStepForms();
  return *std::find_if(
    forms.begin(), forms.end(),
    [aKind](const step_form& aForm) { return aForm.mKind == aKind; });
}

bool ContainsName(const std::vector<const char*>& aNames, const text& aName)
{
  return std::find(aNames.begin(), aNames.end(), aName) != aNames.end();
}

step_fields ParseStepFields(const step_form& aForm, const node& aNode,
                            const text& aFile)
{
  step_fields fields;
  const bool isPatch = aForm.mKind == step_kind::Config;
  if (!aNode.IsMap() || isPatch) {
    if (text(aForm.mShorthandField).empty()) {
      throw yaml_failure{ MakeYamlError(aFile, aNode, "expected a mapping") };
    }
    GetFieldParsers().at(aForm.mShorthandField)(fields, aNode, aFile);
    return fields;
  }
  for (const auto& entry : aNode) {
    const text name = entry.first.Scalar();
    if (!ContainsName(aForm.mRequired, name) &&
        !ContainsName(aForm.mOptional, name)) {
      throw yaml_failure{ MakeYamlError(
        aFile, entry.first,
        absl::StrCat("unknown word \"", name, "\" in step ",
                     ToEnumText(aForm.mKind))) };
    }
    GetFieldParsers().at(name)(fields, entry.second, aFile);
  }
  for (const char* name : aForm.mRequired) {
    if (!aNode[name]) {
      throw yaml_failure{ MakeYamlError(
        aFile, aNode,
        absl::StrCat("missing \"", name, "\" in step ",
                     ToEnumText(aForm.mKind))) };
    }
  }
  return fields;
}

step ParseStep(const node& aNode, const text& aFile)
{
  if (!aNode.IsMap() || aNode.size() != 1) {
    throw yaml_failure{ MakeYamlError(aFile, aNode,
                                      "expected a mapping with one step") };
  }
  const auto entry = *aNode.begin();
  step parsed;
  parsed.mKind = ParseEnum<step_kind>(entry.first, aFile);
  parsed.mLocation = MakeYamlError(aFile, entry.first, "").mField;
  parsed.mFields =
    ParseStepFields(FindStepForm(parsed.mKind), entry.second, aFile);
  return parsed;
}

const field_parsers<scenario_file>& GetScenarioParsers()
{
  using s = scenario_file;
  static const field_parsers<s> kParsers = {
    { "scenario",
      [](s& aTo, const node& aFrom, const text& aFile) {
        aTo.mName = ParseAs<text>(aFrom, aFile);
      } },
    { "guards",
      [](s& aTo, const node& aFrom, const text& aFile) {
        aTo.mGuards = ParseAs<text>(aFrom, aFile);
      } },
    { "seed",
      [](s& aTo, const node& aFrom, const text& aFile) {
        aTo.mSeed = ParseAs<std::uint64_t>(aFrom, aFile);
      } },
    { "steps",
      [](s& aTo, const node& aFrom, const text& aFile) {
        for (const node& child : aFrom) {
          aTo.mSteps.push_back(ParseStep(child, aFile));
        }
      } },
  };
  return kParsers;
}

} // namespace

result<scenario_file> ParseScenario(const std::string& aText,
                                    const std::string& aFile)
{
  try {
    const node root = YAML::Load(aText);
    scenario_file file = ParseFields(root, aFile, GetScenarioParsers());
    if (file.mName.empty() || file.mGuards.empty() || file.mSteps.empty()) {
      return MakeYamlError(aFile, root,
                           "missing \"scenario\", \"guards\" or \"steps\"");
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
