// An open-loop load: sends a trace through the routers at its own times and
// checks every answer byte for byte against what the stand-in engine must say.

#ifndef STANDIN_LOAD_H_
#define STANDIN_LOAD_H_

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "standin/trace.h"
#include "waxwing/metrics.h"
#include "waxwing/types.h"

namespace standin {

struct load_options {
  // Routers to ask for entry addresses; any one that answers will do.
  std::vector<waxwing::endpoint> routers;
  std::string model;
  // Ask the routers where to go. Otherwise the given ones are used in turn.
  bool use_entry = true;
  waxwing::milliseconds deadline{30'000};
  // Called once a second with the figures so far.
  std::function<void(const struct load_result&)> progress;
};

struct load_interval {
  std::uint64_t started = 0;
  std::uint64_t completed = 0;
  waxwing::latency_histogram ttft = waxwing::MakeLatencyHistogram();
};

struct load_result {
  std::uint64_t requests = 0;
  // Chat completions and service calls answered whole and right.
  std::uint64_t completed = 0;
  // Refused with ran "no".
  std::uint64_t refused = 0;
  // Ended with an explicit error and ran "unknown" or "yes".
  std::uint64_t failed = 0;
  // Never answered, or the connection broke without a word.
  std::uint64_t lost = 0;
  // Streams whose connection broke, so that the caller asked again.
  std::uint64_t stream_retries = 0;
  // Answered with wrong, missing, doubled or crossed content.
  std::uint64_t wrong = 0;
  std::uint64_t prompt_tokens = 0;
  std::uint64_t cached_tokens = 0;
  waxwing::latency_histogram ttft = waxwing::MakeLatencyHistogram();
  waxwing::latency_histogram total = waxwing::MakeLatencyHistogram();
  // Time to first token by client account.
  std::map<std::string, waxwing::latency_histogram> ttft_by_account;
  std::vector<load_interval> seconds;
  // Bodies of service calls that were answered, and of those refused with ran
  // "no", for checks against the service's own counts.
  std::vector<std::string> service_answered;
  std::vector<std::string> service_not_run;
  // First few error texts, for reports of failed runs.
  std::vector<std::string> error_samples;
};

boost::asio::awaitable<load_result> RunLoad(
    boost::asio::any_io_executor executor,
    std::vector<trace_request> trace,
    load_options options);

// A table of the figures for a terminal.
std::string ResultTable(const load_result& result);

// A page with plots of the run.
std::string ResultHtml(const load_result& result, const std::string& title);

}  // namespace standin

#endif  // STANDIN_LOAD_H_
