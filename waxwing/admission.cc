#include "waxwing/admission.h"

#include <algorithm>

namespace waxwing {
namespace {

// Number of stored finish times at which those that have passed are dropped.
constexpr std::size_t kFinishTimesBeforeSweep = 1024;

void Refill(token_bucket& bucket, instant now) {
  if (now > bucket.updated)
    bucket.level += bucket.rate * ToSeconds(now - bucket.updated);
  bucket.level = std::min(bucket.level, bucket.burst);
  bucket.updated = std::max(bucket.updated, now);
}

void SweepFinishTimes(fair_queue& queue) {
  if (queue.account_finish_time.size() < kFinishTimesBeforeSweep)
    return;
  std::erase_if(queue.account_finish_time, [&](const auto& entry) {
    return entry.second <= queue.virtual_time[entry.first.first];
  });
}

}  // namespace

token_bucket MakeTokenBucket(double rate, double burst, instant now) {
  return {rate, burst, burst, now};
}

void SetLimit(token_bucket& bucket, double rate, double burst, instant now) {
  // A bucket that had no limit has no level to keep, so it starts full.
  if (bucket.rate <= 0) {
    bucket = MakeTokenBucket(rate, burst, now);
    return;
  }
  Refill(bucket, now);
  bucket.rate = rate;
  bucket.burst = burst;
  bucket.level = std::min(bucket.level, burst);
}

duration TakeTokens(token_bucket& bucket, double amount, instant now) {
  if (bucket.rate <= 0)
    return duration::zero();
  Refill(bucket, now);
  const double needed = std::min(amount, bucket.burst);
  if (bucket.level >= needed) {
    bucket.level -= amount;
    return duration::zero();
  }
  const duration wait = FromSeconds((needed - bucket.level) / bucket.rate);
  return std::max<duration>(wait, milliseconds(1));
}

void ReturnTokens(token_bucket& bucket, double amount) {
  bucket.level = std::min(bucket.burst, bucket.level + amount);
}

queue_position Enqueue(fair_queue& queue,
                       std::string_view account,
                       int priority,
                       double cost,
                       std::uint64_t id) {
  SweepFinishTimes(queue);
  const double now = queue.virtual_time[priority];
  double& finish = queue.account_finish_time[{priority, std::string(account)}];
  const queue_position position{priority, std::max(now, finish), id};
  finish = position.start + cost;
  queue.waiting.insert(position);
  return position;
}

void Dequeue(fair_queue& queue, const queue_position& position) {
  queue.waiting.erase(position);
  double& now = queue.virtual_time[position.priority];
  now = std::max(now, position.start);
}

void RecordArrival(account_usage& usage,
                   std::string_view account,
                   instant now) {
  const auto found = usage.last_seen.find(account);
  if (found != usage.last_seen.end())
    found->second = now;
  else
    usage.last_seen.emplace(std::string(account), now);
}

void RecordStarted(account_usage& usage, std::string_view account) {
  ++usage.in_flight[std::string(account)];
  ++usage.total_in_flight;
}

void RecordEnded(account_usage& usage, std::string_view account) {
  const auto found = usage.in_flight.find(account);
  if (found == usage.in_flight.end())
    return;
  --usage.total_in_flight;
  if (--found->second == 0)
    usage.in_flight.erase(found);
}

void RemoveIdleAccounts(account_usage& usage, instant now) {
  std::erase_if(usage.last_seen, [&](const auto& entry) {
    return now - entry.second > kAccountIdleTimeout;
  });
}

bool IsDominant(const account_usage& usage, std::string_view account) {
  const auto found = usage.in_flight.find(account);
  const int own = found == usage.in_flight.end() ? 0 : found->second;
  return usage.last_seen.size() > 1 && own * 2 > usage.total_in_flight + 1;
}

void Cancel(fair_queue& queue, const queue_position& position) {
  queue.waiting.erase(position);
}

}  // namespace waxwing
