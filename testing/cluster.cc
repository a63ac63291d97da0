#include "testing/cluster.h"

#include <gtest/gtest.h>
#include <signal.h>
#include <sys/wait.h>
#include <unistd.h>

#include <boost/json.hpp>

#include "waxwing/json.h"

namespace testing_support {

namespace json = boost::json;
using waxwing::endpoint;
using waxwing::http_request;
using waxwing::http_response;
using waxwing::milliseconds;

namespace {

constexpr char kKey[] = "test-key";
constexpr char kOperatorKey[] = "test-operator-key";
constexpr milliseconds kStartTimeout{15'000};

std::chrono::steady_clock::time_point Now() {
  return std::chrono::steady_clock::now();
}

std::string ZoneName(int index) {
  return "zone-" + std::to_string(index % 3);
}

std::string VmName(int index) {
  return "vm-" + std::to_string(index);
}

json::array TargetArray(const cluster& c,
                        const std::string& model,
                        const std::string& service) {
  json::array out;
  for (std::size_t i = 0; i < c.engines.size(); ++i)
    out.push_back(json::object{{"name", "engine-" + std::to_string(i)},
                               {"kind", "model"},
                               {"address", ToText(c.engines[i].address)},
                               {"zone", ZoneName(static_cast<int>(i))},
                               {"serves", model},
                               {"version", "v1"}});
  for (std::size_t i = 0; i < c.services.size(); ++i)
    out.push_back(json::object{{"name", "service-" + std::to_string(i)},
                               {"kind", "application"},
                               {"address", ToText(c.services[i].address)},
                               {"zone", ZoneName(static_cast<int>(i))},
                               {"serves", service}});
  return out;
}

std::string ImportIntent(const cluster& c) {
  const auto deployment = c.options.deployment;
  const std::string model = standin::ModelName(deployment);
  const std::string service = standin::ServiceName(deployment);
  json::array accounts;
  for (int i = 0; i < 8; ++i)
    accounts.push_back(
        json::object{{"name", standin::AccountName(deployment, i)},
                     {"key", standin::AccountKey(deployment, i)}});
  json::array versions{json::object{{"version", "v1"}, {"percent", 100}}};
  json::array models{
      json::object{{"name", model}, {"versions", std::move(versions)}}};
  json::array paths{"/submit", "/stop"};
  json::array services{json::object{
      {"name", service}, {"non_idempotent_paths", std::move(paths)}}};
  json::object config{{"models", std::move(models)},
                      {"services", std::move(services)},
                      {"targets", TargetArray(c, model, service)},
                      {"accounts", std::move(accounts)}};
  return json::serialize(
      json::object{{"kind", "import"}, {"config", std::move(config)}});
}

void StartStandins(cluster& c) {
  standin::platform_options platform;
  platform.address = FindFreeAddress(c.context);
  c.platform = *standin::StartPlatform(c.context.get_executor(), platform);
  for (int i = 0; i < c.options.engines; ++i) {
    standin::engine_options options;
    options.address = FindFreeAddress(c.context);
    options.model = standin::ModelName(c.options.deployment);
    options.prefill_tokens_per_second = 100'000;
    options.token_interval = milliseconds(5);
    options.cold_start = milliseconds(500);
    options.honours_fencing = c.options.honours_fencing;
    options.keep_transcript = c.options.keep_transcript;
    options.seed = static_cast<std::uint64_t>(i) + 1;
    c.engines.push_back(
        *standin::StartEngine(c.context.get_executor(), options));
  }
  for (int i = 0; i < c.options.services; ++i) {
    standin::service_options options;
    options.address = FindFreeAddress(c.context);
    c.services.push_back(
        *standin::StartService(c.context.get_executor(), options));
  }
}

bool IsAgentReady(cluster& c, int index) {
  return CallOperatorApi(c, index, "GET", "/v1/status").status == 200;
}

}  // namespace

cluster::~cluster() {
  for (vm& each : vms) {
    KillProcess(each.router);
    KillProcess(each.agent);
  }
  for (standin::engine& each : engines)
    standin::StopEngine(each);
  for (standin::service& each : services)
    standin::StopService(each);
  standin::StopPlatform(platform);
}

std::unique_ptr<cluster> StartCluster(const cluster_options& options) {
  auto c = std::make_unique<cluster>();
  c->options = options;
  c->pool = waxwing::MakeHttpPool(c->context.get_executor(), {});
  StartStandins(*c);
  for (int i = 0; i < options.vms; ++i)
    c->vms.push_back({0, 0, FindFreeAddress(c->context),
                      FindFreeAddress(c->context),
                      FindFreeAddress(c->context)});
  for (int i = 0; i < options.vms; ++i) {
    StartVmAgent(*c, i);
    StartVmRouter(*c, i);
  }
  for (int i = 0; i < options.vms; ++i)
    EXPECT_TRUE(RunUntil(
        *c, [&] { return IsAgentReady(*c, i); }, kStartTimeout));
  // The configuration is imported only once the first agent knows all members,
  // so that WaitUntilInForce() covers all of them.
  EXPECT_TRUE(RunUntil(
      *c,
      [&] {
        const auto status = waxwing::ParseObject(
            CallOperatorApi(*c, 0, "GET", "/v1/status").body);
        const json::array* members =
            status ? waxwing::FindArray(*status, "members") : nullptr;
        return members &&
               members->size() == static_cast<std::size_t>(options.vms);
      },
      kStartTimeout));
  const std::uint64_t generation = ApplyIntent(*c, 0, ImportIntent(*c));
  EXPECT_EQ(generation, 1u);
  EXPECT_TRUE(WaitUntilInForce(*c, 0, generation));
  return c;
}

void StartVmAgent(cluster& c, int index) {
  vm& v = c.vms[static_cast<std::size_t>(index)];
  const std::string seeds =
      ToText(c.vms[0].agent_address) + "," + ToText(c.vms.back().agent_address);
  v.agent =
      Spawn("waxwing-agent",
            {"--vm", VmName(index), "--zone", ZoneName(index), "--listen",
             ToText(v.agent_address), "--operators", ToText(v.operator_address),
             "--router", ToText(v.router_address), "--platform",
             ToText(c.platform.address), "--seeds", seeds, "--key", kKey,
             "--operator-key", kOperatorKey});
}

void StartVmRouter(cluster& c, int index) {
  vm& v = c.vms[static_cast<std::size_t>(index)];
  std::vector<std::string> arguments = {"--vm",     VmName(index),
                                        "--zone",   ZoneName(index),
                                        "--listen", ToText(v.router_address),
                                        "--agent",  ToText(v.agent_address),
                                        "--key",    kKey};
  arguments.insert(arguments.end(), c.options.router_flags.begin(),
                   c.options.router_flags.end());
  v.router = Spawn("waxwing-router", arguments);
}

int TerminateProcess(cluster& c, pid_t& pid) {
  kill(pid, SIGTERM);
  int status = 0;
  const bool ended = RunUntil(
      c, [&] { return waitpid(pid, &status, WNOHANG) == pid; },
      milliseconds(30'000));
  if (!ended) {
    KillProcess(pid);
    return -1;
  }
  pid = 0;
  return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
}

void RunFor(cluster& c, milliseconds time) {
  c.context.restart();
  c.context.run_for(time);
}

bool RunUntil(cluster& c,
              const std::function<bool()>& condition,
              milliseconds limit) {
  const auto end = Now() + limit;
  while (!condition()) {
    if (Now() > end)
      return false;
    RunFor(c, milliseconds(20));
  }
  return true;
}

http_response Call(cluster& c,
                   const endpoint& address,
                   const http_request& request,
                   milliseconds timeout) {
  const waxwing::http_call_options options{timeout, false};
  auto response = Await(c, Fetch(c.pool, address, request, options));
  return response ? *response : http_response{0, {}, response.error().detail};
}

http_response CallOperatorApi(cluster& c,
                              int index,
                              const std::string& method,
                              const std::string& target,
                              const std::string& body) {
  http_request request{method, target, {}, body};
  request.headers.push_back(
      {"Authorization", std::string("Bearer ") + kOperatorKey});
  request.headers.push_back({"X-Operator", "tester"});
  return Call(c, c.vms[static_cast<std::size_t>(index)].operator_address,
              request);
}

std::uint64_t ApplyIntent(cluster& c, int index, const std::string& intent) {
  const auto plan_response =
      CallOperatorApi(c, index, "POST", "/v1/intents", intent);
  const auto plan = waxwing::ParseObject(plan_response.body);
  if (plan_response.status != 200 || !plan)
    return 0;
  const std::string id = waxwing::ReadString(*plan, "plan").value_or("");
  const auto confirm_response =
      CallOperatorApi(c, index, "POST", "/v1/plans/" + id + "/confirm");
  const auto body = waxwing::ParseObject(confirm_response.body);
  if (confirm_response.status != 200 || !body)
    return 0;
  return static_cast<std::uint64_t>(
      waxwing::ReadInteger(*body, "generation", 1, 1 << 30).value_or(0));
}

bool WaitUntilInForce(cluster& c, int index, std::uint64_t generation) {
  return RunUntil(
      c,
      [&] {
        const auto response = CallOperatorApi(
            c, index, "GET",
            "/v1/in-force?generation=" + std::to_string(generation));
        const auto body = waxwing::ParseObject(response.body);
        if (!body)
          return false;
        const auto in_force = waxwing::ReadInteger(*body, "in_force", 0, 1000);
        const auto total = waxwing::ReadInteger(*body, "of", 1, 1000);
        return in_force && total && *in_force == *total;
      },
      kStartTimeout);
}

http_request ChatRequest(const cluster& c,
                         const std::string& text,
                         int tokens,
                         bool stream) {
  json::array messages{json::object{{"role", "user"}, {"content", text}}};
  http_request out{"POST", "/v1/chat/completions", {}, ""};
  out.body = json::serialize(
      json::object{{"model", standin::ModelName(c.options.deployment)},
                   {"messages", std::move(messages)},
                   {"max_tokens", tokens},
                   {"stream", stream}});
  out.headers.push_back(
      {"Authorization",
       "Bearer " + standin::AccountKey(c.options.deployment, 0)});
  return out;
}

http_request ServiceRequest(const cluster& c,
                            const std::string& body,
                            const std::string& ticket) {
  const bool is_vannbrudd =
      c.options.deployment == standin::deployment::kVannbrudd;
  http_request out{"POST",
                   "/v1/services/" +
                       standin::ServiceName(c.options.deployment) +
                       (is_vannbrudd ? "/submit" : "/stop"),
                   {},
                   body};
  out.headers.push_back(
      {"Authorization",
       "Bearer " + standin::AccountKey(c.options.deployment, 0)});
  if (!ticket.empty())
    out.headers.push_back({"X-Ticket", ticket});
  return out;
}

std::string RequestTicket(cluster& c, int index) {
  const auto response =
      Call(c, c.vms[static_cast<std::size_t>(index)].router_address,
           ServiceRequest(c, "{}", ""));
  return std::string(FindHeader(response.headers, "X-Ticket"));
}

std::shared_ptr<std::optional<standin::load_result>>
StartLoad(cluster& c, double rate, milliseconds length, std::uint64_t seed) {
  standin::trace_options trace;
  trace.shape = c.options.deployment;
  trace.requests_per_second = rate;
  trace.length = length;
  trace.seed = seed;
  trace.contexts = 6;
  standin::load_options load;
  for (const vm& each : c.vms)
    load.routers.push_back(each.router_address);
  load.model = standin::ModelName(trace.shape);
  load.deadline = milliseconds(20'000);
  auto out = std::make_shared<std::optional<standin::load_result>>();
  asio::co_spawn(c.context,
                 standin::RunLoad(c.context.get_executor(),
                                  standin::MakeTrace(trace), load),
                 [out](const std::exception_ptr&, standin::load_result r) {
                   out->emplace(std::move(r));
                 });
  return out;
}

standin::load_result FinishLoad(
    cluster& c,
    const std::shared_ptr<std::optional<standin::load_result>>& load) {
  const bool ended = RunUntil(
      c, [&] { return load->has_value(); }, milliseconds(60'000));
  EXPECT_TRUE(ended);
  return ended ? std::move(**load) : standin::load_result();
}

void ExpectGuaranteesHold(const cluster& c,
                          const standin::load_result& result) {
  std::string complaints_text;
  for (const std::string& complaint : result.error_samples)
    complaints_text += complaint + "\n";
  EXPECT_EQ(result.lost, 0u) << complaints_text;
  EXPECT_EQ(result.wrong, 0u) << complaints_text;
  EXPECT_GT(result.completed, 0u);
  EXPECT_EQ(result.requests, result.completed + result.refused + result.failed);
  for (const standin::service& service : c.services)
    EXPECT_LE(standin::GetMaxRunCount(service), 1u);
  for (const std::string& body : result.service_not_run) {
    for (const standin::service& service : c.services)
      EXPECT_EQ(standin::GetRunCount(service, body), 0u) << body;
  }
  for (const std::string& body : result.service_answered) {
    std::uint64_t runs = 0;
    for (const standin::service& service : c.services)
      runs += standin::GetRunCount(service, body);
    EXPECT_EQ(runs, 1u) << body;
  }
}

}  // namespace testing_support
