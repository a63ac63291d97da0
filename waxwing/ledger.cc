#include "waxwing/ledger.h"

#include <algorithm>
#include <utility>

namespace waxwing {
namespace {

void AdvanceClock(ledger& table, unix_ms now) {
  table.clock = std::max(table.clock, now);
}

bool IsFinal(ledger_entry_state state) {
  return state != ledger_entry_state::kClaimed &&
         state != ledger_entry_state::kDispatched;
}

// Stores the response, without its body if that would exceed the limits.
void StoreResponse(ledger& table,
                   ledger_entry& entry,
                   stored_response response) {
  const std::size_t size = response.body.size();
  if (size > table.limits.max_response_bytes ||
      table.total_response_bytes + size >
          table.limits.max_total_response_bytes) {
    response.body.clear();
    response.is_complete = false;
  }
  table.total_response_bytes += response.body.size();
  entry.response = std::move(response);
}

void SetFinal(ledger& table, const ticket_id& id, ledger_entry_state state) {
  const auto found = table.entries.find(id);
  if (found != table.entries.end() && !IsFinal(found->second.state))
    found->second.state = state;
}

// The result for an expired ticket without an entry. While an entry would still
// be retained, its absence proves that the request did not run here.
claim_result ResultForExpired(const ledger& table, const ticket& expired) {
  const bool entry_would_be_kept =
      table.clock <= expired.expires + table.limits.retention.count();
  return entry_would_be_kept ? claim_result::kNotRun : claim_result::kUnknown;
}

}  // namespace

std::string_view NameOf(run_outcome value) {
  switch (value) {
    case run_outcome::kNotRun:
      return "no";
    case run_outcome::kRan:
      return "yes";
    case run_outcome::kUnknown:
      return "unknown";
  }
  return "unknown";
}

claim_result TryClaim(ledger& table, const ticket& claimed, unix_ms now) {
  AdvanceClock(table, now);
  const auto found = table.entries.find(claimed.id);
  if (found != table.entries.end()) {
    switch (found->second.state) {
      case ledger_entry_state::kClaimed:
      case ledger_entry_state::kDispatched:
        return claim_result::kInProgress;
      case ledger_entry_state::kCompleted:
        return claim_result::kCompleted;
      case ledger_entry_state::kRefused:
        return claim_result::kNotRun;
      case ledger_entry_state::kUnknown:
        return claim_result::kUnknown;
    }
  }
  if (claimed.expires <= table.clock)
    return ResultForExpired(table, claimed);
  if (table.entries.size() >= table.limits.max_entries) {
    Prune(table, now);
    if (table.entries.size() >= table.limits.max_entries)
      return claim_result::kFull;
  }
  table.entries[claimed.id] = {
      ledger_entry_state::kClaimed, claimed.expires, {}};
  return claim_result::kClaimed;
}

void MarkDispatched(ledger& table, const ticket_id& id) {
  const auto found = table.entries.find(id);
  if (found != table.entries.end() &&
      found->second.state == ledger_entry_state::kClaimed)
    found->second.state = ledger_entry_state::kDispatched;
}

void MarkCompleted(ledger& table,
                   const ticket_id& id,
                   stored_response response) {
  const auto found = table.entries.find(id);
  if (found == table.entries.end() || IsFinal(found->second.state))
    return;
  found->second.state = ledger_entry_state::kCompleted;
  StoreResponse(table, found->second, std::move(response));
}

void MarkRefused(ledger& table, const ticket_id& id) {
  SetFinal(table, id, ledger_entry_state::kRefused);
}

void MarkUnknown(ledger& table, const ticket_id& id) {
  SetFinal(table, id, ledger_entry_state::kUnknown);
}

void RestoreEntry(ledger& table,
                  const ticket_id& id,
                  ledger_entry entry,
                  unix_ms now) {
  AdvanceClock(table, now);
  const auto found = table.entries.find(id);
  if (found != table.entries.end() &&
      (IsFinal(found->second.state) ||
       entry.state == ledger_entry_state::kClaimed))
    return;
  ledger_entry& slot = table.entries[id];
  slot.state = entry.state;
  slot.expires = entry.expires;
  StoreResponse(table, slot, std::move(entry.response));
}

const ledger_entry* FindEntry(const ledger& table, const ticket_id& id) {
  const auto found = table.entries.find(id);
  return found == table.entries.end() ? nullptr : &found->second;
}

void RecoverEntry(ledger& table,
                  const ticket_id& id,
                  ledger_entry entry,
                  unix_ms now) {
  if (!FindEntry(table, id) && entry.state == ledger_entry_state::kDispatched)
    entry.state = ledger_entry_state::kUnknown;
  RestoreEntry(table, id, std::move(entry), now);
}

void RecoverClock(ledger& table, unix_ms clock) {
  AdvanceClock(table, clock);
}

void Prune(ledger& table, unix_ms now) {
  AdvanceClock(table, now);
  std::erase_if(table.entries, [&](const auto& entry) {
    const bool is_expired =
        entry.second.expires + table.limits.retention.count() < table.clock;
    // A run in progress keeps its entry, whatever its age.
    if (!is_expired || !IsFinal(entry.second.state))
      return false;
    table.total_response_bytes -= entry.second.response.body.size();
    return true;
  });
}

}  // namespace waxwing
