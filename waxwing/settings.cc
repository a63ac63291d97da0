#include "waxwing/settings.h"

#include <popt.h>

#include <algorithm>
#include <boost/asio/ip/address.hpp>
#include <charconv>
#include <cstdio>
#include <cstdlib>
#include <memory>

namespace waxwing {
namespace {

std::vector<std::string_view> Split(std::string_view text, char separator) {
  std::vector<std::string_view> parts;
  while (true) {
    const std::size_t pos = text.find(separator);
    parts.push_back(text.substr(0, pos));
    if (pos == std::string_view::npos)
      return parts;
    text.remove_prefix(pos + 1);
  }
}

std::string EnvironmentName(std::string_view name) {
  std::string out = "WAXWING_";
  for (const char c : name)
    out += c == '-' ? '_' : static_cast<char>(std::toupper(c));
  return out;
}

template <typename T>
bool ParseNumber(std::string_view text, T& out) {
  const auto [end, error] =
      std::from_chars(text.data(), text.data() + text.size(), out);
  return error == std::errc() && end == text.data() + text.size();
}

std::string RangeText(const setting& row) {
  char text[96];
  std::snprintf(text, sizeof text, "a number from %.10g to %.10g", row.minimum,
                row.maximum);
  return text;
}

template <typename T>
tl::expected<void, std::string> CheckRange(const setting& row,
                                           std::string_view value) {
  T number{};
  const bool parsed = ParseNumber(value, number);
  const double as_double = static_cast<double>(number);
  if (!parsed || as_double < row.minimum || as_double > row.maximum)
    return tl::unexpected("is not " + RangeText(row));
  return {};
}

void PrintHelp(std::string_view program, std::span<const setting> table) {
  std::printf("Usage: %.*s [flags]\n\n", static_cast<int>(program.size()),
              program.data());
  for (const setting& row : table) {
    const std::string flag = "--" + std::string(row.name);
    std::printf("  %-26s %.*s\n", flag.c_str(),
                static_cast<int>(row.help.size()), row.help.data());
    std::printf("  %-26s   %s%s%.*s%s\n", "", EnvironmentName(row.name).c_str(),
                row.default_value.empty() ? "" : ", default ",
                static_cast<int>(row.default_value.size()),
                row.default_value.data(), row.required ? ", required" : "");
  }
  std::printf("  %-26s show this text\n", "--help");
  std::printf("  %-26s show the version\n", "--version");
  std::printf("  %-26s check the settings and exit\n", "--check-settings");
}

// Returns the arguments with each bare flag of kind kFlag written as
// "--flag=true", since popt would take the next argument as its value.
std::vector<std::string> ExpandBareFlags(std::span<const setting> table,
                                         int argc,
                                         const char** argv) {
  std::vector<std::string> out(argv, argv + argc);
  for (std::size_t i = 1; i < out.size(); ++i) {
    for (const setting& row : table) {
      if (row.kind != setting_kind::kFlag ||
          out[i] != "--" + std::string(row.name))
        continue;
      const bool has_value =
          i + 1 < out.size() && (out[i + 1] == "true" || out[i + 1] == "false");
      out[i] += has_value ? "=" + out[i + 1] : "=true";
      if (has_value)
        out.erase(out.begin() + static_cast<std::ptrdiff_t>(i) + 1);
      break;
    }
  }
  return out;
}

// The values given as flags, by index in the table; null if not given.
struct flag_values {
  std::vector<char*> given;
  int help = 0;
  int version = 0;
  int check = 0;
};

}  // namespace

tl::expected<endpoint, std::string> ParseEndpoint(std::string_view text) {
  const std::size_t colon = text.rfind(':');
  if (colon == std::string_view::npos)
    return tl::unexpected(std::string("is not IP:port"));
  endpoint out{std::string(text.substr(0, colon)), 0};
  boost::system::error_code error;
  boost::asio::ip::make_address(out.host, error);
  // The function reads up to a zero byte.
  if (error || out.host.find('\0') != std::string::npos)
    return tl::unexpected(std::string("does not start with an IP number"));
  if (!ParseNumber(text.substr(colon + 1), out.port))
    return tl::unexpected(std::string("has no port from 0 to 65535"));
  return out;
}

namespace detail {

tl::expected<void, std::string> CheckSetting(const setting& row,
                                             std::string_view value) {
  switch (row.kind) {
    case setting_kind::kString:
      return {};
    case setting_kind::kInteger:
      return CheckRange<std::int64_t>(row, value);
    case setting_kind::kNumber:
      return CheckRange<double>(row, value);
    case setting_kind::kEndpoint: {
      const auto parsed = ParseEndpoint(value);
      if (!parsed)
        return tl::unexpected(parsed.error());
      return {};
    }
    case setting_kind::kEndpointList:
      for (const std::string_view part : Split(value, ',')) {
        const auto parsed = ParseEndpoint(part);
        if (!parsed)
          return tl::unexpected(parsed.error());
      }
      return {};
    case setting_kind::kChoice: {
      const auto words = Split(row.choices, '|');
      if (std::find(words.begin(), words.end(), value) == words.end())
        return tl::unexpected("is not one of " + std::string(row.choices));
      return {};
    }
    case setting_kind::kFlag:
      if (value != "true" && value != "false")
        return tl::unexpected(std::string("is neither true nor false"));
      return {};
  }
  return {};
}

}  // namespace detail

tl::expected<settings, std::vector<settings_error>>
ReadSettings(std::span<const setting> table, int argc, const char** argv) {
  flag_values flags;
  flags.given.resize(table.size(), nullptr);
  std::vector<std::string> names;
  names.reserve(table.size());
  for (const setting& row : table)
    names.emplace_back(row.name);
  std::vector<poptOption> options;
  for (std::size_t i = 0; i < table.size(); ++i) {
    options.push_back({names[i].c_str(), '\0', POPT_ARG_STRING, &flags.given[i],
                       0, nullptr, nullptr});
  }
  options.push_back(
      {"help", 'h', POPT_ARG_NONE, &flags.help, 0, nullptr, nullptr});
  options.push_back(
      {"version", '\0', POPT_ARG_NONE, &flags.version, 0, nullptr, nullptr});
  options.push_back({"check-settings", '\0', POPT_ARG_NONE, &flags.check, 0,
                     nullptr, nullptr});
  options.push_back({nullptr, '\0', 0, nullptr, 0, nullptr, nullptr});

  std::vector<settings_error> errors;
  settings out;
  const std::vector<std::string> expanded = ExpandBareFlags(table, argc, argv);
  std::vector<const char*> arguments;
  arguments.reserve(expanded.size());
  for (const std::string& text : expanded)
    arguments.push_back(text.c_str());
  const std::unique_ptr<std::remove_pointer_t<poptContext>,
                        decltype(&poptFreeContext)>
      context(poptGetContext(arguments[0], static_cast<int>(arguments.size()),
                             arguments.data(), options.data(), 0),
              &poptFreeContext);
  const int code = poptGetNextOpt(context.get());
  if (code < -1) {
    errors.push_back({settings_failure::kUnknownFlag,
                      std::string(poptBadOption(context.get(), 0)) + ": " +
                          poptStrerror(code)});
    return tl::unexpected(errors);
  }
  while (const char* argument = poptGetArg(context.get()))
    out.arguments.emplace_back(argument);
  if (flags.help || flags.version)
    return tl::unexpected(std::vector<settings_error>{
        {settings_failure::kHelpRequested, flags.help ? "help" : "version"}});
  out.check_only = flags.check != 0;

  for (std::size_t i = 0; i < table.size(); ++i) {
    const setting& row = table[i];
    const char* from_environment =
        std::getenv(EnvironmentName(row.name).c_str());
    std::string value(row.default_value);
    if (from_environment)
      value = from_environment;
    if (flags.given[i])
      value = flags.given[i];
    std::free(flags.given[i]);
    if (value.empty()) {
      if (row.required)
        errors.push_back({settings_failure::kMissing,
                          "--" + names[i] + " (" + EnvironmentName(row.name) +
                              ") is required"});
    } else if (const auto checked = detail::CheckSetting(row, value);
               !checked) {
      errors.push_back(
          {settings_failure::kBadValue,
           "--" + names[i] + " \"" + value + "\" " + checked.error()});
    }
    out.values[names[i]] = value;
  }
  if (!errors.empty())
    return tl::unexpected(errors);
  return out;
}

tl::expected<settings, int> ReadSettingsOrExitCode(
    std::string_view program,
    std::span<const setting> table,
    int argc,
    const char** argv) {
  auto read = ReadSettings(table, argc, argv);
  if (read) {
    if (!read->check_only)
      return *read;
    std::printf("settings are valid\n");
    return tl::unexpected(kExitSuccess);
  }
  for (const settings_error& error : read.error()) {
    if (error.failure == settings_failure::kHelpRequested) {
      if (error.message == "help")
        PrintHelp(program, table);
      else
        std::printf("%.*s %s\n", static_cast<int>(program.size()),
                    program.data(), WAXWING_VERSION);
      return tl::unexpected(kExitSuccess);
    }
    std::fprintf(stderr, "%.*s: %s\n", static_cast<int>(program.size()),
                 program.data(), error.message.c_str());
  }
  return tl::unexpected(kExitBadSettings);
}

std::string GetString(const settings& parsed, std::string_view name) {
  const auto found = parsed.values.find(name);
  return found == parsed.values.end() ? std::string() : found->second;
}

std::int64_t GetInteger(const settings& parsed, std::string_view name) {
  std::int64_t out = 0;
  ParseNumber(GetString(parsed, name), out);
  return out;
}

double GetNumber(const settings& parsed, std::string_view name) {
  double out = 0;
  ParseNumber(GetString(parsed, name), out);
  return out;
}

bool GetFlag(const settings& parsed, std::string_view name) {
  return GetString(parsed, name) == "true";
}

endpoint GetEndpoint(const settings& parsed, std::string_view name) {
  return ParseEndpoint(GetString(parsed, name)).value_or(endpoint{});
}

std::vector<endpoint> GetEndpoints(const settings& parsed,
                                   std::string_view name) {
  std::vector<endpoint> out;
  const std::string text = GetString(parsed, name);
  if (text.empty())
    return out;
  for (const std::string_view part : Split(text, ','))
    out.push_back(ParseEndpoint(part).value_or(endpoint{}));
  return out;
}

}  // namespace waxwing
