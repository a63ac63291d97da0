// A small cluster for system and fault tests. Routers and agents are real
// processes. The platform, engines and services are stand-ins inside the test
// process, where the test can count runs and inject faults.

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

// The processes of one entry VM. A pid is 0 if the process isn't running.
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
  // Kills the processes that still run.
  ~cluster();
};

// Starts all processes and stand-ins and activates the first configuration on
// all VMs.
std::unique_ptr<cluster> StartCluster(const cluster_options& options);

void StartVmAgent(cluster& c, int index);
void StartVmRouter(cluster& c, int index);

// Sends SIGTERM and runs the event loop until the process has ended. Returns
// its exit code, or -1 if it was killed by a signal or didn't end within 30 s.
int TerminateProcess(cluster& c, pid_t& pid);

// Runs the event loop for a time.
void RunFor(cluster& c, waxwing::milliseconds time);

// Runs the event loop until the condition holds. Returns false if it doesn't
// hold within `limit`.
bool RunUntil(cluster& c,
              const std::function<bool()>& condition,
              waxwing::milliseconds limit);

// Runs the event loop until the coroutine has ended and returns its result.
template <typename T>
T Await(cluster& c, asio::awaitable<T> body) {
  return RunToEnd(c.context, std::move(body));
}

// Send a request and return the response, whose status is 0 if there was none.
// CallOperatorApi() calls the operator API of a VM's agent.
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

// Submits an intent to a VM's agent and confirms the plan. Returns the new
// generation, or 0 if the intent or the plan was refused.
std::uint64_t ApplyIntent(cluster& c, int vm, const std::string& intent);

// Waits until a generation is in force on all VMs that the agent of `vm` knows.
// Returns false on timeout.
bool WaitUntilInForce(cluster& c, int vm, std::uint64_t generation);

// Return a request of the deployment's first account. A service request is
// non-idempotent.
waxwing::http_request ChatRequest(const cluster& c,
                                  const std::string& text,
                                  int tokens,
                                  bool stream);
waxwing::http_request ServiceRequest(const cluster& c,
                                     const std::string& body,
                                     const std::string& ticket);

// Returns a new ticket owned by the given VM, or an empty string on failure.
std::string RequestTicket(cluster& c, int vm);

// Starts a load. The result is set when the load has ended.
std::shared_ptr<std::optional<standin::load_result>> StartLoad(
    cluster& c,
    double rate,
    waxwing::milliseconds length,
    std::uint64_t seed);

// Runs the event loop until the load has ended and returns its result.
standin::load_result FinishLoad(
    cluster& c,
    const std::shared_ptr<std::optional<standin::load_result>>& load);

// Checks the guarantees that hold under any fault: no response is lost or
// wrong, no non-idempotent call runs twice, and no call reported as not run has
// run.
void ExpectGuaranteesHold(const cluster& c, const standin::load_result& result);

}  // namespace testing_support

#endif  // TESTING_CLUSTER_H_
