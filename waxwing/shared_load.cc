#include "waxwing/shared_load.h"

#include <algorithm>
#include <utility>

namespace waxwing {
namespace {

target_view* FindView(std::span<target_view> targets, std::uint64_t name_hash) {
  for (target_view& view : targets) {
    if (view.name_hash == name_hash && view.is_in_service)
      return &view;
  }
  return nullptr;
}

outstanding_work OwnWork(const target_view& view) {
  return {view.own_in_flight, view.awaiting_response, view.own_prefill_backlog,
          view.own_cache_tokens};
}

}  // namespace

load_batch CollectBatch(shared_load& shared,
                        std::span<target_view> targets,
                        instant now) {
  load_batch out;
  out.is_whole = now >= shared.repeated_at + kLoadRepetition;
  std::map<std::uint64_t, outstanding_work> current;
  for (target_view& view : targets) {
    if (!view.is_in_service)
      continue;
    const outstanding_work work = OwnWork(view);
    if (work != outstanding_work())
      current[view.name_hash] = work;
    const auto told = shared.told.find(view.name_hash);
    const outstanding_work before =
        told == shared.told.end() ? outstanding_work() : told->second;
    const bool is_news = work != before || view.has_load_news;
    const bool is_repeated = out.is_whole && work != outstanding_work();
    if (is_news || is_repeated)
      out.targets.push_back({view.name_hash, work, view.last_report});
    view.has_load_news = false;
  }
  // Without work, all sums are repeated only once.
  if (out.targets.empty() && (!out.is_whole || shared.told.empty()))
    return out;
  if (out.is_whole)
    shared.repeated_at = now;
  shared.told = std::move(current);
  out.sequence = ++shared.sequence;
  return out;
}

bool ApplyBatch(shared_load& shared,
                std::string_view vm,
                const load_batch& batch,
                std::span<target_view> targets,
                instant now) {
  told_by_vm& told = shared.vms[std::string(vm)];
  const bool is_next = batch.sequence == told.sequence + 1;
  if (batch.sequence <= told.sequence || (!batch.is_whole && !is_next))
    return false;
  told.sequence = batch.sequence;
  told.heard_at = now;
  if (batch.is_whole) {
    const auto former = std::exchange(told.targets, {});
    for (const auto& [name_hash, work] : former) {
      if (target_view* view = FindView(targets, name_hash))
        SumToldWork(shared, *view);
    }
  }
  for (const told_target& entry : batch.targets) {
    target_view* view = FindView(targets, entry.name_hash);
    if (entry.work == outstanding_work())
      told.targets.erase(entry.name_hash);
    else
      told.targets[entry.name_hash] = entry.work;
    if (!view)
      continue;
    SumToldWork(shared, *view);
    if (entry.report.in_flight >= 0 &&
        entry.report.time > view->last_report.time)
      RecordLoad(*view, entry.report);
  }
  return true;
}

void AgeSharedLoad(shared_load& shared,
                   std::span<target_view> targets,
                   instant now) {
  for (auto& [vm, told] : shared.vms) {
    if (told.targets.empty() || now < told.heard_at + kMaxLoadSilence)
      continue;
    const auto former = std::exchange(told.targets, {});
    for (const auto& [name_hash, work] : former) {
      if (target_view* view = FindView(targets, name_hash))
        SumToldWork(shared, *view);
    }
  }
}

void UpdateMeanLoads(std::span<target_view> targets) {
  struct sum {
    double waiting = 0;
    double count = 0;
  };
  std::map<std::string_view, sum> services;
  for (const target_view& view : targets) {
    if (!view.is_in_service)
      continue;
    sum& total = services[view.serves];
    total.waiting += view.others_waiting;
    total.count += 1;
  }
  for (target_view& view : targets) {
    const auto found = services.find(view.serves);
    if (view.is_in_service && found != services.end())
      view.mean_others_waiting = found->second.waiting / found->second.count;
  }
}

void SumToldWork(const shared_load& shared, target_view& view) {
  view.zone_work = {};
  for (const auto& [vm, told] : shared.vms) {
    const auto found = told.targets.find(view.name_hash);
    if (found == told.targets.end())
      continue;
    view.zone_work.in_flight += found->second.in_flight;
    view.zone_work.waiting += found->second.waiting;
    view.zone_work.prefill_tokens += found->second.prefill_tokens;
    view.zone_work.cache_tokens += found->second.cache_tokens;
  }
}

}  // namespace waxwing
