// The ledger of non-idempotent requests: makes each run at most once.
//
// The owner VM's router keeps the ledger; its agent keeps a copy of what must
// survive a restart of the router: which tickets are spent, and their answers.
// The order of steps is what makes the outcome known after a restart:
//
//   1. Admit() claims the ticket in the router's ledger.
//   2. The agent notes the ticket as dispatched, and says so.
//   3. Only then may a byte of the request leave for a target.
//   4. The outcome goes to the ledger and to the agent.
//
// A refusal ("not run") is noted by the agent as well before the caller is
// told, so that a late copy of the request can't run.
//
// Time is the VM's wall clock, which may step. The ledger keeps the largest
// time it has seen and never goes back behind it; an expired ticket therefore
// never runs, even if the clock steps back after its entry was dropped.
//
// Invariant: a ticket in any state but "absent" never runs again.

#ifndef WAXWING_LEDGER_H_
#define WAXWING_LEDGER_H_

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "waxwing/ticket.h"
#include "waxwing/types.h"

namespace waxwing {

// What is known of a request's execution.
enum class run_outcome { kNotRun, kRan, kUnknown };

// "no", "yes" or "unknown", as in the JSON field `ran`.
std::string_view NameOf(run_outcome value);

enum class ledger_entry_state {
  kClaimed,     // in the router; no byte has left
  kDispatched,  // may be running
  kCompleted,   // ran; the answer may be kept
  kRefused,     // did not run, and never will
  kUnknown,     // may have run; nobody will know
};

// An answer kept for late copies of the request.
struct stored_response {
  unsigned status = 0;
  std::string content_type;
  std::string body;
  // False if the answer was too large to keep.
  bool is_complete = true;
};

struct ledger_entry {
  ledger_entry_state state = ledger_entry_state::kClaimed;
  unix_ms expires = 0;
  stored_response response;
};

struct ledger_limits {
  std::size_t max_entries = 100'000;
  std::size_t max_response_bytes = 64 * 1024;
  std::size_t max_total_response_bytes = 64 * 1024 * 1024;
  // Time an entry outlives its ticket's expiry.
  milliseconds retention{60'000};
};

struct ledger {
  ledger_limits limits;
  std::map<ticket_id, ledger_entry> entries;
  std::size_t total_response_bytes = 0;
  // Largest wall-clock time seen.
  unix_ms clock = 0;
};

enum class claim_result {
  kClaimed,     // the caller of Admit() owns the run
  kInProgress,  // a run is in progress; wait for its outcome
  kCompleted,   // ran; the entry has the answer
  kNotRun,      // did not run and will not
  kUnknown,     // may have run
  kFull,        // no room; not run, and the ticket stays unspent
};

// Claims a ticket, or says what became of it.
claim_result TryClaim(ledger& table, const ticket& claimed, unix_ms now);

// Steps of the run. Each needs an entry; a step back is ignored.
void MarkDispatched(ledger& table, const ticket_id& id);
void MarkCompleted(ledger& table,
                   const ticket_id& id,
                   stored_response response);
void MarkRefused(ledger& table, const ticket_id& id);
void MarkUnknown(ledger& table, const ticket_id& id);

// Writes an entry as it is, for the agent's copy and for a handover. A step
// back of an entry that is already there is ignored.
void RestoreEntry(ledger& table,
                  const ticket_id& id,
                  ledger_entry entry,
                  unix_ms now);

// The entry of a ticket, or null.
const ledger_entry* FindEntry(const ledger& table, const ticket_id& id);

// Takes over an entry that another process of this VM left behind. A run in
// progress that this ledger knows nothing of was cut off: its outcome becomes
// unknown.
void RecoverEntry(ledger& table,
                  const ticket_id& id,
                  ledger_entry entry,
                  unix_ms now);

// Takes over the largest time that another process of this VM has seen.
void RecoverClock(ledger& table, unix_ms clock);

// Drops entries whose retention is over.
void Prune(ledger& table, unix_ms now);

}  // namespace waxwing

#endif  // WAXWING_LEDGER_H_
