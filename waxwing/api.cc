#include "waxwing/api.h"

#include <boost/json.hpp>
#include <cmath>

#include "waxwing/json.h"

namespace waxwing {

namespace json = boost::json;

namespace {

tl::unexpected<api_error> BadRequest(std::string_view type,
                                     std::string message) {
  return tl::unexpected(api_error{
      400, std::string(type), std::move(message), run_outcome::kNotRun, {}});
}

tl::expected<chat_message, std::string> ParseMessage(
    const json::value& element) {
  if (!element.is_object())
    return tl::unexpected(std::string("messages: must hold objects"));
  const auto role = ReadString(element.as_object(), "role");
  if (!role)
    return tl::unexpected("messages." + ToText(role.error()));
  const auto content = ReadString(element.as_object(), "content");
  if (!content)
    return tl::unexpected("messages." + ToText(content.error()));
  return chat_message{*role, *content};
}

}  // namespace

tl::expected<chat_request, api_error> ParseChatRequest(std::string_view body) {
  auto parsed = ParseObject(body);
  if (!parsed)
    return BadRequest("malformed_request", ToText(parsed.error()));
  chat_request out;
  auto model = ReadString(*parsed, "model");
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
      ReadIntegerOr(*parsed, "max_tokens", 1, kMaxOutputTokens, 16);
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
  for (const json::value& element : *messages) {
    auto message = ParseMessage(element);
    if (!message)
      return BadRequest("malformed_request", message.error());
    out.messages.push_back(std::move(*message));
  }
  (*parsed)["model"] = out.model;
  (*parsed)["stream"] = true;
  out.target_body = json::serialize(*parsed);
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
    const auto whole_seconds =
        static_cast<std::int64_t>(std::ceil(ToSeconds(error.retry_after)));
    out.headers.push_back({"Retry-After", std::to_string(whole_seconds)});
  }
  return out;
}

std::string ErrorEvent(const api_error& error) {
  return "event: error\ndata: " + ErrorJson(error) + "\n\n";
}

double EstimateWorkTokens(std::uint32_t prompt_tokens,
                          std::uint32_t output_tokens) {
  return static_cast<double>(prompt_tokens) + output_tokens;
}

}  // namespace waxwing
