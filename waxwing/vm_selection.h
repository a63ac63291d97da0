// Chooses the VMs of a zone that directory responses list.
//
// A VM learns the load of the targets and the contents of their caches from the
// requests that it forwards, so its placement gets worse the fewer of the
// zone's requests it sees. Directory responses therefore list only as many VMs
// as carry the load, with a reserve for the loss of some. The others forward
// the requests of callers with an older response, and replace listed VMs that
// fail.
//
// The choice depends only on the member table and on the request rate of the
// zone, which the zone watchers publish, so all VMs of a zone agree on it up to
// the delay of those. Each larger choice contains the smaller ones.
//
// Designed for: zones of tens of VMs of which a few could carry all requests.
// In zones with few VMs all are listed.

#ifndef WAXWING_VM_SELECTION_H_
#define WAXWING_VM_SELECTION_H_

#include <cstdint>
#include <optional>
#include <span>
#include <string_view>
#include <vector>

#include "waxwing/membership.h"

namespace waxwing {

// What a VM has for forwarding requests.
struct vm_resources {
  // Processor seconds per second.
  double processors = 1;
  // 0 if unknown.
  double link_mbps = 0;
};

// Returns the number of requests that a VM can forward per second, at least 1.
std::uint32_t RequestCapacity(const vm_resources& resources);

// Returns the members to list out of `serving`, the members of one zone that
// accept callers, largest capacity first. `requests_per_second` is the request
// rate of the zone; if it is unknown, all members are listed in their order.
std::vector<const member*> ChooseListedVms(
    std::span<const member* const> serving,
    std::optional<double> requests_per_second);

// The request rate by which the listed VMs are chosen: it follows an increase
// at once and a decrease slowly, so that the choice changes rarely.
struct peak_rate {
  double requests_per_second = 0;
  instant updated;
};

void UpdatePeakRate(peak_rate& peak, double requests_per_second, instant now);

}  // namespace waxwing

#endif  // WAXWING_VM_SELECTION_H_
