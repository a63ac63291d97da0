#include "waxwing/json.h"

#include <boost/json.hpp>

namespace waxwing {

namespace json = boost::json;

namespace {

json_error Problem(std::string_view field, std::string_view problem) {
  return {std::string(field), std::string(problem)};
}

std::string RangeProblem(std::int64_t minimum, std::int64_t maximum) {
  return "must be a whole number from " + std::to_string(minimum) + " to " +
         std::to_string(maximum);
}

constexpr std::string_view kSpace = " \t\r\n";

std::string_view Trim(std::string_view text) {
  const std::size_t begin = text.find_first_not_of(kSpace);
  if (begin == std::string_view::npos)
    return {};
  return text.substr(begin, text.find_last_not_of(kSpace) - begin + 1);
}

// Returns the position after the string that begins at `pos`.
std::size_t SkipString(std::string_view text, std::size_t pos) {
  for (++pos; pos < text.size(); ++pos) {
    if (text[pos] == '\\')
      ++pos;
    else if (text[pos] == '"')
      return pos + 1;
  }
  return text.size();
}

// Returns the position of the comma or the closing bracket that ends the value
// that begins at `pos`.
std::size_t FindValueEnd(std::string_view text, std::size_t pos) {
  std::size_t depth = 0;
  while (pos < text.size()) {
    const char c = text[pos];
    if (c == '"') {
      pos = SkipString(text, pos);
      continue;
    }
    if (depth == 0 && (c == ',' || c == ']' || c == '}'))
      return pos;
    if (c == '[' || c == '{')
      ++depth;
    else if (c == ']' || c == '}')
      --depth;
    ++pos;
  }
  return pos;
}

// Returns the texts between the commas of an array or an object.
std::optional<std::vector<std::string_view>> SplitParts(std::string_view text,
                                                        char open,
                                                        char close) {
  text = Trim(text);
  if (text.size() < 2 || text.front() != open || text.back() != close)
    return std::nullopt;
  std::vector<std::string_view> out;
  std::size_t begin = 1;
  while (true) {
    const std::size_t end = FindValueEnd(text, begin);
    if (end >= text.size())
      return std::nullopt;
    const std::string_view part = Trim(text.substr(begin, end - begin));
    const bool is_last = text[end] != ',';
    // A value may only be missing between the brackets of an empty array.
    if (part.empty() && !(is_last && out.empty()))
      return std::nullopt;
    if (!part.empty())
      out.push_back(part);
    if (is_last)
      return end + 1 == text.size() ? std::optional(std::move(out))
                                    : std::nullopt;
    begin = end + 1;
  }
}

}  // namespace

tl::expected<json::object, json_error> ParseObject(std::string_view text) {
  json::error_code error;
  json::value parsed = json::parse({text.data(), text.size()}, error);
  if (error)
    return tl::unexpected(Problem("", "is not JSON: " + error.message()));
  if (!parsed.is_object())
    return tl::unexpected(Problem("", "must be a JSON object"));
  return std::move(parsed.as_object());
}

tl::expected<std::string, json_error> ReadString(const json::object& object,
                                                 std::string_view field) {
  const json::value* value = object.if_contains(field);
  if (!value)
    return tl::unexpected(Problem(field, "is missing"));
  if (!value->is_string())
    return tl::unexpected(Problem(field, "must be text"));
  return std::string(value->as_string());
}

tl::expected<std::int64_t, json_error> ReadInteger(const json::object& object,
                                                   std::string_view field,
                                                   std::int64_t minimum,
                                                   std::int64_t maximum) {
  const json::value* value = object.if_contains(field);
  if (!value)
    return tl::unexpected(Problem(field, "is missing"));
  json::error_code error;
  const auto number = value->to_number<std::int64_t>(error);
  if (error || number < minimum || number > maximum)
    return tl::unexpected(Problem(field, RangeProblem(minimum, maximum)));
  return number;
}

tl::expected<std::string, json_error> ReadStringOr(const json::object& object,
                                                   std::string_view field,
                                                   std::string_view fallback) {
  if (!object.contains(field))
    return std::string(fallback);
  return ReadString(object, field);
}

tl::expected<std::int64_t, json_error> ReadIntegerOr(const json::object& object,
                                                     std::string_view field,
                                                     std::int64_t minimum,
                                                     std::int64_t maximum,
                                                     std::int64_t fallback) {
  if (!object.contains(field))
    return fallback;
  return ReadInteger(object, field, minimum, maximum);
}

tl::expected<double, json_error> ReadNumberOr(const json::object& object,
                                              std::string_view field,
                                              double minimum,
                                              double maximum,
                                              double fallback) {
  const json::value* value = object.if_contains(field);
  if (!value)
    return fallback;
  json::error_code error;
  const auto number = value->to_number<double>(error);
  if (error || number < minimum || number > maximum)
    return tl::unexpected(Problem(field, "must be a number from " +
                                             std::to_string(minimum) + " to " +
                                             std::to_string(maximum)));
  return number;
}

tl::expected<bool, json_error> ReadBoolOr(const json::object& object,
                                          std::string_view field,
                                          bool fallback) {
  const json::value* value = object.if_contains(field);
  if (!value)
    return fallback;
  if (!value->is_bool())
    return tl::unexpected(Problem(field, "must be true or false"));
  return value->as_bool();
}

const json::array* FindArray(const json::object& object,
                             std::string_view field) {
  const json::value* value = object.if_contains(field);
  return value ? value->if_array() : nullptr;
}

std::optional<std::vector<std::string_view>> SplitArray(std::string_view text) {
  return SplitParts(text, '[', ']');
}

std::optional<std::vector<json_member>> SplitObject(std::string_view text) {
  const auto parts = SplitParts(text, '{', '}');
  if (!parts)
    return std::nullopt;
  std::vector<json_member> out;
  for (const std::string_view part : *parts) {
    const std::size_t name_end = part.front() == '"' ? SkipString(part, 0) : 0;
    const std::size_t colon = part.find_first_not_of(kSpace, name_end);
    if (name_end < 2 || colon == std::string_view::npos || part[colon] != ':')
      return std::nullopt;
    out.push_back({part.substr(1, name_end - 2), Trim(part.substr(colon + 1))});
  }
  return out;
}

std::string_view FindMember(const std::vector<json_member>& members,
                            std::string_view field) {
  std::string_view out;
  for (const json_member& member : members) {
    if (member.name == field)
      out = member.value;
  }
  return out;
}

json::object ParseMembers(const std::vector<json_member>& members,
                          std::initializer_list<std::string_view> names) {
  json::object out;
  for (const std::string_view name : names) {
    const std::string_view text = FindMember(members, name);
    json::error_code error;
    json::value value = json::parse({text.data(), text.size()}, error);
    if (!error)
      out[name] = std::move(value);
  }
  return out;
}

std::string ToText(const json_error& error) {
  return error.field.empty() ? error.problem
                             : error.field + ": " + error.problem;
}

}  // namespace waxwing
