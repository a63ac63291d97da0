// Seeded traces of requests in the shapes of the two deployments.
//
// Prompts nest: a system prompt for each client account, below it a context (a
// district's network for Vannbrudd, a modpack's manifest for Ergastirio), below
// that the text of the one request. Accounts and contexts are skewed, a few
// contexts are very hot, and halfway through other contexts become the hot
// ones.

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
  // The rate is multiplied by this from the first to the second time.
  double surge_factor = 1;
  waxwing::milliseconds surge_from{0};
  waxwing::milliseconds surge_to{0};
  int accounts = 8;
  // Index of the first of them.
  int first_account = 0;
  int contexts = 24;
  // Share of calls to the plain service that must not be repeated.
  double service_share = 0.1;
  // Largest share of streamed answers among the chat completions.
  double stream_share = 0.8;
  int completion_tokens = 24;
};

struct trace_request {
  waxwing::duration at{};
  std::string account;
  std::string key;
  bool is_service = false;
  // For a service call.
  std::string path;
  std::string body;
  // For a chat completion.
  std::vector<waxwing::chat_message> messages;
  int completion_tokens = 0;
  bool stream = false;
};

// In the order of their times.
std::vector<trace_request> MakeTrace(const trace_options& options);

// Words of the given length in bytes, fixed by the seed.
std::string MakeText(std::uint64_t seed, std::size_t bytes);

// The account's name and key, by index, as in the demo's configuration.
std::string AccountName(deployment shape, int index);
std::string AccountKey(deployment shape, int index);

// Model and plain service of the deployment.
std::string ModelName(deployment shape);
std::string ServiceName(deployment shape);

}  // namespace standin

#endif  // STANDIN_TRACE_H_
