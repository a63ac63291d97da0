#include "waxwing/wire_convert.h"

namespace waxwing {

wire::member_recordT ToWire(const member& record) {
  wire::member_recordT out;
  out.vm = record.vm;
  out.zone = record.zone;
  out.incarnation = record.incarnation;
  out.version = record.version;
  out.status = static_cast<std::uint8_t>(record.status);
  out.agent_host = record.agent.host;
  out.agent_port = record.agent.port;
  out.router_host = record.router.host;
  out.router_port = record.router.port;
  out.request_capacity = record.request_capacity;
  return out;
}

std::optional<member> FromWire(const wire::member_recordT& record) {
  if (record.status > static_cast<std::uint8_t>(member_status::kLeft))
    return std::nullopt;
  member out;
  out.vm = record.vm;
  out.zone = record.zone;
  out.incarnation = record.incarnation;
  out.version = record.version;
  out.status = static_cast<member_status>(record.status);
  out.agent = {record.agent_host, record.agent_port};
  out.router = {record.router_host, record.router_port};
  out.request_capacity = record.request_capacity;
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

std::optional<ledger_entry> FromWire(const wire::ledger_noteT& note,
                                     ticket_id& id) {
  if (note.step > static_cast<std::uint8_t>(ledger_entry_state::kUnknown))
    return std::nullopt;
  id = {note.minter, note.minter_incarnation, note.sequence};
  ledger_entry out;
  out.state = static_cast<ledger_entry_state>(note.step);
  out.expires = note.expires;
  out.response = {note.status, note.content_type, note.text, note.whole};
  return out;
}

target_report FromWire(const wire::target_digestT& digest) {
  target_report out;
  out.boot_id = digest.boot_id;
  out.version = digest.version;
  out.slots = static_cast<int>(digest.slots);
  out.in_flight = static_cast<int>(digest.in_flight);
  out.prefill_tokens_per_second = digest.prefill_tokens_per_second;
  out.leaving = digest.leaving;
  return out;
}

}  // namespace waxwing
