// Dispatch queues: requests that wait for capacity in the prefill window of a
// service.

#include <algorithm>
#include <boost/asio.hpp>

#include "waxwing/entry_state.h"

namespace waxwing {

namespace asio = boost::asio;

namespace {

void RemoveAt(dispatch_queue& queue, std::size_t index) {
  const auto at = static_cast<std::ptrdiff_t>(index);
  queue.requests.erase(queue.requests.begin() + at);
  queue.waiters.erase(queue.waiters.begin() + at);
}

void RemoveWaiter(dispatch_queue& queue, const dispatch_waiter& waiter) {
  for (std::size_t i = 0; i < queue.waiters.size(); ++i) {
    if (queue.waiters[i] == &waiter) {
      RemoveAt(queue, i);
      return;
    }
  }
}

void RefuseAt(dispatch_queue& queue, std::size_t index) {
  queue.waiters[index]->is_refused = true;
  queue.waiters[index]->wakeup.cancel();
  RemoveAt(queue, index);
}

void RefuseHopelessRequests(dispatch_queue& queue, instant now) {
  std::vector<std::size_t> hopeless =
      FindUndispatchable(queue.flow_control, queue.requests, now);
  std::sort(hopeless.begin(), hopeless.end(), std::greater<>());
  for (const std::size_t i : hopeless)
    RefuseAt(queue, i);
}

}  // namespace

void UpdateWindowMinimum(entry_state& state,
                         std::string_view service,
                         dispatch_queue& queue) {
  double rate = 0;
  const instant now = std::chrono::steady_clock::now();
  for (const target_view& view : state.placement.targets) {
    if (view.serves == service && IsUsableIgnoringBackoff(view, now))
      rate += view.prefill_tokens_per_second;
  }
  queue.flow_control.ranks_by_priority = RanksByRoute(*state.table);
  queue.flow_control.min_size =
      MinWindowSize(queue.flow_control, rate, state.caller_load.total_listed);
}

double QueuedTokens(const dispatch_queue& queue) {
  double out = 0;
  for (const queued_request& request : queue.requests)
    out += request.tokens;
  return out;
}

void DispatchQueuedRequests(entry_state& state, std::string_view service) {
  const auto found = state.dispatch_queues.find(service);
  if (found == state.dispatch_queues.end())
    return;
  dispatch_queue& queue = found->second;
  const instant now = std::chrono::steady_clock::now();
  if (ShortestPause(state.placement.targets, service, now) ||
      ReachesTooFewTargets(state, service)) {
    while (!queue.requests.empty())
      RefuseAt(queue, queue.requests.size() - 1);
  }
  while (const auto next =
             PickNextRequest(queue.flow_control, queue.requests, now)) {
    const double tokens = queue.requests[*next].tokens;
    if (!HasCapacity(queue.flow_control, tokens))
      break;
    const queued_request& request = queue.requests[*next];
    RecordPrefillSent(queue.flow_control, tokens,
                      request.objective_deadline - request.arrived);
    queue.waiters[*next]->is_dispatched = true;
    queue.waiters[*next]->wakeup.cancel();
    RemoveAt(queue, *next);
  }
  RefuseHopelessRequests(queue, now);
}

asio::awaitable<bool> WaitForDispatch(entry_ptr state,
                                      std::string service,
                                      queued_request request,
                                      dispatch_waiter& waiter) {
  dispatch_queue& queue = state->dispatch_queues[service];
  RecordArrival(queue.flow_control, request.tokens,
                std::chrono::steady_clock::now());
  queue.requests.push_back(request);
  queue.waiters.push_back(&waiter);
  DispatchQueuedRequests(*state, service);
  if (!waiter.is_dispatched && !waiter.is_refused) {
    waiter.wakeup.expires_at(request.dispatch_deadline);
    co_await waiter.wakeup.async_wait(asio::as_tuple(asio::use_awaitable));
    if (!waiter.is_dispatched)
      RemoveWaiter(queue, waiter);
  }
  co_return waiter.is_dispatched;
}

}  // namespace waxwing
