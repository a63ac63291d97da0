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

std::string ToText(const json_error& error) {
  return error.field.empty() ? error.problem
                             : error.field + ": " + error.problem;
}

}  // namespace waxwing
