#include "runtime/metrics.h"

#include <array>
#include <atomic>

#include "absl/strings/str_cat.h"
#include "boost/histogram.hpp"
#include "boost/histogram/accumulators/thread_safe.hpp"

namespace foxtailquay {

namespace {

namespace bh = boost::histogram;

// Logarithmic buckets from 10 us to 1000 s, four per factor of ten: a
// percentile that is read from them is exact to a factor of 1.8.
using latency_axis =
  bh::axis::regular<double, bh::axis::transform::log, bh::use_default>;
using latency_storage =
  bh::dense_storage<bh::accumulators::thread_safe<std::uint64_t>>;
using latency_histogram =
  bh::histogram<std::tuple<latency_axis>, latency_storage>;

latency_histogram MakeLatencyBuckets()
{
  return bh::make_histogram_with(latency_storage(),
                                 latency_axis(32, 1e-5, 1e3));
}

// Buckets and sum of one histogram.
struct latency_series
{
  latency_histogram mBuckets = MakeLatencyBuckets();
  std::atomic<std::int64_t> mSumNanoseconds{ 0 };
};

void AppendHistogram(std::string& aText, const std::string& aName,
                     const latency_series& aLatency)
{
  absl::StrAppend(&aText, "# TYPE ", aName, " histogram\n");
  std::uint64_t count = 0;
  const auto& axis = aLatency.mBuckets.axis();
  // Index -1 is the underflow bin, below the first bucket's lower bound.
  for (int i = -1; i < axis.size(); ++i) {
    count += aLatency.mBuckets.at(i);
    absl::StrAppend(&aText, aName, "_bucket{le=\"", axis.bin(i).upper(), "\"} ",
                    count, "\n");
  }
  count += aLatency.mBuckets.at(axis.size());
  absl::StrAppend(&aText, aName, "_bucket{le=\"+Inf\"} ", count, "\n", aName,
                  "_sum ", static_cast<double>(aLatency.mSumNanoseconds) / 1e9,
                  "\n", aName, "_count ", count, "\n");
}

std::string MakeMetricName(std::string_view aName)
{
  return absl::StrCat("foxtailquay_", std::string(aName));
}

} // namespace

struct metrics
{
  std::array<std::atomic<std::uint64_t>, CountEnumerators<counter>()>
    mCounters{};
  std::array<latency_series, CountEnumerators<histogram>()> mLatencies;
};

void metrics_deleter::operator()(metrics* aMetrics) const
{
  delete aMetrics;
}

metrics_ptr MakeMetrics()
{
  return metrics_ptr(new metrics);
}

void IncrementCounter(metrics& aMetrics, counter aCounter, std::uint64_t aBy)
{
  aMetrics.mCounters[static_cast<std::size_t>(aCounter)].fetch_add(
    aBy, std::memory_order_relaxed);
}

void Observe(metrics& aMetrics, histogram aHistogram, absl::Duration aValue)
{
  latency_series& target =
    aMetrics.mLatencies[static_cast<std::size_t>(aHistogram)];
  target.mBuckets(absl::ToDoubleSeconds(aValue));
  target.mSumNanoseconds.fetch_add(absl::ToInt64Nanoseconds(aValue),
                                   std::memory_order_relaxed);
}

std::uint64_t GetValue(const metrics& aMetrics, counter aCounter)
{
  return aMetrics.mCounters[static_cast<std::size_t>(aCounter)].load(
    std::memory_order_relaxed);
}

std::string RenderMetrics(const metrics& aMetrics,
                          const std::vector<gauge_value>& aGauges)
{
  std::string text;
  for (const auto& entry : NameTable(counter{})) {
    const std::string name = MakeMetricName(entry.mName);
    absl::StrAppend(&text, "# TYPE ", name, " counter\n", name, " ",
                    GetValue(aMetrics, entry.mValue), "\n");
  }
  for (const gauge_value& value : aGauges) {
    const std::string name = MakeMetricName(ToName(value.mGauge));
    absl::StrAppend(&text, "# TYPE ", name, " gauge\n", name, " ", value.mValue,
                    "\n");
  }
  for (const auto& entry : NameTable(histogram{})) {
    AppendHistogram(
      text, MakeMetricName(entry.mName),
      aMetrics.mLatencies[static_cast<std::size_t>(entry.mValue)]);
  }
  return text;
}

} // namespace foxtailquay
