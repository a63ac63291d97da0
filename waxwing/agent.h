// The agent: control of an entry VM.
//
// Its duties, each in a file of its own:
//
//   agent_links.cc      connections to other agents, heartbeats, membership
//   agent_router.cc     the connection to the VM's router, the ledger's copy
//   agent_config.cc     the configuration in force: from the platform's watch
//                       on a few agents of each zone, from peers on the others
//   agent_targets.cc    reports of the targets assigned to this agent, passed
//                       on as digests
//   agent_orders.cc     the leased duty of giving orders to model engines
//   agent_operators.cc  the operators' API
//
// The agent also keeps the copy of the router's ledger that outlives a restart
// of the router (see ledger.h). It runs on one thread; nothing is locked.

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
  // For other agents and the VM's router.
  endpoint address{"127.0.0.1", 0};
  // For operators.
  endpoint operator_address{"127.0.0.1", 0};
  // Where callers reach the VM's router.
  endpoint router;
  endpoint platform;
  std::vector<endpoint> seeds;
  std::string key;
  std::string operator_key;
  // False for an agent without a router, in measurements.
  bool has_router = true;
  // False for an agent that only keeps the members: it makes no call to the
  // platform, polls no targets and serves no operators.
  bool has_control = true;
  // Agents of a zone that watch the platform.
  std::size_t watchers_per_zone = 2;
  milliseconds heartbeat_period{600};
  milliseconds report_period{500};
  milliseconds platform_poll{2'000};
  // Shortest time between two orders to load weights.
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

// Announces that the VM leaves, without ending anything.
void AnnounceLeaving(agent& handle);

// Planned stop: announces that the VM leaves, hands over, and ends.
boost::asio::awaitable<void> StopAgentGracefully(agent& handle);

// Ends at once, as a crash would.
void StopAgent(agent& handle);

}  // namespace waxwing

#endif  // WAXWING_AGENT_H_
