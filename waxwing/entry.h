// The entry: the daemon of an entry VM on a platform that keeps targets, routes
// and weights in an object store.
//
// Source files:
//
//   entry.cc                    listeners, readiness, shutdown
//   entry_directory.cc          which VMs the callers of a zone should use
//   entry_forward.cc            forwarding of one request, with retries
//   entry_relay.cc              one attempt: request to target, its response
//   entry_dispatch.cc           choice of target, accounting of the attempt
//   entry_suspects.cc           requests that end targets: reports, trials,
//   holds entry_queue.cc              queue in front of the engines of a
//   service entry_targets.cc            the list of targets and their costs
//   entry_watch.cc              configuration, targets, weights from the store
//   entry_replication.cc        replication of store objects between VMs
//   entry_caches.cc             subscriptions to targets' cache events
//   entry_cache_replication.cc  replication of cache changes within the zone
//   entry_rollout.cc            leased role of loading new weights on targets
//
// Membership is handled by an agent in the same process. Everything runs on one
// thread with one event loop, so there are no locks.

#ifndef WAXWING_ENTRY_H_
#define WAXWING_ENTRY_H_

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <memory>
#include <string>
#include <vector>

#include <tl/expected.hpp>

#include "waxwing/adapter.h"
#include "waxwing/types.h"
#include "waxwing/vm_selection.h"

namespace waxwing {

// Limits that the platform guarantees or requires.
struct entry_bounds {
  // Time without faults after which a VM counts as being in contact with the
  // platform.
  milliseconds contact_time{3'000};
  // Minimum time between orders of two different lease holders to one target.
  milliseconds order_handover{3'000};
  // Time after the announcement of new weights from which no request may start
  // on outdated ones.
  milliseconds outdated_weights_limit{8'000};
  // Time from the stop request until the process is killed.
  milliseconds stop_timeout{8'000};
  // Maximum TTL of a directory response.
  milliseconds max_directory_ttl{5'000};
  // Time within which records that expired during a store outage are listed
  // again.
  milliseconds relist_grace{2'000};
  // Retries that all VMs together may send to a service: a share of its
  // requests plus a fixed number.
  double retry_share = 0.2;
  double retry_allowance = 50;
};

struct entry_options {
  std::string vm = "vm";
  std::string zone = "a";
  std::string region;
  // Listen addresses.
  endpoint callers{"127.0.0.1", 0};
  endpoint readiness{"127.0.0.1", 0};
  endpoint directory{"127.0.0.1", 0};
  endpoint peers{"127.0.0.1", 0};
  // Address of the object store, and peers to contact at the start.
  endpoint store;
  std::vector<endpoint> seeds;
  std::string key;
  std::size_t max_descriptors = 4'096;
  vm_resources resources;
  // Memory that the process may use; 0 if unknown.
  std::size_t memory_bytes = 0;
  entry_bounds bounds;
  // The whole system starts for the first time, so there is no earlier state.
  bool is_first_start = false;
};

struct entry_state;

// A running entry.
struct entry {
  std::shared_ptr<entry_state> state;
};

tl::expected<entry, std::string> StartEntry(
    boost::asio::any_io_executor executor,
    const entry_options& options,
    const protocol_adapter& protocol);

// Applies the settings that may change at run time: bounds, seeds and the
// address of the store.
void ReloadEntry(entry& instance, const entry_options& options);

// Shuts down gracefully: serves callers until the directory responses that they
// have cached expire, then accepts no more connections and waits for requests
// in flight. Returns false if some were still open at the end of the timeout.
boost::asio::awaitable<bool> DrainEntry(entry& instance);

// Stops at once, without waiting for requests in flight.
void StopEntry(entry& instance);

}  // namespace waxwing

#endif  // WAXWING_ENTRY_H_
