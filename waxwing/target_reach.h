// Whether this VM reaches the targets, judged by its new connections to them.
//
// A target whose connections fail may have ended, or this VM may be cut off
// from it. What other VMs can still do is therefore not concluded from it: a
// request for which no target is reached is forwarded to another VM. A VM that
// gets no connection to several targets in succession, and to no other in the
// meantime, is taken to be cut off from all of them, so that it need not try
// each one.
//
// Data on connections that are open already is no evidence: they may live on
// while new ones fail.

#ifndef WAXWING_TARGET_REACH_H_
#define WAXWING_TARGET_REACH_H_

#include <cstddef>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "waxwing/target_view.h"
#include "waxwing/types.h"

namespace waxwing {

// Targets that fail in succession before a VM is taken to be cut off.
inline constexpr std::size_t kFailuresToCutOff = 4;
// Targets that fail in succession before others are probed.
inline constexpr std::size_t kFailuresToProbe = 2;
// The same if a connection got no answer for this long.
inline constexpr milliseconds kLongConnect{100};

struct target_reach {
  struct contact {
    instant connected_at;
    // Since when connections to it have failed, if they do.
    std::optional<instant> lost_since;
  };
  // By target, those to which a connection was tried.
  std::map<std::string, contact, std::less<>> contacts;
  // Last successful connection to any target.
  instant connected_at;
  std::optional<instant> cut_off_since;
  // Start of the last connection attempt without any answer.
  instant unanswered_since;
  // End of the last cut, until the targets have been probed.
  std::optional<instant> recovering_since;
};

// Record that a new connection to a target was established, or that one which
// was begun at `started` was not.
void RecordConnection(target_reach& reach,
                      std::string_view target,
                      instant now);
void RecordNoConnection(target_reach& reach,
                        std::string_view target,
                        instant started,
                        std::span<const target_view> targets,
                        instant now);

bool IsLost(const target_reach& reach, std::string_view target);

// True if requests to a service should be forwarded to other VMs: this VM is
// cut off, reaches no target of the service, or has just begun to reach some
// again.
bool ReachesTooFew(const target_reach& reach,
                   std::span<const target_view> targets,
                   std::string_view service,
                   instant now);

// Returns the indexes of the targets to be probed now, at most `count`: lost
// ones of services of which none is reached, one at a time while this VM is cut
// off, all lost ones after a cut, and others while a cut is suspected.
std::vector<std::size_t> ChooseProbes(const target_reach& reach,
                                      std::span<const target_view> targets,
                                      std::uint64_t random,
                                      std::size_t count,
                                      instant now);

// True if no target of the service is reached, each of which was tried.
bool HasLostAll(const target_reach& reach,
                std::span<const target_view> targets,
                std::string_view service);

// Removes the targets that are not in service any more.
void RemoveAbsentTargets(target_reach& reach,
                         std::span<const target_view> targets);

}  // namespace waxwing

#endif  // WAXWING_TARGET_REACH_H_
