// The router: the data path of an entry VM.
//
// A request passes these steps, each in a file of its own:
//
//   router.cc        parses it and identifies its client account
//   ticketing.cc     if non-idempotent, claims its ticket or forwards the
//                    request to the VM that owns the ticket
//   waiting.cc       applies the account's rate limit and queues the request
//   placement.cc     chooses the target
//   chat_run.cc      runs a chat completion, replaying it on other targets
//   chat_relay.cc    relays the stream of one target, resuming it if it breaks
//   service_run.cc   runs a call to a plain service
//
// native_adapter.h parses and serializes the protocol that callers and targets
// use.
//
// agent_client.cc maintains the connection to the VM's agent, which supplies
// the configuration, the member list, target reports and the ledger that an
// earlier router of this VM left.
//
// A router runs on a single thread and uses no locks.

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
  // The VM's agent. Without one, as in tests, the configuration comes only from
  // ApplyConfig() and the ledger isn't replicated.
  std::optional<endpoint> agent;
  // Secret shared by all processes of the system. Authenticates links between
  // them and signs tickets.
  std::string key;
  placement_policy policy = placement_policy::kHomesAndCost;
  http_limits limits;
  // Largest number of queued requests.
  std::size_t queue_limit = 4'000;
  // Number of entry VMs that /v1/entry returns to an account.
  std::size_t entry_vms = 2;
  // TTL of a response of /v1/entry.
  milliseconds entry_lifetime{10'000};
  // Time for which a draining router still accepts connections, because callers
  // may have cached this VM's address.
  milliseconds linger{10'000};
  // Maximum time to wait for requests in flight while draining.
  milliseconds drain_limit{120'000};
  // Seed of the random numbers that placement uses; 0 chooses one.
  std::uint64_t seed = 0;
};

struct router_state;

struct router {
  std::shared_ptr<router_state> state;
  endpoint address;
};

// Starts serving on `options.address`. Returns an error message if the address
// can't be bound.
tl::expected<router, std::string> StartRouter(
    boost::asio::any_io_executor executor,
    const router_options& options);

// Activates a configuration. Ignored unless its generation is newer than the
// active one.
void ApplyConfig(router& instance, config new_config);

// Graceful shutdown: with an agent, reports to it and serves new callers for
// the linger time. Then accepts no new connections and waits for the requests
// in flight. Returns true if all of them ended within the drain limit.
boost::asio::awaitable<bool> DrainRouter(router& instance);

// Stops immediately and drops the requests in flight.
void StopRouter(router& instance);

}  // namespace waxwing

#endif  // WAXWING_ROUTER_H_
