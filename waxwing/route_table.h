// Routes of an entry VM: the service for a request, and how the request may be
// handled.
//
// A route table is one version of the operators' configuration. A new version
// replaces the table as a whole; a request uses the same table from start to
// end, but the newest one for the isolation of its account.

#ifndef WAXWING_ROUTE_TABLE_H_
#define WAXWING_ROUTE_TABLE_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "waxwing/types.h"

namespace waxwing {

// Whether a request may be repeated without the caller asking for it.
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
  // Time limit for the complete response.
  milliseconds timeout{30'000};
  // Latency objective (SLO) for the response.
  milliseconds latency_objective{1'000};
  // Latency objective for the gap between two events of a stream.
  milliseconds gap_objective{1'000};
  // 0 is the most urgent.
  std::int64_t priority = 5;
  // Maximum number of targets that may execute one request.
  int max_attempts = 1;
  // Needs no client account.
  bool is_anonymous = false;
  bool can_resume = false;
  // The request has a prompt whose shared segments are identified.
  bool has_prompt = false;
  // Weights are relative. Empty if the services can't be read, so that requests
  // must be refused.
  std::vector<weighted_service> services;
};

struct service_info {
  std::string name;
  std::string health_path;
  // Connections that one target accepts from all VMs together; 0: unspecified.
  int target_connections = 0;
  // For model engines: requests in a batch, and cache capacity in tokens.
  int engine_slots = 0;
  std::uint32_t engine_cache_tokens = 0;
  // Its targets serve models, whose weights have versions.
  bool has_models = false;
  // VMs that may subscribe to one target's cache events at a time; 0:
  // unspecified.
  int max_event_subscribers = 0;
  // Cache memory for one token, in bytes.
  double bytes_per_token = 0;
  // For a KV cache store: its address and zone.
  std::optional<endpoint> cache_store;
  std::string zone;
  double link_mbps = 0;
};

// A limit on the work of an account over all VMs: in any period at most
// `per_second` times its length, plus `burst`.
struct account_limit {
  double per_second = 0;
  double burst = 0;
  // Requests count their tokens, or this many if they state none. Otherwise
  // each request counts 1.
  bool counts_tokens = false;
  double plain_request_tokens = 0;

  bool operator==(const account_limit&) const = default;
};

struct account_info {
  std::string name;
  // Replaces the route's priority.
  std::optional<std::int64_t> priority;
  // Shares no cache entry with any other account.
  bool is_isolated = false;
  std::optional<account_limit> limit;
  // Whether the account has a limit, and which, is not known.
  bool has_unreadable_limit = false;
};

// A field of a configuration that can't be read.
struct config_problem {
  std::string field;
  std::string problem;
};

// Limits on the requests of callers.
struct caller_limits {
  std::size_t header_bytes = 16 * 1024;
  std::size_t body_bytes = 4 * 1024 * 1024;
  milliseconds header_timeout{3'000};
  milliseconds idle_timeout{15'000};
};

struct route_table {
  // 0: no configuration has been received yet.
  std::int64_t version = 0;
  // By host, longest path prefix first.
  std::map<std::string, std::vector<route>, std::less<>> routes;
  std::map<std::string, service_info, std::less<>> services;
  // If false, callers need no account key.
  bool has_accounts = false;
  // By account key.
  std::map<std::string, account_info, std::less<>> account_of_key;
  // Names of the isolated accounts, and their hash; 0 if there are none. Set by
  // SetIsolatedAccounts().
  std::set<std::string, std::less<>> isolated_accounts;
  std::uint64_t isolated_accounts_hash = 0;
  // By account, of those that have one.
  std::map<std::string, account_limit, std::less<>> limits_by_account;
  caller_limits limits;
  // Some routes or account keys can't be read, so that a request without a
  // known one must not be taken for one that is not allowed.
  bool has_unreadable_routes = false;
  bool has_unreadable_accounts = false;
  // The first fields that can't be read, and their number.
  std::vector<config_problem> problems;
  std::size_t problem_count = 0;
};

// Adds a route to its host's list, after all longer path prefixes.
void AddRoute(route_table& table, route added);

void SetIsolatedAccounts(route_table& table,
                         std::set<std::string, std::less<>> names);

// Gives the accounts of `next` whose limits can't be read the ones that they
// have in `before`.
void KeepUnreadableLimits(route_table& next, const route_table& before);

// Returns the name of the group of accounts with which a request shares cache
// entries. `account` is as the table in force at the request's arrival had it,
// and `newest` the table in force now. Accounts that are not isolated do not
// share the entries that they shared while other accounts were isolated.
std::string CacheGroup(const route_table& newest, const account_info& account);

// The route for a host, with or without a port, and a path. Null if none
// matches.
const route* FindRoute(const route_table& table,
                       std::string_view host,
                       std::string_view path);

// Chooses one of the route's services by weight; `random` is uniformly
// distributed over its range.
const std::string& ChooseService(const route& matched, std::uint64_t random);

// True if a request of the route may be executed more than once.
bool MayRepeat(const route& matched);

// True if requests of accounts with the same priority are ranked by their
// routes: where accounts have limits, and so compete for too little room.
bool RanksByRoute(const route_table& table);

// The priority of a request; 0 is the most urgent. That of the account comes
// first.
std::int64_t RequestPriority(const route_table& table,
                             const route& matched,
                             const account_info& account);

}  // namespace waxwing

#endif  // WAXWING_ROUTE_TABLE_H_
