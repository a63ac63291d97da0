#include "waxwing/agent.h"

#include <boost/asio.hpp>

#include "waxwing/agent_state.h"
#include "waxwing/hash.h"
#include "waxwing/listener.h"
#include "waxwing/log.h"

namespace waxwing {

namespace asio = boost::asio;

namespace {

// How long a starting agent waits for a router that is already running to
// connect and report the VM's current incarnation.
constexpr milliseconds kRouterConnectTimeout{400};
constexpr milliseconds kRouterConnectPoll{10};
constexpr int kRandomBits = 20;

// Returns the wall-clock time with kRandomBits random low bits: greater than
// all earlier incarnations of this VM unless the clock has been set back.
std::uint64_t NewIncarnation() {
  const auto time = static_cast<std::uint64_t>(UnixNow());
  const std::uint64_t mask = (std::uint64_t{1} << kRandomBits) - 1;
  return (time << kRandomBits) | (RandomId() & mask);
}

member MakeSelf(const agent_options& options, std::uint64_t incarnation) {
  member self;
  self.vm = options.vm;
  self.zone = options.zone;
  self.incarnation = incarnation;
  // Taken from the wall clock, so that an agent that restarts with its previous
  // incarnation starts with a higher version.
  self.version = static_cast<std::uint64_t>(UnixNow());
  self.agent = options.address;
  self.router = options.router;
  self.request_capacity = options.request_capacity;
  return self;
}

// Waits for a router that is still running on this VM, so that ServeRouter()
// can adopt the incarnation it knows and its tickets stay valid. If none
// connects, the agent keeps its new incarnation.
asio::awaitable<void> WaitForRunningRouter(agent_ptr state) {
  const instant deadline =
      std::chrono::steady_clock::now() + kRouterConnectTimeout;
  while (!IsOpen(state->router) && state->options.has_router &&
         std::chrono::steady_clock::now() < deadline)
    co_await Pause(state->root, kRouterConnectPoll);
}

asio::awaitable<void> StartTasks(agent_ptr state) {
  co_await WaitForRunningRouter(state);
  state->incarnation_is_final = true;
  Supervise(state->root, "links",
            [state] { return RunLinkMaintenance(state); });
  if (!state->options.has_control)
    co_return;
  Supervise(state->root, "platform", [state] { return WatchPlatform(state); });
  Supervise(state->root, "targets", [state] { return PollTargets(state); });
  Supervise(state->root, "orders", [state] { return RunLoadOrders(state); });
}

}  // namespace

tl::expected<agent, std::string> StartAgent(asio::any_io_executor executor,
                                            const agent_options& options) {
  auto state = std::make_shared<agent_state>();
  state->executor = executor;
  state->options = options;
  state->root = MakeSupervisor(executor, "agent", {});
  state->pool = MakeHttpPool(executor, {});
  state->platform.pool = state->pool;
  state->platform.address = options.platform;
  state->random.seed(RandomId());
  state->incarnation = NewIncarnation();
  state->started = std::chrono::steady_clock::now();
  state->router_last_seen = state->started;
  auto acceptor = OpenListener(executor, options.address);
  if (!acceptor)
    return tl::unexpected(acceptor.error());
  state->options.address.port = acceptor->local_endpoint().port();
  state->acceptor =
      std::make_shared<asio::ip::tcp::acceptor>(std::move(*acceptor));
  if (options.has_control) {
    if (const auto api = StartOperatorApi(state); !api)
      return tl::unexpected(api.error());
  }
  state->members = MakeMembership(options.limits,
                                  MakeSelf(state->options, state->incarnation),
                                  state->started);
  Supervise(state->root, "accept", [state] { return AcceptLinks(state); });
  asio::co_spawn(executor, StartTasks(state), asio::detached);
  LogInfo("agent_started",
          {{"vm", options.vm},
           {"zone", options.zone},
           {"address", ToText(state->options.address)},
           {"operators", ToText(state->operator_server.address)}});
  return agent{state, state->options.address, state->operator_server.address};
}

void AnnounceLeaving(agent& handle) {
  agent_state& state = *handle.state;
  SetOwnStatus(state.members, member_status::kLeaving,
               std::chrono::steady_clock::now());
  BroadcastMembers(state, {Self(state)}, "");
}

asio::awaitable<void> StopAgentGracefully(agent& handle) {
  const agent_ptr state = handle.state;
  state->stopping = true;
  const instant now = std::chrono::steady_clock::now();
  SetOwnStatus(state->members, member_status::kLeft, now);
  BroadcastMembers(*state, {state->members.members.at(state->options.vm).data},
                   "");
  // Lets the records be sent before the connections are closed.
  co_await Pause(state->root, milliseconds(100));
  StopAgent(handle);
}

void StopAgent(agent& handle) {
  agent_state& state = *handle.state;
  state.stopping = true;
  StopSupervisor(state.root);
  boost::system::error_code ignored;
  state.acceptor->close(ignored);
  if (state.operator_server.listener)
    CloseServer(state.operator_server);
  ClosePeer(state.router);
  for (const auto& [vm, link] : state.links)
    ClosePeer(link.connection);
}

}  // namespace waxwing
