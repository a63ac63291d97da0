// waxwingctl: the operators' command line.

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

constexpr setting kTable[] = {
    {.name = "agent",
     .kind = setting_kind::kEndpoint,
     .help = "operators' address of any agent",
     .required = true},
    {.name = "operator-key", .help = "the operators' key", .required = true},
    {.name = "operator",
     .default_value = "unnamed",
     .help = "your name, for the audit trail"},
    {.name = "json",
     .kind = setting_kind::kFlag,
     .default_value = "false",
     .help = "print the agent's JSON as it is"},
    {.name = "wait-ms",
     .kind = setting_kind::kInteger,
     .default_value = "5000",
     .help = "longest wait of 'wait' and 'confirm' for all VMs",
     .maximum = 600000},
};

constexpr std::string_view kCommands =
    "commands:\n"
    "  status                     VMs, targets, generation in force\n"
    "  intent JSON|@FILE          make a plan and show what it would do\n"
    "  confirm PLAN               put a plan in force and wait for all VMs\n"
    "  wait [GENERATION]          wait until a generation is in force\n"
    "  audit                      who changed what, when\n"
    "  watch                      status again every second\n";

std::string ReadArgument(const std::string& argument) {
  if (argument.empty() || argument[0] != '@')
    return argument;
  std::ifstream file(argument.substr(1));
  std::stringstream text;
  text << file.rdbuf();
  return text.str();
}

}  // namespace

int main(int argc, const char** argv) {
  const auto read =
      waxwing::ReadSettingsOrExitCode("waxwingctl", kTable, argc, argv);
  if (!read) {
    if (read.error() == waxwing::kExitSuccess)
      std::printf("\n%.*s", static_cast<int>(kCommands.size()),
                  kCommands.data());
    return read.error();
  }
  waxwing::ctl_command command;
  command.agent = GetEndpoint(*read, "agent");
  command.key = GetString(*read, "operator-key");
  command.operator_name = GetString(*read, "operator");
  command.as_json = GetFlag(*read, "json");
  command.wait = waxwing::milliseconds(GetInteger(*read, "wait-ms"));
  if (!read->arguments.empty())
    command.verb = read->arguments[0];
  if (read->arguments.size() > 1)
    command.argument = ReadArgument(read->arguments[1]);
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
    std::fprintf(stderr, "%.*s", static_cast<int>(kCommands.size()),
                 kCommands.data());
  return exit_code;
}
