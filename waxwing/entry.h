// The entry: the daemon of an entry VM on a platform that lists targets, routes
// and weights in an object store.
//
// Its duties, each in a file of its own:
//
//   entry.cc            listeners, directory answers, readiness, stops
//   entry_forward.cc    one request from its route to the last byte
//   entry_targets.cc    which target a request goes to, and what is learned
//   entry_watch.cc      configuration, targets and weights from the store
//   entry_rollout.cc    the leased duty of bringing targets to new weights
//
// Membership is the agent's, run in the same process. All of it is one thread
// with one loop; nothing is locked.

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

namespace waxwing {

// Times and shares that the platform promises or demands.
struct entry_bounds {
  // Time of calm after which a VM counts as in touch with the platform.
  milliseconds contact{3'000};
  // Shortest time between the orders of two holders to one target.
  milliseconds order_turn{3'000};
  // Time after which no request may start on older weights.
  milliseconds weights_in_force{8'000};
  // From the request to stop to the forced end.
  milliseconds stop{8'000};
  // Longest lifetime of a directory answer.
  milliseconds longest_lifetime{5'000};
  // Time within which records that lapsed with the store away come back.
  milliseconds lapsed_return{2'000};
  // Repeats that all VMs together may send to a service: a share of its
  // requests, and a number beside.
  double retry_share = 0.2;
  double retry_allowance = 50;
};

struct entry_options {
  std::string vm = "vm";
  std::string zone = "a";
  std::string region;
  endpoint callers{"127.0.0.1", 0};
  endpoint readiness{"127.0.0.1", 0};
  endpoint directory{"127.0.0.1", 0};
  endpoint peers{"127.0.0.1", 0};
  endpoint store;
  std::vector<endpoint> seeds;
  std::string key;
  std::size_t descriptors = 4'096;
  entry_bounds bounds;
};

struct entry_state;

struct entry {
  std::shared_ptr<entry_state> state;
};

tl::expected<entry, std::string> StartEntry(
    boost::asio::any_io_executor executor,
    const entry_options& options,
    const protocol_adapter& protocol);

// Takes over what may change while running: bounds and seeds.
void ReloadEntry(entry& of, const entry_options& fresh);

// Planned stop: no new callers, requests in flight end. False if some were
// left when the time was up.
boost::asio::awaitable<bool> DrainEntry(entry& of);

// Ends at once.
void StopEntry(entry& of);

}  // namespace waxwing

#endif  // WAXWING_ENTRY_H_
