// standin-engine: a stand-in model engine as a process.

#include "standin/engine.h"

#include <boost/asio/io_context.hpp>
#include <cstdio>

#include "waxwing/program.h"
#include "waxwing/settings.h"

namespace {

using waxwing::setting;
using waxwing::setting_kind;

constexpr setting kTable[] = {
    {.name = "listen",
     .kind = setting_kind::kEndpoint,
     .help = "address",
     .required = true},
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
    {.name = "seed",
     .kind = setting_kind::kInteger,
     .default_value = "1",
     .help = "seed of its random choices"},
};

}  // namespace

int main(int argc, const char** argv) {
  const auto read =
      waxwing::ReadSettingsOrExitCode("standin-engine", kTable, argc, argv);
  if (!read)
    return read.error();
  standin::engine_options options;
  options.address = GetEndpoint(*read, "listen");
  options.model = GetText(*read, "model");
  options.version = GetText(*read, "weights");
  options.slots = static_cast<int>(GetInteger(*read, "slots"));
  options.prefill_tokens_per_second = GetNumber(*read, "prefill-rate");
  options.token_interval = waxwing::milliseconds(GetInteger(*read, "token-ms"));
  options.cache_blocks =
      static_cast<std::size_t>(GetInteger(*read, "cache-blocks"));
  options.cold_start =
      waxwing::milliseconds(GetInteger(*read, "cold-start-ms"));
  options.honours_fencing = GetFlag(*read, "honours-fencing");
  options.seed = static_cast<std::uint64_t>(GetInteger(*read, "seed"));
  boost::asio::io_context context(1);
  auto engine = standin::StartEngine(context.get_executor(), options);
  if (!engine) {
    std::fprintf(stderr, "standin-engine: %s\n", engine.error().c_str());
    return waxwing::kExitFailure;
  }
  return waxwing::RunUntilStopped(context,
                                  [&]() -> boost::asio::awaitable<bool> {
                                    standin::StopEngine(*engine);
                                    co_return true;
                                  });
}
