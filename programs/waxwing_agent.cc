// waxwing-agent: the control process of an entry VM. It takes part in the
// membership, distributes the configuration and collects the reports of
// targets.

#include <boost/asio/io_context.hpp>

#include "waxwing/agent.h"
#include "waxwing/program.h"
#include "waxwing/settings.h"

namespace {

using waxwing::setting;
using waxwing::setting_kind;

constexpr setting kSettingsTable[] = {
    waxwing::kVmSetting,
    waxwing::kZoneSetting,
    waxwing::kListenSetting,
    {.name = "operators",
     .kind = setting_kind::kEndpoint,
     .help = "address at which operators connect",
     .required = true},
    {.name = "router",
     .kind = setting_kind::kEndpoint,
     .help = "address of this VM's router, as callers use it",
     .required = true},
    {.name = "platform",
     .kind = setting_kind::kEndpoint,
     .help = "address of the platform's object API",
     .required = true},
    {.name = "seeds",
     .kind = setting_kind::kEndpointList,
     .help = "addresses of agents to contact when joining"},
    waxwing::kKeySetting,
    {.name = "operator-key",
     .help = "key with which operators authenticate",
     .required = true},
    {.name = "has-router",
     .kind = setting_kind::kFlag,
     .default_value = "true",
     .help = "whether this VM runs a router; false only in measurements"},
    {.name = "load-pace-ms",
     .kind = setting_kind::kInteger,
     .default_value = "200",
     .help = "minimum time between two orders to load weights, in ms",
     .minimum = 10,
     .maximum = 600000},
    waxwing::kLogLevelSetting,
};

waxwing::agent_options MakeOptions(const waxwing::settings& values) {
  waxwing::agent_options out;
  out.vm = GetString(values, "vm");
  out.zone = GetString(values, "zone");
  out.address = GetEndpoint(values, "listen");
  out.operator_address = GetEndpoint(values, "operators");
  out.router = GetEndpoint(values, "router");
  out.platform = GetEndpoint(values, "platform");
  out.seeds = GetEndpoints(values, "seeds");
  out.key = GetString(values, "key");
  out.operator_key = GetString(values, "operator-key");
  out.has_router = GetFlag(values, "has-router");
  out.min_load_interval =
      waxwing::milliseconds(GetInteger(values, "load-pace-ms"));
  return out;
}

tl::expected<waxwing::daemon_stop, waxwing::start_error> Start(
    boost::asio::io_context& context,
    const waxwing::settings& values) {
  auto agent = waxwing::StartAgent(context.get_executor(), MakeOptions(values));
  if (!agent)
    return tl::unexpected(waxwing::start_error{agent.error()});
  return [agent = *agent]() mutable -> boost::asio::awaitable<bool> {
    co_await waxwing::StopAgentGracefully(agent);
    co_return true;
  };
}

}  // namespace

int main(int argc, const char** argv) {
  return waxwing::RunDaemon("waxwing-agent", kSettingsTable, argc, argv, Start);
}
