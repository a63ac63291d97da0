// waxwing-router: the data path of an entry VM. It admits requests, places them
// on targets and relays the responses to the callers.

#include <boost/asio/io_context.hpp>

#include "waxwing/program.h"
#include "waxwing/router.h"
#include "waxwing/settings.h"

namespace {

using waxwing::setting;
using waxwing::setting_kind;

constexpr setting kSettingsTable[] = {
    waxwing::kVmSetting,
    waxwing::kZoneSetting,
    waxwing::kListenSetting,
    {.name = "agent",
     .kind = setting_kind::kEndpoint,
     .help = "address of this VM's agent",
     .required = true},
    waxwing::kKeySetting,
    {.name = "policy",
     .kind = setting_kind::kChoice,
     .default_value = "homes-and-cost",
     .help = "placement policy; those other than the default serve for "
             "comparison",
     .choices = waxwing::kPlacementPolicyNames},
    {.name = "body-bytes",
     .kind = setting_kind::kInteger,
     .default_value = "4194304",
     .help = "maximum size of a request body, in bytes",
     .minimum = 1024,
     .maximum = 67108864},
    {.name = "connections",
     .kind = setting_kind::kInteger,
     .default_value = "4096",
     .help = "maximum number of concurrent caller connections",
     .minimum = 1,
     .maximum = 100000},
    {.name = "queue-limit",
     .kind = setting_kind::kInteger,
     .default_value = "4000",
     .help = "maximum number of queued requests",
     .minimum = 1,
     .maximum = 100000},
    {.name = "entry-vms",
     .kind = setting_kind::kInteger,
     .default_value = "2",
     .help = "number of entry VMs assigned to a client account",
     .minimum = 1,
     .maximum = 16},
    {.name = "entry-lifetime-ms",
     .kind = setting_kind::kInteger,
     .default_value = "10000",
     .help = "how long callers may cache the response to an entry request, in "
             "ms",
     .minimum = 100,
     .maximum = 600000},
    {.name = "linger-ms",
     .kind = setting_kind::kInteger,
     .default_value = "10000",
     .help = "on SIGTERM, time to keep accepting requests from callers that "
             "have cached this address, in ms",
     .minimum = 0,
     .maximum = 600000},
    {.name = "drain-limit-ms",
     .kind = setting_kind::kInteger,
     .default_value = "120000",
     .help = "on SIGTERM, maximum time to wait for requests in flight, in ms",
     .minimum = 0,
     .maximum = 3600000},
    waxwing::kLogLevelSetting,
};

waxwing::router_options MakeOptions(const waxwing::settings& values) {
  waxwing::router_options out;
  out.vm = GetString(values, "vm");
  out.zone = GetString(values, "zone");
  out.address = GetEndpoint(values, "listen");
  out.agent = GetEndpoint(values, "agent");
  out.key = GetString(values, "key");
  out.policy = waxwing::ParsePlacementPolicy(GetString(values, "policy"))
                   .value_or(waxwing::placement_policy::kHomesAndCost);
  out.limits.max_body_bytes =
      static_cast<std::size_t>(GetInteger(values, "body-bytes"));
  out.limits.max_connections =
      static_cast<std::size_t>(GetInteger(values, "connections"));
  out.queue_limit = static_cast<std::size_t>(GetInteger(values, "queue-limit"));
  out.entry_vms = static_cast<std::size_t>(GetInteger(values, "entry-vms"));
  out.entry_lifetime =
      waxwing::milliseconds(GetInteger(values, "entry-lifetime-ms"));
  out.linger = waxwing::milliseconds(GetInteger(values, "linger-ms"));
  out.drain_limit = waxwing::milliseconds(GetInteger(values, "drain-limit-ms"));
  return out;
}

tl::expected<waxwing::daemon_stop, waxwing::start_error> Start(
    boost::asio::io_context& context,
    const waxwing::settings& values) {
  auto router =
      waxwing::StartRouter(context.get_executor(), MakeOptions(values));
  if (!router)
    return tl::unexpected(waxwing::start_error{router.error()});
  return [router = *router]() mutable { return waxwing::DrainRouter(router); };
}

}  // namespace

int main(int argc, const char** argv) {
  return waxwing::RunDaemon("waxwing-router", kSettingsTable, argc, argv,
                            Start);
}
