#include "waxwing/peer_choice.h"

#include <vector>

namespace waxwing {
namespace {

// VMs that have served requests, to which further ones are limited.
constexpr std::size_t kMinProven = 3;

peer_load LoadOf(const peer_loads& loads, std::string_view vm) {
  const auto found = loads.peers.find(vm);
  return found == loads.peers.end() ? peer_load{} : found->second;
}

}  // namespace

void RecordDeclined(peer_loads& loads, std::string_view vm, instant now) {
  peer_load& load = loads.peers[std::string(vm)];
  load.avoided_until = now + kPeerAvoidance;
  load.served_until = {};
}

void RecordServed(peer_loads& loads, std::string_view vm, instant now) {
  loads.peers[std::string(vm)].served_until = now + kPeerTrust;
}

void RecordHint(peer_loads& loads, std::string_view vm, instant now) {
  const peer_load known = LoadOf(loads, vm);
  if (vm != kNoHint && now >= known.avoided_until)
    RecordServed(loads, vm, now);
}

std::string_view ChooseHint(const peer_loads& loads, instant now) {
  std::string_view out = kNoHint;
  instant latest = now;
  for (const auto& [vm, load] : loads.peers) {
    if (load.served_until > latest) {
      latest = load.served_until;
      out = vm;
    }
  }
  return out;
}

std::optional<member> ChoosePeer(const membership& table,
                                 const peer_loads& loads,
                                 const std::set<std::string>& tried,
                                 std::mt19937_64& random,
                                 instant now) {
  const auto self = table.members.find(table.self);
  const std::string_view own_zone =
      self == table.members.end() ? "" : self->second.data.zone;
  std::vector<const member*> near;
  std::vector<const member*> all;
  std::vector<const member*> proven;
  std::vector<const member*> avoided;
  bool is_own_zone_avoided = false;
  for (const auto& [vm, record] : table.members) {
    const member& data = record.data;
    if (vm == table.self || data.status != member_status::kAlive)
      continue;
    const peer_load load = LoadOf(loads, vm);
    const bool is_avoided = now < load.avoided_until;
    is_own_zone_avoided =
        is_own_zone_avoided || (is_avoided && data.zone == own_zone);
    if (tried.contains(vm))
      continue;
    if (is_avoided) {
      avoided.push_back(&data);
      continue;
    }
    all.push_back(&data);
    if (data.zone == own_zone)
      near.push_back(&data);
    if (now < load.served_until)
      proven.push_back(&data);
  }
  // Without a VM that might serve the request, one of the others is tried, in
  // case that has changed.
  if (all.empty() && !tried.empty())
    return std::nullopt;
  // After a VM has declined the request, one is tried that has served others.
  const bool needs_proven = !proven.empty() && !tried.empty();
  const std::vector<const member*>& choice =
      all.empty()                             ? avoided
      : needs_proven                          ? proven
      : !near.empty() && !is_own_zone_avoided ? near
      : proven.size() >= kMinProven           ? proven
                                              : all;
  if (choice.empty())
    return std::nullopt;
  const member* first = choice[random() % choice.size()];
  const member* second = choice[random() % choice.size()];
  return LoadOf(loads, second->vm).in_flight <
                 LoadOf(loads, first->vm).in_flight
             ? *second
             : *first;
}

}  // namespace waxwing
