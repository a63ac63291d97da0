// The state that the router's files share. Not part of the public interface.

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

// A request in the fair queue. Lives in its handler's frame.
struct queued_request {
  placement_request requirements;
  std::string_view account;
  queue_position position;
  // Cancelled when a target is granted.
  boost::asio::steady_timer grant_timer;
  std::optional<placement> granted;
  // Whether the account was dominant when that was decided.
  bool is_dominant = false;

  explicit queued_request(boost::asio::any_io_executor executor)
      : grant_timer(executor) {}
};

// State of the connection to the agent.
struct agent_session {
  peer_link link;
  bool ledger_ready = false;
  std::uint64_t next_note_number = 1;
  // Notes that wait for the agent's word: true accepted, false refused.
  struct pending_note {
    boost::asio::steady_timer* timer = nullptr;
    std::optional<bool> accepted;
  };
  std::map<std::uint64_t, pending_note*> pending_notes;
  // Shard texts by content hash.
  std::map<std::string, std::string> shards;
};

struct router_state {
  boost::asio::any_io_executor executor;
  router_options options;
  protocol_adapter protocol;
  supervisor root;
  supervisor agent_root;
  http_server server;
  http_pool pool;
  metrics stats;
  std::mt19937_64 random;
  std::shared_ptr<const config> active_config = std::make_shared<config>();
  // Account key to account name in the active configuration.
  std::map<std::string, std::string, std::less<>> account_of_key;
  placement_state placement;
  fair_queue queue;
  account_usage usage;
  std::map<std::uint64_t, queued_request*> queued_requests;
  std::uint64_t next_request_number = 1;
  std::map<std::string, token_bucket, std::less<>> account_buckets;
  std::map<std::string, retry_budget, std::less<>> retry_budgets;
  ledger ticket_ledger;
  // Wakes those who wait for the outcome of a run in progress.
  std::map<ticket_id, std::shared_ptr<boost::asio::steady_timer>>
      outcome_waiters;
  agent_session agent;
  // Incarnation of the VM, which tickets name, and of this process.
  std::uint64_t vm_incarnation = 0;
  std::uint64_t process_incarnation = 0;
  std::uint64_t next_ticket_number = 1;
  membership members;
  bool is_draining = false;
  instant started;
};

// A request whose account is known.
struct admitted_request {
  // Unique over all routers and restarts; targets know the request by it.
  std::string id;
  std::string account;
  inbound_request inbound;
  int priority = kDefaultPriority;
  instant arrived;
  instant deadline;
};

using router_ptr = std::shared_ptr<router_state>;

// --- waiting.cc

// Takes the account's tokens for a request; fails with a refusal.
tl::expected<void, api_error> TakeAccountTokens(router_state& state,
                                                const std::string& account,
                                                double work);

// Gives back what was taken for a request that did not run.
void ReturnAccountTokens(router_state& state,
                         const std::string& account,
                         double work);

// What the queue grants.
struct granted_target {
  placement chosen;
  bool is_dominant = false;
};

// Waits until the queue grants a target. On success RecordDispatch() has been
// called for it, and the caller owes RecordFinished().
boost::asio::awaitable<tl::expected<granted_target, api_error>> WaitForTarget(
    const router_ptr& state,
    const admitted_request& request,
    placement_request requirements,
    double work);

// Grants targets to waiting requests as far as there is room.
void GrantTargets(router_state& state);

// --- chat_run.cc

boost::asio::awaitable<void> RunChat(router_ptr state,
                                     http_exchange& exchange,
                                     const admitted_request& request,
                                     const chat_request& chat,
                                     std::optional<ticket_id> claimed_ticket);

// --- service_run.cc

boost::asio::awaitable<void> RunService(
    router_ptr state,
    http_exchange& exchange,
    const admitted_request& request,
    const service_call& call,
    std::optional<ticket_id> claimed_ticket);

// --- ticketing.cc

// Claims the request's ticket. True if the caller of this function owns the
// run; otherwise the exchange has been answered.
boost::asio::awaitable<bool> ClaimTicket(const router_ptr& state,
                                         http_exchange& exchange,
                                         const admitted_request& request,
                                         ticket_id& claimed_id);

// Notes the agent's word that the ticket is being dispatched. False: the run
// must not start.
boost::asio::awaitable<bool> RecordTicketDispatch(const router_ptr& state,
                                                  const ticket_id& id);

// Records the outcome at the ledger and the agent, and wakes those who joined.
boost::asio::awaitable<void> RecordTicketCompletion(const router_ptr& state,
                                                    const ticket_id& id,
                                                    stored_response response);
boost::asio::awaitable<void> RecordTicketUnknown(const router_ptr& state,
                                                 const ticket_id& id);

// Records a refusal. Gives the outcome to tell the caller: "no" once the agent
// has noted it, else "unknown".
boost::asio::awaitable<run_outcome> RecordTicketRefusal(const router_ptr& state,
                                                        const ticket_id& id);

// A fresh ticket for the account at an entry VM.
std::string MintTicket(router_state& state,
                       std::string_view account,
                       const member& owner);

// --- agent_client.cc

// Keeps the connection to the agent; a duty of the supervisor.
boost::asio::awaitable<void> RunAgentClient(router_ptr state);

// Tells the agent the generation in force and whether the router is leaving.
void SendAppliedGeneration(const router_state& state);

// Sends a ledger entry to the agent and waits for its word.
boost::asio::awaitable<bool> ReplicateLedgerEntry(const router_ptr& state,
                                                  const ticket_id& id);

// --- router.cc

// Brings placement and limits in line with the active configuration.
void InstallConfig(router_state& state, config new_config);

// Takes the account's next retry out of its budget.
bool TryTakeRetry(router_state& state, const std::string& account);

}  // namespace waxwing

#endif  // WAXWING_ROUTER_STATE_H_
