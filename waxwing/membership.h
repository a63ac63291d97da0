// Membership of entry VMs, and the choice of VMs that callers should use.
//
// Each agent keeps a table of members. Records of a VM are ordered by its
// incarnation and then by its version, which only the VM itself increments. Of
// two records the higher one wins, whichever peer sent it. Other VMs may mark a
// record as suspected or dead without changing its version. A VM that receives
// such a mark for itself refutes it by incrementing its version.
//
// An agent exchanges heartbeats with a fixed number of peers (its links), so
// the cost for a VM does not grow with the number of VMs. The links go to the
// next VMs on a ring ordered by zone and hash, and along chords across the
// ring. A changed record is forwarded once over every link, so it reaches all
// members in a number of steps that grows with the logarithm of their number.

#ifndef WAXWING_MEMBERSHIP_H_
#define WAXWING_MEMBERSHIP_H_

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "waxwing/types.h"

namespace waxwing {

enum class member_status : std::uint8_t {
  kAlive,
  kSuspected,
  kDead,
  kLeaving,  // planned stop: no new callers, requests in flight continue
  kLeft,     // planned stop completed
};

struct member {
  std::string vm;
  std::string zone;
  std::uint64_t incarnation = 0;
  std::uint64_t version = 0;
  member_status status = member_status::kAlive;
  endpoint agent;
  endpoint router;
  // Requests that the VM can forward per second; 0 if it has not announced
  // that.
  std::uint32_t request_capacity = 0;

  bool operator==(const member&) const = default;
};

struct membership_limits {
  std::size_t ring_links = 2;
  std::size_t chord_links = 1;
  // Time without a heartbeat after which a linked peer becomes suspected, and
  // the additional time after which a suspected member becomes dead.
  milliseconds suspect_after{1'500};
  milliseconds dead_after{800};
  // How long the record of a dead or left member is kept, so that an outdated
  // record from a peer does not add the member again.
  milliseconds forget_after{600'000};
};

struct member_record {
  member data;
  // When this VM learned of the record or set its status.
  instant status_since;
};

struct membership {
  membership_limits limits;
  std::string self;
  std::map<std::string, member_record, std::less<>> members;
};

// Returns a table with the VM itself as the only member.
membership MakeMembership(const membership_limits& limits,
                          const member& self,
                          instant now);

// Merges a record received from a peer. Returns true if it changed the table
// and the change should be forwarded. A record that marks this VM itself as
// suspected or dead increments this VM's version instead.
bool MergeRecord(membership& table, const member& record, instant now);

// Marks a linked peer that sends no heartbeats as suspected. Returns true if
// this changed its status.
bool MarkSuspected(membership& table, std::string_view vm, instant now);

// Marks members suspected for too long as dead and removes old records of
// absent members. Returns the names of the members marked as dead.
std::vector<std::string> AdvanceMembership(membership& table, instant now);

// Sets this VM's own status and increments its version.
void SetOwnStatus(membership& table, member_status status, instant now);

// True if the member takes part in heartbeats: alive, suspected or leaving.
bool IsPresent(const member& record);

// Names of the VMs that this one should have links to.
std::vector<std::string> ChooseLinks(const membership& table);

// Hash over the incarnation, version and status of all records; equal tables
// have equal hashes.
std::uint64_t TableHash(const membership& table);

// The VM that runs the task `key`: an alive or leaving VM of `zone`, or of any
// zone if there is none, other than `absent`. Empty if there is none at all.
std::string ChooseVmForTask(const membership& table,
                            std::string_view key,
                            std::string_view zone,
                            std::string_view absent = "");

// At most `count` alive VMs of `zone`, best first by rendezvous hashing of
// `key`. This VM itself always counts as alive.
std::vector<std::string> ChooseVmsInZone(const membership& table,
                                         std::string_view key,
                                         std::string_view zone,
                                         std::size_t count);

// At most `count` entry VMs that an account should use, best first: the alive
// VMs of the zone, then those of other zones, each by rendezvous hashing.
std::vector<member> ChooseEntryVms(const membership& table,
                                   std::string_view account,
                                   std::string_view zone,
                                   std::size_t count);

// The status's name in responses to operators.
std::string_view NameOf(member_status status);

}  // namespace waxwing

#endif  // WAXWING_MEMBERSHIP_H_
