// Requests that wait for their turn at the engines of a service.

#include <algorithm>
#include <boost/asio.hpp>

#include "waxwing/entry_state.h"

namespace waxwing {

namespace asio = boost::asio;

namespace {

void TakeOut(turn_queue& queue, std::size_t index) {
  const auto at = static_cast<std::ptrdiff_t>(index);
  queue.turns.erase(queue.turns.begin() + at);
  queue.waiters.erase(queue.waiters.begin() + at);
}

void Leave(turn_queue& queue, const turn_waiter& waiter) {
  for (std::size_t i = 0; i < queue.waiters.size(); ++i) {
    if (queue.waiters[i] == &waiter) {
      TakeOut(queue, i);
      return;
    }
  }
}

void RefuseHopeless(turn_queue& queue, instant now) {
  std::vector<std::size_t> hopeless =
      FindUndispatchable(queue.at_engines, queue.turns, now);
  std::sort(hopeless.begin(), hopeless.end(), std::greater<>());
  for (const std::size_t i : hopeless) {
    queue.waiters[i]->is_refused = true;
    queue.waiters[i]->signal.cancel();
    TakeOut(queue, i);
  }
}

// Time of reading by all engines whose share a VM may always have under way.
constexpr milliseconds kSmallestWindow{400};

}  // namespace

void SetSmallestWindow(entry_state& state,
                       std::string_view service,
                       turn_queue& queue) {
  double rate = 0;
  for (const target_view& view : state.placement.targets) {
    if (view.serves == service && IsUsableIgnoringBackoff(view))
      rate += view.prefill_tokens_per_second;
  }
  const double share = rate * ToSeconds(kSmallestWindow) /
                       static_cast<double>(CountServingVms(state));
  queue.at_engines.min_size =
      MinWindowSize(share, queue.at_engines.mean_tokens);
}

double WaitingTokens(const turn_queue& queue) {
  double out = 0;
  for (const queued_request& turn : queue.turns)
    out += turn.tokens;
  return out;
}

void GrantTurns(entry_state& state, std::string_view service) {
  const auto found = state.queues.find(service);
  if (found == state.queues.end())
    return;
  turn_queue& queue = found->second;
  const instant now = std::chrono::steady_clock::now();
  RefuseHopeless(queue, now);
  while (const auto next =
             PickNextRequest(queue.at_engines, queue.turns, now)) {
    const double tokens = queue.turns[*next].tokens;
    if (!HasCapacity(queue.at_engines, tokens))
      return;
    RecordPrefillSent(queue.at_engines, tokens);
    queue.waiters[*next]->is_granted = true;
    queue.waiters[*next]->signal.cancel();
    TakeOut(queue, *next);
  }
}

asio::awaitable<bool> WaitForTurn(entry_ptr state,
                                  std::string service,
                                  queued_request turn,
                                  turn_waiter& waiter) {
  turn_queue& queue = state->queues[service];
  queue.turns.push_back(turn);
  queue.waiters.push_back(&waiter);
  GrantTurns(*state, service);
  if (!waiter.is_granted && !waiter.is_refused) {
    waiter.signal.expires_at(turn.dispatch_deadline);
    co_await waiter.signal.async_wait(asio::as_tuple(asio::use_awaitable));
    if (!waiter.is_granted)
      Leave(queue, waiter);
  }
  co_return waiter.is_granted;
}

}  // namespace waxwing
