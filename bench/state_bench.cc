// Benchmark of the state that grows with the deployment: memory use of the
// configuration, the prefix index, the ledger and the member table, and the
// time of operations on them. Memory is the difference of the allocated bytes
// before and after the state is built. Configuration and member table are
// measured at two sizes each, so that the cost per account and per member is
// the slope between them.

#include <malloc.h>

#include <chrono>
#include <cstdio>
#include <string>

#include "waxwing/config.h"
#include "waxwing/hash.h"
#include "waxwing/ledger.h"
#include "waxwing/membership.h"
#include "waxwing/prefix_index.h"
#include "waxwing/root.h"

namespace {

using namespace waxwing;

double AllocatedBytes() {
  return static_cast<double>(mallinfo2().uordblks);
}

double Milliseconds(std::chrono::steady_clock::duration d) {
  return ToSeconds(d) * 1e3;
}

config MakeConfig(int accounts) {
  config out;
  out.generation = 1;
  out.models["triage"] = {"triage", {{"v1", 90}, {"v2", 10}}};
  for (int i = 0; i < accounts; ++i) {
    account_config account;
    account.name = "account-" + std::to_string(i);
    account.key = ToHex(CombineHashes(1, static_cast<std::uint64_t>(i)));
    account.tokens_per_second = 1'000;
    account.burst_tokens = 10'000;
    account.pins["triage"] = "v1";
    out.accounts[account.name] = account;
  }
  return out;
}

void MeasureConfig(int accounts) {
  const config full_config = MakeConfig(accounts);
  const double before = AllocatedBytes();
  config_root root;
  root.generation = 1;
  const auto shards = SplitIntoShards(full_config, root.shards);
  std::size_t total = 0;
  std::size_t largest = 0;
  for (const auto& [hash, text] : shards) {
    total += text.size();
    largest = std::max(largest, text.size());
  }
  const auto start = std::chrono::steady_clock::now();
  const auto assembled = AssembleConfig(root, shards);
  const auto time = std::chrono::steady_clock::now() - start;
  std::printf("config_%d_accounts_bytes=%zu\n", accounts, total);
  std::printf("config_%d_accounts_largest_shard_bytes=%zu\n", accounts,
              largest);
  std::printf("config_%d_accounts_assemble_ms=%.1f\n", accounts,
              Milliseconds(time));
  std::printf("config_%d_accounts_memory_mb=%.1f\n", accounts,
              assembled ? (AllocatedBytes() - before) / 1e6 : 0.0);
}

void MeasureIndex(int prefixes) {
  const double before = AllocatedBytes();
  prefix_index index;
  index.capacity = 10'000'000;
  prefix_chain chain;
  chain.checkpoints.resize(1);
  for (int i = 0; i < prefixes; ++i) {
    chain.checkpoints[0] = {CombineHashes(7, static_cast<std::uint64_t>(i)),
                            256};
    RecordUse(index, chain, 256, 1, 1, instant{});
  }
  std::printf("prefix_index_bytes_per_entry=%.0f\n",
              (AllocatedBytes() - before) / prefixes);
}

void MeasureLedger(int entries) {
  const double before = AllocatedBytes();
  ledger filled_ledger;
  for (int i = 0; i < entries; ++i) {
    ticket claimed_ticket;
    claimed_ticket.id = {"vm-1", 1, static_cast<std::uint64_t>(i)};
    claimed_ticket.expires = 1'000'000;
    TryClaim(filled_ledger, claimed_ticket, 1);
    MarkDispatched(filled_ledger, claimed_ticket.id);
    MarkCompleted(filled_ledger, claimed_ticket.id,
                  {200, "application/json", std::string(200, 'x'), true});
  }
  std::printf("ledger_bytes_per_entry=%.0f\n",
              (AllocatedBytes() - before) / entries);
}

void MeasureMembers(int count) {
  member self;
  self.vm = "vm-0";
  membership table = MakeMembership({}, self, instant{});
  const double before = AllocatedBytes();
  for (int i = 1; i < count; ++i) {
    member record;
    record.vm = "vm-" + std::to_string(i);
    record.zone = "zone-" + std::to_string(i % 6);
    record.agent = {"10.0.100.100", 7000};
    record.router = {"10.0.100.100", 8000};
    MergeRecord(table, record, instant{});
  }
  const double bytes = (AllocatedBytes() - before) / count;
  constexpr int kRounds = 200;
  const auto start = std::chrono::steady_clock::now();
  // The results are summed and tested so that the calls are not optimized away.
  std::size_t sum = 0;
  for (int i = 0; i < kRounds; ++i)
    sum += ChooseLinks(table).size() + (TableHash(table) & 1);
  const auto time = std::chrono::steady_clock::now() - start;
  std::printf("members_%d_bytes_per_member=%.0f\n", count, bytes);
  std::printf("members_%d_links_and_hash_us=%.1f\n", count,
              sum > 0 ? Milliseconds(time) * 1e3 / kRounds : 0.0);
  const auto entry_start = std::chrono::steady_clock::now();
  for (int i = 0; i < kRounds; ++i)
    sum += ChooseEntryVms(table, "account-" + std::to_string(i), "zone-1", 2)
               .size();
  std::printf(
      "members_%d_entry_choice_us=%.1f\n", count,
      sum > 0 ? Milliseconds(std::chrono::steady_clock::now() - entry_start) *
                    1e3 / kRounds
              : 0.0);
}

}  // namespace

int main() {
  MeasureConfig(8'000);
  MeasureConfig(32'000);
  MeasureIndex(400'000);
  MeasureLedger(20'000);
  MeasureMembers(60);
  MeasureMembers(350);
  return 0;
}
