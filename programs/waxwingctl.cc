// waxwingctl: the operators' command line tool. The commands themselves are in
// waxwing/ctl.h.

#include <boost/asio.hpp>
#include <boost/json.hpp>
#include <cstdio>
#include <fstream>
#include <iostream>
#include <sstream>

#include "waxwing/ctl.h"
#include "waxwing/http_client.h"
#include "waxwing/settings.h"

namespace {

using waxwing::setting;
using waxwing::setting_kind;

constexpr setting kSettingsTable[] = {
    {.name = "agent",
     .kind = setting_kind::kEndpoint,
     .help = "address at which any agent serves operators",
     .required = true},
    {.name = "operator-key",
     .help = "key with which operators authenticate",
     .required = true},
    {.name = "operator",
     .default_value = "unnamed",
     .help = "name of the operator, recorded in the audit trail"},
    {.name = "json",
     .kind = setting_kind::kFlag,
     .default_value = "false",
     .help = "print the JSON response of the agent unchanged"},
    {.name = "wait-ms",
     .kind = setting_kind::kInteger,
     .default_value = "5000",
     .help = "maximum time that 'wait' and 'confirm' wait for all VMs, in ms",
     .maximum = 600000},
};

constexpr std::string_view kCommandHelp =
    "commands:\n"
    "  status                     VMs, targets, generation in force\n"
    "  intent JSON|@FILE          create a plan and show its effect\n"
    "  confirm PLAN               put a plan in force and wait for all VMs\n"
    "  wait [GENERATION]          wait until a generation is in force\n"
    "  audit                      list the changes, with operator and time\n"
    "  watch                      print the status every second\n";

// Returns the argument itself, or the contents of the file if it is "@FILE".
std::string ArgumentOrFileText(const std::string& argument) {
  if (argument.empty() || argument[0] != '@')
    return argument;
  std::ifstream file(argument.substr(1));
  std::stringstream text;
  text << file.rdbuf();
  return text.str();
}

}  // namespace

int main(int argc, const char** argv) {
  const auto parsed_settings =
      waxwing::ReadSettingsOrExitCode("waxwingctl", kSettingsTable, argc, argv);
  if (!parsed_settings) {
    if (parsed_settings.error() == waxwing::kExitSuccess)
      std::printf("\n%.*s", static_cast<int>(kCommandHelp.size()),
                  kCommandHelp.data());
    return parsed_settings.error();
  }
  waxwing::ctl_command command;
  command.agent = GetEndpoint(*parsed_settings, "agent");
  command.key = GetString(*parsed_settings, "operator-key");
  command.operator_name = GetString(*parsed_settings, "operator");
  command.as_json = GetFlag(*parsed_settings, "json");
  command.wait = waxwing::milliseconds(GetInteger(*parsed_settings, "wait-ms"));
  if (!parsed_settings->arguments.empty())
    command.verb = parsed_settings->arguments[0];
  if (parsed_settings->arguments.size() > 1)
    command.argument = ArgumentOrFileText(parsed_settings->arguments[1]);
  boost::asio::io_context context(1);
  int exit_code = waxwing::kExitFailure;
  boost::asio::co_spawn(
      context, waxwing::RunCtl(context.get_executor(), command, std::cout),
      [&](const std::exception_ptr& failure, int code) {
        exit_code = failure ? waxwing::kExitFailure : code;
        context.stop();
      });
  context.run();
  if (exit_code == waxwing::kExitBadSettings)
    std::fprintf(stderr, "%.*s", static_cast<int>(kCommandHelp.size()),
                 kCommandHelp.data());
  return exit_code;
}
