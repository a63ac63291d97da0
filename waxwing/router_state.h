// State shared by the router's source files. Not part of the public interface.

#ifndef WAXWING_ROUTER_STATE_H_
#define WAXWING_ROUTER_STATE_H_

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "waxwing/adapter.h"
#include "waxwing/admission.h"
#include "waxwing/api.h"
#include "waxwing/config.h"
#include "waxwing/http_client.h"
#include "waxwing/http_server.h"
#include "waxwing/ledger.h"
#include "waxwing/membership.h"
#include "waxwing/metrics.h"
#include "waxwing/native_adapter.h"
#include "waxwing/peer_link.h"
#include "waxwing/placement.h"
#include "waxwing/retry.h"
#include "waxwing/router.h"
#include "waxwing/supervisor.h"

namespace waxwing {

// A request in the fair queue. Owned by the coroutine frame of WaitForTarget().
struct waiting_request {
  placement_request requirements;
  std::string_view account;
  queue_position position;
  // Expires when the request gives up; cancelled when a target is granted.
  boost::asio::steady_timer grant_timer;
  std::optional<placement> granted;
  // Whether the account was dominant when the target was granted.
  bool is_dominant = false;

  explicit waiting_request(boost::asio::any_io_executor executor)
      : grant_timer(executor) {}
};

// State of the connection to the agent.
struct agent_session {
  peer_link link;
  // True once the agent has sent its complete copy of the ledger.
  bool ledger_ready = false;
  std::uint64_t next_note_number = 1;
  // A ledger entry sent to the agent and not acknowledged yet. The timer is
  // cancelled when `accepted` is set.
  struct pending_note {
    boost::asio::steady_timer* timer = nullptr;
    std::optional<bool> accepted;
  };
  // By note number. Owned by the coroutine frames of ReplicateLedgerEntry().
  std::map<std::uint64_t, pending_note*> pending_notes;
  // Shard texts by content hash.
  std::map<std::string, std::string> shards;
};

struct router_state {
  boost::asio::any_io_executor executor;
  router_options options;
  protocol_adapter protocol;
  // Runs the router's periodic tasks.
  supervisor root;
  // Runs the agent client, which has a shorter redial backoff.
  supervisor agent_root;
  http_server server;
  http_pool pool;
  metrics stats;
  std::mt19937_64 random;
  std::shared_ptr<const config> active_config = std::make_shared<config>();
  // Account key to account name in the active configuration.
  std::map<std::string, std::string, std::less<>> account_by_key;
  placement_state placement;
  fair_queue queue;
  account_usage usage;
  // Requests in `queue`, by the id of their queue position.
  std::map<std::uint64_t, waiting_request*> queued_requests;
  std::uint64_t next_request_number = 1;
  std::map<std::string, token_bucket, std::less<>> account_buckets;
  std::map<std::string, retry_budget, std::less<>> retry_budgets;
  ledger ticket_ledger;
  // Timers of the runs in progress, cancelled when the outcome is recorded.
  // Duplicates of the request wait on them.
  std::map<ticket_id, std::shared_ptr<boost::asio::steady_timer>>
      outcome_waiters;
  agent_session agent;
  // Incarnation of the VM, which is part of each ticket and 0 until the agent
  // has reported it, and of this process.
  std::uint64_t vm_incarnation = 0;
  std::uint64_t process_incarnation = 0;
  std::uint64_t next_ticket_number = 1;
  membership members;
  bool is_draining = false;
  instant started;
};

// A parsed request of a known client account.
struct admitted_request {
  // Unique across all routers and restarts. Sent to targets.
  std::string id;
  std::string account;
  inbound_request inbound;
  int priority = kDefaultPriority;
  instant arrived;
  instant deadline;
};

using router_ptr = std::shared_ptr<router_state>;

// --- waiting.cc

// Takes `work` tokens from the account's token bucket. Fails with a 429 error
// if the bucket doesn't hold enough.
tl::expected<void, api_error> TakeAccountTokens(router_state& state,
                                                const std::string& account,
                                                double work);

// Returns tokens that were taken for a request that did not run.
void ReturnAccountTokens(router_state& state,
                         const std::string& account,
                         double work);

// The target granted to a queued request.
struct granted_target {
  placement chosen;
  bool is_dominant = false;
};

// Queues the request until a target is granted. On success RecordDispatch() and
// RecordStarted() have been called; the caller must call RecordFinished() and
// RecordEnded(). Fails at once if the expected wait exceeds the request's
// deadline.
boost::asio::awaitable<tl::expected<granted_target, api_error>> WaitForTarget(
    const router_ptr& state,
    const admitted_request& request,
    placement_request requirements,
    double work);

// Grants targets to queued requests while targets have capacity.
void GrantTargets(router_state& state);

// --- chat_run.cc

// Runs a chat completion and sends the response. `claimed_ticket` is the ticket
// that ClaimTicket() claimed, if the request is non-idempotent.
boost::asio::awaitable<void> RunChat(router_ptr state,
                                     http_exchange& exchange,
                                     const admitted_request& request,
                                     const chat_request& chat,
                                     std::optional<ticket_id> claimed_ticket);

// --- service_run.cc

// Runs a call to a plain service and sends the response. `claimed_ticket` is as
// above.
boost::asio::awaitable<void> RunService(
    router_ptr state,
    http_exchange& exchange,
    const admitted_request& request,
    const service_call& call,
    std::optional<ticket_id> claimed_ticket);

// --- ticketing.cc

// Claims the request's ticket. Returns true if the caller must now run the
// request; otherwise a response has been sent.
boost::asio::awaitable<bool> ClaimTicket(const router_ptr& state,
                                         http_exchange& exchange,
                                         const admitted_request& request,
                                         ticket_id& claimed_id);

// Marks the ticket as dispatched and waits until the agent has acknowledged it.
// If this returns false, the request must not be sent to a target.
boost::asio::awaitable<bool> RecordTicketDispatch(const router_ptr& state,
                                                  const ticket_id& id);

// Record the outcome of a run in the ledger and at the agent, and wake the
// duplicates that wait for it.
boost::asio::awaitable<void> RecordTicketCompletion(const router_ptr& state,
                                                    const ticket_id& id,
                                                    stored_response response);
boost::asio::awaitable<void> RecordTicketUnknown(const router_ptr& state,
                                                 const ticket_id& id);

// Records that the request did not run. Returns the outcome to report to the
// caller: kNotRun if the agent has acknowledged it, otherwise kUnknown.
boost::asio::awaitable<run_outcome> RecordTicketRefusal(const router_ptr& state,
                                                        const ticket_id& id);

// Returns a new ticket for the account, owned by the given VM.
std::string MintTicket(router_state& state,
                       std::string_view account,
                       const member& owner);

// --- agent_client.cc

// Connects to the agent and serves the connection until it closes. A task of
// `agent_root`, which restarts it.
boost::asio::awaitable<void> RunAgentClient(router_ptr state);

// Sends the agent the generation in force and whether the router is draining.
void SendAppliedGeneration(const router_state& state);

// Sends a ledger entry to the agent and waits for the acknowledgement. Returns
// false if the agent rejects it, is not connected or does not reply in time.
boost::asio::awaitable<bool> ReplicateLedgerEntry(const router_ptr& state,
                                                  const ticket_id& id);

// --- router.cc

// Activates a configuration and updates targets and account limits to match.
// Ignored unless its generation is newer than the active one.
void InstallConfig(router_state& state, config new_config);

// Takes a retry from the account's retry budget. Returns false if the budget is
// empty.
bool TryTakeRetry(router_state& state, const std::string& account);

}  // namespace waxwing

#endif  // WAXWING_ROUTER_STATE_H_
