// standin-service: the stand-in service as a process.

#include "standin/service.h"

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
    {.name = "seed",
     .kind = setting_kind::kInteger,
     .default_value = "1",
     .help = "seed of its random choices"},
};

}  // namespace

int main(int argc, const char** argv) {
  const auto read =
      waxwing::ReadSettingsOrExitCode("standin-service", kTable, argc, argv);
  if (!read)
    return read.error();
  standin::service_options options;
  options.address = GetEndpoint(*read, "listen");
  options.seed = static_cast<std::uint64_t>(GetInteger(*read, "seed"));
  boost::asio::io_context context(1);
  auto started = standin::StartService(context.get_executor(), options);
  if (!started) {
    std::fprintf(stderr, "standin-service: %s\n", started.error().c_str());
    return waxwing::kExitFailure;
  }
  return waxwing::RunUntilStopped(context,
                                  [&]() -> boost::asio::awaitable<bool> {
                                    standin::StopService(*started);
                                    co_return true;
                                  });
}
