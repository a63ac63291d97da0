// A stand-in model engine.
//
// It answers OpenAI's chat completions as a stream, with the extensions that
// the real engines have: priority, cache salt, resume from a token offset,
// cancel, load report, cache events, orders with fencing numbers. Prefill and
// decoding take time at set rates; prefixes are cached in a block_cache.
//
// Faults are set by options or at run time (POST /standin/faults), and it
// counts how often each request ran (GET /standin/stats).

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
  // Age of the figures in a load report.
  waxwing::milliseconds report_lag{200};
  // Share of cache events that never appear.
  double event_loss = 0.02;
  bool honours_fencing = true;
  // Time from a crash until it listens again, with an empty cache.
  waxwing::milliseconds cold_start{1'000};
  // Time that an order to load weights takes.
  waxwing::milliseconds weights_load_time{300};
  std::uint64_t seed = 1;
  // Keep a transcript of all chat requests and the heads of their answers.
  bool keep_transcript = false;
};

// Faults that can be set at run time.
struct engine_faults {
  // Share of requests refused with status 503.
  double refuse = 0;
  // Share of streams cut after `cut_after` tokens; the run itself goes on.
  double cut = 0;
  int cut_after = 3;
  // Share of answers that are another request's: other id, other tokens.
  double swap_response = 0;
  // Factor on all times.
  double slow = 1;
};

struct engine_counts {
  std::uint64_t requests = 0;
  // Requests whose prompt was prefilled; a resume of a live run adds none.
  std::uint64_t runs = 0;
  std::uint64_t prompt_tokens = 0;
  std::uint64_t cached_tokens = 0;
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

// Fault control for tests in the same process.
engine_faults& MutableFaults(engine& instance);
const engine_counts& GetCounts(const engine& instance);
// What it was asked and how it began to answer, as text; empty unless kept.
const std::string& GetTranscript(const engine& instance);
// Breaks all connections, forgets everything and starts anew after the cold
// start.
void CrashEngine(engine& instance);
// Connections accepted up to now go silent for good; new ones work.
void StallConnections(engine& instance);
// How often a request id was run.
std::uint64_t GetRunCount(const engine& instance,
                          const std::string& request_id);

}  // namespace standin

#endif  // STANDIN_ENGINE_H_
