// waxwing-entry: the daemon of an entry VM on the users' platform. It does the
// work of both waxwing-router and waxwing-agent.
//
// Its options are in a settings file, whose path is in WAXWINGPASS_SETTINGS.
// The file is read again on SIGHUP, and whenever its modification time changes.

#include <sys/stat.h>

#include <boost/asio.hpp>
#include <csignal>
#include <cstdlib>
#include <fstream>
#include <memory>
#include <optional>
#include <sstream>

#include "platform/adapter.h"
#include "platform/settings.h"
#include "waxwing/entry.h"
#include "waxwing/log.h"
#include "waxwing/program.h"
#include "waxwing/settings.h"

namespace {

using waxwing::setting;
using entry_ptr = std::shared_ptr<waxwing::entry>;

// How often the modification time of the settings file is checked: the platform
// may change the file without sending SIGHUP.
constexpr waxwing::milliseconds kSettingsPollInterval{1'000};

constexpr setting kSettingsTable[] = {
    waxwing::kKeySetting,
    waxwing::kLogLevelSetting,
};

tl::expected<waxwing::entry_options, std::string> ReadPlatformSettings(
    const std::string& path,
    const std::string& key) {
  std::ifstream file(path);
  if (!file)
    return tl::unexpected(path + ": can't open the settings file");
  std::stringstream text;
  text << file.rdbuf();
  auto options = waxwing::platform::ReadSettings(text.str());
  if (!options)
    return tl::unexpected(path + ": " + options.error());
  options->key = key;
  return options;
}

// Returns the modification time of a file in nanoseconds since the epoch, or
// std::nullopt if the file can't be accessed.
std::optional<std::int64_t> LastChangeTime(const std::string& path) {
  struct stat file_status {};
  if (stat(path.c_str(), &file_status) != 0)
    return std::nullopt;
  return file_status.st_mtim.tv_sec * std::int64_t{1'000'000'000} +
         file_status.st_mtim.tv_nsec;
}

// Applies the settings file. If it is invalid, logs the error and keeps the
// settings in use.
void Reload(waxwing::entry& entry,
            const std::string& path,
            const std::string& key) {
  const auto new_options = ReadPlatformSettings(path, key);
  if (!new_options) {
    waxwing::LogError("settings_rejected", {{"error", new_options.error()}});
    return;
  }
  waxwing::ReloadEntry(entry, *new_options);
}

boost::asio::awaitable<void> ReloadOnFileChange(entry_ptr entry,
                                                std::string path,
                                                std::string key) {
  auto last_change_time = LastChangeTime(path);
  boost::asio::steady_timer timer(co_await boost::asio::this_coro::executor);
  while (true) {
    timer.expires_after(kSettingsPollInterval);
    co_await timer.async_wait(boost::asio::use_awaitable);
    const auto change_time = LastChangeTime(path);
    if (change_time && change_time != last_change_time)
      Reload(*entry, path, key);
    last_change_time = change_time;
  }
}

boost::asio::awaitable<void> ReloadOnSignal(entry_ptr entry,
                                            std::string path,
                                            std::string key) {
  boost::asio::signal_set signals(co_await boost::asio::this_coro::executor,
                                  SIGHUP);
  while (true) {
    co_await signals.async_wait(boost::asio::use_awaitable);
    waxwing::LogInfo("reload_asked");
    Reload(*entry, path, key);
  }
}

tl::expected<waxwing::daemon_stop, waxwing::start_error> Start(
    boost::asio::io_context& context,
    const waxwing::settings& values) {
  const char* variable = std::getenv(waxwing::platform::kSettingsVariable);
  const std::string path = variable ? variable : "";
  const std::string key = GetString(values, "key");
  const auto options = ReadPlatformSettings(path, key);
  if (!options)
    return tl::unexpected(
        waxwing::start_error{options.error(), waxwing::kExitBadSettings});
  auto started = waxwing::StartEntry(context.get_executor(), *options,
                                     waxwing::platform::MakeProtocolAdapter());
  if (!started)
    return tl::unexpected(waxwing::start_error{started.error()});
  const auto entry = std::make_shared<waxwing::entry>(std::move(*started));
  boost::asio::co_spawn(context, ReloadOnFileChange(entry, path, key),
                        boost::asio::detached);
  boost::asio::co_spawn(context, ReloadOnSignal(entry, path, key),
                        boost::asio::detached);
  return [entry] { return waxwing::DrainEntry(*entry); };
}

}  // namespace

int main(int argc, const char** argv) {
  return waxwing::RunDaemon("waxwing-entry", kSettingsTable, argc, argv, Start);
}
