// Structured logs: one line of key=value pairs for each event, on standard
// output, written through Boost.Log.
//
// Logging never waits: a line that standard output can't take at once, or that
// exceeds kMaxLogLinesPerSecond, is dropped and counted; the next line that is
// written is preceded by one that tells how many were.
//
//   LogInfo("request_done", {{"request", id}, {"status", 200}});
//
// gives
//
//   ts=2026-12-03T20:31:55.123Z level=info program=waxwing-router
//   event=request_done request=r-17 status=200
//
// (on one line). Values with blanks, quotes or control characters are quoted
// and escaped, so that a caller's input can never forge a second line.

#ifndef WAXWING_LOG_H_
#define WAXWING_LOG_H_

#include <concepts>
#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>

namespace waxwing {

// One key and its value, already turned into text.
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

// More lines than a router under full load writes.
inline constexpr int kMaxLogLinesPerSecond = 5'000;

enum class log_level { kDebug, kInfo, kWarning, kError };

// Sets the program's name and the lowest level that is written. Call once,
// before any other thread starts.
void StartLog(std::string_view program, log_level min_level);

// Parses "debug", "info", "warning" or "error"; any other text gives kInfo.
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

// Counts lines against a bound for each second.
struct log_rate_limit {
  std::int64_t second = 0;
  int lines = 0;
};

// True if one more line may be written in `second`.
bool AllowLogLine(log_rate_limit& rate_limit, std::int64_t second);

// Quotes `value` if it holds anything but plain printable characters.
std::string EscapeLogValue(std::string_view value);

}  // namespace detail
}  // namespace waxwing

#endif  // WAXWING_LOG_H_
