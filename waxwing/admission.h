// Admission: limits of client accounts, and the order in which waiting
// requests are served.
//
// Work is measured in tokens: the prompt's and the answer's together. An
// account's token bucket bounds its rate. Requests that may run wait in a fair
// queue: by priority first, and within a priority by start-time fair queueing
// over accounts, so that one account's flood delays its own requests and not
// another's.

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

// A bucket that starts full.
token_bucket MakeTokenBucket(double rate, double burst, instant now);

// Changes rate and burst, keeping the level within the new burst.
void SetLimit(token_bucket& bucket, double rate, double burst, instant now);

// Takes `amount` if the bucket holds it; a request larger than the whole burst
// is taken when the bucket is full and leaves a debt. Otherwise gives the time
// after which it can be taken.
duration TakeTokens(token_bucket& bucket, double amount, instant now);

// Gives back what was taken for work that was not done.
void ReturnTokens(token_bucket& bucket, double amount);

// Position of a waiting request: priority (highest first), virtual start time,
// then order of arrival.
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

// Waiting requests in the order in which they should be served.
struct fair_queue {
  std::set<queue_position> waiting;
  // Start time of the request last served, for each priority. Never falls.
  std::map<int, double> virtual_time;
  // End of the last request of an account, by priority; dropped once the
  // virtual time has passed it.
  std::map<std::pair<int, std::string>, double, std::less<>>
      account_finish_time;
};

// Adds a request of `cost` tokens; `id` must be new and larger than all before.
queue_position Enqueue(fair_queue& queue,
                       std::string_view account,
                       int priority,
                       double cost,
                       std::uint64_t id);

// Removes a request because it is being served.
void Dequeue(fair_queue& queue, const queue_position& position);

// Work of client accounts that runs now, for sharing the last slots of targets.
struct account_usage {
  std::map<std::string, int, std::less<>> in_flight;
  int total_in_flight = 0;
  // When each account last sent a request.
  std::map<std::string, instant, std::less<>> last_seen;
};

// Time without a request after which an account no longer counts for a share.
inline constexpr milliseconds kAccountIdleTimeout{10'000};

void RecordArrival(account_usage& usage, std::string_view account, instant now);
void RecordStarted(account_usage& usage, std::string_view account);
void RecordEnded(account_usage& usage, std::string_view account);

// Forgets accounts that have been silent.
void RemoveIdleAccounts(account_usage& usage, instant now);

// True if the account runs more than half of all work while others are active.
// Weighed: more than its even share, which also held back the larger accounts
// of an ordinary surge and left slots unused.
bool IsDominant(const account_usage& usage, std::string_view account);

// Removes a request that gave up.
void Cancel(fair_queue& queue, const queue_position& position);

}  // namespace waxwing

#endif  // WAXWING_ADMISSION_H_
