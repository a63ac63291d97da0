// standin-engine: a stand-in model engine as a process.

#include "standin/engine.h"

#include <boost/asio/io_context.hpp>

#include "waxwing/program.h"
#include "waxwing/settings.h"

namespace {

using waxwing::setting;
using waxwing::setting_kind;

constexpr setting kSettingsTable[] = {
    waxwing::kListenSetting,
    {.name = "model", .default_value = "triage", .help = "model it runs"},
    {.name = "weights", .default_value = "v1", .help = "weights version"},
    {.name = "slots",
     .kind = setting_kind::kInteger,
     .default_value = "8",
     .help = "requests it runs at once",
     .minimum = 1,
     .maximum = 10000},
    {.name = "prefill-rate",
     .kind = setting_kind::kNumber,
     .default_value = "20000",
     .help = "prompt tokens computed a second",
     .minimum = 1},
    {.name = "token-ms",
     .kind = setting_kind::kInteger,
     .default_value = "20",
     .help = "time between two tokens of an answer",
     .maximum = 10000},
    {.name = "cache-blocks",
     .kind = setting_kind::kInteger,
     .default_value = "4000",
     .help = "blocks of 16 tokens that it caches",
     .minimum = 1},
    {.name = "cold-start-ms",
     .kind = setting_kind::kInteger,
     .default_value = "1000",
     .help = "time from a crash until it listens again",
     .maximum = 600000},
    {.name = "honours-fencing",
     .kind = setting_kind::kFlag,
     .default_value = "true",
     .help = "refuse orders with an old fencing number"},
    waxwing::kSeedSetting,
    waxwing::kLogLevelSetting,
};

tl::expected<waxwing::daemon_stop, waxwing::start_error> Start(
    boost::asio::io_context& context,
    const waxwing::settings& values) {
  standin::engine_options options;
  options.address = GetEndpoint(values, "listen");
  options.model = GetText(values, "model");
  options.version = GetText(values, "weights");
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
