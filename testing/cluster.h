// A small system for fault tests: routers and agents as real processes, the
// platform, engines and services as stand-ins in the test's own process, where
// the test can count what ran and cause faults.

#ifndef TESTING_CLUSTER_H_
#define TESTING_CLUSTER_H_

#include <sys/types.h>

#include <boost/asio.hpp>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "standin/engine.h"
#include "standin/load.h"
#include "standin/platform.h"
#include "standin/service.h"
#include "testing/event_loop.h"
#include "testing/processes.h"
#include "waxwing/http_client.h"
#include "waxwing/types.h"

namespace testing_support {

namespace asio = boost::asio;

struct cluster_options {
  int vms = 3;
  int engines = 3;
  int services = 1;
  standin::deployment deployment = standin::deployment::kVannbrudd;
  bool honours_fencing = true;
  bool keep_transcript = false;
  std::vector<std::string> router_flags = {"--linger-ms", "100"};
};

// One entry VM's processes; 0 if not running.
struct vm {
  pid_t router = 0;
  pid_t agent = 0;
  waxwing::endpoint router_address;
  waxwing::endpoint agent_address;
  waxwing::endpoint operator_address;
};

struct cluster {
  cluster_options options;
  asio::io_context context{1};
  standin::platform platform;
  std::vector<standin::engine> engines;
  std::vector<standin::service> services;
  std::vector<vm> vms;
  waxwing::http_pool pool;

  cluster() = default;
  cluster(const cluster&) = delete;
  cluster& operator=(const cluster&) = delete;
  // Kills what still runs.
  ~cluster();
};

// Starts everything and puts the first configuration in force everywhere.
std::unique_ptr<cluster> StartCluster(const cluster_options& options);

void StartVmAgent(cluster& c, int index);
void StartVmRouter(cluster& c, int index);

// Sends SIGTERM and gives the exit code, while the test's own loop goes on.
int TerminateProcess(cluster& c, pid_t& pid);

// Runs the loop for a time.
void RunFor(cluster& c, waxwing::milliseconds time);

// Runs the loop until the condition holds; false if it does not within `limit`.
bool RunUntil(cluster& c,
              const std::function<bool()>& condition,
              waxwing::milliseconds limit);

// Runs the loop until the coroutine has ended.
template <typename T>
T Await(cluster& c, asio::awaitable<T> body) {
  return RunToEnd(c.context, std::move(body));
}

// Calls. The answer's status is 0 if there was none.
waxwing::http_response Call(
    cluster& c,
    const waxwing::endpoint& address,
    const waxwing::http_request& request,
    waxwing::milliseconds timeout = waxwing::milliseconds(5'000));
waxwing::http_response CallOperatorApi(cluster& c,
                                       int vm,
                                       const std::string& method,
                                       const std::string& target,
                                       const std::string& body = "");

// Plans and confirms an intent at a VM's agent. Gives the generation, 0 if it
// was refused.
std::uint64_t ApplyIntent(cluster& c, int vm, const std::string& intent);

// Waits until a generation is in force on all VMs that the agent of `vm` knows.
bool WaitUntilInForce(cluster& c, int vm, std::uint64_t generation);

// A request of the deployment's first account.
waxwing::http_request ChatRequest(const cluster& c,
                                  const std::string& text,
                                  int tokens,
                                  bool stream);
waxwing::http_request ServiceRequest(const cluster& c,
                                     const std::string& body,
                                     const std::string& ticket);

// A fresh ticket owned by the given VM; empty if none could be had.
std::string RequestTicket(cluster& c, int vm);

// Starts a load; the future result is filled when it ends.
std::shared_ptr<std::optional<standin::load_result>> StartLoad(
    cluster& c,
    double rate,
    waxwing::milliseconds length,
    std::uint64_t seed);

// Runs the loop until the load has ended.
standin::load_result FinishLoad(
    cluster& c,
    const std::shared_ptr<std::optional<standin::load_result>>& load);

// The promises that every load must see kept, whatever failed: nothing lost,
// nothing wrong, no non-idempotent call run twice, no false "not run".
void ExpectGuaranteesHold(const cluster& c, const standin::load_result& result);

}  // namespace testing_support

#endif  // TESTING_CLUSTER_H_
