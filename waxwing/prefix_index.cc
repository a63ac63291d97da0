#include "waxwing/prefix_index.h"

#include <algorithm>
#include <utility>

namespace waxwing {
namespace {

const prefix_entry* Find(const prefix_index& index, std::uint64_t hash) {
  const auto recent = index.recent.find(hash);
  if (recent != index.recent.end())
    return &recent->second;
  const auto older = index.older.find(hash);
  return older == index.older.end() ? nullptr : &older->second;
}

// Returns the entry in the younger generation, moving or creating it if needed.
prefix_entry& Touch(prefix_index& index, std::uint64_t hash) {
  if (index.recent.size() * 2 >= index.capacity &&
      !index.recent.contains(hash)) {
    index.older = std::move(index.recent);
    index.recent.clear();
  }
  const auto [entry, is_new] = index.recent.try_emplace(hash);
  if (is_new) {
    const auto older = index.older.find(hash);
    if (older != index.older.end()) {
      entry->second = older->second;
      index.older.erase(older);
    }
  }
  return entry->second;
}

void SetReplica(prefix_entry& entry, const prefix_replica& replica) {
  const auto begin = entry.replicas.begin();
  const auto end = begin + entry.count;
  auto slot = std::find_if(begin, end, [&](const prefix_replica& other) {
    return other.target == replica.target;
  });
  if (slot == end) {
    if (entry.count < kMaxReplicasPerPrefix) {
      ++entry.count;
    } else {
      slot = std::min_element(
          begin, end, [](const prefix_replica& a, const prefix_replica& b) {
            return a.last_used < b.last_used;
          });
    }
  }
  *slot = replica;
}

// Returns the number of leading checkpoints that are in the index, by binary
// search.
std::size_t CountPresent(const prefix_index& index, const prefix_chain& chain) {
  std::size_t low = 0;
  std::size_t high = chain.checkpoints.size();
  while (low < high) {
    const std::size_t middle = (low + high) / 2;
    if (Find(index, chain.checkpoints[middle].hash))
      low = middle + 1;
    else
      high = middle;
  }
  return low;
}

void AddMatches(const prefix_entry& entry,
                std::uint32_t tokens,
                std::size_t first_new,
                std::vector<prefix_match>& out) {
  for (std::uint32_t i = 0; i < entry.count; ++i) {
    const prefix_replica& replica = entry.replicas[i];
    const bool known = std::any_of(
        out.begin() + static_cast<std::ptrdiff_t>(first_new), out.end(),
        [&](const prefix_match& d) {
          return d.target == replica.target && d.epoch == replica.epoch;
        });
    if (!known)
      out.push_back({replica.target, replica.epoch, tokens, replica.last_used});
  }
}

}  // namespace

void RecordUse(prefix_index& index,
               const prefix_chain& chain,
               std::uint32_t tokens,
               std::uint32_t target,
               std::uint32_t epoch,
               instant now) {
  for (const checkpoint& point : chain.checkpoints) {
    if (point.tokens > tokens)
      break;
    SetReplica(Touch(index, point.hash), {target, epoch, now});
  }
}

void FindPrefixMatches(const prefix_index& index,
                       const prefix_chain& chain,
                       std::vector<prefix_match>& out) {
  const std::size_t first_new = out.size();
  std::size_t position = CountPresent(index, chain);
  // The step towards the start doubles each time: the lengths of short matches
  // matter only roughly, and the longest match is always found.
  std::size_t step = 1;
  while (position > 0) {
    const checkpoint& point = chain.checkpoints[position - 1];
    if (const prefix_entry* entry = Find(index, point.hash))
      AddMatches(*entry, point.tokens, first_new, out);
    position = position > step ? position - step : 0;
    step *= 2;
  }
}

std::size_t SizeOf(const prefix_index& index) {
  return index.recent.size() + index.older.size();
}

}  // namespace waxwing
