// Finds what requests have in common that end the targets which run them, and
// decides what may still be sent.
//
// A request has several suspect keys: one for each prompt segment that other
// requests share, and its fingerprint, which its copies share. When a target
// ends, the keys of all requests that it may have been running are recorded. A
// request has survived once its target has sent something and gone on, which
// clears its keys. A key that has been at an end since it last survived is
// suspected: requests with it run as trials, one at a time over all VMs. A key
// whose trials end target after target is held: no request with it is sent
// until an operator lifts the hold.
//
// Each VM sees only its own requests, so VMs tell each other of ends,
// survivals and holds. One VM for each service, the trial issuer, permits the
// trials and decides about holds; it is chosen by rendezvous hashing of the
// service over the present VMs. While the VMs disagree about the issuer, each
// of them permits trials of its own.
//
// Ends with other causes are told apart by trials: a sound key survives its
// next one. Keys that were at exactly the same ends are held together, until a
// request has one of them without the others and runs as a trial.

#ifndef WAXWING_CRASH_SUSPECTS_H_
#define WAXWING_CRASH_SUSPECTS_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include <tl/expected.hpp>

#include "waxwing/hash.h"
#include "waxwing/json.h"
#include "waxwing/membership.h"
#include "waxwing/types.h"

namespace waxwing {

using suspect_key = hash128;

// Returns the key of a prompt segment at a service.
suspect_key SegmentKey(std::string_view service, std::uint64_t segment);

// A survival at most this old clears a key that is at an end, unless it has
// been at several ends since.
inline constexpr seconds kSurvivalMemory{5};
inline constexpr std::size_t kEndsAgainstSurvival = 3;

// A key that has survived within this time is held only on more evidence.
inline constexpr seconds kProvenMemory{600};

// Bounds of what is remembered. Beyond them, the oldest ends are forgotten, and
// survivals and further holds are not recorded.
inline constexpr seconds kEndMemory{600};
inline constexpr std::size_t kMaxEnds = 256;
inline constexpr std::size_t kMaxKeysPerEnd = 64;
inline constexpr std::size_t kMaxSurvivals = 8'192;
inline constexpr std::size_t kMaxHolds = 256;

// A trial whose end has not been reported for this long is not waited for.
inline constexpr milliseconds kTrialTimeout{3'000};

// What one VM knows of a target that has ended.
struct target_end {
  std::string target;
  std::int64_t incarnation = 0;
  std::string service;
  // The newest weights on which these requests may have run.
  std::int64_t weights_version = 0;
  // Keys of the requests that the target may have been running, and those of
  // them that were on trial there.
  std::set<suspect_key> keys;
  std::set<suspect_key> trial_keys;
};

// A key that no request may have.
struct hold {
  suspect_key key;
  std::string service;
  // Of two records of a key the one with the higher number counts; of two with
  // the same number, the one that is lifted.
  std::uint64_t sequence = 0;
  bool is_lifted = false;
  // Keys that were at the same ends, so that any of them may be the cause.
  std::vector<suspect_key> companions;
  // The evidence, for operators: targets that ended, in order.
  std::vector<std::string> targets;
  // Wall-clock time of the decision.
  unix_ms since = 0;

  bool operator==(const hold&) const = default;
};

struct recorded_end {
  target_end facts;
  instant at;
};

// Identifies one end: target and incarnation.
using end_id = std::pair<std::string, std::int64_t>;

// Requests that survived in one period, with the highest weights version of
// their targets.
using survival_map = std::map<suspect_key, std::int64_t>;

struct trial_lock {
  std::string holder;
  std::uint64_t number = 0;
  instant until;
};

// A service and the number of its targets.
struct service_view {
  std::string_view name;
  std::size_t targets = 0;
};

// What one VM knows.
struct suspect_table {
  std::map<end_id, recorded_end> ends;
  // By key: the ends since the key last survived, oldest first.
  std::map<suspect_key, std::vector<end_id>> suspects;
  // Survivals of this period and of the one before.
  survival_map recent;
  survival_map earlier;
  instant period_start;
  // The same for long periods.
  survival_map proven;
  survival_map proven_earlier;
  instant proven_start;
  std::map<suspect_key, hold> holds;
  // At the trial issuer: trials in progress.
  std::map<suspect_key, trial_lock> trials;
};

enum class suspicion {
  kNone,
  kSuspected,  // may run as a trial only
  kHeld,       // must not run
};

// Returns the most severe state of the keys of one request.
suspicion CheckKeys(const suspect_table& table,
                    std::span<const suspect_key> keys);

// Records that requests with these keys have survived on targets with this
// weights version. Returns the keys that are no longer suspected, which other
// VMs should be told.
std::vector<suspect_key> RecordSurvival(suspect_table& table,
                                        std::span<const suspect_key> keys,
                                        std::int64_t weights_version,
                                        instant now);

// The same for a key that survived at another VM. Returns true if it is news.
bool MergeSurvival(suspect_table& table,
                   const suspect_key& key,
                   std::int64_t weights_version,
                   instant now);

// Records an end. Returns true if it is news, which other VMs should be told.
bool RecordEnd(suspect_table& table, const target_end& end, instant now);

// Forgets what is too old. Call several times a second.
void AgeSuspects(suspect_table& table, instant now);

// Returns those of the keys that need a trial.
std::vector<suspect_key> KeysOnTrial(const suspect_table& table,
                                     std::span<const suspect_key> keys);

// As the trial issuer: permits a trial of the keys. Returns false if one of
// them is on trial already. Keys that have survived at this VM need no trial
// and are removed from `keys`.
bool StartTrial(suspect_table& table,
                std::vector<suspect_key>& keys,
                std::string_view holder,
                std::uint64_t number,
                instant now);
void EndTrial(suspect_table& table,
              std::string_view holder,
              std::uint64_t number);

// As the trial issuer: holds keys that the ends suffice for, and lifts holds
// whose ends are explained by others. Returns what has changed.
std::vector<hold> DecideHolds(suspect_table& table,
                              const service_view& service,
                              instant now,
                              unix_ms wall_clock);

// Records a hold or its lifting. Returns true if it is news.
bool MergeHold(suspect_table& table, const hold& other);

// Returns the VM that permits the trials of a service. Empty if no VM is
// present.
std::string ChooseTrialIssuer(const membership& table,
                              std::string_view service);

// Holds as stored objects.
std::string WriteHold(const hold& record);
tl::expected<hold, json_error> ReadHold(std::string_view text);

}  // namespace waxwing

#endif  // WAXWING_CRASH_SUSPECTS_H_
