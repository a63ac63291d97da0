// Checked settings of a program, from flags and environment variables.
//
// A program lists its settings in a table. A flag `--target-port` is also read
// from the environment variable WAXWING_TARGET_PORT; the flag wins. Every value
// is checked against its kind before the program starts, and each bad one is
// reported by name, so that one run shows all mistakes at once.
//
// Every program also takes --help, --version and --check-settings.

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
  kInteger,       // a whole number from `minimum` to `maximum`
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

// Rows that several programs share.
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
                                        .help = "address to listen at",
                                        .required = true};
inline constexpr setting kSeedSetting{.name = "seed",
                                      .kind = setting_kind::kInteger,
                                      .default_value = "1",
                                      .help = "seed of its random choices"};
inline constexpr setting kLogLevelSetting{
    .name = "log-level",
    .kind = setting_kind::kChoice,
    .default_value = "info",
    .help = "lowest level that is logged",
    .choices = "debug|info|warning|error"};

enum class settings_failure {
  kBadValue,       // a value does not fit its kind or range
  kMissing,        // a required setting has no value
  kUnknownFlag,    // a flag that the program does not have
  kHelpRequested,  // --help or --version was answered; exit with success
};

// One problem found, with the text to show to the operator.
struct settings_error {
  settings_failure failure;
  std::string message;
};

// The checked values of a program's settings and its other arguments.
struct settings {
  std::map<std::string, std::string, std::less<>> values;
  std::vector<std::string> arguments;
  bool check_only = false;
};

// Exit codes of every program.
inline constexpr int kExitSuccess = 0;
inline constexpr int kExitFailure = 1;
inline constexpr int kExitBadSettings = 2;

// Reads `argv` and the environment against `table`.
tl::expected<settings, std::vector<settings_error>>
ReadSettings(std::span<const setting> table, int argc, const char** argv);

// Reads settings; on --help, --version, --check-settings or a bad value prints
// what there is to say and gives the code to exit with.
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

// Parses "IP:port". Host names are refused: addresses are IP numbers.
tl::expected<endpoint, std::string> ParseEndpoint(std::string_view text);

namespace detail {

// Checks one value against its row; gives a message if it does not fit.
tl::expected<void, std::string> CheckSetting(const setting& row,
                                             std::string_view value);

}  // namespace detail
}  // namespace waxwing

#endif  // WAXWING_SETTINGS_H_
