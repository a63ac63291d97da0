// standin-engine: the main program of the stand-in model engine, which tests
// and measurements use in place of a real one.

#include "standin/engine.h"

#include <boost/asio/io_context.hpp>

#include "waxwing/program.h"
#include "waxwing/settings.h"

namespace {

using waxwing::setting;
using waxwing::setting_kind;

constexpr setting kSettingsTable[] = {
    waxwing::kListenSetting,
    {.name = "model",
     .default_value = "triage",
     .help = "model that the engine serves"},
    {.name = "weights",
     .default_value = "v1",
     .help = "version of the loaded weights"},
    {.name = "slots",
     .kind = setting_kind::kInteger,
     .default_value = "8",
     .help = "maximum number of concurrent requests",
     .minimum = 1,
     .maximum = 10000},
    {.name = "prefill-rate",
     .kind = setting_kind::kNumber,
     .default_value = "20000",
     .help = "prompt tokens prefilled per second",
     .minimum = 1},
    {.name = "token-ms",
     .kind = setting_kind::kInteger,
     .default_value = "20",
     .help = "time between two tokens of a response, in ms",
     .maximum = 10000},
    {.name = "cache-blocks",
     .kind = setting_kind::kInteger,
     .default_value = "4000",
     .help = "capacity of the prefix cache, in blocks of 16 tokens",
     .minimum = 1},
    {.name = "cold-start-ms",
     .kind = setting_kind::kInteger,
     .default_value = "1000",
     .help = "time from a crash until the engine listens again, in ms",
     .maximum = 600000},
    {.name = "honours-fencing",
     .kind = setting_kind::kFlag,
     .default_value = "true",
     .help = "reject orders with an outdated fencing token"},
    waxwing::kSeedSetting,
    waxwing::kLogLevelSetting,
};

tl::expected<waxwing::daemon_stop, waxwing::start_error> Start(
    boost::asio::io_context& context,
    const waxwing::settings& values) {
  standin::engine_options options;
  options.address = GetEndpoint(values, "listen");
  options.model = GetString(values, "model");
  options.version = GetString(values, "weights");
  options.slots = static_cast<int>(GetInteger(values, "slots"));
  options.prefill_tokens_per_second = GetNumber(values, "prefill-rate");
  options.token_interval =
      waxwing::milliseconds(GetInteger(values, "token-ms"));
  options.cache_blocks =
      static_cast<std::size_t>(GetInteger(values, "cache-blocks"));
  options.cold_start =
      waxwing::milliseconds(GetInteger(values, "cold-start-ms"));
  options.honours_fencing = GetFlag(values, "honours-fencing");
  options.seed = static_cast<std::uint64_t>(GetInteger(values, "seed"));
  auto started = standin::StartEngine(context.get_executor(), options);
  if (!started)
    return tl::unexpected(waxwing::start_error{started.error()});
  return [started = *started]() mutable -> boost::asio::awaitable<bool> {
    standin::StopEngine(started);
    co_return true;
  };
}

}  // namespace

int main(int argc, const char** argv) {
  return waxwing::RunDaemon("standin-engine", kSettingsTable, argc, argv,
                            Start);
}
