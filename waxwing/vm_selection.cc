#include "waxwing/vm_selection.h"

#include <algorithm>
#include <cmath>
#include <tuple>

#include "waxwing/hash.h"

namespace waxwing {
namespace {

// Processor time and link traffic, in each direction, of one forwarded request.
constexpr double kProcessorSecondsPerRequest = 0.001;
constexpr double kMegabitsPerRequest = 0.1;
// Capacity of a VM that has not announced any.
constexpr double kDefaultCapacity = 100;
// Share of the capacity that is used while all listed VMs serve, and after the
// loss of kToleratedLosses of them.
constexpr double kUsualUtilization = 0.4;
constexpr double kDegradedUtilization = 0.8;
constexpr std::size_t kToleratedLosses = 2;
constexpr std::size_t kMinListedVms = 4;
// Before the callers have arrived, the zone is expected to get this share of
// the requests that all of its VMs could forward.
constexpr double kMinLoadShare = 0.05;
// Time in which the peak rate halves while there are fewer requests.
constexpr double kPeakHalfLifeSeconds = 10;

double CapacityOf(const member& vm) {
  return vm.request_capacity > 0 ? vm.request_capacity : kDefaultCapacity;
}

// True if `count` VMs, each with at least `capacity`, carry the load. Callers
// choose among the listed VMs at random, so the smallest one is the limit.
bool IsSufficient(std::size_t count,
                  double capacity,
                  double requests_per_second) {
  const auto listed = static_cast<double>(count);
  const auto remaining = static_cast<double>(count - kToleratedLosses);
  return listed * capacity * kUsualUtilization >= requests_per_second &&
         remaining * capacity * kDegradedUtilization >= requests_per_second;
}

}  // namespace

std::uint32_t RequestCapacity(const vm_resources& resources) {
  double out = resources.processors / kProcessorSecondsPerRequest;
  if (resources.link_mbps > 0)
    out = std::min(out, resources.link_mbps / kMegabitsPerRequest);
  return static_cast<std::uint32_t>(std::max(1.0, out));
}

std::vector<const member*> ChooseListedVms(
    std::span<const member* const> serving,
    std::optional<double> requests_per_second) {
  std::vector<const member*> out(serving.begin(), serving.end());
  if (!requests_per_second)
    return out;
  std::sort(out.begin(), out.end(), [](const member* a, const member* b) {
    return std::tuple(-CapacityOf(*a), Hash64(a->vm), std::string_view(a->vm)) <
           std::tuple(-CapacityOf(*b), Hash64(b->vm), std::string_view(b->vm));
  });
  double total_capacity = 0;
  for (const member* vm : out)
    total_capacity += CapacityOf(*vm);
  const double load =
      std::max(*requests_per_second, kMinLoadShare * total_capacity);
  for (std::size_t count = kMinListedVms; count < out.size(); ++count) {
    if (IsSufficient(count, CapacityOf(*out[count - 1]), load)) {
      out.resize(count);
      break;
    }
  }
  return out;
}

void UpdatePeakRate(peak_rate& peak, double requests_per_second, instant now) {
  const double elapsed = ToSeconds(now - peak.updated);
  peak.updated = now;
  peak.requests_per_second = std::max(
      requests_per_second,
      peak.requests_per_second * std::exp2(-elapsed / kPeakHalfLifeSeconds));
}

}  // namespace waxwing
