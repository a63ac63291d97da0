#include "waxwing/ledger.h"

#include <algorithm>
#include <utility>

namespace waxwing {
namespace {

void AdvanceClock(ledger& book, unix_ms now) {
  book.clock = std::max(book.clock, now);
}

bool IsFinal(ledger_step step) {
  return step != ledger_step::kClaimed && step != ledger_step::kDispatched;
}

// Keeps the answer's body only within the limits.
void StoreAnswer(ledger& book, ledger_entry& entry, kept_answer answer) {
  const std::size_t size = answer.body.size();
  if (size > book.limits.answer_bytes ||
      book.answers_bytes + size > book.limits.all_answers_bytes) {
    answer.body.clear();
    answer.whole = false;
  }
  book.answers_bytes += answer.body.size();
  entry.answer = std::move(answer);
}

void SetFinal(ledger& book, const ticket_id& id, ledger_step step) {
  const auto found = book.entries.find(id);
  if (found != book.entries.end() && !IsFinal(found->second.step))
    found->second.step = step;
}

// What to say of a ticket that has no entry and has expired. While an entry
// would still be kept, its absence shows that the request never ran here.
ledger_verdict VerdictOfExpired(const ledger& book, const ticket& expired) {
  const bool entry_would_be_kept =
      book.clock <= expired.expires + book.limits.retention.count();
  return entry_would_be_kept ? ledger_verdict::kNotRun
                             : ledger_verdict::kUnknown;
}

}  // namespace

std::string_view NameOf(ran value) {
  switch (value) {
    case ran::kNo:
      return "no";
    case ran::kYes:
      return "yes";
    case ran::kUnknown:
      return "unknown";
  }
  return "unknown";
}

ledger_verdict Admit(ledger& book, const ticket& claimed, unix_ms now) {
  AdvanceClock(book, now);
  const auto found = book.entries.find(claimed.id);
  if (found != book.entries.end()) {
    switch (found->second.step) {
      case ledger_step::kClaimed:
      case ledger_step::kDispatched:
        return ledger_verdict::kJoin;
      case ledger_step::kAnswered:
        return ledger_verdict::kAnswered;
      case ledger_step::kRefused:
        return ledger_verdict::kNotRun;
      case ledger_step::kUnknown:
        return ledger_verdict::kUnknown;
    }
  }
  if (claimed.expires <= book.clock)
    return VerdictOfExpired(book, claimed);
  if (book.entries.size() >= book.limits.entries) {
    Prune(book, now);
    if (book.entries.size() >= book.limits.entries)
      return ledger_verdict::kFull;
  }
  book.entries[claimed.id] = {ledger_step::kClaimed, claimed.expires, {}};
  return ledger_verdict::kRun;
}

void MarkDispatched(ledger& book, const ticket_id& id) {
  const auto found = book.entries.find(id);
  if (found != book.entries.end() &&
      found->second.step == ledger_step::kClaimed)
    found->second.step = ledger_step::kDispatched;
}

void MarkAnswered(ledger& book, const ticket_id& id, kept_answer answer) {
  const auto found = book.entries.find(id);
  if (found == book.entries.end() || IsFinal(found->second.step))
    return;
  found->second.step = ledger_step::kAnswered;
  StoreAnswer(book, found->second, std::move(answer));
}

void MarkRefused(ledger& book, const ticket_id& id) {
  SetFinal(book, id, ledger_step::kRefused);
}

void MarkUnknown(ledger& book, const ticket_id& id) {
  SetFinal(book, id, ledger_step::kUnknown);
}

void Restore(ledger& book,
             const ticket_id& id,
             ledger_entry entry,
             unix_ms now) {
  AdvanceClock(book, now);
  const auto found = book.entries.find(id);
  if (found != book.entries.end() &&
      (IsFinal(found->second.step) || entry.step == ledger_step::kClaimed))
    return;
  ledger_entry& slot = book.entries[id];
  slot.step = entry.step;
  slot.expires = entry.expires;
  StoreAnswer(book, slot, std::move(entry.answer));
}

const ledger_entry* FindEntry(const ledger& book, const ticket_id& id) {
  const auto found = book.entries.find(id);
  return found == book.entries.end() ? nullptr : &found->second;
}

void TakeOver(ledger& book,
              const ticket_id& id,
              ledger_entry entry,
              unix_ms now) {
  if (!FindEntry(book, id) && entry.step == ledger_step::kDispatched)
    entry.step = ledger_step::kUnknown;
  Restore(book, id, std::move(entry), now);
}

void TakeOverClock(ledger& book, unix_ms clock) {
  AdvanceClock(book, clock);
}

void Prune(ledger& book, unix_ms now) {
  AdvanceClock(book, now);
  std::erase_if(book.entries, [&](const auto& entry) {
    const bool over =
        entry.second.expires + book.limits.retention.count() < book.clock;
    // A run in progress keeps its entry whatever its age.
    if (!over || !IsFinal(entry.second.step))
      return false;
    book.answers_bytes -= entry.second.answer.body.size();
    return true;
  });
}

}  // namespace waxwing
