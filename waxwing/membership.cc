#include "waxwing/membership.h"

#include <algorithm>
#include <tuple>

#include "waxwing/hash.h"

namespace waxwing {
namespace {

bool IsFailureMark(member_status status) {
  return status == member_status::kSuspected || status == member_status::kDead;
}

// Precedence of a status among records of the same incarnation and version; the
// higher one wins.
int StatusPrecedence(member_status status) {
  switch (status) {
    case member_status::kAlive:
    case member_status::kLeaving:
      return 0;
    case member_status::kSuspected:
      return 1;
    case member_status::kDead:
      return 2;
    case member_status::kLeft:
      return 3;
  }
  return 0;
}

bool Supersedes(const member& received, const member& known) {
  return std::tuple(received.incarnation, received.version,
                    StatusPrecedence(received.status)) >
         std::tuple(known.incarnation, known.version,
                    StatusPrecedence(known.status));
}

// True if the record marks this VM, in its current incarnation, as suspected or
// dead. A record of another incarnation needs no refutation.
bool NeedsRefutation(const member& record, const member& self) {
  if (record.incarnation != self.incarnation)
    return false;
  return record.version >= self.version && IsFailureMark(record.status);
}

std::uint64_t RingPosition(const member& record) {
  return Hash64(record.vm);
}

}  // namespace

membership MakeMembership(const membership_limits& limits,
                          const member& self,
                          instant now) {
  membership table;
  table.limits = limits;
  table.self = self.vm;
  table.members[self.vm] = {self, now};
  return table;
}

bool MergeRecord(membership& table, const member& record, instant now) {
  if (record.vm.empty())
    return false;
  const auto found = table.members.find(record.vm);
  if (record.vm == table.self) {
    member& self = found->second.data;
    if (!NeedsRefutation(record, self))
      return false;
    self.version = record.version + 1;
    return true;
  }
  if (found != table.members.end() && !Supersedes(record, found->second.data))
    return false;
  table.members[record.vm] = {record, now};
  return true;
}

bool MarkSuspected(membership& table, std::string_view vm, instant now) {
  const auto found = table.members.find(vm);
  if (found == table.members.end() || vm == table.self)
    return false;
  member_record& record = found->second;
  if (record.data.status != member_status::kAlive &&
      record.data.status != member_status::kLeaving)
    return false;
  record.data.status = member_status::kSuspected;
  record.status_since = now;
  return true;
}

std::vector<std::string> AdvanceMembership(membership& table, instant now) {
  std::vector<std::string> changed;
  for (auto& [vm, record] : table.members) {
    if (record.data.status != member_status::kSuspected ||
        now - record.status_since < table.limits.dead_after)
      continue;
    record.data.status = member_status::kDead;
    record.status_since = now;
    changed.push_back(vm);
  }
  std::erase_if(table.members, [&](const auto& entry) {
    return !IsPresent(entry.second.data) &&
           now - entry.second.status_since > table.limits.forget_after;
  });
  return changed;
}

void SetOwnStatus(membership& table, member_status status, instant now) {
  member_record& self = table.members.at(table.self);
  self.data.status = status;
  ++self.data.version;
  self.status_since = now;
}

bool IsPresent(const member& record) {
  return record.status == member_status::kAlive ||
         record.status == member_status::kSuspected ||
         record.status == member_status::kLeaving;
}

std::vector<std::string> ChooseLinks(const membership& table) {
  std::vector<const member*> ring;
  for (const auto& [vm, record] : table.members) {
    if (IsPresent(record.data) || vm == table.self)
      ring.push_back(&record.data);
  }
  std::sort(ring.begin(), ring.end(), [](const member* a, const member* b) {
    return std::tuple(std::string_view(a->zone), RingPosition(*a),
                      std::string_view(a->vm)) <
           std::tuple(std::string_view(b->zone), RingPosition(*b),
                      std::string_view(b->vm));
  });
  const std::size_t count = ring.size();
  std::size_t self = 0;
  while (ring[self]->vm != table.self)
    ++self;
  std::vector<std::string> links;
  const auto add = [&](std::size_t step) {
    const std::string& vm = ring[(self + step) % count]->vm;
    if (vm != table.self &&
        std::find(links.begin(), links.end(), vm) == links.end())
      links.push_back(vm);
  };
  for (std::size_t step = 1; step <= table.limits.ring_links; ++step)
    add(step);
  // Chords across a half, a quarter, ... of the ring.
  for (std::size_t i = 0; i < table.limits.chord_links; ++i)
    add(std::max<std::size_t>(1, count >> (i + 1)));
  return links;
}

std::uint64_t TableHash(const membership& table) {
  std::uint64_t hash = 0;
  for (const auto& [vm, record] : table.members) {
    const member& data = record.data;
    hash = CombineHashes(hash, Hash64(vm, data.incarnation));
    hash = CombineHashes(
        hash, data.version * 8 + static_cast<std::uint64_t>(data.status));
  }
  return hash;
}

std::string ChooseVmForTask(const membership& table,
                            std::string_view key,
                            std::string_view zone,
                            std::string_view absent) {
  const std::uint64_t hash = Hash64(key);
  const member* best = nullptr;
  const auto weight = [&](const member& m) {
    // VMs of the zone rank above all others.
    return std::pair(m.zone == zone, RendezvousWeight(hash, Hash64(m.vm)));
  };
  for (const auto& [vm, record] : table.members) {
    const bool is_candidate = record.data.status == member_status::kAlive ||
                              record.data.status == member_status::kLeaving;
    if (is_candidate && vm != absent &&
        (!best || weight(record.data) > weight(*best)))
      best = &record.data;
  }
  return best ? best->vm : std::string();
}

std::vector<std::string> ChooseVmsInZone(const membership& table,
                                         std::string_view key,
                                         std::string_view zone,
                                         std::size_t count) {
  std::vector<std::uint64_t> hashes;
  std::vector<const std::string*> names;
  for (const auto& [vm, record] : table.members) {
    const bool is_candidate =
        record.data.zone == zone &&
        (record.data.status == member_status::kAlive || vm == table.self);
    if (!is_candidate)
      continue;
    hashes.push_back(Hash64(vm));
    names.push_back(&vm);
  }
  std::vector<std::string> out;
  for (const std::size_t pick : RendezvousPick(Hash64(key), hashes, count))
    out.push_back(*names[pick]);
  return out;
}

std::vector<member> ChooseEntryVms(const membership& table,
                                   std::string_view account,
                                   std::string_view zone,
                                   std::size_t count) {
  const std::uint64_t key = Hash64(account);
  std::vector<const member*> alive;
  for (const auto& [vm, record] : table.members) {
    if (record.data.status == member_status::kAlive)
      alive.push_back(&record.data);
  }
  std::sort(alive.begin(), alive.end(), [&](const member* a, const member* b) {
    const bool a_is_local = a->zone == zone;
    const bool b_is_local = b->zone == zone;
    if (a_is_local != b_is_local)
      return a_is_local;
    return RendezvousWeight(key, Hash64(a->vm)) >
           RendezvousWeight(key, Hash64(b->vm));
  });
  std::vector<member> out;
  for (const member* chosen : alive) {
    if (out.size() < count)
      out.push_back(*chosen);
  }
  return out;
}

std::string_view NameOf(member_status status) {
  switch (status) {
    case member_status::kAlive:
      return "alive";
    case member_status::kSuspected:
      return "suspected";
    case member_status::kDead:
      return "dead";
    case member_status::kLeaving:
      return "leaving";
    case member_status::kLeft:
      return "left";
  }
  return "unknown";
}

}  // namespace waxwing
