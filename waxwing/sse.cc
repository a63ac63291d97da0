#include "waxwing/sse.h"

#include <boost/json.hpp>
#include <charconv>

#include "waxwing/json.h"

namespace waxwing {
namespace {

constexpr std::string_view kIdField = "id: ";
constexpr std::string_view kDataField = "data: ";
constexpr std::string_view kContentField = "\"content\":\"";
constexpr std::string_view kUsageField = "\"usage\":";
constexpr std::int64_t kMaxTokens = 1'000'000'000;

// The rest of the first line that starts with `prefix`; empty if none does.
std::string_view ReadField(std::string_view event, std::string_view prefix) {
  std::size_t at = 0;
  while (at < event.size()) {
    const std::size_t end = std::min(event.find('\n', at), event.size());
    const std::string_view line = event.substr(at, end - at);
    if (line.starts_with(prefix))
      return line.substr(prefix.size());
    at = end + 1;
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
  const std::size_t end = buffer.find("\n\n");
  if (end == std::string_view::npos)
    return {};
  const std::string_view event = buffer.substr(0, end + 2);
  buffer.remove_prefix(end + 2);
  return event;
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
