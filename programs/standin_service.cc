// standin-service: the stand-in service as a process.

#include "standin/service.h"

#include <boost/asio/io_context.hpp>

#include "waxwing/program.h"
#include "waxwing/settings.h"

namespace {

using waxwing::setting;

constexpr setting kTable[] = {
    waxwing::kListenSetting,
    waxwing::kSeedSetting,
    waxwing::kLogLevelSetting,
};

tl::expected<waxwing::daemon_stop, waxwing::start_error> Start(
    boost::asio::io_context& context,
    const waxwing::settings& all) {
  standin::service_options options;
  options.address = GetEndpoint(all, "listen");
  options.seed = static_cast<std::uint64_t>(GetInteger(all, "seed"));
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
  return waxwing::RunDaemon("standin-service", kTable, argc, argv, Start);
}
