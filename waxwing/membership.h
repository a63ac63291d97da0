// Membership of entry VMs, and the choice of VMs that callers should use.
//
// Each agent keeps a table of members. A record of a VM is ordered by its
// incarnation first and then by its version, which only the VM itself raises;
// of two records the higher one wins, whoever passed it on. Others may mark a
// record as suspected or dead without raising its version; a VM that learns
// this of itself raises its version, which overrules the mark.
//
// An agent exchanges heartbeats with a fixed number of peers (its links), so
// the cost of a VM does not grow with their number. Links are the next VMs on a
// ring ordered by zone and hash, and chords spread over the ring. A changed
// record is passed on once over every link, so it reaches all members in a
// number of steps that grows with the logarithm of their number.

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
  kLeaving,  // planned stop: no new callers, requests in flight go on
  kLeft,     // stopped as planned
};

struct member {
  std::string vm;
  std::string zone;
  std::uint64_t incarnation = 0;
  std::uint64_t version = 0;
  member_status status = member_status::kAlive;
  endpoint agent;
  endpoint router;

  bool operator==(const member&) const = default;
};

struct membership_limits {
  std::size_t ring_links = 2;
  std::size_t chord_links = 1;
  // Silence after which a linked peer is suspected, and the further time after
  // which a suspect counts as dead.
  milliseconds suspect_after{1'500};
  milliseconds dead_after{800};
  // Time that a dead or left record is kept, so that it is not learned again.
  milliseconds forget_after{600'000};
};

struct member_record {
  member data;
  // When the status was learned, on the local clock.
  instant status_since;
};

struct membership {
  membership_limits limits;
  std::string self;
  std::map<std::string, member_record, std::less<>> members;
};

// A table that holds only the VM itself.
membership MakeMembership(const membership_limits& limits,
                          const member& self,
                          instant now);

// Takes in a record. True if it changed the table and should be passed on. A
// mark against the VM itself raises its version instead, also true.
bool MergeRecord(membership& table, const member& record, instant now);

// Marks a linked peer as suspected after silence. True if that is news.
bool MarkSuspected(membership& table, std::string_view vm, instant now);

// Turns suspects into dead members and forgets old records. Gives the names of
// members whose record changed.
std::vector<std::string> AdvanceMembership(membership& table, instant now);

// Sets the VM's own status, raising its version.
void SetOwnStatus(membership& table, member_status status, instant now);

// True if the member takes part in heartbeats: alive, suspected or leaving.
bool IsPresent(const member& record);

// Names of the VMs that this one should keep links to.
std::vector<std::string> ChooseLinks(const membership& table);

// Hash over all records; equal tables have equal hashes.
std::uint64_t TableHash(const membership& table);

// The VM, among those present in `zone`, that does a duty named `key`; among
// all present ones if the zone has none. Empty if there is none at all.
std::string ChooseVmForTask(const membership& table,
                            std::string_view key,
                            std::string_view zone);

// The alive VMs of `zone`, by rendezvous for `key`, best first, `count` at
// most. The VM itself counts as alive.
std::vector<std::string> ChooseVmsInZone(const membership& table,
                                         std::string_view key,
                                         std::string_view zone,
                                         std::size_t count);

// The entry VMs that an account should use, best first: alive ones of the zone
// by rendezvous, then those of other zones. At most `count`.
std::vector<member> ChooseEntryVms(const membership& table,
                                   std::string_view account,
                                   std::string_view zone,
                                   std::size_t count);

// Word for a status, for operators.
std::string_view NameOf(member_status status);

}  // namespace waxwing

#endif  // WAXWING_MEMBERSHIP_H_
