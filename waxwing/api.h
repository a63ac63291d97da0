// The bodies of the callers' API: a completion, and the one shape of every
// error.
//
// An error's JSON is {"error":{"type","message"},"ran":"no|yes|unknown"}. `ran`
// is "no" only if no byte of the request can have reached a target. A refusal
// that may pass later carries Retry-After.

#ifndef WAXWING_API_H_
#define WAXWING_API_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include <tl/expected.hpp>

#include "waxwing/http.h"
#include "waxwing/ledger.h"
#include "waxwing/prefix.h"
#include "waxwing/types.h"

namespace waxwing {

inline constexpr std::int64_t kMaxOutputTokens = 32'768;
inline constexpr std::size_t kMaxMessages = 1'024;
inline constexpr milliseconds kDefaultDeadline{60'000};
inline constexpr milliseconds kMaxDeadline{600'000};

// A chat completion, checked.
struct chat_request {
  std::string model;
  std::string adapter;
  std::vector<chat_message> messages;
  std::uint32_t max_tokens = 16;
  bool stream = false;
  // The body to send to a target: the caller's own, always streaming.
  std::string target_body;
};

// A refusal or failure, ready to be sent to the caller.
struct api_error {
  unsigned status = 400;
  std::string type;
  std::string message;
  run_outcome outcome = run_outcome::kNotRun;
  // Zero: no Retry-After.
  duration retry_after{};
};

tl::expected<chat_request, api_error> ParseChatRequest(std::string_view body);

// The error as a response.
http_response ErrorResponse(const api_error& error);

// The error as the last event of a stream.
std::string ErrorEvent(const api_error& error);

// The error's JSON.
std::string ErrorJson(const api_error& error);

// Estimated work of a request in tokens, for limits and fairness.
double EstimateWorkTokens(std::uint32_t prompt_tokens,
                          std::uint32_t output_tokens);

}  // namespace waxwing

#endif  // WAXWING_API_H_
