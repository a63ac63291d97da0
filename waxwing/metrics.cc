#include "waxwing/metrics.h"

#include <boost/histogram.hpp>
#include <cstdio>
#include <utility>

namespace waxwing {

namespace bh = boost::histogram;

namespace {

using log_axis = bh::axis::regular<double, bh::axis::transform::log>;
using histogram_type = decltype(bh::make_histogram(std::declval<log_axis>()));

constexpr double kLowestSeconds = 1e-4;
constexpr double kHighestSeconds = 1e3;
constexpr unsigned kBins = 140;

}  // namespace

namespace detail {

struct histogram_data {
  histogram_type bins =
      bh::make_histogram(log_axis(kBins, kLowestSeconds, kHighestSeconds));
  std::uint64_t count = 0;
  double sum_seconds = 0;
};

}  // namespace detail

latency_histogram MakeLatencyHistogram() {
  return {std::make_shared<detail::histogram_data>()};
}

void Observe(latency_histogram& histogram, duration value) {
  const double s = ToSeconds(value);
  histogram.data->bins(s);
  histogram.data->sum_seconds += s;
  ++histogram.data->count;
}

double Quantile(const latency_histogram& histogram, double q) {
  const detail::histogram_data& data = *histogram.data;
  if (data.count == 0)
    return 0;
  const double rank = q * static_cast<double>(data.count);
  double cumulative_count = data.bins.at(-1);
  if (cumulative_count >= rank)
    return kLowestSeconds;
  for (int i = 0; i < static_cast<int>(kBins); ++i) {
    cumulative_count += data.bins.at(i);
    if (cumulative_count >= rank)
      return data.bins.axis(0).bin(i).upper();
  }
  return kHighestSeconds;
}

void Count(metrics& registry, std::string_view name, std::uint64_t n) {
  const auto found = registry.counters.find(name);
  if (found != registry.counters.end())
    found->second += n;
  else
    registry.counters.emplace(std::string(name), n);
}

void Observe(metrics& registry, std::string_view name, duration value) {
  auto found = registry.histograms.find(name);
  if (found == registry.histograms.end())
    found =
        registry.histograms.emplace(std::string(name), MakeLatencyHistogram())
            .first;
  Observe(found->second, value);
}

std::string PrometheusText(const metrics& registry) {
  std::string out;
  char line[256];
  for (const auto& [name, value] : registry.counters)
    out += name + " " + std::to_string(value) + "\n";
  for (const auto& [name, value] : registry.gauges) {
    std::snprintf(line, sizeof line, "%s %.9g\n", name.c_str(), value);
    out += line;
  }
  for (const auto& [name, histogram] : registry.histograms) {
    out += "# TYPE " + name + " summary\n";
    for (const double q : {0.5, 0.95, 0.99}) {
      std::snprintf(line, sizeof line, "%s{quantile=\"%g\"} %.6g\n",
                    name.c_str(), q, Quantile(histogram, q));
      out += line;
    }
    std::snprintf(line, sizeof line, "%s_sum %.6g\n%s_count %llu\n",
                  name.c_str(), histogram.data->sum_seconds, name.c_str(),
                  static_cast<unsigned long long>(histogram.data->count));
    out += line;
  }
  return out;
}

}  // namespace waxwing
