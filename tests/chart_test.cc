// Guards against a chart file that the interpreter would run differently from
// what its author wrote: unknown names, unreachable states, missing events.

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

constexpr std::string_view kGood = R"(chart: door
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

auto Load(std::string_view aText)
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
  const auto loaded = Load(kGood);
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

struct bad_chart
{
  const char* mReplace;
  const char* mWith;
  const char* mField;
  const char* mDetail;
};

BOOST_AUTO_TEST_CASE(rejects_bad_charts_with_file_and_line)
{
  const bad_chart cases[] = {
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
  for (const bad_chart& bad : cases) {
    std::string text(kGood);
    const auto at = text.find(bad.mReplace);
    BOOST_REQUIRE(at != std::string::npos);
    text.replace(at, std::string_view(bad.mReplace).size(), bad.mWith);
    const auto loaded = Load(text);
    BOOST_REQUIRE_MESSAGE(!IsOk(loaded), "accepted: " << bad.mWith);
    BOOST_TEST(GetError(loaded).mField == bad.mField);
    BOOST_TEST(GetError(loaded).mDetail.find(bad.mDetail) != std::string::npos);
  }
}

} // namespace
} // namespace foxtailquay
