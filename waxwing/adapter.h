// Protocol adapters: the interface between the request-handling logic and the
// protocols of callers, targets and the object store.
//
// There are two adapters: the native one (native_adapter.h), used by the
// router, and the platform's (platform/adapter.h), used by the entry.
//
// An adapter only translates. It parses messages of callers, targets and the
// object store into the types below and serializes the messages sent to them.
// It makes no routing decisions and keeps no state; its coroutines suspend only
// for the HTTP call that they make.

#ifndef WAXWING_ADAPTER_H_
#define WAXWING_ADAPTER_H_

#include <boost/asio/awaitable.hpp>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <tl/expected.hpp>

#include "waxwing/http.h"
#include "waxwing/http_client.h"
#include "waxwing/model_weights.h"
#include "waxwing/prefix.h"
#include "waxwing/route_table.h"
#include "waxwing/types.h"

namespace waxwing {

// --- Callers.

// A caller's request to be forwarded to a target. Fields that the protocol
// does not carry keep their defaults.
struct inbound_request {
  // Identifies this attempt of the caller; its response repeats the ID.
  std::string id;
  std::string host;
  std::string account_key;
  std::string model;
  // Shared segments at the start of the prompt, in the order of the prompt.
  std::vector<prompt_segment> segments;
  std::uint32_t prompt_tokens = 0;
  std::uint32_t output_tokens = 0;
  // The caller's timeout, if the request states one.
  std::optional<milliseconds> time_left;
  // Number of the last event that the caller has received of an interrupted
  // stream, and the ID of the caller's attempt that brought its first event.
  std::optional<std::uint64_t> resume_after;
  std::string resumed_request;
  // Requested priority, from 0 (least urgent) to 9.
  std::optional<int> priority;
  // The caller has marked the request as one that must not run more than once.
  // The ticket deduplicates its copies.
  bool is_non_idempotent = false;
  std::string ticket;
  // Headers to pass on to the target.
  http_headers forwarded_headers;
};

// Response to a directory query: the addresses to connect to, how long they may
// be cached, and tickets for non-idempotent requests there.
struct directory_response {
  std::vector<endpoint> addresses;
  milliseconds lifetime{0};
  std::vector<std::string> tickets;
};

enum class caller_request_kind { kForward, kDirectory, kReadiness };

// A directory query: the name to resolve and the caller's region and zone.
struct directory_query {
  std::string name;
  std::string region;
  std::string zone;
};

// --- Targets.

// What an attempt at one target adds to the caller's request. An adapter writes
// the fields that its protocol can carry.
struct attempt_parameters {
  std::string target;
  std::string account;
  // Identify the request and the attempt at it, counted from 1.
  std::string request_id;
  int attempt = 0;
  milliseconds time_left{0};
  // Targets of the platform run the lowest numbers first, native ones the
  // highest.
  std::optional<std::int64_t> priority;
  std::string cache_salt;
  std::optional<std::int64_t> weights_version;
  std::string weights_name;
  std::string adapter;
  // The target resumes the stream after this event.
  std::optional<std::uint64_t> resume_after;
  // The target continues the completion at this token. `delivered` is the text
  // before it, JSON-escaped. If `is_resume_only`, the target must not start a
  // new run of the request.
  std::uint64_t resume_from_token = 0;
  std::string delivered;
  bool is_resume_only = false;
  std::optional<endpoint> cache_source;
  std::optional<endpoint> cache_store;
};

// What the head of a target's response says about the target and the request.
struct response_info {
  std::string request_id;
  int attempt = 0;
  // ID of the target that responded, if stated.
  std::string target;
  // The target states that it has not executed the request.
  bool not_run = false;
  // The response carries the stamp of a target that runs requests, so it does
  // not come from a faulty peer.
  bool has_server_stamp = false;
  // The target states that it is leaving.
  bool is_leaving = false;
  // For how long the target wants no further requests of this VM. Zero if it
  // states no valid time.
  milliseconds pause{0};
  // The rate of requests that the target takes from all VMs together. Empty if
  // it states none, or none that is valid.
  std::optional<double> rate_limit;
  bool has_invalid_rate_limit = false;
  // Requests that are running or queued at the target, and its capacity for
  // concurrent ones.
  struct load {
    int running = 0;
    int waiting = 0;
    int slots = 0;
    // Time that work takes on the target's machine at the moment, relative to
    // the usual one. Empty if the target does not state it.
    std::optional<double> slowdown;
  };
  std::optional<load> current_load;
  std::optional<std::int64_t> weights_version;
  std::string weights_name;
  // Changes with every start of the target.
  std::uint64_t boot_id = 0;
};

// A target's record in the platform's object store.
struct target_record {
  // Together with `incarnation`, identifies one incarnation of a target.
  std::string id;
  std::int64_t incarnation = 0;
  std::string service;
  endpoint address;
  std::string zone;
  int slots = 1;
  bool is_draining = false;
  // Version of the target's software; empty if the record states none.
  std::string build;
  // The models that the target serves, as far as it states their versions.
  std::vector<model_weights> models;
};

// How a target treats its running requests before it loads other weights.
enum class weights_load_mode {
  kDrain,  // lets them finish; new ones are queued or rejected meanwhile
  kAbort,  // aborts their streams, which may be resumed elsewhere
};

// Changes of a target's cache, in order.
struct cache_events {
  // Changes when the target restarts.
  std::int64_t epoch = 0;
  // Number of the event to continue from.
  std::int64_t next_event = 0;
  // Events before these are no longer available, so `changes` is incomplete.
  bool has_gap = false;
  struct change {
    std::string salt;
    std::uint64_t segment = 0;
    // Tokens of the segment that are cached after the change.
    std::uint32_t tokens = 0;
  };
  std::vector<change> changes;
};

// An order to a target to load a version of a model's weights.
struct weights_order {
  std::string target;
  std::string model;
  std::int64_t version = 0;
  // The VM that holds the lease for orders, and the lease's fencing token, by
  // which the target rejects orders of earlier holders.
  std::string holder;
  std::uint64_t fence = 0;
  // Number of orders that the target has accepted so far. It rejects this one
  // if the number has changed meanwhile.
  std::int64_t precondition = 0;
  weights_load_mode load_mode = weights_load_mode::kDrain;
};

// A target's report of its own state.
struct target_state {
  std::vector<model_weights> models;
  std::int64_t incarnation = 0;
  bool is_busy = false;
  std::int64_t orders_accepted = 0;
  // Number of running requests.
  int running = 0;
};

// Result of sending a weights order. kRefused includes orders that did not
// reach the target, kUnknown those without a response.
enum class order_outcome { kAccepted, kAlreadyLoaded, kRefused, kUnknown };

// --- The object store.

enum class store_failure {
  kAbsent,       // no such object
  kConflict,     // the write's precondition does not hold
  kHistoryGone,  // the store has dropped the watched history; list again
  kUnavailable,  // the call failed and had no effect
  kUncertain,    // a write may have been applied, or may still be
  kMalformed,    // the response could not be parsed
};

// Each response states the era of the store (store_era.h); 0 if it does not.
struct store_error {
  store_failure failure = store_failure::kUnavailable;
  std::string detail;
  std::uint64_t era = 0;
  // The store may be in service: the call failed on a connection that had been
  // used before, or that became unresponsive while the call waited for changes.
  bool may_be_of_connection = false;
};

struct stored_object {
  std::string name;
  std::uint64_t revision = 0;
  // JSON text of the object's content. If another writer left a content that
  // can't be parsed, a part of it that can't be parsed either.
  std::string spec;
};

// An object in the store's response to a call for it alone.
struct read_object {
  stored_object object;
  std::uint64_t era = 0;
};

// The result of a write.
struct written_object {
  std::uint64_t revision = 0;
  std::uint64_t era = 0;
};

// Objects of one kind: one page of a list, or a snapshot joined from all pages.
struct object_list {
  std::vector<stored_object> objects;
  bool has_more = false;
  std::uint64_t revision = 0;
  std::uint64_t era = 0;
};

struct object_change {
  stored_object object;
  bool is_removed = false;
};

// Changes that a watch has returned, up to `revision`.
struct object_changes {
  std::vector<object_change> changes;
  std::uint64_t revision = 0;
  std::uint64_t era = 0;
};

// The kinds of objects that the entry reads and writes.
enum class object_kind {
  kConfig,
  kTargets,
  kWeights,
  kLease,
  kHolds,
  kStreams,
};

// Access to the object store.
struct object_store {
  http_pool pool;
  endpoint address;
  // Calls made so far.
  std::uint64_t calls = 0;
};

template <typename T>
using store_task = boost::asio::awaitable<tl::expected<T, store_error>>;

// --- The adapter.

// Functions that read and write one protocol. An adapter leaves those null that
// its user does not call.
struct protocol_adapter {
  // Callers.
  caller_request_kind (*classify_request)(const http_request&) = nullptr;
  tl::expected<inbound_request, std::string> (*read_request)(
      const http_request&) = nullptr;
  directory_query (*read_directory_query)(const http_request&) = nullptr;
  http_response (*write_directory_response)(const directory_response&) =
      nullptr;
  // An error response that the entry itself sends to the caller.
  http_response (*write_error_response)(const inbound_request&,
                                        unsigned status,
                                        std::string_view reason,
                                        std::optional<duration> retry_after) =
      nullptr;
  // Selects the headers of a target's response that are passed on to the
  // caller.
  http_headers (*filter_response_headers)(const http_headers&) = nullptr;

  // Targets.
  // The body may be left out if it is the caller's.
  http_request (*write_target_request)(const http_request& caller_request,
                                       const inbound_request&,
                                       const attempt_parameters&) = nullptr;
  response_info (*read_response_head)(const http_response& head) = nullptr;
  // Asks a target to cancel a request. Null if closing the connection cancels
  // it.
  http_request (*write_cancel)(std::string_view request_id) = nullptr;
  boost::asio::awaitable<tl::expected<target_state, http_error>> (
      *fetch_target_state)(const http_pool&,
                           endpoint,
                           std::string target,
                           milliseconds timeout) = nullptr;
  boost::asio::awaitable<tl::expected<cache_events, http_error>> (
      *fetch_cache_events)(const http_pool&,
                           endpoint,
                           std::int64_t since,
                           milliseconds wait) = nullptr;
  boost::asio::awaitable<order_outcome> (*send_weights_order)(
      const http_pool&,
      endpoint,
      weights_order,
      milliseconds timeout) = nullptr;

  // The object store.
  store_task<object_list> (*list)(object_store&,
                                  object_kind,
                                  std::string after) = nullptr;
  store_task<object_changes> (*watch)(object_store&,
                                      object_kind,
                                      std::uint64_t revision,
                                      milliseconds wait) = nullptr;
  store_task<read_object> (*get)(object_store&,
                                 object_kind,
                                 std::string name) = nullptr;
  // Creates the object if its revision is 0, else replaces the stored object of
  // that revision. Fails with kConflict if the object exists already or has
  // another revision.
  store_task<written_object> (*put)(object_store&,
                                    object_kind,
                                    stored_object,
                                    milliseconds timeout) = nullptr;
  tl::expected<route_table, std::string> (*read_config)(std::string_view) =
      nullptr;
  tl::expected<target_record, std::string> (
      *read_target_record)(std::string_view name, std::string_view) = nullptr;
  // The version that all targets of a model should serve.
  tl::expected<model_weights, std::string> (*read_desired_weights)(
      std::string_view) = nullptr;
};

}  // namespace waxwing

#endif  // WAXWING_ADAPTER_H_
