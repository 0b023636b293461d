// Guards against a backend server that still receives runs after failures or
// after it has announced that it leaves, and against one that receives its full
// load at once after an ejection.

#define BOOST_TEST_MODULE backend_health
#include <boost/test/unit_test.hpp>

#include <fstream>
#include <sstream>

#include "core/routing.h"

namespace foxtailquay {
namespace {

const absl::Time kStart = absl::FromUnixSeconds(1000);

const backend_chart& GetChart()
{
  static const backend_chart kChart = [] {
    std::ifstream file(FOXTAILQUAY_SOURCE_DIR "/charts/backend_server.yaml");
    std::stringstream text;
    text << file.rdbuf();
    auto loaded =
      LoadChart<backend_status, backend_event, backend_guard, backend_action>(
        text.str(), "backend_server.yaml");
    if (!IsOk(loaded)) {
      BOOST_FAIL(ToString(GetError(loaded)));
    }
    return GetValue(std::move(loaded));
  }();
  return kChart;
}

backend_view MakeView(backend_status aStatus)
{
  backend_view view;
  view.mConfig.mMaxConcurrency = 8;
  view.mStatus = aStatus;
  return view;
}

// Each state must have the expected transition for each event. The table is
// independent of the chart file, so it detects a wrong or missing transition.
BOOST_AUTO_TEST_CASE(each_event_leads_to_the_expected_state)
{
  using s = backend_status;
  const std::array<std::array<s, 6>, 6> expected = { {
    // success, failure, ejection over, leave, rejoin, remove
    { s::Healthy, s::Suspect, s::Healthy, s::Leaving, s::Healthy, s::Gone },
    { s::Healthy, s::Suspect, s::Suspect, s::Leaving, s::Suspect, s::Gone },
    { s::Ejected, s::Ejected, s::Probing, s::Leaving, s::Ejected, s::Gone },
    { s::Probing, s::Ejected, s::Probing, s::Leaving, s::Probing, s::Gone },
    { s::Leaving, s::Leaving, s::Leaving, s::Leaving, s::Probing, s::Gone },
    { s::Gone, s::Gone, s::Gone, s::Gone, s::Gone, s::Gone },
  } };
  for (const auto& from : NameTable(backend_status{})) {
    for (const auto& event : NameTable(backend_event{})) {
      backend_view view = MakeView(from.mValue);
      FireHealth(view, event.mValue, &GetChart(), {}, kStart);
      const auto to = expected[static_cast<std::size_t>(from.mValue)]
                              [static_cast<std::size_t>(event.mValue)];
      BOOST_TEST(ToName(view.mStatus) == ToName(to),
                 from.mName << " + " << event.mName);
    }
  }
}

// A server must be ejected after exactly mEjectAfterFailures failures, and its
// concurrency limit must increase by one per success after the ejection.
BOOST_AUTO_TEST_CASE(ejects_after_failures_and_returns_slowly)
{
  const routing_options options;
  backend_view view = MakeView(backend_status::Healthy);
  for (int i = 0; i < options.mEjectAfterFailures; ++i) {
    BOOST_TEST(GetConcurrencyLimit(view, kStart) == 8);
    RecordRunEnd(view, true, options, kStart, &GetChart());
  }
  BOOST_TEST(ToName(view.mStatus) == "ejected");
  BOOST_TEST(GetConcurrencyLimit(view, kStart) == 0);
  AdvanceHealth(view, &GetChart(), options, kStart);
  BOOST_TEST(ToName(view.mStatus) == "ejected");
  const absl::Time over = kStart + options.mEjectionTime;
  AdvanceHealth(view, &GetChart(), options, over);
  for (int i = 0; i < options.mProbeSuccesses; ++i) {
    BOOST_TEST(ToName(view.mStatus) == "probing");
    BOOST_TEST(GetConcurrencyLimit(view, over) == 1 + i);
    RecordRunEnd(view, false, options, over, &GetChart());
  }
  BOOST_TEST(ToName(view.mStatus) == "healthy");
}

// A server that fails after each ejection must be ejected for longer each time,
// so that it does not fail a request every few seconds.
BOOST_AUTO_TEST_CASE(consecutive_ejections_grow_up_to_a_limit)
{
  const routing_options options;
  backend_view view = MakeView(backend_status::Probing);
  absl::Time now = kStart;
  absl::Duration last = absl::ZeroDuration();
  for (int i = 0; i < 12; ++i) {
    RecordRunEnd(view, true, options, now, &GetChart());
    const absl::Duration time = view.mEjectedUntil - now;
    BOOST_TEST((time >= last && time <= options.mMaxEjectionTime));
    last = time;
    now = view.mEjectedUntil;
    AdvanceHealth(view, &GetChart(), options, now);
  }
  BOOST_TEST((last == options.mMaxEjectionTime));
}

} // namespace
} // namespace foxtailquay
