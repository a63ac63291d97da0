// Bodies of the API for callers: chat completion requests and errors.
//
// The JSON of an error is
// {"error":{"type","message"},"ran":"no|yes|unknown"}. `ran` is "no" only if no
// byte of the request can have reached a target. A refusal that may succeed
// later has a Retry-After header.

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

// A validated chat completion request.
struct chat_request {
  std::string model;
  std::string adapter;
  std::vector<chat_message> messages;
  std::uint32_t max_tokens = 16;
  bool stream = false;
  // The body to send to a target: the caller's, with `stream` set to true and
  // the adapter removed from the model name.
  std::string target_body;
};

// An error to send to the caller.
struct api_error {
  unsigned status = 400;
  std::string type;
  std::string message;
  run_outcome outcome = run_outcome::kNotRun;
  // No Retry-After header is sent if this is zero.
  duration retry_after{};
};

// Parses and validates the body of a chat completion request.
tl::expected<chat_request, api_error> ParseChatRequest(std::string_view body);

// Returns the error as an HTTP response.
http_response ErrorResponse(const api_error& error);

// Returns the error as the last server-sent event of a stream.
std::string ErrorEvent(const api_error& error);

// Returns the JSON of the error.
std::string ErrorJson(const api_error& error);

// Returns the estimated work of a request in tokens, which rate limits and fair
// queueing use.
double EstimateWorkTokens(std::uint32_t prompt_tokens,
                          std::uint32_t output_tokens);

}  // namespace waxwing

#endif  // WAXWING_API_H_
