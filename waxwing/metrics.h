// Counters and histograms of a process, exported as Prometheus text.
//
// Latency histograms use Boost.Histogram with a logarithmic axis from 100
// microseconds to 1,000 seconds and 20 bins per decade, so that a quantile is
// within 12% of the true value.

#ifndef WAXWING_METRICS_H_
#define WAXWING_METRICS_H_

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>

#include "waxwing/types.h"

namespace waxwing {

namespace detail {
struct histogram_data;
}  // namespace detail

// A histogram of durations.
struct latency_histogram {
  std::shared_ptr<detail::histogram_data> data;
};

latency_histogram MakeLatencyHistogram();

// Adds one observation.
void Observe(latency_histogram& histogram, duration value);

// The quantile `q` (0 to 1) of all observations, in seconds; 0 if there are
// none.
double Quantile(const latency_histogram& histogram, double q);

// The metrics of one process, by name.
struct metrics {
  std::map<std::string, std::uint64_t, std::less<>> counters;
  std::map<std::string, double, std::less<>> gauges;
  std::map<std::string, latency_histogram, std::less<>> histograms;
};

// Adds `n` to a counter. `name` may carry Prometheus labels.
void Count(metrics& registry, std::string_view name, std::uint64_t n = 1);

// Adds one observation to a histogram.
void Observe(metrics& registry, std::string_view name, duration value);

// All metrics in the Prometheus text format, version 0.0.4.
std::string PrometheusText(const metrics& registry);

}  // namespace waxwing

#endif  // WAXWING_METRICS_H_
