// Typed access to JSON received from callers, operators and the platform.
//
// Errors name the field that is missing or of the wrong type, so that they can
// be reported to the sender. Boost.JSON's default depth limit (32) bounds the
// nesting of input. Texts with parts by several writers are split by SplitArray
// and SplitObject, which bear any nesting, and their parts are parsed one by
// one.

#ifndef WAXWING_JSON_H_
#define WAXWING_JSON_H_

#include <boost/json/fwd.hpp>
#include <cstdint>
#include <initializer_list>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <tl/expected.hpp>

namespace waxwing {

// An error in a JSON text, reported to its sender.
struct json_error {
  // Dotted path of the field, empty for the whole text.
  std::string field;
  std::string problem;
};

// Parses a JSON text whose top level must be an object.
tl::expected<boost::json::object, json_error> ParseObject(
    std::string_view text);

// Required fields.
tl::expected<std::string, json_error> ReadString(
    const boost::json::object& object,
    std::string_view field);
tl::expected<std::int64_t, json_error> ReadInteger(
    const boost::json::object& object,
    std::string_view field,
    std::int64_t minimum,
    std::int64_t maximum);

// Optional fields: `fallback` replaces a missing field, but not one of the
// wrong type.
tl::expected<std::string, json_error> ReadStringOr(
    const boost::json::object& object,
    std::string_view field,
    std::string_view fallback);
tl::expected<std::int64_t, json_error> ReadIntegerOr(
    const boost::json::object& object,
    std::string_view field,
    std::int64_t minimum,
    std::int64_t maximum,
    std::int64_t fallback);
tl::expected<double, json_error> ReadNumberOr(const boost::json::object& object,
                                              std::string_view field,
                                              double minimum,
                                              double maximum,
                                              double fallback);
tl::expected<bool, json_error> ReadBoolOr(const boost::json::object& object,
                                          std::string_view field,
                                          bool fallback);

// The member `field` if it is an array, else null.
const boost::json::array* FindArray(const boost::json::object& object,
                                    std::string_view field);

// A member of an object whose value has not been parsed. The name is as it is
// written, so one with escaped characters equals no other.
struct json_member {
  std::string_view name;
  std::string_view value;
};

// Return the texts of the elements or members, which may be invalid, or
// std::nullopt if they can't be told apart.
std::optional<std::vector<std::string_view>> SplitArray(std::string_view text);
std::optional<std::vector<json_member>> SplitObject(std::string_view text);

// The text of the last member `field`, empty if there is none.
std::string_view FindMember(const std::vector<json_member>& members,
                            std::string_view field);

// Parses some members of an object. Those that are invalid are left out.
boost::json::object ParseMembers(const std::vector<json_member>& members,
                                 std::initializer_list<std::string_view> names);

// "field: problem", or the problem alone.
std::string ToText(const json_error& error);

}  // namespace waxwing

#endif  // WAXWING_JSON_H_
