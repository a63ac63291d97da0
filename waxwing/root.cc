#include "waxwing/root.h"

#include <boost/json.hpp>

#include "waxwing/hash.h"
#include "waxwing/json.h"

namespace waxwing {

namespace json = boost::json;

namespace {

constexpr std::int64_t kLargestNumber = std::int64_t{1} << 53;

tl::unexpected<config_error> Malformed(std::string message) {
  return tl::unexpected(
      config_error{config_failure::kMalformed, std::move(message)});
}

tl::expected<audit_entry, json_error> ReadAudit(const json::object& object) {
  audit_entry out;
  const auto generation = ReadInteger(object, "generation", 0, kLargestNumber);
  if (!generation)
    return tl::unexpected(generation.error());
  out.generation = static_cast<std::uint64_t>(*generation);
  const auto at = ReadInteger(object, "at", 0, kLargestNumber);
  if (!at)
    return tl::unexpected(at.error());
  out.at = *at;
  auto plan = ReadString(object, "plan");
  auto operator_name = ReadString(object, "operator");
  auto summary = ReadString(object, "summary");
  for (const auto* field : {&plan, &operator_name, &summary}) {
    if (!*field)
      return tl::unexpected(field->error());
  }
  out.plan = std::move(*plan);
  out.operator_name = std::move(*operator_name);
  out.summary = std::move(*summary);
  return out;
}

}  // namespace

std::string WriteRoot(const config_root& root) {
  json::array shards;
  for (const std::string& hash : root.shards)
    shards.push_back(json::value(hash));
  json::array audit;
  for (const audit_entry& entry : root.audit)
    audit.push_back(json::object{{"generation", entry.generation},
                                 {"plan", entry.plan},
                                 {"operator", entry.operator_name},
                                 {"at", entry.at},
                                 {"summary", entry.summary}});
  return json::serialize(json::object{{"generation", root.generation},
                                      {"plan", root.plan},
                                      {"shards", std::move(shards)},
                                      {"audit", std::move(audit)}});
}

tl::expected<config_root, config_error> ReadRoot(std::string_view text) {
  const auto parsed = ParseObject(text);
  if (!parsed)
    return Malformed("root: " + ToText(parsed.error()));
  config_root out;
  const auto generation = ReadInteger(*parsed, "generation", 1, kLargestNumber);
  if (!generation)
    return Malformed("root: " + ToText(generation.error()));
  out.generation = static_cast<std::uint64_t>(*generation);
  out.plan = ReadStringOr(*parsed, "plan", "").value_or("");
  const json::array* shards = FindArray(*parsed, "shards");
  if (!shards || shards->size() != kShardCount)
    return Malformed("root: shards: must be an array of " +
                     std::to_string(kShardCount));
  for (const json::value& shard : *shards) {
    if (!shard.is_string())
      return Malformed("root: shards: must hold texts");
    out.shards.emplace_back(shard.as_string());
  }
  if (const json::array* audit = FindArray(*parsed, "audit")) {
    for (const json::value& entry : *audit) {
      if (!entry.is_object())
        return Malformed("root: audit: must hold objects");
      auto read = ReadAudit(entry.as_object());
      if (!read)
        return Malformed("root: audit: " + ToText(read.error()));
      out.audit.push_back(std::move(*read));
    }
  }
  return out;
}

tl::expected<config, config_error> AssembleConfig(
    const config_root& root,
    const std::map<std::string, std::string>& shards) {
  config out;
  out.generation = root.generation;
  for (const std::string& hash : root.shards) {
    const auto found = shards.find(hash);
    if (found == shards.end())
      return Malformed("shard " + hash + " is missing");
    if (ContentHash(found->second) != hash)
      return Malformed("shard " + hash + " has other content");
    if (const auto read = ReadShard(found->second, out); !read)
      return tl::unexpected(read.error());
  }
  if (const auto checked = CheckConfig(out); !checked)
    return tl::unexpected(checked.error());
  return out;
}

std::map<std::string, std::string> SplitIntoShards(
    const config& source,
    std::vector<std::string>& hashes) {
  std::map<std::string, std::string> out;
  hashes.clear();
  for (std::size_t shard = 0; shard < kShardCount; ++shard) {
    std::string text = WriteShard(source, shard);
    hashes.push_back(ContentHash(text));
    out[hashes.back()] = std::move(text);
  }
  return out;
}

}  // namespace waxwing
