// A simulated model engine for tests and benchmarks.
//
// Serves OpenAI chat completions as event streams, with the extensions of the
// real engines: priority, cache salt, resumption from a token offset,
// cancellation, load reports, cache events, and orders with fencing tokens.
// Prefill and decoding take time at configured rates; prompt prefixes are
// cached in a block_cache.
//
// Faults are set through options or at run time (POST /standin/faults). The
// engine counts how often each request ran (GET /standin/stats).

#ifndef STANDIN_ENGINE_H_
#define STANDIN_ENGINE_H_

#include <boost/asio/any_io_executor.hpp>
#include <cstdint>
#include <memory>
#include <string>

#include <tl/expected.hpp>

#include "waxwing/types.h"

namespace standin {

struct engine_options {
  waxwing::endpoint address{"127.0.0.1", 0};
  std::string name = "engine";
  std::string model = "triage";
  std::string version = "v1";
  int slots = 8;
  double prefill_tokens_per_second = 20'000;
  waxwing::milliseconds token_interval{20};
  std::size_t cache_blocks = 4'000;
  // Age of the load figures in a report.
  waxwing::milliseconds report_lag{200};
  // Fraction of cache events that are dropped.
  double event_loss = 0.02;
  // Reject orders whose fencing token is lower than the highest one received.
  bool honours_fencing = true;
  // Time from a crash until the engine listens again, with an empty cache.
  waxwing::milliseconds cold_start{1'000};
  // Time to carry out an order that changes the weights version.
  waxwing::milliseconds weights_load_time{300};
  std::uint64_t seed = 1;
  // Record all chat requests and the status and headers of their responses.
  bool keep_transcript = false;
};

// Faults that can be changed at run time.
struct engine_faults {
  // Fraction of chat requests rejected with status 503.
  double refuse = 0;
  // Fraction of streams whose connection is aborted after `cut_after` tokens;
  // the run itself continues.
  double cut = 0;
  int cut_after = 3;
  // Fraction of responses replaced by the response to another request, with a
  // different id and different tokens.
  double swap_response = 0;
  // Factor on the times of prefill and decoding.
  double slow = 1;
  // Stalled streams go on with parts of an event that never ends.
  bool stalled_streams_drip = false;
};

struct engine_counts {
  std::uint64_t requests = 0;
  // Runs started. Resuming the stream of an existing run does not start another
  // one.
  std::uint64_t runs = 0;
  std::uint64_t prompt_tokens = 0;
  std::uint64_t cached_tokens = 0;
  // Tokens produced by all runs.
  std::uint64_t answer_tokens = 0;
  std::uint64_t cancelled = 0;
  std::uint64_t crashes = 0;
};

struct engine_state;

struct engine {
  std::shared_ptr<engine_state> state;
  waxwing::endpoint address;
};

tl::expected<engine, std::string> StartEngine(
    boost::asio::any_io_executor executor,
    const engine_options& options);

void StopEngine(engine& instance);

// Returns the faults; tests in the same process may change them at any time.
engine_faults& MutableFaults(engine& instance);
const engine_counts& GetCounts(const engine& instance);
// Returns the recorded chat requests and response headers as text; empty unless
// keep_transcript is set.
const std::string& GetTranscript(const engine& instance);
// Simulates a crash: closes all connections, discards all runs, queued
// requests, cached blocks and cache events, takes a new boot id, and listens
// again after the cold start time.
void CrashEngine(engine& instance);
// Makes the connections accepted so far unresponsive: no more data is sent on
// them, and they are aborted after 30 seconds. Later connections work normally.
void StallConnections(engine& instance);
// Returns how often the request with this id ran.
std::uint64_t GetRunCount(const engine& instance,
                          const std::string& request_id);

}  // namespace standin

#endif  // STANDIN_ENGINE_H_
