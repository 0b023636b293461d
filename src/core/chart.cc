#include "foxtailquay/chart.h"

#include <algorithm>
#include <initializer_list>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_join.h"
#include "yaml-cpp/yaml.h"

namespace foxtailquay {

namespace {

// Returns an InvalidChart error whose field is "file:line".
error MakeChartError(std::string_view aFile, const YAML::Mark& aMark,
                     std::string aDetail)
{
  return error{ error_code::InvalidChart, executed::No,
                absl::StrCat(std::string(aFile), ":", aMark.line + 1),
                std::move(aDetail), absl::ZeroDuration() };
}

// Returns the index of a node's text in a name table. aKind says in the error
// message what is named.
result<std::size_t> ParseNameIndex(const YAML::Node& aNode,
                                   const std::vector<std::string_view>& aNames,
                                   std::string_view aKind,
                                   std::string_view aFile)
{
  if (!aNode.IsScalar()) {
    return MakeChartError(
      aFile, aNode.Mark(),
      absl::StrCat("expected the name of a ", std::string(aKind)));
  }
  const auto found = std::find(aNames.begin(), aNames.end(), aNode.Scalar());
  if (found == aNames.end()) {
    return MakeChartError(aFile, aNode.Mark(),
                          absl::StrCat("unknown ", std::string(aKind), " \"",
                                       aNode.Scalar(), "\""));
  }
  return static_cast<std::size_t>(found - aNames.begin());
}

// Checks that the node is a mapping without other keys than aAllowed.
result<success> CheckKeys(const YAML::Node& aNode,
                          std::initializer_list<std::string_view> aAllowed,
                          std::string_view aFile)
{
  if (!aNode.IsMap()) {
    return MakeChartError(aFile, aNode.Mark(), "expected a mapping");
  }
  for (const auto& entry : aNode) {
    const std::string& key = entry.first.Scalar();
    if (std::find(aAllowed.begin(), aAllowed.end(), key) == aAllowed.end()) {
      return MakeChartError(aFile, entry.first.Mark(),
                            absl::StrCat("unknown key \"", key, "\""));
    }
  }
  return success{};
}

result<chart_transition> ParseTransition(const YAML::Node& aNode,
                                         std::string_view aFile,
                                         const chart_names& aNames)
{
  auto keys = CheckKeys(aNode, { "guard", "target", "actions" }, aFile);
  if (!IsOk(keys)) {
    return GetError(keys);
  }
  chart_transition transition;
  if (const YAML::Node guard = aNode["guard"]) {
    auto index = ParseNameIndex(guard, aNames.mGuards, "guard", aFile);
    if (!IsOk(index)) {
      return GetError(index);
    }
    transition.mGuard = GetValue(index);
  }
  if (!aNode["target"]) {
    return MakeChartError(aFile, aNode.Mark(), "missing key \"target\"");
  }
  auto target = ParseNameIndex(aNode["target"], aNames.mStates, "state", aFile);
  if (!IsOk(target)) {
    return GetError(target);
  }
  transition.mTarget = GetValue(target);
  for (const YAML::Node& action : aNode["actions"]) {
    auto index = ParseNameIndex(action, aNames.mActions, "action", aFile);
    if (!IsOk(index)) {
      return GetError(index);
    }
    transition.mActions.push_back(GetValue(index));
  }
  return transition;
}

// Parses the alternatives of one event. Only the last one has no guard, so that
// exactly one alternative is always chosen.
result<std::vector<chart_transition>> ParseAlternatives(
  const YAML::Node& aNode, std::string_view aFile, const chart_names& aNames)
{
  if (!aNode.IsSequence() || aNode.size() == 0) {
    return MakeChartError(aFile, aNode.Mark(),
                          "expected a list of transitions");
  }
  std::vector<chart_transition> alternatives;
  for (const YAML::Node& node : aNode) {
    if (!alternatives.empty() && alternatives.back().mGuard == kNoGuard) {
      return MakeChartError(aFile, node.Mark(),
                            "transition follows one without a guard");
    }
    auto transition = ParseTransition(node, aFile, aNames);
    if (!IsOk(transition)) {
      return GetError(transition);
    }
    alternatives.push_back(GetValue(std::move(transition)));
  }
  if (alternatives.back().mGuard != kNoGuard) {
    return MakeChartError(aFile, aNode.Mark(),
                          "the last alternative must have no guard");
  }
  return alternatives;
}

// Parses a state and checks that it handles or ignores every event.
result<chart_state> ParseState(const YAML::Node& aKey, const YAML::Node& aNode,
                               std::string_view aFile,
                               const chart_names& aNames)
{
  auto keys = CheckKeys(aNode, { "on", "ignore", "final" }, aFile);
  if (!IsOk(keys)) {
    return GetError(keys);
  }
  chart_state state;
  state.mOn.resize(aNames.mEvents.size());
  if (aNode["final"] && aNode["final"].as<bool>(false)) {
    state.mFinal = true;
    if (aNode["on"] || aNode["ignore"]) {
      return MakeChartError(aFile, aKey.Mark(),
                            "a final state handles no event");
    }
    return state;
  }
  std::vector<bool> covered(aNames.mEvents.size(), false);
  for (const auto& entry : aNode["on"]) {
    auto event = ParseNameIndex(entry.first, aNames.mEvents, "event", aFile);
    if (!IsOk(event)) {
      return GetError(event);
    }
    auto alternatives = ParseAlternatives(entry.second, aFile, aNames);
    if (!IsOk(alternatives)) {
      return GetError(alternatives);
    }
    covered[GetValue(event)] = true;
    state.mOn[GetValue(event)] = GetValue(std::move(alternatives));
  }
  for (const YAML::Node& node : aNode["ignore"]) {
    auto event = ParseNameIndex(node, aNames.mEvents, "event", aFile);
    if (!IsOk(event)) {
      return GetError(event);
    }
    if (covered[GetValue(event)]) {
      return MakeChartError(aFile, node.Mark(),
                            absl::StrCat("event \"", node.Scalar(),
                                         "\" is both handled and ignored"));
    }
    covered[GetValue(event)] = true;
  }
  for (std::size_t i = 0; i < covered.size(); ++i) {
    if (!covered[i]) {
      return MakeChartError(aFile, aKey.Mark(),
                            absl::StrCat("state \"", aKey.Scalar(),
                                         "\" does not handle event \"",
                                         std::string(aNames.mEvents[i]), "\""));
    }
  }
  return state;
}

// Returns for each state whether transitions lead to it from the initial state.
std::vector<bool> FindReachableStates(const chart_table& aChart)
{
  std::vector<bool> reached(aChart.mStates.size(), false);
  std::vector<std::size_t> pending{ aChart.mInitial };
  reached[aChart.mInitial] = true;
  while (!pending.empty()) {
    const std::size_t state = pending.back();
    pending.pop_back();
    for (const auto& alternatives : aChart.mStates[state].mOn) {
      for (const chart_transition& transition : alternatives) {
        if (!reached[transition.mTarget]) {
          reached[transition.mTarget] = true;
          pending.push_back(transition.mTarget);
        }
      }
    }
  }
  return reached;
}

// Parses the chart and checks that every state is defined once and reachable.
result<chart_table> ParseRoot(const YAML::Node& aRoot, std::string_view aFile,
                              const chart_names& aNames)
{
  auto keys = CheckKeys(aRoot, { "chart", "initial", "states" }, aFile);
  if (!IsOk(keys)) {
    return GetError(keys);
  }
  if (!aRoot["chart"] || !aRoot["initial"] || !aRoot["states"] ||
      !aRoot["states"].IsMap()) {
    return MakeChartError(
      aFile, aRoot.Mark(),
      "a chart needs \"chart\", \"initial\" and \"states\"");
  }
  chart_table chart;
  chart.mName = aRoot["chart"].Scalar();
  auto initial =
    ParseNameIndex(aRoot["initial"], aNames.mStates, "state", aFile);
  if (!IsOk(initial)) {
    return GetError(initial);
  }
  chart.mInitial = GetValue(initial);
  chart.mStates.resize(aNames.mStates.size());
  std::vector<YAML::Mark> marks(aNames.mStates.size());
  std::vector<bool> defined(aNames.mStates.size(), false);
  for (const auto& entry : aRoot["states"]) {
    auto index = ParseNameIndex(entry.first, aNames.mStates, "state", aFile);
    if (!IsOk(index)) {
      return GetError(index);
    }
    if (defined[GetValue(index)]) {
      return MakeChartError(
        aFile, entry.first.Mark(),
        absl::StrCat("state \"", entry.first.Scalar(), "\" is defined twice"));
    }
    auto state = ParseState(entry.first, entry.second, aFile, aNames);
    if (!IsOk(state)) {
      return GetError(state);
    }
    defined[GetValue(index)] = true;
    marks[GetValue(index)] = entry.first.Mark();
    chart.mStates[GetValue(index)] = GetValue(std::move(state));
  }
  for (std::size_t i = 0; i < defined.size(); ++i) {
    if (!defined[i]) {
      return MakeChartError(aFile, aRoot["states"].Mark(),
                            absl::StrCat("state \"",
                                         std::string(aNames.mStates[i]),
                                         "\" is not defined"));
    }
  }
  const std::vector<bool> reached = FindReachableStates(chart);
  for (std::size_t i = 0; i < reached.size(); ++i) {
    if (!reached[i]) {
      return MakeChartError(aFile, marks[i],
                            absl::StrCat("state \"",
                                         std::string(aNames.mStates[i]),
                                         "\" cannot be reached"));
    }
  }
  return chart;
}

} // namespace

result<chart_table> ParseChart(std::string_view aText, std::string_view aFile,
                               const chart_names& aNames)
{
  try {
    return ParseRoot(YAML::Load(std::string(aText)), aFile, aNames);
  } catch (const YAML::Exception& exception) {
    return MakeChartError(aFile, exception.mark, exception.msg);
  }
}

std::string ToMarkdown(const chart_table& aChart, const chart_names& aNames)
{
  std::string text =
    absl::StrCat("## ", aChart.mName, "\n\nInitial state: `",
                 std::string(aNames.mStates[aChart.mInitial]),
                 "`\n\n| state | event | guard | next state | actions |\n"
                 "|---|---|---|---|---|\n");
  for (std::size_t s = 0; s < aChart.mStates.size(); ++s) {
    const std::string state(aNames.mStates[s]);
    if (aChart.mStates[s].mFinal) {
      absl::StrAppend(&text, "| `", state, "` | (final) | | | |\n");
    }
    for (std::size_t e = 0; e < aChart.mStates[s].mOn.size(); ++e) {
      for (const chart_transition& transition : aChart.mStates[s].mOn[e]) {
        std::vector<std::string> actions;
        for (std::size_t action : transition.mActions) {
          actions.push_back(
            absl::StrCat("`", std::string(aNames.mActions[action]), "`"));
        }
        const std::string guard =
          transition.mGuard == kNoGuard
            ? ""
            : absl::StrCat("`", std::string(aNames.mGuards[transition.mGuard]),
                           "`");
        absl::StrAppend(&text, "| `", state, "` | `",
                        std::string(aNames.mEvents[e]), "` | ", guard, " | `",
                        std::string(aNames.mStates[transition.mTarget]), "` | ",
                        absl::StrJoin(actions, ", "), " |\n");
      }
    }
  }
  return text;
}

} // namespace foxtailquay
