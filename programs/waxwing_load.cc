// waxwing-load: an open-loop load generator. It sends a generated trace through
// the routers, checks every response, and prints a report.

#include <boost/asio.hpp>
#include <cinttypes>
#include <cstdio>
#include <fstream>

#include "standin/load.h"
#include "waxwing/settings.h"

namespace {

using waxwing::setting;
using waxwing::setting_kind;

constexpr setting kSettingsTable[] = {
    {.name = "routers",
     .kind = setting_kind::kEndpointList,
     .help = "routers to query for entry addresses",
     .required = true},
    {.name = "shape",
     .kind = setting_kind::kChoice,
     .default_value = "vannbrudd",
     .help = "deployment whose traffic is generated",
     .choices = "vannbrudd|ergastirio"},
    {.name = "rate",
     .kind = setting_kind::kNumber,
     .default_value = "40",
     .help = "requests per second",
     .minimum = 0.1,
     .maximum = 100000},
    {.name = "seconds",
     .kind = setting_kind::kInteger,
     .default_value = "20",
     .help = "length of the trace, in seconds",
     .minimum = 1,
     .maximum = 86400},
    {.name = "surge",
     .kind = setting_kind::kNumber,
     .default_value = "1",
     .help = "factor on the rate in the middle third of the trace",
     .minimum = 1,
     .maximum = 100},
    {.name = "accounts",
     .kind = setting_kind::kInteger,
     .default_value = "8",
     .help = "number of client accounts that send requests",
     .minimum = 1,
     .maximum = 100000},
    {.name = "first-account",
     .kind = setting_kind::kInteger,
     .default_value = "0",
     .help = "index of the first client account"},
    {.name = "services",
     .kind = setting_kind::kNumber,
     .default_value = "0.1",
     .help = "share of requests that are non-idempotent calls to the "
             "application service, from 0 to 1",
     .maximum = 1},
    {.name = "seed",
     .kind = setting_kind::kInteger,
     .default_value = "1",
     .help = "seed of the trace"},
    {.name = "entry",
     .kind = setting_kind::kFlag,
     .default_value = "true",
     .help = "use the entry addresses that the routers return; false: use "
             "the routers themselves, round-robin"},
    {.name = "report", .help = "file to write the HTML report to"},
    {.name = "quiet",
     .kind = setting_kind::kFlag,
     .default_value = "false",
     .help = "print no progress"},
};

standin::trace_options MakeTraceOptions(const waxwing::settings& values) {
  standin::trace_options out;
  out.shape = GetString(values, "shape") == "vannbrudd"
                  ? standin::deployment::kVannbrudd
                  : standin::deployment::kErgastirio;
  out.seed = static_cast<std::uint64_t>(GetInteger(values, "seed"));
  out.requests_per_second = GetNumber(values, "rate");
  out.length = waxwing::seconds(GetInteger(values, "seconds"));
  out.accounts = static_cast<int>(GetInteger(values, "accounts"));
  out.first_account = static_cast<int>(GetInteger(values, "first-account"));
  out.service_share = GetNumber(values, "services");
  out.surge_factor = GetNumber(values, "surge");
  out.surge_from = out.length / 3;
  out.surge_to = out.length * 2 / 3;
  return out;
}

// Overwrites the progress line on the terminal with the current counts.
void PrintProgress(const standin::load_result& result) {
  const std::uint64_t other = result.failed + result.lost + result.wrong;
  std::fprintf(stderr,
               "\r%6zu s  %7" PRIu64 " sent  %7" PRIu64 " complete  %5" PRIu64
               " refused  %5" PRIu64 " other ",
               result.seconds.size(), result.requests, result.completed,
               result.refused, other);
}

// Prints the results, and writes the HTML report if one was requested. Returns
// the exit code: a failure if any response was missing or wrong, or if the
// report can't be written.
int WriteReport(const waxwing::settings& values,
                const standin::load_result& result) {
  if (!GetFlag(values, "quiet"))
    std::fprintf(stderr, "\n");
  std::printf("%s", standin::ResultTable(result).c_str());
  for (const std::string& error_sample : result.error_samples)
    std::printf("  error: %s\n", error_sample.c_str());
  const std::string path = GetString(values, "report");
  if (!path.empty()) {
    std::ofstream file(path);
    file << standin::ResultHtml(result,
                                "waxwing-load, " + GetString(values, "shape"));
    if (!file) {
      std::fprintf(stderr, "waxwing-load: can't write %s\n", path.c_str());
      return waxwing::kExitFailure;
    }
  }
  return result.lost + result.wrong == 0 ? waxwing::kExitSuccess
                                         : waxwing::kExitFailure;
}

}  // namespace

int main(int argc, const char** argv) {
  const auto parsed_settings = waxwing::ReadSettingsOrExitCode(
      "waxwing-load", kSettingsTable, argc, argv);
  if (!parsed_settings)
    return parsed_settings.error();
  const standin::trace_options trace = MakeTraceOptions(*parsed_settings);
  standin::load_options options;
  options.routers = GetEndpoints(*parsed_settings, "routers");
  options.model = standin::ModelName(trace.shape);
  options.use_entry = GetFlag(*parsed_settings, "entry");
  if (!GetFlag(*parsed_settings, "quiet"))
    options.progress = PrintProgress;
  boost::asio::io_context context(1);
  standin::load_result result;
  boost::asio::co_spawn(
      context,
      standin::RunLoad(context.get_executor(), standin::MakeTrace(trace),
                       options),
      [&](const std::exception_ptr& failure, standin::load_result finished) {
        if (failure)
          std::rethrow_exception(failure);
        result = std::move(finished);
        context.stop();
      });
  context.run();
  return WriteReport(*parsed_settings, result);
}
