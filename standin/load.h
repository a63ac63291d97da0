// An open-loop load generator: sends the requests of a trace through the
// routers at the times given in the trace, without waiting for earlier
// responses, and checks every response byte for byte against the expected
// completion.

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
  // Routers that are asked for entry addresses, in turn until one responds.
  std::vector<waxwing::endpoint> routers;
  std::string model;
  // Send requests to the entry addresses that the routers return. If false,
  // send them to `routers` in turn.
  bool use_entry = true;
  waxwing::milliseconds deadline{30'000};
  // Called once a second with the results so far.
  std::function<void(const struct load_result&)> progress;
};

// Results of one second of the run.
struct load_interval {
  std::uint64_t started = 0;
  std::uint64_t completed = 0;
  waxwing::latency_histogram ttft = waxwing::MakeLatencyHistogram();
};

struct load_result {
  std::uint64_t requests = 0;
  // Chat completions and service calls with a complete and correct response.
  std::uint64_t completed = 0;
  // Rejected with an error that says "ran": "no".
  std::uint64_t refused = 0;
  // Ended by an error that says "ran": "unknown" or "yes".
  std::uint64_t failed = 0;
  // Without a response after all attempts, or ended by an error without "ran".
  std::uint64_t lost = 0;
  // Streams whose connection broke, so that the request was sent again.
  std::uint64_t stream_retries = 0;
  // Responses with wrong, missing or duplicated content, or with the content of
  // another response.
  std::uint64_t wrong = 0;
  std::uint64_t prompt_tokens = 0;
  std::uint64_t cached_tokens = 0;
  waxwing::latency_histogram ttft = waxwing::MakeLatencyHistogram();
  // Time to the end of a complete and correct response.
  waxwing::latency_histogram total = waxwing::MakeLatencyHistogram();
  // Time to first token by client account.
  std::map<std::string, waxwing::latency_histogram> ttft_by_account;
  std::vector<load_interval> seconds;
  // Bodies of the service calls with a status 200 response, and of those
  // rejected with "ran": "no", to be compared with the run counts of the
  // service.
  std::vector<std::string> service_answered;
  std::vector<std::string> service_not_run;
  // The first few errors, to diagnose failed runs.
  std::vector<std::string> error_samples;
};

boost::asio::awaitable<load_result> RunLoad(
    boost::asio::any_io_executor executor,
    std::vector<trace_request> trace,
    load_options options);

// Returns the results as a table for a terminal.
std::string ResultTable(const load_result& result);

// Returns an HTML page with plots of the run.
std::string ResultHtml(const load_result& result, const std::string& title);

}  // namespace standin

#endif  // STANDIN_LOAD_H_
