// The seam between the decisions and the protocols of those around them.
//
// There are two dialects: the product's own (native_adapter.h), which the
// router speaks, and the platform's, which the entry speaks.
//
// A dialect translates: it reads what callers, targets and the object store
// send into the types below, and writes what the entry decides. It decides
// nothing, keeps no state and waits for nothing but the call that it makes.

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
#include "waxwing/prefix.h"
#include "waxwing/route_table.h"
#include "waxwing/types.h"

namespace waxwing {

// --- Callers.

// A caller's request for a target. A dialect leaves what its protocol does not
// tell as it is.
struct inbound_request {
  // Names this attempt of the caller; answers carry it.
  std::string id;
  std::string host;
  std::string account_key;
  std::string model;
  // Shared parts of the prompt, outermost first.
  std::vector<prompt_segment> segments;
  std::uint32_t prompt_tokens = 0;
  std::uint32_t output_tokens = 0;
  // How long the caller waits, if it said so.
  std::optional<milliseconds> time_left;
  // The last event of an earlier stream that the caller has.
  std::optional<std::uint64_t> resume_after;
  // From 0, least urgent, to 9, as the caller asks for it.
  std::optional<int> priority;
  // The caller says that the request may run only once, and under what ticket.
  bool is_non_idempotent = false;
  std::string ticket;
  // Headers that targets may see.
  http_headers forwarded_headers;
};

// Where to connect, for how long that holds, and tickets to use there.
struct directory_response {
  std::vector<endpoint> addresses;
  milliseconds lifetime{0};
  std::vector<std::string> tickets;
};

enum class caller_request_kind { kForward, kDirectory, kReadiness };

// Where a caller that asks for addresses stands.
struct directory_query {
  std::string name;
  std::string region;
  std::string zone;
};

// --- Targets.

// What is added to a request for one target. A dialect writes what its protocol
// has a place for.
struct attempt_parameters {
  std::string target;
  std::string account;
  // Names the request and this attempt of it, counted from 1.
  std::string request_id;
  int attempt = 0;
  milliseconds time_left{0};
  // From 0, most urgent, to 9.
  std::optional<int> priority;
  std::string cache_salt;
  std::optional<std::int64_t> weights_version;
  std::string weights_name;
  std::string adapter;
  // Resumes a stream after this event.
  std::optional<std::uint64_t> resume_after;
  // Continues from this token; `delivered` is the text before it, escaped as in
  // JSON. If `is_resume_only`, the target must not start the run anew.
  std::uint64_t resume_from_token = 0;
  std::string delivered;
  bool is_resume_only = false;
  std::optional<endpoint> cache_source;
  std::optional<endpoint> cache_store;
};

// What the header of a target's answer tells.
struct response_info {
  std::string request_id;
  int attempt = 0;
  // The target that answered, if it says so.
  std::string target;
  // The target states that it has not run the request.
  bool not_run = false;
  // The answer comes from a target that runs requests, not from a faulty peer.
  bool has_server_stamp = false;
  bool is_draining = false;
  // Requests that it runs, that wait there, and that it can run at once.
  struct load {
    int running = 0;
    int waiting = 0;
    int slots = 0;
  };
  std::optional<load> current_load;
  std::optional<std::int64_t> weights_version;
  std::string weights_name;
  // Differs between two starts of the target.
  std::uint64_t boot_id = 0;
};

// A target as the platform lists it.
struct target_record {
  // Names one life of a target, with `born`.
  std::string id;
  std::int64_t incarnation = 0;
  std::string service;
  endpoint address;
  std::string zone;
  int slots = 1;
  bool is_draining = false;
  // Weights that it serves, by model.
  std::string model;
  std::int64_t weights_version = 0;
};

// What a target does with its runs before it loads other weights.
enum class weights_load_mode {
  kDrain,  // lets them end; new ones wait or are refused meanwhile
  kAbort,  // breaks their streams, which may be resumed elsewhere
};

// What has changed in a target's cache.
struct cache_events {
  // Another number than before: the target has started anew.
  std::int64_t epoch = 0;
  // To continue from.
  std::int64_t next_event = 0;
  // Events before these are gone.
  bool has_gap = false;
  struct change {
    std::string salt;
    std::uint64_t segment = 0;
    // Tokens of the part that it holds now.
    std::uint32_t tokens = 0;
  };
  std::vector<change> changes;
};

// An order to bring a target's weights to a version.
struct weights_order {
  std::string target;
  std::string model;
  std::int64_t version = 0;
  // The giver and the number that fences off earlier givers.
  std::string holder;
  std::uint64_t fence = 0;
  // Orders that the target has accepted; it refuses if that has changed.
  std::int64_t precondition = 0;
  weights_load_mode load_mode = weights_load_mode::kDrain;
};

// What a target says of its own state.
struct target_state {
  std::int64_t weights_version = 0;
  std::int64_t incarnation = 0;
  bool is_busy = false;
  std::int64_t orders_accepted = 0;
  // Requests that run there.
  int running = 0;
};

enum class order_outcome { kAccepted, kAlreadyLoaded, kRefused, kUnknown };

// --- The object store.

enum class store_failure {
  kAbsent,       // no such object
  kConflict,     // the condition does not hold
  kHistoryGone,  // the watch must start again from a list
  kUnavailable,  // nothing was done
  kUncertain,    // a write may have been done, or may yet be
  kMalformed,    // the answer could not be read
};

struct store_error {
  store_failure failure = store_failure::kUnavailable;
  std::string detail;
};

struct stored_object {
  std::string name;
  std::uint64_t revision = 0;
  // JSON text.
  std::string spec;
};

struct object_list {
  std::vector<stored_object> objects;
  bool has_more = false;
  std::uint64_t revision = 0;
};

struct object_change {
  stored_object object;
  bool is_removed = false;
};

struct object_changes {
  std::vector<object_change> changes;
  std::uint64_t revision = 0;
};

// The kinds of objects that the entry reads and writes.
enum class object_kind { kConfig, kTargets, kWeights, kLease };

struct object_store {
  http_pool pool;
  endpoint address;
  std::uint64_t calls = 0;
};

template <typename T>
using store_task = boost::asio::awaitable<tl::expected<T, store_error>>;

// Weights that all targets of a model should serve.
struct desired_weights {
  std::string model;
  std::int64_t version = 0;
};

// --- The dialect itself.

struct protocol_adapter {
  // Callers.
  caller_request_kind (*classify_request)(const http_request&) = nullptr;
  tl::expected<inbound_request, std::string> (*read_request)(
      const http_request&) = nullptr;
  directory_query (*read_directory_query)(const http_request&) = nullptr;
  http_response (*write_directory_response)(const directory_response&) =
      nullptr;
  // An answer of the entry's own.
  http_response (*write_error_response)(const inbound_request&,
                                        unsigned status,
                                        std::string_view reason,
                                        std::optional<duration> retry_after) =
      nullptr;
  // Headers of a target's answer that its caller gets.
  http_headers (*filter_response_headers)(const http_headers&) = nullptr;

  // Targets.
  http_request (*write_target_request)(const http_request& caller_request,
                                       const inbound_request&,
                                       const attempt_parameters&) = nullptr;
  response_info (*read_response_head)(const http_response& head) = nullptr;
  // Asks a target to stop a run. Null: closing the connection is enough.
  http_request (*write_cancel)(std::string_view request_id) = nullptr;
  boost::asio::awaitable<tl::expected<target_state, http_error>> (
      *fetch_target_state)(const http_pool&,
                           endpoint,
                           std::string target,
                           std::string model,
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
  store_task<stored_object> (*get)(object_store&,
                                   object_kind,
                                   std::string name) = nullptr;
  // Creates the object (revision 0) or replaces it on condition of a revision.
  // A conflict is reported as such.
  store_task<std::uint64_t> (*put)(object_store&,
                                   object_kind,
                                   stored_object,
                                   milliseconds timeout) = nullptr;
  tl::expected<route_table, std::string> (*read_config)(std::string_view) =
      nullptr;
  tl::expected<target_record, std::string> (
      *read_target_record)(std::string_view name, std::string_view) = nullptr;
  tl::expected<desired_weights, std::string> (*read_desired_weights)(
      std::string_view) = nullptr;
};

}  // namespace waxwing

#endif  // WAXWING_ADAPTER_H_
