// waxwing-entry: the daemon of an entry VM on the users' platform.

#include <sys/stat.h>

#include <boost/asio.hpp>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <optional>
#include <sstream>

#include "platform/dialect.h"
#include "platform/settings.h"
#include "waxwing/entry.h"
#include "waxwing/log.h"
#include "waxwing/program.h"
#include "waxwing/settings.h"

namespace {

using waxwing::setting;
using waxwing::setting_kind;

// The settings file may change without a signal.
constexpr waxwing::milliseconds kSettingsPoll{1'000};

constexpr setting kTable[] = {
    {.name = "key",
     .help = "key shared by the entries of all VMs",
     .required = true},
    {.name = "log-level",
     .kind = setting_kind::kChoice,
     .default_value = "info",
     .help = "lowest level that is logged",
     .choices = "debug|info|warning|error"},
};

tl::expected<waxwing::entry_options, std::string> ReadPlatformSettings(
    const std::string& path,
    const std::string& key) {
  std::ifstream file(path);
  if (!file)
    return tl::unexpected(path + ": can't be read");
  std::stringstream text;
  text << file.rdbuf();
  auto options = waxwing::platform::ReadSettings(text.str());
  if (!options)
    return tl::unexpected(path + ": " + options.error());
  options->key = key;
  return options;
}

// The time of the file's last change, to the nanosecond.
std::optional<std::int64_t> ChangeTime(const std::string& path) {
  struct stat info {};
  if (stat(path.c_str(), &info) != 0)
    return std::nullopt;
  return info.st_mtim.tv_sec * std::int64_t{1'000'000'000} +
         info.st_mtim.tv_nsec;
}

void Reload(waxwing::entry& entry,
            const std::string& path,
            const std::string& key) {
  const auto fresh = ReadPlatformSettings(path, key);
  if (!fresh) {
    waxwing::LogError("settings_rejected", {{"error", fresh.error()}});
    return;
  }
  waxwing::ReloadEntry(entry, *fresh);
}

boost::asio::awaitable<void> WatchSettings(waxwing::entry& entry,
                                           std::string path,
                                           std::string key) {
  auto known = ChangeTime(path);
  boost::asio::steady_timer timer(co_await boost::asio::this_coro::executor);
  while (true) {
    timer.expires_after(kSettingsPoll);
    co_await timer.async_wait(boost::asio::use_awaitable);
    const auto now = ChangeTime(path);
    if (now && now != known)
      Reload(entry, path, key);
    known = now;
  }
}

boost::asio::awaitable<void> ReloadOnSignal(waxwing::entry& entry,
                                            std::string path,
                                            std::string key) {
  boost::asio::signal_set signals(co_await boost::asio::this_coro::executor,
                                  SIGHUP);
  while (true) {
    co_await signals.async_wait(boost::asio::use_awaitable);
    waxwing::LogInfo("reload_asked");
    Reload(entry, path, key);
  }
}

}  // namespace

int main(int argc, const char** argv) {
  const auto read =
      waxwing::ReadSettingsOrExitCode("waxwing-entry", kTable, argc, argv);
  if (!read)
    return read.error();
  waxwing::StartLog("waxwing-entry",
                    waxwing::ParseLogLevel(GetText(*read, "log-level")));
  const char* variable = std::getenv(waxwing::platform::kSettingsVariable);
  const std::string path = variable ? variable : "";
  const std::string key = GetText(*read, "key");
  const auto options = ReadPlatformSettings(path, key);
  if (!options) {
    std::fprintf(stderr, "waxwing-entry: %s\n", options.error().c_str());
    return waxwing::kExitBadSettings;
  }
  boost::asio::io_context context(1);
  auto entry = waxwing::StartEntry(context.get_executor(), *options,
                                   waxwing::platform::MakeDialect());
  if (!entry) {
    std::fprintf(stderr, "waxwing-entry: %s\n", entry.error().c_str());
    return waxwing::kExitFailure;
  }
  boost::asio::co_spawn(context, WatchSettings(*entry, path, key),
                        boost::asio::detached);
  boost::asio::co_spawn(context, ReloadOnSignal(*entry, path, key),
                        boost::asio::detached);
  return waxwing::RunUntilStopped(context,
                                  [&] { return waxwing::DrainEntry(*entry); });
}
