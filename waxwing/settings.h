// Validated settings of a program, from flags and environment variables.
//
// A program lists its settings in a table. A flag `--target-port` is also read
// from the environment variable WAXWING_TARGET_PORT; the flag takes precedence.
// Every value is validated before the program starts, and each invalid one is
// reported by name, so that one run shows all errors at once.
//
// Every program also accepts --help, --version and --check-settings.

#ifndef WAXWING_SETTINGS_H_
#define WAXWING_SETTINGS_H_

#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include <tl/expected.hpp>

#include "waxwing/types.h"

namespace waxwing {

enum class setting_kind {
  kString,        // any text; must not be empty if required
  kInteger,       // an integer from `minimum` to `maximum`
  kNumber,        // a decimal number from `minimum` to `maximum`
  kEndpoint,      // "IP:port"
  kEndpointList,  // "IP:port,IP:port,..."
  kChoice,        // one of the words in `choices`, separated by '|'
  kFlag,          // "true" or "false"; the bare flag means true
};

// One row of a program's table of settings.
struct setting {
  std::string_view name;
  setting_kind kind = setting_kind::kString;
  std::string_view default_value;
  std::string_view help;
  double minimum = 0;
  double maximum = 1e15;
  std::string_view choices;
  bool required = false;
};

// Settings that several programs share.
inline constexpr setting kVmSetting{.name = "vm",
                                    .help = "name of this VM",
                                    .required = true};
inline constexpr setting kZoneSetting{.name = "zone",
                                      .help = "availability zone of this VM",
                                      .required = true};
inline constexpr setting kKeySetting{
    .name = "key",
    .help = "key shared by the daemons of all VMs",
    .required = true};
inline constexpr setting kListenSetting{.name = "listen",
                                        .kind = setting_kind::kEndpoint,
                                        .help = "address to listen on",
                                        .required = true};
inline constexpr setting kSeedSetting{.name = "seed",
                                      .kind = setting_kind::kInteger,
                                      .default_value = "1",
                                      .help = "seed of random choices"};
inline constexpr setting kLogLevelSetting{
    .name = "log-level",
    .kind = setting_kind::kChoice,
    .default_value = "info",
    .help = "minimum log level",
    .choices = "debug|info|warning|error"};

enum class settings_failure {
  kBadValue,       // a value has the wrong format or is out of range
  kMissing,        // a required setting has no value
  kUnknownFlag,    // a flag that the program does not have
  kHelpRequested,  // --help or --version was given; exit with success
};

// One error found, with the message for the operator.
struct settings_error {
  settings_failure failure;
  std::string message;
};

// The validated settings of a program and its positional arguments.
struct settings {
  std::map<std::string, std::string, std::less<>> values;
  std::vector<std::string> arguments;
  bool check_only = false;
};

// Exit codes of every program.
inline constexpr int kExitSuccess = 0;
inline constexpr int kExitFailure = 1;
inline constexpr int kExitBadSettings = 2;

// Reads the settings in `table` from `argv` and the environment.
tl::expected<settings, std::vector<settings_error>>
ReadSettings(std::span<const setting> table, int argc, const char** argv);

// Reads settings; on --help, --version, --check-settings or an invalid value
// prints the matching text and returns the exit code.
tl::expected<settings, int> ReadSettingsOrExitCode(
    std::string_view program,
    std::span<const setting> table,
    int argc,
    const char** argv);

// The accessors below take the name of a setting in the program's table.
std::string GetString(const settings& parsed, std::string_view name);
std::int64_t GetInteger(const settings& parsed, std::string_view name);
double GetNumber(const settings& parsed, std::string_view name);
bool GetFlag(const settings& parsed, std::string_view name);
endpoint GetEndpoint(const settings& parsed, std::string_view name);
std::vector<endpoint> GetEndpoints(const settings& parsed,
                                   std::string_view name);

// Parses "IP:port". Host names are rejected: addresses must be numeric.
tl::expected<endpoint, std::string> ParseEndpoint(std::string_view text);

namespace detail {

// Validates a value against its setting; returns a message if it is invalid.
tl::expected<void, std::string> CheckSetting(const setting& row,
                                             std::string_view value);

}  // namespace detail
}  // namespace waxwing

#endif  // WAXWING_SETTINGS_H_
