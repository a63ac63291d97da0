#include "waxwing/plan.h"

#include <algorithm>
#include <boost/asio.hpp>
#include <boost/json.hpp>

#include "waxwing/hash.h"
#include "waxwing/intent.h"
#include "waxwing/json.h"

namespace waxwing {

namespace asio = boost::asio;
namespace json = boost::json;

namespace {

// Largest integer that a JSON number carries exactly.
constexpr std::int64_t kLargestNumber = std::int64_t{1} << 53;
constexpr int kMaxConfirmAttempts = 6;
constexpr int kMaxCallAttempts = 6;
constexpr std::string_view kNoChangeSummary = "nothing changes";

template <typename T>
using plan_result = tl::expected<T, plan_error>;

plan_error FromPlatformError(const platform_error& error) {
  const plan_failure failure = error.failure == platform_failure::kUncertain
                                   ? plan_failure::kUncertain
                                   : plan_failure::kUnavailable;
  return {
      failure,
      "platform: " + std::string(NameOf(error.failure)) + " " + error.detail,
      {}};
}

plan_error FromConfigError(const config_error& error) {
  return {plan_failure::kBadIntent, error.message, {}};
}

json::array ToJsonArray(const std::vector<std::string>& strings) {
  json::array out;
  for (const std::string& text : strings)
    out.push_back(json::value(text));
  return out;
}

bool ReadStringArray(const json::object& object,
                     std::string_view field,
                     std::vector<std::string>& out) {
  const json::array* array = FindArray(object, field);
  if (!array)
    return false;
  for (const json::value& text : *array) {
    if (!text.is_string())
      return false;
    out.emplace_back(text.as_string());
  }
  return true;
}

std::string JoinLines(const std::vector<std::string>& lines) {
  std::string out;
  for (const std::string& line : lines)
    out += out.empty() ? line : "; " + line;
  return out.empty() ? std::string(kNoChangeSummary) : out;
}

// The generation that a plan was confirmed as, or 0.
std::uint64_t ConfirmedGeneration(const config_root& root,
                                  std::string_view id) {
  for (const audit_entry& entry : root.audit) {
    if (entry.plan == id)
      return entry.generation;
  }
  return 0;
}

plan_error SupersededError(const config_root& root, const plan& pending_plan) {
  plan_error out{plan_failure::kSuperseded,
                 "generation " + std::to_string(root.generation) +
                     " is in force, the plan was made for " +
                     std::to_string(pending_plan.parent_generation),
                 {}};
  for (const audit_entry& entry : root.audit) {
    if (entry.generation > pending_plan.parent_generation)
      out.changes.push_back(entry);
  }
  return out;
}

config_root NextRoot(const config_root& before,
                     const plan& confirmed,
                     std::string_view operator_name,
                     unix_ms now) {
  config_root out;
  out.generation = before.generation + 1;
  out.plan = confirmed.id;
  out.shards = confirmed.shards;
  out.audit = before.audit;
  out.audit.push_back({out.generation, confirmed.id, std::string(operator_name),
                       now, JoinLines(confirmed.description)});
  if (out.audit.size() > kMaxAuditEntries)
    out.audit.erase(out.audit.begin());
  return out;
}

struct versioned_root {
  config_root root;
  std::uint64_t version = 0;
};

// Waits before the next attempt of a call, twice as long after each failure.
asio::awaitable<void> BackOff(const platform_client& client, int failures) {
  asio::steady_timer timer(co_await asio::this_coro::executor,
                           client.first_retry_delay * (1 << failures));
  co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
}

// Reads an object. Retries while the platform is unavailable.
asio::awaitable<platform_result<platform_object>> ReadWithRetry(
    platform_client& client,
    std::string key) {
  auto object = co_await GetObject(client, key);
  for (int failures = 0;
       failures + 1 < kMaxCallAttempts && !object &&
       object.error().failure == platform_failure::kUnavailable;
       ++failures) {
    co_await BackOff(client, failures);
    object = co_await GetObject(client, key);
  }
  co_return object;
}

// Reads the root object. Generation and version are 0 if there is none yet.
asio::awaitable<plan_result<versioned_root>> ReadRootObject(
    platform_client& client) {
  auto object = co_await ReadWithRetry(client, std::string(kRootKey));
  if (!object && object.error().failure == platform_failure::kAbsent)
    co_return versioned_root{};
  if (!object)
    co_return tl::unexpected(FromPlatformError(object.error()));
  auto root = ReadRoot(object->value);
  if (!root)
    co_return tl::unexpected(FromConfigError(root.error()));
  co_return versioned_root{std::move(*root), object->version};
}

asio::awaitable<plan_result<plan>> LoadPlan(platform_client& client,
                                            std::string_view id) {
  const std::string key = std::string(kPlanPrefix) + std::string(id);
  auto object = co_await ReadWithRetry(client, key);
  if (!object && object.error().failure == platform_failure::kAbsent)
    co_return tl::unexpected(plan_error{
        plan_failure::kUnknownPlan, "no plan " + std::string(id), {}});
  if (!object)
    co_return tl::unexpected(FromPlatformError(object.error()));
  auto read = ReadPlan(object->value);
  if (!read)
    co_return tl::unexpected(FromConfigError(read.error()));
  co_return std::move(*read);
}

// Stores an immutable object. Retries a create that failed or whose response
// was lost: the key is unique to the content, so an object that exists already
// can only be the one stored by an earlier attempt.
asio::awaitable<plan_result<void>> StoreWithRetry(platform_client& client,
                                                  std::string key,
                                                  std::string value) {
  auto put = co_await PutImmutable(client, key, value);
  for (int failures = 0; failures + 1 < kMaxCallAttempts && !put &&
                         put.error().failure != platform_failure::kRefused;
       ++failures) {
    co_await BackOff(client, failures);
    put = co_await PutImmutable(client, key, value);
  }
  if (!put)
    co_return tl::unexpected(FromPlatformError(put.error()));
  co_return plan_result<void>();
}

}  // namespace

std::string WritePlan(const plan& pending_plan) {
  return json::serialize(
      json::object{{"id", pending_plan.id},
                   {"parent_generation", pending_plan.parent_generation},
                   {"operator", pending_plan.operator_name},
                   {"created", pending_plan.created},
                   {"intent", pending_plan.intent},
                   {"lines", ToJsonArray(pending_plan.description)},
                   {"shards", ToJsonArray(pending_plan.shards)}});
}

tl::expected<plan, config_error> ReadPlan(std::string_view text) {
  const auto parsed = ParseObject(text);
  if (!parsed)
    return tl::unexpected(config_error{config_failure::kMalformed,
                                       "plan: " + ToText(parsed.error())});
  plan out;
  const auto id = ReadString(*parsed, "id");
  const auto parent =
      ReadInteger(*parsed, "parent_generation", 0, kLargestNumber);
  if (!id || !parent || !ReadStringArray(*parsed, "lines", out.description) ||
      !ReadStringArray(*parsed, "shards", out.shards) ||
      out.shards.size() != kShardCount)
    return tl::unexpected(config_error{config_failure::kMalformed,
                                       "plan: a field is missing or wrong"});
  out.id = *id;
  out.parent_generation = static_cast<std::uint64_t>(*parent);
  out.operator_name = ReadStringOr(*parsed, "operator", "").value_or("");
  out.created =
      ReadIntegerOr(*parsed, "created", 0, kLargestNumber, 0).value_or(0);
  out.intent = ReadStringOr(*parsed, "intent", "").value_or("");
  return out;
}

asio::awaitable<plan_result<stored_config>> LoadConfig(
    platform_client& client,
    shard_texts known_shards) {
  auto read = co_await ReadRootObject(client);
  if (!read)
    co_return tl::unexpected(read.error());
  stored_config out;
  out.root = std::move(read->root);
  out.root_version = read->version;
  if (out.root.generation == 0)
    co_return out;
  for (const std::string& hash : out.root.shards) {
    if (known_shards.contains(hash))
      continue;
    const std::string key = std::string(kShardPrefix) + hash;
    auto shard = co_await ReadWithRetry(client, key);
    if (!shard)
      co_return tl::unexpected(FromPlatformError(shard.error()));
    known_shards[hash] = std::move(shard->value);
  }
  auto content = AssembleConfig(out.root, known_shards);
  if (!content)
    co_return tl::unexpected(FromConfigError(content.error()));
  out.content = std::move(*content);
  co_return out;
}

asio::awaitable<plan_result<plan>> CreatePlan(platform_client& client,
                                              shard_texts known_shards,
                                              std::string_view intent,
                                              std::string_view operator_name,
                                              unix_ms now) {
  auto stored = co_await LoadConfig(client, std::move(known_shards));
  if (!stored)
    co_return tl::unexpected(stored.error());
  const auto after = ApplyIntent(stored->content, intent);
  if (!after)
    co_return tl::unexpected(FromConfigError(after.error()));
  plan out;
  out.id = ToHex(RandomId());
  out.parent_generation = stored->root.generation;
  out.operator_name = std::string(operator_name);
  out.created = now;
  out.intent = std::string(intent);
  out.description = DescribeChange(stored->content, *after);
  auto shards = SplitIntoShards(*after, out.shards);
  for (auto& [hash, text] : shards) {
    const auto& known_shards = stored->root.shards;
    if (std::find(known_shards.begin(), known_shards.end(), hash) !=
        known_shards.end())
      continue;
    const std::string key = std::string(kShardPrefix) + hash;
    const auto stored_shard = co_await StoreWithRetry(client, key, text);
    if (!stored_shard)
      co_return tl::unexpected(stored_shard.error());
  }
  const std::string key = std::string(kPlanPrefix) + out.id;
  const auto stored_plan = co_await StoreWithRetry(client, key, WritePlan(out));
  if (!stored_plan)
    co_return tl::unexpected(stored_plan.error());
  co_return out;
}

asio::awaitable<plan_result<std::uint64_t>> ConfirmPlan(
    platform_client& client,
    std::string_view id,
    std::string_view operator_name,
    unix_ms now) {
  auto pending_plan = co_await LoadPlan(client, id);
  if (!pending_plan)
    co_return tl::unexpected(pending_plan.error());
  // True once a put of this call may have taken effect although it failed.
  bool uncertain = false;
  plan_error last_error;
  for (int attempt = 0; attempt < kMaxConfirmAttempts; ++attempt) {
    auto current = co_await ReadRootObject(client);
    if (!current) {
      last_error = current.error();
      continue;
    }
    const std::uint64_t confirmed_generation =
        ConfirmedGeneration(current->root, id);
    if (confirmed_generation != 0)
      co_return confirmed_generation;
    if (current->root.generation != pending_plan->parent_generation)
      co_return tl::unexpected(SupersededError(current->root, *pending_plan));
    const config_root next =
        NextRoot(current->root, *pending_plan, operator_name, now);
    auto put =
        co_await PutObject(client, kRootKey, WriteRoot(next), current->version);
    if (put)
      co_return next.generation;
    uncertain =
        uncertain || put.error().failure == platform_failure::kUncertain;
    last_error = FromPlatformError(put.error());
    co_await BackOff(client, attempt);
  }
  if (uncertain)
    last_error.failure = plan_failure::kUncertain;
  co_return tl::unexpected(last_error);
}

std::string_view NameOf(plan_failure failure) {
  switch (failure) {
    case plan_failure::kBadIntent:
      return "bad_intent";
    case plan_failure::kUnknownPlan:
      return "unknown_plan";
    case plan_failure::kSuperseded:
      return "superseded";
    case plan_failure::kUnavailable:
      return "platform_unavailable";
    case plan_failure::kUncertain:
      return "uncertain";
  }
  return "unknown";
}

}  // namespace waxwing
