// The ledger of non-idempotent requests: ensures that each runs at most once.
//
// The owner VM's router keeps the ledger. The VM's agent keeps a copy of what
// must survive a restart of the router: which tickets are spent, and the stored
// responses. The following order keeps the outcome known after a restart:
//
//   1. TryClaim() claims the ticket in the router's ledger.
//   2. The agent records the ticket as dispatched and acknowledges this.
//   3. Only then may the router send any byte of the request to a target.
//   4. The router records the outcome in the ledger and sends it to the agent.
//
// The agent also records a refusal ("not run"), before the caller receives it,
// so that a delayed copy of the request can't run.
//
// Time is the VM's wall clock, which may step. The ledger keeps the largest
// time it has seen and uses no earlier one. An expired ticket therefore never
// runs, even if the clock steps back after its entry was dropped.
//
// Invariant: a ticket that has an entry, in any state, is never claimed again.

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

// Whether a request was executed by a target.
enum class run_outcome { kNotRun, kRan, kUnknown };

// "no", "yes" or "unknown", the value of the JSON field `ran`.
std::string_view NameOf(run_outcome value);

enum class ledger_entry_state {
  kClaimed,     // known to the router only; nothing was sent to a target
  kDispatched,  // may be running
  kCompleted,   // ran; the response may be stored
  kRefused,     // did not run and never will
  kUnknown,     // may have run; can't be determined any more
};

// A response stored to answer later copies of the request.
struct stored_response {
  unsigned status = 0;
  std::string content_type;
  std::string body;
  // False if the body was not stored because it exceeded the limits.
  bool is_complete = true;
};

struct ledger_entry {
  ledger_entry_state state = ledger_entry_state::kClaimed;
  unix_ms expires = 0;
  stored_response response;
};

struct ledger_limits {
  std::size_t max_entries = 100'000;
  // Largest body stored for one response, and for all of them together.
  std::size_t max_response_bytes = 64 * 1024;
  std::size_t max_total_response_bytes = 64 * 1024 * 1024;
  // How long an entry is kept after its ticket has expired.
  milliseconds retention{60'000};
};

struct ledger {
  ledger_limits limits;
  std::map<ticket_id, ledger_entry> entries;
  std::size_t total_response_bytes = 0;
  // The largest wall-clock time seen.
  unix_ms clock = 0;
};

enum class claim_result {
  kClaimed,     // claimed by this call; its caller must run the request
  kInProgress,  // a run is in progress; wait for its outcome
  kCompleted,   // ran; the entry has the response
  kNotRun,      // did not run and never will
  kUnknown,     // may have run
  kFull,        // the ledger is full; not run, the ticket can still be claimed
};

// Claims a ticket, or returns what is known of an earlier claim.
claim_result TryClaim(ledger& table, const ticket& claimed, unix_ms now);

// Advance the state of a claimed ticket. They ignore a ticket without an entry
// and a transition to an earlier state.
void MarkDispatched(ledger& table, const ticket_id& id);
void MarkCompleted(ledger& table,
                   const ticket_id& id,
                   stored_response response);
void MarkRefused(ledger& table, const ticket_id& id);
void MarkUnknown(ledger& table, const ticket_id& id);

// Stores an entry unchanged, in the agent's copy or while recovering. Ignored
// if the ledger already has the entry in a later or final state.
void RestoreEntry(ledger& table,
                  const ticket_id& id,
                  ledger_entry entry,
                  unix_ms now);

// The entry of a ticket, or null.
const ledger_entry* FindEntry(const ledger& table, const ticket_id& id);

// Recovers an entry of an earlier router process of this VM. If it was
// dispatched and this ledger has no entry for it, the restart interrupted the
// run and its outcome becomes unknown.
void RecoverEntry(ledger& table,
                  const ticket_id& id,
                  ledger_entry entry,
                  unix_ms now);

// Recovers the largest wall-clock time that another process of this VM has
// seen.
void RecoverClock(ledger& table, unix_ms clock);

// Removes entries whose retention has ended. Runs in progress keep theirs.
void Prune(ledger& table, unix_ms now);

}  // namespace waxwing

#endif  // WAXWING_LEDGER_H_
