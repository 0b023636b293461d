// Guards against a faulty chart file that is loaded without an error: one with
// unknown names, unreachable states, or events that a state does not handle.

#define BOOST_TEST_MODULE chart
#include <boost/test/unit_test.hpp>

#include "foxtailquay/chart.h"

namespace foxtailquay {
namespace {

enum class door_state
{
  Closed,
  Open,
  Broken,
};
constexpr auto NameTable(door_state)
{
  return MakeNameTable<door_state>({ { door_state::Closed, "closed" },
                                     { door_state::Open, "open" },
                                     { door_state::Broken, "broken" } });
}

enum class door_event
{
  Push,
  Kick,
};
constexpr auto NameTable(door_event)
{
  return MakeNameTable<door_event>(
    { { door_event::Push, "push" }, { door_event::Kick, "kick" } });
}

enum class door_guard
{
  Locked,
};
constexpr auto NameTable(door_guard)
{
  return MakeNameTable<door_guard>({ { door_guard::Locked, "locked" } });
}

enum class door_action
{
  Ring,
};
constexpr auto NameTable(door_action)
{
  return MakeNameTable<door_action>({ { door_action::Ring, "ring" } });
}

constexpr std::string_view kValidChart = R"(chart: door
initial: closed
states:
  closed:
    on:
      push:
        - {guard: locked, target: closed, actions: [ring]}
        - {target: open}
      kick:
        - {target: broken}
  open:
    ignore: [push, kick]
  broken: {final: true}
)";

auto LoadDoorChart(std::string_view aText)
{
  return LoadChart<door_state, door_event, door_guard, door_action>(
    aText, "door.yaml");
}

bool IsLocked(door_guard, const bool& aLocked)
{
  return aLocked;
}

BOOST_AUTO_TEST_CASE(fires_the_first_transition_whose_guard_holds)
{
  const auto loaded = LoadDoorChart(kValidChart);
  BOOST_REQUIRE(IsOk(loaded));
  const auto& door = GetValue(loaded);
  door_state state = GetInitialState(door);
  auto actions = Fire(door, state, door_event::Push, true, &IsLocked);
  BOOST_TEST((state == door_state::Closed));
  BOOST_TEST(actions.size() == 1u);
  actions = Fire(door, state, door_event::Push, false, &IsLocked);
  BOOST_TEST((state == door_state::Open));
  BOOST_TEST(actions.empty());
}

struct invalid_chart
{
  const char* mOriginal;
  const char* mReplacement;
  const char* mField;
  const char* mDetail;
};

// Each case replaces mOriginal in the valid chart by mReplacement.
BOOST_AUTO_TEST_CASE(rejects_invalid_charts_with_file_and_line)
{
  const invalid_chart cases[] = {
    { "target: open", "target: ajar", "door.yaml:8", "unknown state" },
    { "push:", "pull:", "door.yaml:6", "unknown event" },
    { "guard: locked", "guard: rusty", "door.yaml:7", "unknown guard" },
    { "[ring]", "[sing]", "door.yaml:7", "unknown action" },
    { "{target: broken}", "{target: open}", "door.yaml:13",
      "cannot be reached" },
    { "[push, kick]", "[push]", "door.yaml:11", "does not handle" },
    { "- {target: open}", "- {guard: locked, target: open}", "door.yaml:7",
      "last alternative" },
    { "initial: closed", "initial: closed\nextra: 1", "door.yaml:3",
      "unknown key" },
    { "chart: door", "chart: [", "door.yaml:3", "" },
  };
  for (const invalid_chart& bad : cases) {
    std::string text(kValidChart);
    const auto at = text.find(bad.mOriginal);
    BOOST_REQUIRE(at != std::string::npos);
    text.replace(at, std::string_view(bad.mOriginal).size(), bad.mReplacement);
    const auto loaded = LoadDoorChart(text);
    BOOST_REQUIRE_MESSAGE(!IsOk(loaded), "accepted: " << bad.mReplacement);
    BOOST_TEST(GetError(loaded).mField == bad.mField);
    BOOST_TEST(GetError(loaded).mDetail.find(bad.mDetail) != std::string::npos);
  }
}

} // namespace
} // namespace foxtailquay
