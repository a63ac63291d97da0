#include "waxwing/forwarded_request.h"

#include <boost/beast/core/string.hpp>
#include <boost/json.hpp>
#include <limits>

#include "waxwing/hash.h"
#include "waxwing/json.h"

namespace waxwing {
namespace {

namespace json = boost::json;

constexpr std::int64_t kMaxAttempts = 1'000;
constexpr std::int64_t kMaxAttemptNumber =
    std::numeric_limits<std::int32_t>::max();
constexpr std::int64_t kMaxInteger = std::numeric_limits<std::int64_t>::max();

void RemoveHeader(http_headers& headers, std::string_view name) {
  std::erase_if(headers, [&](const http_header& header) {
    return boost::beast::iequals(header.name, name);
  });
}

std::string MacOf(const http_request& request,
                  std::string_view statement,
                  std::string_view key) {
  const hash128 content =
      Hash128({request.method, request.target, request.body});
  const mac_bytes mac =
      ComputeMac(key, ToHex(content) + std::string(statement));
  std::string out;
  for (const std::uint8_t byte : mac) {
    constexpr std::string_view kDigits = "0123456789abcdef";
    out += kDigits[byte >> 4];
    out += kDigits[byte & 0xf];
  }
  return out;
}

// Compares in a time that does not depend on the content.
bool IsEqual(std::string_view a, std::string_view b) {
  if (a.size() != b.size())
    return false;
  unsigned difference = 0;
  for (std::size_t i = 0; i < a.size(); ++i)
    difference |= static_cast<unsigned char>(a[i] ^ b[i]);
  return difference == 0;
}

std::optional<forwarded_request> ReadStatement(std::string_view text) {
  const auto object = ParseObject(text);
  if (!object)
    return std::nullopt;
  const auto vm = ReadString(*object, "vm");
  const auto service = ReadString(*object, "service");
  const auto config = ReadInteger(*object, "config", 0, kMaxInteger);
  const auto left = ReadInteger(*object, "left_ms", 0, kMaxInteger);
  const auto counted = ReadBoolOr(*object, "counted", false);
  const auto attempts = ReadIntegerOr(*object, "attempts", 0, kMaxAttempts, 0);
  const auto resume = ReadIntegerOr(*object, "resume", -1, kMaxInteger, -1);
  const auto target = ReadStringOr(*object, "target", "");
  const auto incarnation =
      ReadIntegerOr(*object, "incarnation", 0, kMaxInteger, 0);
  const auto number =
      ReadIntegerOr(*object, "attempt_number", 0, kMaxAttemptNumber, 0);
  if (!vm || !service || !config || !left || !counted || !attempts || !resume ||
      !target || !incarnation || !number)
    return std::nullopt;
  forwarded_request out{*vm,      *service,
                        *config,  milliseconds(*left),
                        *counted, static_cast<int>(*attempts)};
  if (*resume >= 0)
    out.resume_after = static_cast<std::uint64_t>(*resume);
  if (object->contains("build")) {
    const auto build = ReadString(*object, "build");
    if (!build)
      return std::nullopt;
    out.origin = stream_origin{*service, *build, *target,
                               static_cast<std::uint64_t>(*incarnation)};
  }
  out.attempt_number = static_cast<std::uint32_t>(*number);
  if (object->contains("told_build")) {
    const auto told_build = ReadString(*object, "told_build");
    if (!told_build)
      return std::nullopt;
    out.told_build = *told_build;
  }
  return out;
}

}  // namespace

void AddForwarded(http_request& request,
                  const forwarded_request& forwarded,
                  std::string_view key) {
  json::object object{{"vm", forwarded.vm},
                      {"service", forwarded.service},
                      {"config", forwarded.config_version},
                      {"left_ms", forwarded.time_left.count()},
                      {"counted", forwarded.is_counted},
                      {"attempts", forwarded.attempts}};
  if (forwarded.resume_after)
    object["resume"] = static_cast<std::int64_t>(*forwarded.resume_after);
  if (forwarded.origin) {
    object["build"] = forwarded.origin->build;
    object["target"] = forwarded.origin->target;
    object["incarnation"] =
        static_cast<std::int64_t>(forwarded.origin->incarnation);
  }
  if (forwarded.attempt_number > 0)
    object["attempt_number"] = forwarded.attempt_number;
  if (forwarded.told_build)
    object["told_build"] = *forwarded.told_build;
  const std::string statement = json::serialize(object);
  RemoveHeader(request.headers, kForwardedHeader);
  request.headers.push_back({std::string(kForwardedHeader),
                             MacOf(request, statement, key) + statement});
}

std::optional<forwarded_request> TakeForwarded(http_request& request,
                                               std::string_view key) {
  const std::string value(FindHeader(request.headers, kForwardedHeader));
  if (value.empty())
    return std::nullopt;
  RemoveHeader(request.headers, kForwardedHeader);
  constexpr std::size_t kMacDigits = 2 * sizeof(mac_bytes);
  if (value.size() < kMacDigits)
    return std::nullopt;
  const std::string_view statement = std::string_view(value).substr(kMacDigits);
  if (!IsEqual(std::string_view(value).substr(0, kMacDigits),
               MacOf(request, statement, key)))
    return std::nullopt;
  return ReadStatement(statement);
}

}  // namespace waxwing
