#include "waxwing/log.h"

#include <poll.h>
#include <unistd.h>

#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/sinks/basic_sink_backend.hpp>
#include <boost/log/sinks/unlocked_frontend.hpp>
#include <boost/log/sources/logger.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <chrono>
#include <cstdio>
#include <ctime>

namespace waxwing {
namespace {

struct log_state {
  std::string program = "waxwing";
  log_level min_level = log_level::kWarning;
  boost::log::sources::logger logger;
};

log_state& State() {
  static log_state state;
  return state;
}

std::string Timestamp() {
  const auto now = std::chrono::system_clock::now();
  const std::time_t unix_seconds = std::chrono::system_clock::to_time_t(now);
  const auto ms = std::chrono::duration_cast<std::chrono::milliseconds>(
                      now.time_since_epoch())
                      .count() %
                  1000;
  std::tm parts{};
  gmtime_r(&unix_seconds, &parts);
  char text[48];
  std::snprintf(text, sizeof text, "%04d-%02d-%02dT%02d:%02d:%02d.%03dZ",
                parts.tm_year + 1900, parts.tm_mon + 1, parts.tm_mday,
                parts.tm_hour, parts.tm_min, parts.tm_sec,
                static_cast<int>(ms));
  return text;
}

// A pipe that polls as writable accepts a write of this size in full.
constexpr std::size_t kMaxLineBytes = 4096;

// Writes lines to standard output; drops those that would block or that exceed
// the rate limit.
class output_backend : public boost::log::sinks::basic_formatted_sink_backend<
                           char,
                           boost::log::sinks::concurrent_feeding> {
 public:
  void consume(const boost::log::record_view&, const std::string& line) {
    const std::int64_t second = std::time(nullptr);
    if (!detail::AllowLogLine(rate_limit, second) || !IsWritable()) {
      ++dropped;
      return;
    }
    if (dropped > 0) {
      WriteLine("level=warning event=log_lines_dropped count=" +
                std::to_string(dropped));
      dropped = 0;
    }
    WriteLine(line);
  }

 private:
  static bool IsWritable() {
    pollfd output{STDOUT_FILENO, POLLOUT, 0};
    return ::poll(&output, 1, 0) == 1 && (output.revents & POLLOUT) != 0;
  }
  static void WriteLine(std::string line) {
    if (line.size() >= kMaxLineBytes)
      line.resize(kMaxLineBytes - 1);
    line += '\n';
    // A failed write can't be reported: this is the log output itself.
    [[maybe_unused]] const auto written =
        ::write(STDOUT_FILENO, line.data(), line.size());
  }

  detail::log_rate_limit rate_limit;
  std::uint64_t dropped = 0;
};

void Write(log_level level,
           std::string_view level_name,
           std::string_view event,
           std::initializer_list<log_field> fields) {
  log_state& state = State();
  if (level < state.min_level)
    return;
  std::string line = "ts=" + Timestamp() + " level=";
  line += level_name;
  line += " program=" + state.program + " event=";
  line += event;
  for (const log_field& field : fields) {
    line += ' ';
    line += field.key;
    line += '=';
    line += detail::EscapeLogValue(field.value);
  }
  BOOST_LOG(state.logger) << line;
}

}  // namespace

void StartLog(std::string_view program, log_level min_level) {
  State().program = program;
  State().min_level = min_level;
  using frontend = boost::log::sinks::unlocked_sink<output_backend>;
  auto sink = boost::make_shared<frontend>();
  sink->set_formatter(boost::log::expressions::stream
                      << boost::log::expressions::smessage);
  boost::log::core::get()->add_sink(sink);
}

log_level ParseLogLevel(std::string_view text) {
  if (text == "debug")
    return log_level::kDebug;
  if (text == "warning")
    return log_level::kWarning;
  if (text == "error")
    return log_level::kError;
  return log_level::kInfo;
}

void LogDebug(std::string_view event, std::initializer_list<log_field> fields) {
  Write(log_level::kDebug, "debug", event, fields);
}

void LogInfo(std::string_view event, std::initializer_list<log_field> fields) {
  Write(log_level::kInfo, "info", event, fields);
}

void LogWarning(std::string_view event,
                std::initializer_list<log_field> fields) {
  Write(log_level::kWarning, "warning", event, fields);
}

void LogError(std::string_view event, std::initializer_list<log_field> fields) {
  Write(log_level::kError, "error", event, fields);
}

namespace detail {

bool AllowLogLine(log_rate_limit& rate_limit, std::int64_t second) {
  if (second != rate_limit.second)
    rate_limit = {second, 0};
  return rate_limit.lines++ < kMaxLogLinesPerSecond;
}

std::string EscapeLogValue(std::string_view value) {
  bool plain = !value.empty();
  for (const char c : value)
    plain = plain && c > ' ' && c < 0x7f && c != '"' && c != '=';
  if (plain)
    return std::string(value);
  std::string out = "\"";
  for (const char c : value) {
    if (c == '"' || c == '\\') {
      out += '\\';
      out += c;
    } else if (static_cast<unsigned char>(c) < 0x20 || c == 0x7f) {
      char hex[8];
      std::snprintf(hex, sizeof hex, "\\x%02x", static_cast<unsigned char>(c));
      out += hex;
    } else {
      out += c;
    }
  }
  return out + "\"";
}

}  // namespace detail
}  // namespace waxwing
