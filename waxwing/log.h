// Structured logs: one line of key=value pairs per event, on standard
// output, written through Boost.Log.
//
// Logging never blocks: a line that standard output can't accept at once, or
// that exceeds kMaxLogLinesPerSecond, is dropped and counted; the next line
// written is preceded by a log_lines_dropped event with the count.
//
//   LogInfo("request_done", {{"request", id}, {"status", 200}});
//
// writes
//
//   ts=2026-12-03T20:31:55.123Z level=info program=waxwing-router
//   event=request_done request=r-17 status=200
//
// (on one line). Values with spaces, quotes, '=' or control characters are
// quoted and escaped, so that input from a caller can't inject a log line.

#ifndef WAXWING_LOG_H_
#define WAXWING_LOG_H_

#include <concepts>
#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>

namespace waxwing {

// One key and its value, formatted as text.
struct log_field {
  std::string_view key;
  std::string value;

  log_field(std::string_view k, std::string_view v) : key(k), value(v) {}
  log_field(std::string_view k, const std::string& v) : key(k), value(v) {}
  log_field(std::string_view k, const char* v) : key(k), value(v) {}
  log_field(std::string_view k, bool v) : key(k), value(v ? "true" : "false") {}
  template <typename T>
  requires(std::integral<T> || std::floating_point<T>)
      log_field(std::string_view k, T v)
      : key(k), value(std::to_string(v)) {}
};

// Above the number of lines that a router under full load writes.
inline constexpr int kMaxLogLinesPerSecond = 5'000;

enum class log_level { kDebug, kInfo, kWarning, kError };

// Sets the program's name and the minimum level that is written. Call once,
// before any other thread starts.
void StartLog(std::string_view program, log_level min_level);

// Parses "debug", "info", "warning" or "error"; other text returns kInfo.
log_level ParseLogLevel(std::string_view text);

void LogDebug(std::string_view event,
              std::initializer_list<log_field> fields = {});
void LogInfo(std::string_view event,
             std::initializer_list<log_field> fields = {});
void LogWarning(std::string_view event,
                std::initializer_list<log_field> fields = {});
void LogError(std::string_view event,
              std::initializer_list<log_field> fields = {});

namespace detail {

// Number of lines written in the current second.
struct log_rate_limit {
  std::int64_t second = 0;
  int lines = 0;
};

// True if one more line may be written in `second`.
bool AllowLogLine(log_rate_limit& rate_limit, std::int64_t second);

// Quotes and escapes `value` unless it is plain printable text.
std::string EscapeLogValue(std::string_view value);

}  // namespace detail
}  // namespace waxwing

#endif  // WAXWING_LOG_H_
