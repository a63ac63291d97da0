// State shared by the agent's source files. Not part of the public interface.

#ifndef WAXWING_AGENT_STATE_H_
#define WAXWING_AGENT_STATE_H_

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>

#include "waxwing/agent.h"
#include "waxwing/config.h"
#include "waxwing/http_client.h"
#include "waxwing/http_server.h"
#include "waxwing/lease.h"
#include "waxwing/ledger.h"
#include "waxwing/membership.h"
#include "waxwing/peer_link.h"
#include "waxwing/platform_client.h"
#include "waxwing/root.h"
#include "waxwing/supervisor.h"
#include "waxwing/target_view.h"

namespace waxwing {

// A connection to another agent.
struct agent_link {
  peer_link connection;
  // True if this agent sends heartbeats on the link and suspects the peer when
  // no replies arrive.
  bool is_watched = false;
  instant last_received;
  // Consecutive heartbeats whose member table hash differed from ours.
  int table_mismatches = 0;
  // True once the complete member table has been sent on this link.
  bool table_sent = false;
};

// The digest of one target and the version of it that was last published.
struct known_target {
  wire::target_digestT digest;
  std::optional<wire::target_digestT> last_published;
  instant published_at;
  // When the target was last polled or its digest received from a peer; the
  // epoch if never.
  instant updated_at;
  // Role reported by the target.
  std::string role;
};

// An in-force query that still waits for responses.
struct pending_in_force_query {
  // Generation in force, by VM name.
  std::map<std::string, std::uint64_t> generations;
};

struct agent_state {
  boost::asio::any_io_executor executor;
  agent_options options;
  // Runs all tasks of the agent.
  supervisor root;
  std::shared_ptr<boost::asio::ip::tcp::acceptor> acceptor;
  http_server operator_server;
  http_pool pool;
  platform_client platform;
  std::mt19937_64 random;
  std::uint64_t incarnation = 0;
  instant started;
  // Set once the incarnation no longer changes, so that peers may learn it.
  bool incarnation_is_final = false;
  // Set when a record shows another process under this VM's name with a newer
  // incarnation, after the startup window.
  bool superseded = false;
  membership members;
  // By VM name. If there are two connections to a VM, the newer one is kept.
  std::map<std::string, agent_link> links;
  // Dials in progress, by VM name or address.
  std::set<std::string> dialling;
  peer_link router;
  // Generation last reported by the connected router; 0 before its first
  // report.
  std::uint64_t router_generation = 0;
  bool router_leaving = false;
  instant router_last_seen;
  bool stopping = false;
  // The configuration in force. Invariant: active_root.generation never
  // decreases.
  config_root active_root;
  std::string root_text;
  // Shard texts of the active root, by content hash.
  std::map<std::string, std::string> shards;
  config active_config;
  // True if the last pull from the platform failed.
  bool pull_failed = false;
  // Copy of the router's ledger that survives a restart of the router.
  ledger ledger_copy;
  std::map<std::string, known_target> targets;
  lease_view orders_lease;
  instant lease_read_at;
  instant last_load_order;
  std::uint64_t orders_sent = 0;
  // Handler of replication messages (see IsReplicationMessage() in
  // agent_links.cc). Set only by a process that replicates the platform's
  // objects to its peers.
  std::function<void(const peer_link&, wire::messageUnion&)>
      on_replication_message;
  // Called for each link to another agent; may be null.
  std::function<void(const peer_link&)> on_link_opened;
  // Called for each heartbeat to be sent, and for each that was received; may
  // be null.
  std::function<void(wire::heartbeatT&)> on_heartbeat_due;
  std::function<void(const peer_link&, const wire::heartbeatT&)> on_heartbeat;
  std::uint64_t next_query_number = 1;
  // By query number. The queries are owned by the coroutine frames of
  // QueryInForce().
  std::map<std::uint64_t, pending_in_force_query*> pending_queries;
};

using agent_ptr = std::shared_ptr<agent_state>;

// --- agent_links.cc

boost::asio::awaitable<void> AcceptLinks(agent_ptr state);
boost::asio::awaitable<void> RunLinkMaintenance(agent_ptr state);

// Returns an open link to a VM, dialling it if there is none. Returns
// std::nullopt if the VM is unknown or does not accept the link in time.
boost::asio::awaitable<std::optional<peer_link>> EnsureLink(agent_ptr state,
                                                            std::string vm);

// Sends a heartbeat with the generation in force on all links.
void AnnounceGeneration(agent_state& state);

// Sends records on all links except the one to VM `except`, and the complete
// member list to the router.
void BroadcastMembers(agent_state& state,
                      const std::vector<member>& records,
                      std::string_view except);

// --- agent_router.cc

// Serves the router until its connection closes. A new connection replaces and
// closes an older one.
boost::asio::awaitable<void> ServeRouter(agent_ptr state, peer_link link);

// Sends the router the member list, from which it chooses entry VMs.
void SendRouterView(const agent_state& state);

// Marks the VM as leaving when its router is leaving or has been disconnected
// for too long, since a VM accepts callers only through its router, and as
// alive when the router serves again. Broadcasts a change.
void UpdateOwnStatus(agent_state& state);

// Returns the generation in force on this VM. With a router this is at most the
// generation that the router has applied.
std::uint64_t OwnGeneration(const agent_state& state);

// Returns this VM's own member record.
const member& Self(const agent_state& state);

// --- agent_config.cc

boost::asio::awaitable<void> WatchPlatform(agent_ptr state);

// Reads the root from the platform and puts it in force if it is newer.
boost::asio::awaitable<void> PullFromPlatform(agent_ptr state);

// Puts a root received from a peer or the platform in force, with the shards
// that came with it. Returns false if the root or a shard is invalid, a shard
// is missing or the root is not newer than the active one.
bool ApplyConfig(agent_state& state,
                 const std::string& root_text,
                 std::map<std::string, std::string> fresh_shards);

// Returns an update for a peer that already has the shards `known_hashes`.
wire::config_updateT MakeConfigUpdate(
    const agent_state& state,
    const std::vector<std::string>& known_hashes);

// --- agent_targets.cc

boost::asio::awaitable<void> PollTargets(agent_ptr state);
void ApplyDigests(agent_state& state, const wire::target_digestsT& digests);
wire::target_digestsT AllDigests(const agent_state& state);

// --- agent_orders.cc

boost::asio::awaitable<void> RunLoadOrders(agent_ptr state);

// --- agent_operators.cc

tl::expected<void, std::string> StartOperatorApi(const agent_ptr& state);

// Asks every present VM for its generation in force.
boost::asio::awaitable<std::map<std::string, std::uint64_t>> QueryInForce(
    agent_ptr state);

}  // namespace waxwing

#endif  // WAXWING_AGENT_STATE_H_
