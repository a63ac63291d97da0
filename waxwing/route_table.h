// Routes of an entry VM: which service a request goes to, and what may be done
// with it on the way.
//
// A route table is one version of the operators' configuration. It replaces the
// one before as a whole; a request keeps the table that it started with.

#ifndef WAXWING_ROUTE_TABLE_H_
#define WAXWING_ROUTE_TABLE_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "waxwing/types.h"

namespace waxwing {

// What may be repeated without the caller's asking.
enum class route_kind {
  kIdempotent,
  kNonIdempotent,
  kStream,  // non-idempotent unless the route's streams can be resumed
};

struct weighted_service {
  std::string service;
  double weight = 0;
};

struct route {
  std::string name;
  std::string host;
  // Begins and ends with a slash.
  std::string path_prefix;
  route_kind kind = route_kind::kNonIdempotent;
  // Longest time that a caller is kept waiting for the whole answer.
  milliseconds timeout{30'000};
  // Time within which an answer has its full worth.
  milliseconds latency_objective{1'000};
  // Longest pause between events of a stream that is still on time.
  milliseconds gap_objective{1'000};
  // Rank, 0 is the most urgent.
  int priority = 5;
  // Most targets that may run one request.
  int max_attempts = 1;
  // Needs no client account.
  bool is_anonymous = false;
  bool can_resume = false;
  // Carries a prompt whose shared parts are named.
  bool has_prompt = false;
  // At least one; weights are relative.
  std::vector<weighted_service> services;
};

struct service_info {
  std::string name;
  std::string health_path;
  // Connections that one target takes from all VMs together; 0: not stated.
  int target_connections = 0;
  // For model engines: requests in a batch and tokens of cache memory.
  int engine_slots = 0;
  std::uint32_t engine_cache_tokens = 0;
  std::string model;
  // VMs that may follow one target's cache events at a time; 0: not stated.
  int max_event_subscribers = 0;
  // Bytes of cache memory for one token.
  double bytes_per_token = 0;
  // For a store of KV cache: its address and zone.
  std::optional<endpoint> cache_store;
  std::string zone;
  double link_mbps = 0;
};

struct account_info {
  std::string name;
  // Replaces the route's priority.
  std::optional<int> priority;
  // Shares no cache entry with any other account.
  bool is_isolated = false;
};

// Bounds on what a caller may send.
struct caller_limits {
  std::size_t header_bytes = 16 * 1024;
  std::size_t body_bytes = 4 * 1024 * 1024;
  milliseconds header_timeout{3'000};
  milliseconds idle_timeout{15'000};
};

struct route_table {
  // 0: nothing is known yet.
  std::int64_t version = 0;
  // By host, longest path prefix first.
  std::map<std::string, std::vector<route>, std::less<>> routes;
  std::map<std::string, service_info, std::less<>> services;
  // False: callers need no key.
  bool has_accounts = false;
  // By account key.
  std::map<std::string, account_info, std::less<>> account_of_key;
  caller_limits limits;
};

// Adds a route at its place.
void AddRoute(route_table& table, route added);

// The route of a host, with or without a port, and a path. Null if none fits.
const route* FindRoute(const route_table& table,
                       std::string_view host,
                       std::string_view path);

// Picks one of the route's services by weight; `random` is uniform.
const std::string& ChooseService(const route& matched, std::uint64_t random);

// True if a request of the route may run more than once.
bool MayRepeat(const route& matched);

}  // namespace waxwing

#endif  // WAXWING_ROUTE_TABLE_H_
