// State charts that are read from files and interpreted.
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
// Names come from the name tables of the chart's four enumerations. Loading
// fails, with file and line, on an unknown name, on an unreachable state, on
// a state in which some event is neither handled nor ignored, and on a list
// of alternatives whose last entry still has a guard.
//
//   auto chart = LoadChart<share_status, share_event, share_guard,
//                          share_action>(text, "share.yaml");
//   for (share_action action : Fire(GetValue(chart), state, event, context,
//                                   &Evaluate)) { ... }
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

struct chart_transition
{
  std::size_t mGuard = kNoGuard;
  std::size_t mTarget = 0;
  std::vector<std::size_t> mActions;
};

struct chart_state
{
  bool mFinal = false;
  // Alternatives per event, tried in order. An empty list ignores the event.
  std::vector<std::vector<chart_transition>> mOn;
};

struct chart_names
{
  std::vector<std::string_view> mStates;
  std::vector<std::string_view> mEvents;
  std::vector<std::string_view> mGuards;
  std::vector<std::string_view> mActions;
};

// The checked form of a chart file, with enumerators as indices.
struct chart_table
{
  std::string mName;
  std::size_t mInitial = 0;
  std::vector<chart_state> mStates;
};

// Parses and checks one chart. aFile is used in error messages only.
// Errors: InvalidChart with mField "file:line".
result<chart_table> ParseChart(std::string_view aText, std::string_view aFile,
                               const chart_names& aNames);

// Renders the chart as a Markdown section with one table.
std::string ToMarkdown(const chart_table& aChart, const chart_names& aNames);

template<typename Enum>
std::vector<std::string_view> ListEnumeratorNames()
{
  std::vector<std::string_view> names;
  for (const auto& entry : NameTable(Enum{})) {
    names.push_back(entry.mName);
  }
  return names;
}

template<typename State, typename Event, typename Guard, typename Action>
struct chart
{
  chart_table mTable;
};

template<typename State, typename Event, typename Guard, typename Action>
chart_names ListChartNames()
{
  return { ListEnumeratorNames<State>(), ListEnumeratorNames<Event>(),
           ListEnumeratorNames<Guard>(), ListEnumeratorNames<Action>() };
}

// The names of a typed chart, deduced from the chart itself.
template<typename State, typename Event, typename Guard, typename Action>
chart_names ListNamesOfChart(const chart<State, Event, Guard, Action>&)
{
  return ListChartNames<State, Event, Guard, Action>();
}

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

template<typename State, typename Event, typename Guard, typename Action>
State GetInitialState(const chart<State, Event, Guard, Action>& aChart)
{
  return static_cast<State>(aChart.mTable.mInitial);
}

template<typename State, typename Event, typename Guard, typename Action>
bool IsFinal(const chart<State, Event, Guard, Action>& aChart, State aState)
{
  return aChart.mTable.mStates[static_cast<std::size_t>(aState)].mFinal;
}

// Fires aEvent: moves aState along the first transition whose guard holds and
// returns that transition's actions, in order, for the caller to perform. An
// ignored event, or any event in a final state, returns no actions.
// Evaluate is bool(Guard, const Context&).
template<typename State, typename Event, typename Guard, typename Action,
         typename Context, typename Evaluate>
std::vector<Action> Fire(const chart<State, Event, Guard, Action>& aChart,
                         State& aState, Event aEvent, const Context& aContext,
                         Evaluate aEvaluate)
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
