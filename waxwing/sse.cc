#include "waxwing/sse.h"

#include <boost/json.hpp>
#include <charconv>

#include "waxwing/json.h"

namespace waxwing {
namespace {

constexpr std::string_view kIdField = "id:";
constexpr std::string_view kDataField = "data:";
constexpr std::string_view kContentField = "\"content\":\"";
constexpr std::string_view kUsageField = "\"usage\":";
constexpr std::int64_t kMaxTokens = 1'000'000'000;

// Removes the first line from `text` and returns it without its end.
std::string_view ConsumeLine(std::string_view& text) {
  const std::size_t end = std::min(text.find('\n'), text.size());
  std::string_view line = text.substr(0, end);
  text.remove_prefix(std::min(end + 1, text.size()));
  if (line.ends_with('\r'))
    line.remove_suffix(1);
  return line;
}

// The value of the first line that starts with `prefix`; empty if none does.
std::string_view ReadField(std::string_view event, std::string_view prefix) {
  while (!event.empty()) {
    std::string_view line = ConsumeLine(event);
    if (!line.starts_with(prefix))
      continue;
    line.remove_prefix(prefix.size());
    if (line.starts_with(' '))
      line.remove_prefix(1);
    return line;
  }
  return {};
}

std::uint32_t ReadTokenCount(const boost::json::object& object,
                             std::string_view field) {
  return static_cast<std::uint32_t>(
      ReadIntegerOr(object, field, 0, kMaxTokens, 0).value_or(0));
}

}  // namespace

std::string_view ConsumeEvent(std::string_view& buffer) {
  std::size_t end = buffer.find('\n');
  while (end != std::string_view::npos) {
    const std::string_view rest = buffer.substr(end + 1);
    const std::size_t blank =
        rest.starts_with('\n') ? 1 : (rest.starts_with("\r\n") ? 2 : 0);
    if (blank > 0) {
      const std::string_view event = buffer.substr(0, end + 1 + blank);
      buffer.remove_prefix(event.size());
      return event;
    }
    end = buffer.find('\n', end + 1);
  }
  return {};
}

bool IsComment(std::string_view event) {
  while (!event.empty()) {
    const std::string_view line = ConsumeLine(event);
    if (!line.empty() && !line.starts_with(':'))
      return false;
  }
  return true;
}

std::optional<std::uint64_t> EventId(std::string_view event) {
  const std::string_view text = ReadField(event, kIdField);
  std::uint64_t id = 0;
  const auto [end, error] =
      std::from_chars(text.data(), text.data() + text.size(), id);
  if (text.empty() || error != std::errc() || end != text.data() + text.size())
    return std::nullopt;
  return id;
}

std::string_view EventData(std::string_view event) {
  return ReadField(event, kDataField);
}

bool IsDoneEvent(std::string_view event) {
  return EventData(event) == "[DONE]";
}

std::string_view EscapedContent(std::string_view event) {
  const std::size_t field = event.find(kContentField);
  if (field == std::string_view::npos)
    return {};
  const std::size_t start = field + kContentField.size();
  std::size_t end = start;
  while (end < event.size() && event[end] != '"')
    end += event[end] == '\\' ? 2 : 1;
  return event.substr(start, std::min(end, event.size()) - start);
}

std::string Unescape(std::string_view escaped) {
  boost::json::error_code error;
  std::string text = "\"";
  text += escaped;
  text += '"';
  const boost::json::value parsed = boost::json::parse(text, error);
  if (error || !parsed.is_string())
    return {};
  return std::string(parsed.as_string());
}

std::optional<stream_usage> EventUsage(std::string_view event) {
  if (event.find(kUsageField) == std::string_view::npos)
    return std::nullopt;
  const auto data = ParseObject(EventData(event));
  if (!data)
    return std::nullopt;
  const boost::json::value* usage = data->if_contains("usage");
  if (!usage || !usage->is_object())
    return std::nullopt;
  const boost::json::object& object = usage->as_object();
  stream_usage out{ReadTokenCount(object, "prompt_tokens"),
                   ReadTokenCount(object, "completion_tokens"), 0};
  const boost::json::value* details =
      object.if_contains("prompt_tokens_details");
  if (details && details->is_object())
    out.cached_tokens = ReadTokenCount(details->as_object(), "cached_tokens");
  return out;
}

}  // namespace waxwing
