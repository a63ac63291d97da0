// Admission control: rate limits of client accounts, and the order in which
// queued requests are served.
//
// Work is measured in tokens of prompt and response together. A token bucket
// limits the rate of each account. Admitted requests wait in a fair queue,
// ordered by priority and within a priority by start-time fair queueing over
// accounts, so that a flood from one account delays its own requests and not
// those of others.

#ifndef WAXWING_ADMISSION_H_
#define WAXWING_ADMISSION_H_

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>

#include "waxwing/types.h"

namespace waxwing {

// A token bucket. A rate of 0 means no limit.
struct token_bucket {
  double rate = 0;
  double burst = 0;
  double level = 0;
  instant updated;
};

// Returns a full bucket.
token_bucket MakeTokenBucket(double rate, double burst, instant now);

// Changes rate and burst, keeping the level within the new burst.
void SetLimit(token_bucket& bucket, double rate, double burst, instant now);

// Takes `amount` tokens and returns zero if the bucket has them, or else
// returns the time after which they can be taken. An amount larger than the
// burst can be taken from a full bucket and leaves a negative level.
duration TakeTokens(token_bucket& bucket, double amount, instant now);

// Returns tokens that were taken for work that was not done.
void ReturnTokens(token_bucket& bucket, double amount);

// Position of a queued request: by priority (highest first), then virtual start
// time, then order of arrival.
struct queue_position {
  int priority = 0;
  double start = 0;
  std::uint64_t id = 0;

  bool operator<(const queue_position& other) const {
    if (priority != other.priority)
      return priority > other.priority;
    if (start != other.start)
      return start < other.start;
    return id < other.id;
  }
};

// Queued requests in the order in which they should be served.
struct fair_queue {
  std::set<queue_position> waiting;
  // Virtual start time of the request last served, by priority. Never
  // decreases.
  std::map<int, double> virtual_time;
  // Virtual finish time of an account's last request, by priority; dropped once
  // the virtual time has passed it.
  std::map<std::pair<int, std::string>, double, std::less<>>
      account_finish_time;
};

// Adds a request of `cost` tokens; `id` must be larger than all earlier ids.
queue_position Enqueue(fair_queue& queue,
                       std::string_view account,
                       int priority,
                       double cost,
                       std::uint64_t id);

// Removes a request that is about to be served and advances the virtual time.
void Dequeue(fair_queue& queue, const queue_position& position);

// Requests in flight by client account, for sharing the last slots of targets.
struct account_usage {
  std::map<std::string, int, std::less<>> in_flight;
  int total_in_flight = 0;
  // When each account last sent a request.
  std::map<std::string, instant, std::less<>> last_seen;
};

// Time without a request after which an account no longer counts as active.
inline constexpr milliseconds kAccountIdleTimeout{10'000};

void RecordArrival(account_usage& usage, std::string_view account, instant now);
void RecordStarted(account_usage& usage, std::string_view account);
void RecordEnded(account_usage& usage, std::string_view account);

// Forgets the arrivals of accounts that are no longer active.
void RemoveIdleAccounts(account_usage& usage, instant now);

// True if the account has more than half of all requests in flight while others
// are active. A threshold of an even share also held back the larger accounts
// in an ordinary surge and left slots unused.
bool IsDominant(const account_usage& usage, std::string_view account);

// Removes a request that no longer waits to be served.
void Cancel(fair_queue& queue, const queue_position& position);

}  // namespace waxwing

#endif  // WAXWING_ADMISSION_H_
