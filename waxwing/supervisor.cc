#include "waxwing/supervisor.h"

#include <algorithm>
#include <boost/asio.hpp>
#include <list>
#include <utility>

#include "waxwing/log.h"

namespace waxwing {

namespace asio = boost::asio;

namespace detail {

struct task {
  std::string name;
  task_body body;
  std::unique_ptr<asio::cancellation_signal> stop;
};

struct supervisor_state {
  asio::any_io_executor executor;
  std::string name;
  supervisor_limits limits;
  bool stopping = false;
  std::uint64_t restarts = 0;
  std::list<task> tasks;
};

}  // namespace detail

namespace {

constexpr auto kUseTuple = asio::as_tuple(asio::use_awaitable);

// Runs a task once. Returns false if it threw.
asio::awaitable<bool> RunOnce(const detail::supervisor_state& state,
                              const detail::task& task) {
  try {
    co_await task.body();
    co_return true;
  } catch (const std::exception& error) {
    if (!state.stopping)
      LogError("duty_failed", {{"supervisor", state.name},
                               {"duty", task.name},
                               {"error", error.what()}});
    co_return false;
  }
}

asio::awaitable<void> RunTask(std::shared_ptr<detail::supervisor_state> state,
                              const detail::task* task) {
  milliseconds backoff = state->limits.first_backoff;
  while (!state->stopping) {
    const instant started = std::chrono::steady_clock::now();
    co_await RunOnce(*state, *task);
    if (state->stopping)
      co_return;
    if (std::chrono::steady_clock::now() - started >
        state->limits.healthy_after)
      backoff = state->limits.first_backoff;
    ++state->restarts;
    asio::steady_timer timer(state->executor, backoff);
    co_await timer.async_wait(kUseTuple);
    backoff = std::min(backoff * 2, state->limits.longest_backoff);
  }
}

}  // namespace

supervisor MakeSupervisor(asio::any_io_executor executor,
                          std::string name,
                          const supervisor_limits& limits) {
  auto state = std::make_shared<detail::supervisor_state>();
  state->executor = executor;
  state->name = std::move(name);
  state->limits = limits;
  return {state};
}

void Supervise(const supervisor& parent, std::string name, task_body body) {
  detail::supervisor_state& state = *parent.state;
  state.tasks.push_back({std::move(name), std::move(body),
                         std::make_unique<asio::cancellation_signal>()});
  detail::task& added = state.tasks.back();
  asio::co_spawn(
      state.executor, RunTask(parent.state, &added),
      asio::bind_cancellation_slot(added.stop->slot(), asio::detached));
}

void StopSupervisor(const supervisor& parent) {
  detail::supervisor_state& state = *parent.state;
  state.stopping = true;
  for (auto task = state.tasks.rbegin(); task != state.tasks.rend(); ++task)
    task->stop->emit(asio::cancellation_type::terminal);
}

bool IsStopping(const supervisor& parent) {
  return parent.state->stopping;
}

asio::awaitable<bool> Pause(const supervisor& parent, duration time) {
  if (parent.state->stopping)
    co_return false;
  asio::steady_timer timer(parent.state->executor, time);
  co_await timer.async_wait(kUseTuple);
  co_return !parent.state->stopping;
}

}  // namespace waxwing
