// The agent: the control process of an entry VM.
//
// Each of its tasks has its own source file:
//
//   agent_links.cc      connections to other agents, heartbeats, membership
//   agent_router.cc     the connection to the VM's router, the ledger copy
//   agent_config.cc     the configuration in force: a few agents of each zone
//                       watch the platform, the others get it from their peers
//   agent_targets.cc    polls the targets assigned to this agent and publishes
//                       their reports as digests
//   agent_orders.cc     orders to model engines to load weights, sent only by
//                       the holder of a lease
//   agent_operators.cc  the operator API
//
// The agent also keeps a copy of the router's ledger that survives a restart of
// the router (see ledger.h). It runs on a single thread and takes no locks.

#ifndef WAXWING_AGENT_H_
#define WAXWING_AGENT_H_

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include <tl/expected.hpp>

#include "waxwing/membership.h"
#include "waxwing/types.h"

namespace waxwing {

struct agent_options {
  std::string vm = "vm";
  std::string zone = "a";
  // Listen address for other agents and the VM's router.
  endpoint address{"127.0.0.1", 0};
  // Listen address of the operator API.
  endpoint operator_address{"127.0.0.1", 0};
  // Address at which callers reach the VM's router.
  endpoint router;
  // Requests that the VM can forward per second; 0 if unknown.
  std::uint32_t request_capacity = 0;
  endpoint platform;
  std::vector<endpoint> seeds;
  // Key shared by all agents and routers.
  std::string key;
  std::string operator_key;
  // False for an agent without a router, as used in measurements.
  bool has_router = true;
  // False for an agent that only takes part in membership: it does not call the
  // platform, poll targets or serve the operator API.
  bool has_control = true;
  // Number of agents of each zone that watch the platform.
  std::size_t watchers_per_zone = 2;
  milliseconds heartbeat_period{600};
  milliseconds report_period{500};
  // Minimum time between two orders to load weights.
  milliseconds min_load_interval{200};
  membership_limits limits;
};

struct agent_state;

struct agent {
  std::shared_ptr<agent_state> state;
  endpoint address;
  endpoint operator_address;
};

tl::expected<agent, std::string> StartAgent(
    boost::asio::any_io_executor executor,
    const agent_options& options);

// Announces that the VM is leaving, without stopping the agent.
void AnnounceLeaving(agent& handle);

// Planned stop: announces that the VM has left, gives the records 100 ms to
// reach the peers, and stops the agent.
boost::asio::awaitable<void> StopAgentGracefully(agent& handle);

// Stops the agent immediately, without announcing it to the peers, as a crash
// would.
void StopAgent(agent& handle);

}  // namespace waxwing

#endif  // WAXWING_AGENT_H_
