// standin-service: the main program of the stand-in application service, which
// tests and measurements use in place of a real one.

#include "standin/service.h"

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
  standin::service_options options;
  options.address = GetEndpoint(values, "listen");
  options.seed = static_cast<std::uint64_t>(GetInteger(values, "seed"));
  auto started = standin::StartService(context.get_executor(), options);
  if (!started)
    return tl::unexpected(waxwing::start_error{started.error()});
  return [started = *started]() mutable -> boost::asio::awaitable<bool> {
    standin::StopService(started);
    co_return true;
  };
}

}  // namespace

int main(int argc, const char** argv) {
  return waxwing::RunDaemon("standin-service", kSettingsTable, argc, argv,
                            Start);
}
