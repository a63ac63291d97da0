// waxwing-agent: control of an entry VM.

#include <boost/asio/io_context.hpp>
#include <cstdio>

#include "waxwing/agent.h"
#include "waxwing/log.h"
#include "waxwing/program.h"
#include "waxwing/settings.h"

namespace {

using waxwing::setting;
using waxwing::setting_kind;

constexpr setting kTable[] = {
    {.name = "vm", .help = "name of this VM", .required = true},
    {.name = "zone", .help = "availability zone of this VM", .required = true},
    {.name = "listen",
     .kind = setting_kind::kEndpoint,
     .help = "address for other agents and this VM's router",
     .required = true},
    {.name = "operators",
     .kind = setting_kind::kEndpoint,
     .help = "address for operators",
     .required = true},
    {.name = "router",
     .kind = setting_kind::kEndpoint,
     .help = "address at which callers reach this VM's router",
     .required = true},
    {.name = "platform",
     .kind = setting_kind::kEndpoint,
     .help = "address of the platform's object API",
     .required = true},
    {.name = "seeds",
     .kind = setting_kind::kEndpointList,
     .help = "addresses of agents to join through"},
    {.name = "key",
     .help = "key shared by all routers and agents",
     .required = true},
    {.name = "operator-key",
     .help = "key that operators must show",
     .required = true},
    {.name = "has-router",
     .kind = setting_kind::kFlag,
     .default_value = "true",
     .help = "false: this VM runs no router, for measurements"},
    {.name = "load-pace-ms",
     .kind = setting_kind::kInteger,
     .default_value = "200",
     .help = "shortest time between two orders to load weights",
     .minimum = 10,
     .maximum = 600000},
    {.name = "log-level",
     .kind = setting_kind::kChoice,
     .default_value = "info",
     .help = "lowest level that is logged",
     .choices = "debug|info|warning|error"},
};

waxwing::agent_options MakeOptions(const waxwing::settings& all) {
  waxwing::agent_options out;
  out.vm = GetText(all, "vm");
  out.zone = GetText(all, "zone");
  out.address = GetEndpoint(all, "listen");
  out.operator_address = GetEndpoint(all, "operators");
  out.router = GetEndpoint(all, "router");
  out.platform = GetEndpoint(all, "platform");
  out.seeds = GetEndpoints(all, "seeds");
  out.key = GetText(all, "key");
  out.operator_key = GetText(all, "operator-key");
  out.has_router = GetFlag(all, "has-router");
  out.load_pace = waxwing::milliseconds(GetInteger(all, "load-pace-ms"));
  return out;
}

}  // namespace

int main(int argc, const char** argv) {
  const auto read =
      waxwing::ReadSettingsOrExitCode("waxwing-agent", kTable, argc, argv);
  if (!read)
    return read.error();
  waxwing::StartLog("waxwing-agent",
                    waxwing::ParseLogLevel(GetText(*read, "log-level")));
  boost::asio::io_context context(1);
  auto agent = waxwing::StartAgent(context.get_executor(), MakeOptions(*read));
  if (!agent) {
    std::fprintf(stderr, "waxwing-agent: %s\n", agent.error().c_str());
    return waxwing::kExitFailure;
  }
  return waxwing::RunUntilStopped(context,
                                  [&]() -> boost::asio::awaitable<bool> {
                                    co_await waxwing::LeaveAgent(*agent);
                                    co_return true;
                                  });
}
