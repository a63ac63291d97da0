// The state that the agent's files share. Not part of the public interface.

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
  // This agent sends heartbeats on it and watches for the replies.
  bool is_watched = false;
  instant last_received;
  // Heartbeats in a row whose table hash differed.
  int table_mismatches = 0;
  bool table_sent = false;
};

// A digest of one target and what was last passed on of it.
struct known_target {
  wire::target_digestT digest;
  std::optional<wire::target_digestT> last_published;
  instant published_at;
  // When the digest was last received or made.
  instant updated_at;
  // Role that the target reports.
  std::string role;
};

// Answers to an in-force query that are still awaited.
struct pending_in_force_query {
  std::map<std::string, std::uint64_t> generations;
};

struct agent_state {
  boost::asio::any_io_executor executor;
  agent_options options;
  supervisor root;
  std::shared_ptr<boost::asio::ip::tcp::acceptor> acceptor;
  http_server operator_server;
  http_pool pool;
  platform_client platform;
  std::mt19937_64 random;
  std::uint64_t incarnation = 0;
  instant started;
  // Set once the incarnation can be known to others.
  bool incarnation_is_final = false;
  // Another VM holds this one's name in a newer incarnation; this one must end.
  bool superseded = false;
  membership members;
  // By VM name; of two connections to one VM the newer one is kept.
  std::map<std::string, agent_link> links;
  // Dials in progress, by VM name or address.
  std::set<std::string> dialling;
  peer_link router;
  std::uint64_t router_generation = 0;
  bool router_leaving = false;
  instant router_last_seen;
  bool stopping = false;
  // The configuration in force. Invariant: root.generation never falls.
  config_root active_root;
  std::string root_text;
  std::map<std::string, std::string> shards;
  config active_config;
  // Set while the last pull from the platform has failed.
  bool pull_failed = false;
  ledger ledger_copy;
  std::map<std::string, known_target> targets;
  lease_view orders_lease;
  instant lease_read_at;
  instant last_load_order;
  std::uint64_t orders_sent = 0;
  // Set by a process that shares what it knows from the store with its peers.
  std::function<void(const peer_link&, wire::messageUnion&)>
      on_replication_message;
  std::uint64_t next_query_number = 1;
  std::map<std::uint64_t, pending_in_force_query*> pending_queries;
};

using agent_ptr = std::shared_ptr<agent_state>;

// --- agent_links.cc

boost::asio::awaitable<void> AcceptLinks(agent_ptr state);
boost::asio::awaitable<void> RunLinkMaintenance(agent_ptr state);

// An open link to a VM, dialled if there is none.
boost::asio::awaitable<std::optional<peer_link>> EnsureLink(agent_ptr state,
                                                            std::string vm);

// Tells all watched peers the generation in force.
void AnnounceGeneration(agent_state& state);

// Passes records on to all links but `except`, and the members to the router.
void BroadcastMembers(agent_state& state,
                      const std::vector<member>& records,
                      std::string_view except);

// --- agent_router.cc

// Serves the router until its connection ends; a newer router takes its place.
boost::asio::awaitable<void> ServeRouter(agent_ptr state, peer_link link);

// Gives the router the members, among whom it chooses entry VMs.
void SendRouterView(const agent_state& state);

// The VM takes new callers only while its router serves; tells the others if
// that has changed.
void UpdateOwnStatus(agent_state& state);

// The generation that the VM has in force: what its router has put in force.
std::uint64_t OwnGeneration(const agent_state& state);

// This VM's own record.
const member& Self(const agent_state& state);

// --- agent_config.cc

boost::asio::awaitable<void> WatchPlatform(agent_ptr state);

// Reads the platform's root now and puts it in force if it is newer.
boost::asio::awaitable<void> PullFromPlatform(agent_ptr state);

// Takes in a root and shards from a peer or the platform. True if it is in
// force now and was not before.
bool ApplyConfig(agent_state& state,
                 const std::string& root_text,
                 std::map<std::string, std::string> fresh_shards);

// The update for a peer that has the given shards.
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
