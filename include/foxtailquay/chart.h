// State charts that are loaded from files and interpreted.
//
// A chart file is YAML:
//
//   chart: share
//   initial: absent
//   states:
//     absent:
//       on:
//         demand:
//           - {target: requesting, actions: [request_grant]}
//       ignore: [tick]
//     closed: {final: true}
//
// The words come from the name tables of the chart's four enumerations. Loading
// fails, with file and line, on an unknown word, on an unreachable state, on a
// state that neither handles nor ignores some event, and on a list of
// alternatives whose last entry has a guard.
//
//   auto chart = LoadChart<share_status, share_event, share_guard,
//                          share_action>(text, "share.yaml");
//   for (share_action action : Fire(GetValue(chart), state, event, context,
//                                   &EvaluateGuard)) { ... }
//
// A loaded chart is immutable and may be read from any thread.

#ifndef FOXTAILQUAY_CHART_H
#define FOXTAILQUAY_CHART_H

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

#include "foxtailquay/name_table.h"
#include "foxtailquay/result.h"

namespace foxtailquay {

// Guard index of a transition without a guard.
constexpr std::size_t kNoGuard = static_cast<std::size_t>(-1);

// One alternative for an event. Guard, target and actions are indices of
// enumerators.
struct chart_transition
{
  std::size_t mGuard = kNoGuard;
  std::size_t mTarget = 0;
  std::vector<std::size_t> mActions;
};

// One state of a chart.
struct chart_state
{
  bool mFinal = false;
  // Alternatives for each event, tried in order. An empty list ignores the
  // event.
  std::vector<std::vector<chart_transition>> mOn;
};

// The words that a chart may use, in the order of the enumerators.
struct chart_names
{
  std::vector<std::string_view> mStates;
  std::vector<std::string_view> mEvents;
  std::vector<std::string_view> mGuards;
  std::vector<std::string_view> mActions;
};

// A checked chart, with enumerators as indices.
struct chart_table
{
  std::string mName;
  std::size_t mInitial = 0;
  std::vector<chart_state> mStates;
};

// Parses and checks one chart. aFile appears only in error messages. Errors:
// InvalidChart with mField "file:line".
result<chart_table> ParseChart(std::string_view aText, std::string_view aFile,
                               const chart_names& aNames);

// Returns the chart as a Markdown section with one table.
std::string ToMarkdown(const chart_table& aChart, const chart_names& aNames);

// Returns the names of all enumerators of Enum, in order.
template<typename Enum>
std::vector<std::string_view> ListEnumeratorNames()
{
  std::vector<std::string_view> names;
  for (const auto& entry : NameTable(Enum{})) {
    names.push_back(entry.mName);
  }
  return names;
}

// A chart_table together with the types of its enumerations.
template<typename State, typename Event, typename Guard, typename Action>
struct chart
{
  chart_table mTable;
};

// Returns the words of a chart with these enumerations.
template<typename State, typename Event, typename Guard, typename Action>
chart_names ListChartNames()
{
  return { ListEnumeratorNames<State>(), ListEnumeratorNames<Event>(),
           ListEnumeratorNames<Guard>(), ListEnumeratorNames<Action>() };
}

// Returns the words of a typed chart; the enumerations are deduced from the
// argument.
template<typename State, typename Event, typename Guard, typename Action>
chart_names ListNamesOfChart(const chart<State, Event, Guard, Action>&)
{
  return ListChartNames<State, Event, Guard, Action>();
}

// Parses and checks a typed chart. Errors: InvalidChart.
template<typename State, typename Event, typename Guard, typename Action>
result<chart<State, Event, Guard, Action>> LoadChart(std::string_view aText,
                                                     std::string_view aFile)
{
  auto table =
    ParseChart(aText, aFile, ListChartNames<State, Event, Guard, Action>());
  if (!IsOk(table)) {
    return GetError(table);
  }
  return chart<State, Event, Guard, Action>{ GetValue(std::move(table)) };
}

// Returns the initial state of aChart.
template<typename State, typename Event, typename Guard, typename Action>
State GetInitialState(const chart<State, Event, Guard, Action>& aChart)
{
  return static_cast<State>(aChart.mTable.mInitial);
}

// Returns true if no event leaves aState.
template<typename State, typename Event, typename Guard, typename Action>
bool IsFinal(const chart<State, Event, Guard, Action>& aChart, State aState)
{
  return aChart.mTable.mStates[static_cast<std::size_t>(aState)].mFinal;
}

// Fires aEvent: moves aState along the first transition whose guard holds and
// returns that transition's actions, in order, for the caller to perform. An
// ignored event, or any event in a final state, returns no actions.
// EvaluateGuard is bool(Guard, const Context&).
template<typename State, typename Event, typename Guard, typename Action,
         typename Context, typename EvaluateGuard>
// Moves aState along the first transition for aEvent whose guard holds and
// returns the actions of that transition, in order; the caller performs them.
// An ignored event and any event in a final state return no actions. aEvaluate
// is bool(Guard, const Context&).
std::vector<Action> Fire(const chart<State, Event, Guard, Action>& aChart,
                         State& aState, Event aEvent, const Context& aContext,
                         EvaluateGuard aEvaluate)
{
  const chart_state& from =
    aChart.mTable.mStates[static_cast<std::size_t>(aState)];
  if (from.mFinal) {
    return {};
  }
  for (const chart_transition& transition :
       from.mOn[static_cast<std::size_t>(aEvent)]) {
    if (transition.mGuard != kNoGuard &&
        !aEvaluate(static_cast<Guard>(transition.mGuard), aContext)) {
      continue;
    }
    aState = static_cast<State>(transition.mTarget);
    std::vector<Action> actions;
    actions.reserve(transition.mActions.size());
    for (std::size_t action : transition.mActions) {
      actions.push_back(static_cast<Action>(action));
    }
    return actions;
  }
  return {};
}

} // namespace foxtailquay

#endif
