#include "waxwing/peer_choice.h"

#include <vector>

namespace waxwing {
namespace {

peer_load LoadOf(const peer_loads& loads, std::string_view vm) {
  const auto found = loads.peers.find(vm);
  return found == loads.peers.end() ? peer_load{} : found->second;
}

}  // namespace

void RecordDeclined(peer_loads& loads, std::string_view vm, instant now) {
  loads.peers[std::string(vm)].avoided_until = now + kPeerAvoidance;
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
  std::vector<const member*> avoided;
  bool is_own_zone_avoided = false;
  for (const auto& [vm, record] : table.members) {
    const member& data = record.data;
    if (vm == table.self || data.status != member_status::kAlive)
      continue;
    if (now < LoadOf(loads, vm).avoided_until) {
      is_own_zone_avoided = is_own_zone_avoided || data.zone == own_zone;
      if (!tried.contains(vm))
        avoided.push_back(&data);
      continue;
    }
    if (tried.contains(vm))
      continue;
    all.push_back(&data);
    if (data.zone == own_zone)
      near.push_back(&data);
  }
  const std::vector<const member*>& choice =
      !near.empty() && !is_own_zone_avoided ? near
      : !all.empty()                        ? all
                                            : avoided;
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
