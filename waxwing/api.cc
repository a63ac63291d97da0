#include "waxwing/api.h"

#include <boost/json.hpp>
#include <charconv>
#include <cmath>

#include "waxwing/config.h"
#include "waxwing/json.h"

namespace waxwing {

namespace json = boost::json;

namespace {

constexpr std::string_view kBearer = "Bearer ";

tl::unexpected<api_error> BadRequest(std::string_view type,
                                     std::string message) {
  return tl::unexpected(
      api_error{400, std::string(type), std::move(message), ran::kNo, {}});
}

tl::expected<chat_message, std::string> ParseMessage(const json::value& from) {
  if (!from.is_object())
    return tl::unexpected(std::string("messages: must hold objects"));
  const auto role = ReadText(from.as_object(), "role");
  if (!role)
    return tl::unexpected("messages." + ToText(role.error()));
  const auto content = ReadText(from.as_object(), "content");
  if (!content)
    return tl::unexpected("messages." + ToText(content.error()));
  return chat_message{*role, *content};
}

// A header field that holds a whole number in a range. False if it does not.
bool ReadNumberHeader(const http_headers& headers,
                      std::string_view name,
                      std::int64_t minimum,
                      std::int64_t maximum,
                      std::int64_t& value) {
  const std::string_view text = FindHeader(headers, name);
  if (text.empty())
    return true;
  const auto [end, error] =
      std::from_chars(text.data(), text.data() + text.size(), value);
  return error == std::errc() && end == text.data() + text.size() &&
         value >= minimum && value <= maximum;
}

}  // namespace

tl::expected<chat_request, api_error> ParseChatRequest(std::string_view body) {
  auto parsed = ParseObject(body);
  if (!parsed)
    return BadRequest("malformed_request", ToText(parsed.error()));
  chat_request out;
  auto model = ReadText(*parsed, "model");
  if (!model)
    return BadRequest("malformed_request", ToText(model.error()));
  // "model:adapter" names a low-rank adapter of the model.
  const std::size_t colon = model->find(':');
  if (colon != std::string::npos) {
    out.adapter = model->substr(colon + 1);
    model->resize(colon);
  }
  out.model = *model;
  const auto tokens =
      ReadIntegerOr(*parsed, "max_tokens", 1, kMaxAnswerTokens, 16);
  if (!tokens)
    return BadRequest("malformed_request", ToText(tokens.error()));
  out.max_tokens = static_cast<std::uint32_t>(*tokens);
  const auto stream = ReadBoolOr(*parsed, "stream", false);
  if (!stream)
    return BadRequest("malformed_request", ToText(stream.error()));
  out.stream = *stream;
  const json::array* messages = FindArray(*parsed, "messages");
  if (!messages || messages->empty() || messages->size() > kMaxMessages)
    return BadRequest("malformed_request",
                      "messages: must be an array of 1 to 1024 objects");
  for (const json::value& entry : *messages) {
    auto message = ParseMessage(entry);
    if (!message)
      return BadRequest("malformed_request", message.error());
    out.messages.push_back(std::move(*message));
  }
  (*parsed)["model"] = out.model;
  (*parsed)["stream"] = true;
  out.target_body = json::serialize(*parsed);
  return out;
}

tl::expected<request_options, api_error> ParseRequestOptions(
    const http_headers& headers) {
  request_options out;
  const std::string_view authorization = FindHeader(headers, "Authorization");
  if (authorization.starts_with(kBearer))
    out.account_key = std::string(authorization.substr(kBearer.size()));
  std::int64_t priority = -1;
  if (!ReadNumberHeader(headers, kHeaderPriority, kLowestPriority,
                        kHighestPriority, priority))
    return BadRequest("bad_header", "X-Priority: must be 0 to 9");
  out.priority = static_cast<int>(priority);
  std::int64_t deadline = kDefaultDeadline.count();
  if (!ReadNumberHeader(headers, kHeaderDeadline, 1, kLongestDeadline.count(),
                        deadline))
    return BadRequest("bad_header", "X-Deadline-Ms: must be 1 to 600000");
  out.deadline = milliseconds(deadline);
  const std::string_view mark = FindHeader(headers, kHeaderNonIdempotent);
  if (!mark.empty() && mark != "true" && mark != "false")
    return BadRequest("bad_header", "X-Non-Idempotent: must be true or false");
  out.non_idempotent = mark == "true";
  out.ticket = std::string(FindHeader(headers, kHeaderTicket));
  return out;
}

std::string ErrorJson(const api_error& error) {
  return json::serialize(json::object{
      {"error", json::object{{"type", error.type}, {"message", error.message}}},
      {"ran", NameOf(error.outcome)}});
}

http_response ErrorResponse(const api_error& error) {
  http_response out = JsonResponse(error.status, ErrorJson(error));
  if (error.retry_after > duration::zero()) {
    const auto whole =
        static_cast<std::int64_t>(std::ceil(ToSeconds(error.retry_after)));
    out.headers.push_back({"Retry-After", std::to_string(whole)});
  }
  return out;
}

std::string ErrorEvent(const api_error& error) {
  return "event: error\ndata: " + ErrorJson(error) + "\n\n";
}

double WorkTokens(std::uint32_t prompt_tokens, std::uint32_t answer_tokens) {
  return static_cast<double>(prompt_tokens) + answer_tokens;
}

}  // namespace waxwing
