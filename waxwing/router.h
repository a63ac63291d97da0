// The router: the data path of an entry VM.
//
// A request passes these steps, each in a file of its own:
//
//   router.cc        reads it, finds its client account, answers
//   ticketing.cc     non-idempotent: claims its ticket, or forwards to the
//   owner waiting.cc       checks the account's limit, waits in the fair queue
//   placement.cc     chooses the target
//   chat_run.cc      runs a chat completion, with replays at other targets
//   chat_relay.cc    its stream at one target, with resumes
//   service_run.cc   runs a call to a plain service
//
// Its protocol towards callers and targets is read and written in
// native_adapter.h.
//
// agent_client.cc keeps the connection to the VM's agent, from which the router
// gets configuration, members, target reports and its ledger.
//
// A router runs on one thread; nothing in it is locked.

#ifndef WAXWING_ROUTER_H_
#define WAXWING_ROUTER_H_

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <memory>
#include <optional>
#include <string>

#include <tl/expected.hpp>

#include "waxwing/config.h"
#include "waxwing/http_server.h"
#include "waxwing/membership.h"
#include "waxwing/placement.h"
#include "waxwing/types.h"

namespace waxwing {

struct router_options {
  std::string vm = "vm";
  std::string zone = "a";
  endpoint address{"127.0.0.1", 0};
  // The VM's agent; without one the router serves only what a test gives it.
  std::optional<endpoint> agent;
  // Shared key of all of the system's processes.
  std::string key;
  placement_policy policy = placement_policy::kHomesAndCost;
  http_limits limits;
  // Requests that may wait at once.
  std::size_t queue_limit = 4'000;
  // Entry VMs that an account is told to use.
  std::size_t entry_vms = 2;
  milliseconds entry_lifetime{10'000};
  // Time that a planned stop goes on serving new callers, who may still hold
  // this VM's address.
  milliseconds linger{10'000};
  // Longest time a planned stop waits for requests in flight.
  milliseconds drain_limit{120'000};
  std::uint64_t seed = 0;
};

struct router_state;

struct router {
  std::shared_ptr<router_state> state;
  endpoint address;
};

tl::expected<router, std::string> StartRouter(
    boost::asio::any_io_executor executor,
    const router_options& options);

// Puts a configuration in force; ignored if its generation does not rise.
void ApplyConfig(router& instance, config new_config);

// Planned stop: takes no new connections, waits for all requests in flight.
// True if all ended within the drain limit.
boost::asio::awaitable<bool> DrainRouter(router& instance);

// Ends at once, as a crash would.
void StopRouter(router& instance);

}  // namespace waxwing

#endif  // WAXWING_ROUTER_H_
