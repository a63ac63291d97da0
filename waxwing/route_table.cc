#include "waxwing/route_table.h"

#include <algorithm>
#include <utility>

#include "waxwing/hash.h"

namespace waxwing {

void AddRoute(route_table& table, route added) {
  auto& list = table.routes[added.host];
  const auto position =
      std::find_if(list.begin(), list.end(), [&](const route& other) {
        return other.path_prefix.size() < added.path_prefix.size();
      });
  list.insert(position, std::move(added));
}

void SetIsolatedAccounts(route_table& table,
                         std::set<std::string, std::less<>> names) {
  table.isolated_accounts = std::move(names);
  table.isolated_accounts_hash = 0;
  for (const std::string& name : table.isolated_accounts)
    table.isolated_accounts_hash =
        CombineHashes(table.isolated_accounts_hash, Hash64(name));
}

void KeepUnreadableLimits(route_table& next, const route_table& before) {
  const auto is_unreadable = [](const auto& entry) {
    return entry.second.has_unreadable_limit;
  };
  if (std::none_of(next.account_of_key.begin(), next.account_of_key.end(),
                   is_unreadable))
    return;
  std::map<std::string_view, const account_info*> known;
  for (const auto& entry : before.account_of_key) {
    if (!is_unreadable(entry))
      known.emplace(entry.second.name, &entry.second);
  }
  for (auto& entry : next.account_of_key) {
    account_info& account = entry.second;
    const auto found = known.find(account.name);
    if (!is_unreadable(entry) || found == known.end())
      continue;
    account.has_unreadable_limit = false;
    account.limit = found->second->limit;
    if (account.limit)
      next.limits_by_account[account.name] = *account.limit;
  }
}

std::string CacheGroup(const route_table& newest, const account_info& account) {
  if (account.is_isolated || newest.isolated_accounts.contains(account.name))
    return "a-" + account.name;
  std::string out = "shared";
  if (newest.isolated_accounts_hash != 0)
    out.append("-").append(ToHex(newest.isolated_accounts_hash));
  return out;
}

const route* FindRoute(const route_table& table,
                       std::string_view host,
                       std::string_view path) {
  const auto found = table.routes.find(host.substr(0, host.find(':')));
  if (found == table.routes.end())
    return nullptr;
  for (const route& candidate : found->second) {
    if (path.starts_with(candidate.path_prefix))
      return &candidate;
  }
  return nullptr;
}

const std::string& ChooseService(const route& matched, std::uint64_t random) {
  double total = 0;
  for (const weighted_service& candidate : matched.services)
    total += candidate.weight;
  constexpr double kRandomRange = 18446744073709551616.0;  // 2 to the 64th
  double remaining = static_cast<double>(random) / kRandomRange * total;
  for (const weighted_service& candidate : matched.services) {
    if (candidate.weight > 0 && remaining < candidate.weight)
      return candidate.service;
    remaining -= candidate.weight;
  }
  return matched.services.front().service;
}

bool MayRepeat(const route& matched) {
  return matched.kind == route_kind::kIdempotent ||
         (matched.kind == route_kind::kStream && matched.can_resume);
}

bool RanksByRoute(const route_table& table) {
  return !table.limits_by_account.empty();
}

std::int64_t RequestPriority(const route_table& table,
                             const route& matched,
                             const account_info& account) {
  constexpr std::int64_t kRoutePriorities = 3;
  if (!account.priority)
    return matched.priority;
  if (!RanksByRoute(table))
    return *account.priority;
  return *account.priority * kRoutePriorities +
         std::min(matched.priority, kRoutePriorities - 1);
}

}  // namespace waxwing
