#include "standin/trace.h"

#include <cmath>
#include <random>

#include "waxwing/hash.h"

namespace standin {
namespace {

constexpr double kContextSkew = 1.1;
constexpr double kAccountSkew = 0.8;

// Sizes of the prompt segments in bytes.
struct prompt_sizes {
  std::size_t system_bytes;
  std::size_t context_bytes;
  std::size_t request_bytes;
};

prompt_sizes PromptSizes(deployment shape) {
  if (shape == deployment::kVannbrudd)
    return {3'000, 6'000, 400};
  return {1'500, 24'000, 2'000};
}

// Draws ranks from 0 to count - 1; the probability of rank i is proportional to
// 1 / (i + 1)^skew.
struct zipf_distribution {
  std::discrete_distribution<int> ranks;

  zipf_distribution(int count, double skew) {
    std::vector<double> weights;
    weights.reserve(static_cast<std::size_t>(count));
    for (int i = 0; i < count; ++i)
      weights.push_back(1.0 / std::pow(i + 1, skew));
    ranks = std::discrete_distribution<int>(weights.begin(), weights.end());
  }
};

double RateAt(const trace_options& options, waxwing::duration at) {
  const bool in_surge = at >= options.surge_from && at < options.surge_to;
  return options.requests_per_second * (in_surge ? options.surge_factor : 1);
}

}  // namespace

std::string MakeText(std::uint64_t seed, std::size_t bytes) {
  std::string out;
  out.reserve(bytes + 8);
  std::mt19937_64 random(seed);
  while (out.size() < bytes) {
    out += waxwing::ToHex(random()).substr(0, 3 + random() % 6);
    out += ' ';
  }
  out.resize(bytes);
  return out;
}

std::string AccountName(deployment shape, int index) {
  const std::string prefix =
      shape == deployment::kVannbrudd ? "contractor-" : "shop-";
  return prefix + std::to_string(index);
}

std::string AccountKey(deployment shape, int index) {
  return "key-" + AccountName(shape, index);
}

std::string ModelName(deployment shape) {
  return shape == deployment::kVannbrudd ? "triage" : "modfix";
}

std::string ServiceName(deployment shape) {
  return shape == deployment::kVannbrudd ? "reports" : "panel";
}

std::vector<trace_request> MakeTrace(const trace_options& options) {
  std::mt19937_64 random(options.seed);
  std::uniform_real_distribution<double> share(0, 1);
  zipf_distribution accounts(options.accounts, kAccountSkew);
  zipf_distribution contexts(options.contexts, kContextSkew);
  const prompt_sizes shape = PromptSizes(options.shape);
  const std::string path =
      "/v1/services/" + ServiceName(options.shape) +
      (options.shape == deployment::kVannbrudd ? "/submit" : "/stop");
  std::vector<trace_request> out;
  waxwing::duration at{};
  while (true) {
    std::exponential_distribution<double> gap(RateAt(options, at));
    at += waxwing::FromSeconds(gap(random));
    if (at >= options.length)
      return out;
    trace_request next;
    next.at = at;
    const int account = options.first_account + accounts.ranks(random);
    next.account = AccountName(options.shape, account);
    next.key = AccountKey(options.shape, account);
    const std::uint64_t unique = random();
    next.is_service = share(random) < options.service_share;
    if (next.is_service) {
      next.path = path;
      next.body = "{\"id\":\"" + waxwing::ToHex(unique) + "\"}";
      out.push_back(std::move(next));
      continue;
    }
    int context = contexts.ranks(random);
    // In the second half of the trace, other contexts are the hot ones.
    if (at > options.length / 2)
      context = (context + options.contexts / 2) % options.contexts;
    const std::uint64_t account_seed = waxwing::Hash64(next.account);
    next.messages = {
        {"system", MakeText(account_seed, shape.system_bytes)},
        {"user", MakeText(waxwing::CombineHashes(account_seed, 1 + context),
                          shape.context_bytes)},
        {"user", MakeText(unique, shape.request_bytes)}};
    next.completion_tokens =
        options.completion_tokens / 2 +
        static_cast<int>(random() % (1 + options.completion_tokens));
    next.stream = share(random) < options.stream_share;
    out.push_back(std::move(next));
  }
}

}  // namespace standin
