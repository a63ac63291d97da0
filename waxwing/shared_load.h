// What the VMs of an availability zone tell each other about the work that they
// have outstanding at targets.
//
// A VM knows a target's load from the responses that it gets itself. With tens
// of VMs these are rare, so that what it knows is old, and what the others have
// sent since then is missing. Targets are not asked more often for that: each
// VM tells the others of its zone, in batches, what it has outstanding at each
// target, and what it has just learned from the target's responses. Each adds
// the others' work to its own. What remains, the work of other zones, is taken
// from the newest response that any VM of the zone has got.
//
// A batch states sums, not changes, and a VM repeats all of its sums several
// times a second. A batch that is lost, late or doubled therefore does no
// lasting harm, and what a VM has told is forgotten soon after it falls silent.
//
// Designed for: 4 to 10 VMs a zone that callers use, tens to hundreds of
// targets, of uneven speed that changes within a second.

#ifndef WAXWING_SHARED_LOAD_H_
#define WAXWING_SHARED_LOAD_H_

#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "waxwing/target_view.h"
#include "waxwing/types.h"

namespace waxwing {

// What a VM tells of one target.
struct told_target {
  std::uint64_t name_hash = 0;
  outstanding_work work;
  // The newest report of the target; its time is of the receiver's clock.
  target_load_report report;
};

struct told_by_vm {
  std::uint64_t sequence = 0;
  instant heard_at;
  std::map<std::uint64_t, outstanding_work> targets;
};

struct shared_load {
  // By VM of the zone.
  std::map<std::string, told_by_vm, std::less<>> vms;
  // What this VM has told last.
  std::map<std::uint64_t, outstanding_work> told;
  std::uint64_t sequence = 0;
  instant repeated_at;
};

// Time between two batches, between two repetitions of all sums, and after
// which a silent VM's work is forgotten.
inline constexpr milliseconds kLoadBatchInterval{25};
inline constexpr milliseconds kLoadRepetition{300};
inline constexpr milliseconds kMaxLoadSilence{1'000};

struct load_batch {
  std::uint64_t sequence = 0;
  // Targets that are not listed have no work of the sender.
  bool is_whole = false;
  std::vector<told_target> targets;
};

// Share of a prompt's prefill time within which targets count as equal for VMs
// that share their load: what others send between two batches is not known.
inline constexpr double kNearEqualShare = 0.5;

// Returns what is to be told now; without targets if there is nothing.
load_batch CollectBatch(shared_load& shared,
                        std::span<target_view> targets,
                        instant now);

// Applies a batch of another VM. Returns false if it is outdated or if one
// before it is missing.
bool ApplyBatch(shared_load& shared,
                std::string_view vm,
                const load_batch& batch,
                std::span<target_view> targets,
                instant now);

// Forgets what VMs have told that have been silent for too long.
void AgeSharedLoad(shared_load& shared,
                   std::span<target_view> targets,
                   instant now);

// Updates what is expected of targets whose reports are old: the mean over the
// targets of their service.
void UpdateMeanLoads(std::span<target_view> targets);

// Adds up again what all VMs have told of a target.
void SumToldWork(const shared_load& shared, target_view& view);

}  // namespace waxwing

#endif  // WAXWING_SHARED_LOAD_H_
