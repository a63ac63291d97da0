// standin-platform: the main program of the stand-in platform, an object store
// for tests and measurements.

#include "standin/platform.h"

#include <boost/asio/io_context.hpp>

#include "waxwing/program.h"
#include "waxwing/settings.h"

namespace {

using waxwing::setting;

constexpr setting kSettingsTable[] = {
    waxwing::kListenSetting,
    waxwing::kSeedSetting,
    waxwing::kLogLevelSetting,
};

tl::expected<waxwing::daemon_stop, waxwing::start_error> Start(
    boost::asio::io_context& context,
    const waxwing::settings& values) {
  standin::platform_options options;
  options.address = GetEndpoint(values, "listen");
  options.seed = static_cast<std::uint64_t>(GetInteger(values, "seed"));
  auto started = standin::StartPlatform(context.get_executor(), options);
  if (!started)
    return tl::unexpected(waxwing::start_error{started.error()});
  return [started = *started]() mutable -> boost::asio::awaitable<bool> {
    standin::StopPlatform(started);
    co_return true;
  };
}

}  // namespace

int main(int argc, const char** argv) {
  return waxwing::RunDaemon("standin-platform", kSettingsTable, argc, argv,
                            Start);
}
