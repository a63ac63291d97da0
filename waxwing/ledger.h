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
enum class ran { kNo, kYes, kUnknown };

// "no", "yes" or "unknown", as in the JSON field `ran`.
std::string_view NameOf(ran value);

enum class ledger_step {
  kClaimed,     // in the router; no byte has left
  kDispatched,  // may be running
  kAnswered,    // ran; the answer may be kept
  kRefused,     // did not run, and never will
  kUnknown,     // may have run; nobody will know
};

// An answer kept for late copies of the request.
struct kept_answer {
  unsigned status = 0;
  std::string content_type;
  std::string body;
  // False if the answer was too large to keep.
  bool whole = true;
};

struct ledger_entry {
  ledger_step step = ledger_step::kClaimed;
  unix_ms expires = 0;
  kept_answer answer;
};

struct ledger_limits {
  std::size_t entries = 100'000;
  std::size_t answer_bytes = 64 * 1024;
  std::size_t all_answers_bytes = 64 * 1024 * 1024;
  // Time an entry outlives its ticket's expiry.
  milliseconds retention{60'000};
};

struct ledger {
  ledger_limits limits;
  std::map<ticket_id, ledger_entry> entries;
  std::size_t answers_bytes = 0;
  // Largest wall-clock time seen.
  unix_ms clock = 0;
};

enum class ledger_verdict {
  kRun,       // the caller of Admit() owns the run
  kJoin,      // a run is in progress; wait for its outcome
  kAnswered,  // ran; the entry has the answer
  kNotRun,    // did not run and will not
  kUnknown,   // may have run
  kFull,      // no room; not run, and the ticket stays unspent
};

// Claims a ticket, or says what became of it.
ledger_verdict Admit(ledger& book, const ticket& claimed, unix_ms now);

// Steps of the run. Each needs an entry; a step back is ignored.
void MarkDispatched(ledger& book, const ticket_id& id);
void MarkAnswered(ledger& book, const ticket_id& id, kept_answer answer);
void MarkRefused(ledger& book, const ticket_id& id);
void MarkUnknown(ledger& book, const ticket_id& id);

// Writes an entry as it is, for the agent's copy and for a handover. A step
// back of an entry that is already there is ignored.
void Restore(ledger& book,
             const ticket_id& id,
             ledger_entry entry,
             unix_ms now);

// The entry of a ticket, or null.
const ledger_entry* FindEntry(const ledger& book, const ticket_id& id);

// Takes over an entry that another process of this VM left behind. A run in
// progress that this ledger knows nothing of was cut off: its outcome becomes
// unknown.
void TakeOver(ledger& book,
              const ticket_id& id,
              ledger_entry entry,
              unix_ms now);

// Takes over the largest time that another process of this VM has seen.
void TakeOverClock(ledger& book, unix_ms clock);

// Drops entries whose retention is over.
void Prune(ledger& book, unix_ms now);

}  // namespace waxwing

#endif  // WAXWING_LEDGER_H_
