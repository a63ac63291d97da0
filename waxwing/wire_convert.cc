#include "waxwing/wire_convert.h"

namespace waxwing {

wire::member_recordT ToWire(const member& from) {
  wire::member_recordT out;
  out.vm = from.vm;
  out.zone = from.zone;
  out.incarnation = from.incarnation;
  out.version = from.version;
  out.status = static_cast<std::uint8_t>(from.status);
  out.agent_host = from.agent.host;
  out.agent_port = from.agent.port;
  out.router_host = from.router.host;
  out.router_port = from.router.port;
  return out;
}

std::optional<member> FromWire(const wire::member_recordT& from) {
  if (from.status > static_cast<std::uint8_t>(member_status::kLeft))
    return std::nullopt;
  member out;
  out.vm = from.vm;
  out.zone = from.zone;
  out.incarnation = from.incarnation;
  out.version = from.version;
  out.status = static_cast<member_status>(from.status);
  out.agent = {from.agent_host, from.agent_port};
  out.router = {from.router_host, from.router_port};
  return out;
}

wire::ledger_noteT ToWire(const ticket_id& id,
                          const ledger_entry& entry,
                          std::uint64_t number) {
  wire::ledger_noteT out;
  out.number = number;
  out.minter = id.minter;
  out.minter_incarnation = id.minter_incarnation;
  out.sequence = id.sequence;
  out.step = static_cast<std::uint8_t>(entry.state);
  out.expires = entry.expires;
  out.status = entry.response.status;
  out.content_type = entry.response.content_type;
  out.text = entry.response.body;
  out.whole = entry.response.is_complete;
  return out;
}

std::optional<ledger_entry> FromWire(const wire::ledger_noteT& from,
                                     ticket_id& id) {
  if (from.step > static_cast<std::uint8_t>(ledger_entry_state::kUnknown))
    return std::nullopt;
  id = {from.minter, from.minter_incarnation, from.sequence};
  ledger_entry out;
  out.state = static_cast<ledger_entry_state>(from.step);
  out.expires = from.expires;
  out.response = {from.status, from.content_type, from.text, from.whole};
  return out;
}

target_report FromWire(const wire::target_digestT& from) {
  target_report out;
  out.boot_id = from.boot_id;
  out.version = from.version;
  out.slots = static_cast<int>(from.slots);
  out.in_flight = static_cast<int>(from.in_flight);
  out.prefill_tokens_per_second = from.prefill_tokens_per_second;
  out.leaving = from.leaving;
  return out;
}

}  // namespace waxwing
