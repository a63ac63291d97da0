#include "waxwing/stored_streams.h"

#include <algorithm>
#include <boost/json.hpp>
#include <limits>

namespace waxwing {
namespace {

namespace json = boost::json;

// Doubles represent all integers up to 2^53 exactly.
constexpr std::int64_t kLargestNumber = std::int64_t{1} << 53;

tl::unexpected<json_error> Invalid(std::string field) {
  return tl::unexpected(json_error{std::move(field), "is missing or invalid"});
}

json::object WriteStream(const stream_key& key, const stored_stream& stream) {
  return {{"key", ToHex(key)},
          {"service", stream.origin.service},
          {"build", stream.origin.build},
          {"target", stream.origin.target},
          {"incarnation", stream.origin.incarnation},
          {"attempt", stream.attempt},
          {"began", stream.began}};
}

tl::expected<void, json_error> ReadStream(const json::value& value,
                                          stored_streams& out) {
  if (!value.is_object())
    return Invalid("streams");
  const json::object& object = value.get_object();
  const auto key_text = ReadString(object, "key");
  const auto key = key_text ? ParseHash128(*key_text) : std::nullopt;
  const auto service = ReadString(object, "service");
  const auto build = ReadString(object, "build");
  const auto target = ReadString(object, "target");
  const auto incarnation =
      ReadInteger(object, "incarnation", 0, kLargestNumber);
  const auto attempt = ReadInteger(object, "attempt", 0,
                                   std::numeric_limits<std::int32_t>::max());
  const auto began = ReadInteger(object, "began", 0, kLargestNumber);
  if (!key || !service || !build || !target || !incarnation || !attempt ||
      !began)
    return Invalid("streams");
  out.streams[*key] = {
      {*service, *build, *target, static_cast<std::uint64_t>(*incarnation)},
      static_cast<std::uint32_t>(*attempt),
      *began};
  return {};
}

}  // namespace

std::string WriteStoredStreams(const stored_streams& record) {
  json::object builds;
  for (const auto& [service, names] : record.builds) {
    json::array list;
    for (const std::string& name : names)
      list.emplace_back(name);
    builds[service] = std::move(list);
  }
  json::array streams;
  for (const auto& [key, stream] : record.streams)
    streams.emplace_back(WriteStream(key, stream));
  return json::serialize(json::object{{"written", record.written},
                                      {"builds", std::move(builds)},
                                      {"streams", std::move(streams)}});
}

tl::expected<stored_streams, json_error> ReadStoredStreams(
    std::string_view text) {
  const auto parsed = ParseObject(text);
  if (!parsed)
    return tl::unexpected(parsed.error());
  stored_streams out;
  const auto written = ReadInteger(*parsed, "written", 0, kLargestNumber);
  const json::value* builds = parsed->if_contains("builds");
  const json::array* streams = FindArray(*parsed, "streams");
  if (!written || !builds || !builds->is_object() || !streams)
    return Invalid("");
  out.written = *written;
  for (const auto& [service, names] : builds->get_object()) {
    if (!names.is_array())
      return Invalid("builds");
    for (const json::value& name : names.get_array()) {
      if (!name.is_string())
        return Invalid("builds");
      out.builds[std::string(service)].emplace(name.get_string());
    }
  }
  for (const json::value& stream : *streams) {
    if (const auto read = ReadStream(stream, out); !read)
      return tl::unexpected(read.error());
  }
  return out;
}

bool IsRelevant(const stored_streams& record,
                duration stream_lifetime,
                unix_ms now) {
  return record.written + ToMs(stream_lifetime + kMaxClockDifference) >= now;
}

bool ProvesSoleBuild(std::span<const stored_streams> stored,
                     std::string_view service,
                     const build_births& listed,
                     duration stream_lifetime,
                     unix_ms now) {
  if (listed.size() != 1)
    return false;
  const std::string& build = listed.begin()->first;
  const unix_ms born = listed.begin()->second;
  if (build.empty() || born <= 0 ||
      born + ToMs(stream_lifetime + kMaxClockDifference) > now)
    return false;
  return std::none_of(
      stored.begin(), stored.end(), [&](const stored_streams& record) {
        const auto names = record.builds.find(service);
        return names != record.builds.end() &&
               IsRelevant(record, stream_lifetime, now) &&
               (names->second.size() != 1 || !names->second.contains(build));
      });
}

}  // namespace waxwing
