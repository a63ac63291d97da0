// Stateful fuzzing of the ticket ledger against a simple oracle: the number of
// times each request ran, and what callers were told. Routers and agents stop
// and start, messages are repeated, the wall clock steps.

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <map>
#include <set>
#include <vector>

#include "waxwing/ledger.h"

namespace waxwing {
namespace {

constexpr int kTickets = 4;
constexpr unix_ms kLifetime = 1'000;

enum class op_kind {
  kArrive,
  kNoteDispatch,
  kSend,
  kAnswer,
  kLoseAnswer,
  kRefuse,
  kRestartRouter,
  kRestartAgent,
  kStepClock,
  kPrune,
};

struct op {
  op_kind kind;
  int ticket;
  int amount;
};

void showValue(const op& o, std::ostream& out) {
  out << "{" << static_cast<int>(o.kind) << "," << o.ticket << "," << o.amount
      << "}";
}

enum class phase { kClaimed, kNoted, kSent };

// One VM: a router's ledger, the agent's copy, and the world outside.
struct world {
  ledger router;
  ledger agent;
  unix_ms clock = 10'000;
  std::map<int, phase> running;
  std::map<int, int> runs;
  std::set<int> told_not_run;
  std::set<int> told_answered;
};

ticket MakeTicket(int index) {
  ticket out;
  out.id = {"minter", 1, static_cast<std::uint64_t>(index)};
  out.owner = "owner";
  out.expires = 10'000 + kLifetime;
  return out;
}

// The agent's copy of the entry, as NoteLedger() writes it.
void Note(world& w, int index) {
  const ticket_id id = MakeTicket(index).id;
  if (const ledger_entry* entry = FindEntry(w.router, id))
    Restore(w.agent, id, *entry, w.clock);
}

void Arrive(world& w, int index) {
  switch (Admit(w.router, MakeTicket(index), w.clock)) {
    case ledger_verdict::kRun:
      RC_ASSERT(!w.running.contains(index));
      w.running[index] = phase::kClaimed;
      break;
    case ledger_verdict::kNotRun:
      w.told_not_run.insert(index);
      break;
    case ledger_verdict::kAnswered:
      w.told_answered.insert(index);
      break;
    default:
      break;
  }
}

void Advance(world& w, int index, op_kind kind) {
  const ticket_id id = MakeTicket(index).id;
  const auto run = w.running.find(index);
  if (run == w.running.end())
    return;
  if (kind == op_kind::kNoteDispatch && run->second == phase::kClaimed) {
    MarkDispatched(w.router, id);
    Note(w, index);
    run->second = phase::kNoted;
  } else if (kind == op_kind::kSend && run->second == phase::kNoted) {
    ++w.runs[index];
    run->second = phase::kSent;
  } else if (kind == op_kind::kAnswer && run->second == phase::kSent) {
    MarkAnswered(w.router, id, {200, "text/plain", "done", true});
    Note(w, index);
    w.told_answered.insert(index);
    w.running.erase(run);
  } else if (kind == op_kind::kLoseAnswer && run->second == phase::kSent) {
    MarkUnknown(w.router, id);
    Note(w, index);
    w.running.erase(run);
  } else if (kind == op_kind::kRefuse && run->second != phase::kSent) {
    MarkRefused(w.router, id);
    Note(w, index);
    w.told_not_run.insert(index);
    w.running.erase(run);
  }
}

// A new router takes over from the agent; the runs of the old one go on at the
// targets, but nobody waits for them.
void RestartRouter(world& w) {
  w.running.clear();
  w.router = ledger();
  TakeOverClock(w.router, w.agent.clock);
  for (const auto& [id, entry] : w.agent.entries)
    TakeOver(w.router, id, entry, w.clock);
}

// A new agent gets everything but bare claims from the running router.
void RestartAgent(world& w) {
  w.agent = ledger();
  TakeOverClock(w.agent, w.router.clock);
  for (const auto& [id, entry] : w.router.entries) {
    if (entry.step != ledger_step::kClaimed)
      Restore(w.agent, id, entry, w.clock);
  }
}

void Apply(world& w, const op& o) {
  switch (o.kind) {
    case op_kind::kArrive:
      Arrive(w, o.ticket);
      break;
    case op_kind::kRestartRouter:
      RestartRouter(w);
      break;
    case op_kind::kRestartAgent:
      RestartAgent(w);
      break;
    case op_kind::kStepClock:
      w.clock += o.amount;
      break;
    case op_kind::kPrune:
      Prune(w.router, w.clock);
      Prune(w.agent, w.clock);
      break;
    default:
      Advance(w, o.ticket, o.kind);
      break;
  }
}

void CheckPromises(world& w) {
  for (int i = 0; i < kTickets; ++i) {
    RC_ASSERT(w.runs[i] <= 1);
    if (w.told_not_run.contains(i))
      RC_ASSERT(w.runs[i] == 0);
    if (w.told_answered.contains(i))
      RC_ASSERT(w.runs[i] == 1);
  }
}

rc::Gen<op> AnyOp() {
  const auto kind = rc::gen::map(rc::gen::inRange(0, 10),
                                 [](int k) { return static_cast<op_kind>(k); });
  // Steps both ways, some far past expiry and retention.
  const auto amount = rc::gen::element(-100'000, -900, -10, 10, 600, 100'000);
  return rc::gen::construct<op>(kind, rc::gen::inRange(0, kTickets), amount);
}

RC_GTEST_PROP(LedgerFuzz, RunsAtMostOnceAndTellsTheTruth, ()) {
  const auto ops = *rc::gen::container<std::vector<op>>(AnyOp());
  world w;
  for (const op& o : ops) {
    Apply(w, o);
    CheckPromises(w);
  }
}

// The order of steps that hurts most, many times over: claim, dispatch,
// restart, late copy.
RC_GTEST_PROP(LedgerFuzz, RestartsBetweenTheStepsOfOneRun, ()) {
  const auto gaps = *rc::gen::container<std::vector<std::vector<op>>>(
      4, rc::gen::container<std::vector<op>>(AnyOp()));
  world w;
  const op_kind steps[] = {op_kind::kArrive, op_kind::kNoteDispatch,
                           op_kind::kSend, op_kind::kArrive};
  for (std::size_t i = 0; i < gaps.size(); ++i) {
    Apply(w, {steps[i], 0, 0});
    for (const op& o : gaps[i])
      Apply(w, o);
    CheckPromises(w);
  }
}

TEST(Ledger, ExpiredTicketIsNotRunOnlyWhileItsEntryWouldBeKept) {
  ledger book;
  const ticket t = MakeTicket(0);
  EXPECT_EQ(Admit(book, t, t.expires + 1), ledger_verdict::kNotRun);
  EXPECT_EQ(Admit(book, t, t.expires + book.limits.retention.count() + 1),
            ledger_verdict::kUnknown);
}

TEST(Ledger, ClockThatStepsBackRevivesNoTicket) {
  ledger book;
  const ticket t = MakeTicket(0);
  Prune(book, t.expires + 1);
  EXPECT_NE(Admit(book, t, t.expires - 500), ledger_verdict::kRun);
}

// Found by breaking the code: random steps alone seldom meet this order.
TEST(Ledger, ClockThatStepsBackBetweenTwoRoutersRevivesNoTicket) {
  world w;
  for (const op_kind kind : {op_kind::kArrive, op_kind::kNoteDispatch,
                             op_kind::kSend, op_kind::kAnswer})
    Apply(w, {kind, 0, 0});
  Apply(w, {op_kind::kStepClock, 0, 100'000});
  Apply(w, {op_kind::kPrune, 0, 0});
  EXPECT_EQ(FindEntry(w.agent, MakeTicket(0).id), nullptr);
  Apply(w, {op_kind::kStepClock, 0, -100'000});
  Apply(w, {op_kind::kRestartRouter, 0, 0});
  EXPECT_EQ(Admit(w.router, MakeTicket(0), w.clock), ledger_verdict::kUnknown);
}

TEST(Ledger, FullLedgerLeavesTheTicketUnspent) {
  ledger book;
  book.limits.entries = 1;
  EXPECT_EQ(Admit(book, MakeTicket(0), 10'000), ledger_verdict::kRun);
  EXPECT_EQ(Admit(book, MakeTicket(1), 10'000), ledger_verdict::kFull);
  EXPECT_EQ(FindEntry(book, MakeTicket(1).id), nullptr);
}

TEST(Ledger, LargeAnswerIsNotKeptButTheOutcomeIs) {
  ledger book;
  book.limits.answer_bytes = 3;
  const ticket t = MakeTicket(0);
  Admit(book, t, 10'000);
  MarkDispatched(book, t.id);
  MarkAnswered(book, t.id, {200, "text/plain", "long", true});
  EXPECT_EQ(Admit(book, t, 10'000), ledger_verdict::kAnswered);
  EXPECT_FALSE(FindEntry(book, t.id)->answer.whole);
}

}  // namespace
}  // namespace waxwing
