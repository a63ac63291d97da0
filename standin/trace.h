// Seeded request traces that model the traffic of the two deployments.
//
// A prompt has three segments: a system prompt for each client account, a
// context of the account (a district's network for Vannbrudd, a modpack's
// manifest for Ergastirio), and text that is unique to the request. Accounts
// and contexts follow Zipf distributions, so that a few contexts are very hot;
// halfway through the trace, other contexts become the hot ones.

#ifndef STANDIN_TRACE_H_
#define STANDIN_TRACE_H_

#include <cstdint>
#include <string>
#include <vector>

#include "waxwing/prefix.h"
#include "waxwing/types.h"

namespace standin {

enum class deployment { kVannbrudd, kErgastirio };

struct trace_options {
  deployment shape = deployment::kVannbrudd;
  std::uint64_t seed = 1;
  double requests_per_second = 40;
  waxwing::milliseconds length{10'000};
  // The rate is multiplied by surge_factor from surge_from to surge_to.
  double surge_factor = 1;
  waxwing::milliseconds surge_from{0};
  waxwing::milliseconds surge_to{0};
  int accounts = 8;
  // Index of the first account.
  int first_account = 0;
  int contexts = 24;
  // Fraction of requests that are non-idempotent calls to the application
  // service.
  double service_share = 0.1;
  // Fraction of chat completions that are streamed.
  double stream_share = 0.8;
  // Mean number of tokens of a completion.
  int completion_tokens = 24;
};

struct trace_request {
  // Time from the start of the trace.
  waxwing::duration at{};
  std::string account;
  std::string key;
  bool is_service = false;
  // Service calls only.
  std::string path;
  std::string body;
  // Chat completions only.
  std::vector<waxwing::chat_message> messages;
  int completion_tokens = 0;
  bool stream = false;
};

// Returns the requests in the order of their times.
std::vector<trace_request> MakeTrace(const trace_options& options);

// Returns pseudorandom words, `bytes` long in total and determined by the seed.
std::string MakeText(std::uint64_t seed, std::size_t bytes);

// Return the name and the key of an account by index, as in the configuration
// of the demo.
std::string AccountName(deployment shape, int index);
std::string AccountKey(deployment shape, int index);

// Return the name of the model and of the application service of a deployment.
std::string ModelName(deployment shape);
std::string ServiceName(deployment shape);

}  // namespace standin

#endif  // STANDIN_TRACE_H_
