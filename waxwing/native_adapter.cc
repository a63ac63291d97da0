#include "waxwing/native_adapter.h"

#include <algorithm>
#include <boost/beast/core/string.hpp>
#include <boost/json.hpp>
#include <charconv>
#include <initializer_list>

#include "waxwing/api.h"
#include "waxwing/config.h"

namespace waxwing {

namespace json = boost::json;

namespace {

constexpr std::string_view kHeaderPriority = "X-Priority";
constexpr std::string_view kHeaderDeadline = "X-Deadline-Ms";
constexpr std::string_view kHeaderTicket = "X-Ticket";
constexpr std::string_view kHeaderNonIdempotent = "X-Non-Idempotent";
constexpr std::string_view kHeaderForwarded = "X-Waxwing-Forwarded";
constexpr std::string_view kHeaderRequestId = "X-Request-Id";
constexpr std::string_view kHeaderAttempt = "X-Attempt";
constexpr std::string_view kBearer = "Bearer ";
constexpr std::string_view kChatPath = "/v1/chat/completions";
constexpr std::string_view kServicesPath = "/v1/services/";

// Reads an integer header field. Returns std::nullopt if it is absent, and an
// error if it is not a number in the range.
tl::expected<std::optional<std::int64_t>, std::string> ReadNumberHeader(
    const http_headers& headers,
    std::string_view name,
    std::int64_t minimum,
    std::int64_t maximum) {
  const std::string_view text = FindHeader(headers, name);
  if (text.empty())
    return std::nullopt;
  std::int64_t value = 0;
  const auto [end, error] =
      std::from_chars(text.data(), text.data() + text.size(), value);
  if (error != std::errc() || end != text.data() + text.size() ||
      value < minimum || value > maximum)
    return tl::unexpected(std::string(name) + ": must be " +
                          std::to_string(minimum) + " to " +
                          std::to_string(maximum));
  return value;
}

tl::expected<inbound_request, std::string> ReadNativeRequest(
    const http_request& request) {
  inbound_request out;
  const std::string_view key = FindHeader(request.headers, "Authorization");
  if (key.starts_with(kBearer))
    out.account_key = std::string(key.substr(kBearer.size()));
  const auto priority = ReadNumberHeader(request.headers, kHeaderPriority,
                                         kLowestPriority, kHighestPriority);
  if (!priority)
    return tl::unexpected(priority.error());
  if (*priority)
    out.priority = static_cast<int>(**priority);
  const auto deadline = ReadNumberHeader(request.headers, kHeaderDeadline, 1,
                                         kMaxDeadline.count());
  if (!deadline)
    return tl::unexpected(deadline.error());
  if (*deadline)
    out.time_left = milliseconds(**deadline);
  const std::string_view mark =
      FindHeader(request.headers, kHeaderNonIdempotent);
  if (!mark.empty() && mark != "true" && mark != "false")
    return tl::unexpected(
        std::string("X-Non-Idempotent: must be true or false"));
  out.is_non_idempotent = mark == "true";
  out.ticket = std::string(FindHeader(request.headers, kHeaderTicket));
  return out;
}

http_response WriteDirectoryResponse(const directory_response& response) {
  json::array addresses;
  for (const endpoint& address : response.addresses)
    addresses.push_back(json::value(ToText(address)));
  json::array tickets;
  for (const std::string& ticket : response.tickets)
    tickets.push_back(json::value(ticket));
  return JsonResponse(200, json::serialize(json::object{
                               {"addresses", std::move(addresses)},
                               {"lifetime_ms", response.lifetime.count()},
                               {"tickets", std::move(tickets)}}));
}

http_request WriteTargetRequest(const http_request& caller_request,
                                const inbound_request& /*request*/,
                                const attempt_parameters& parameters) {
  http_request out = caller_request;
  const auto add = [&](std::string_view name, std::string value) {
    out.headers.push_back({std::string(name), std::move(value)});
  };
  add(kHeaderRequestId, parameters.request_id);
  if (!parameters.account.empty())
    add("X-Client-Account", parameters.account);
  if (parameters.attempt > 0)
    add(kHeaderAttempt, std::to_string(parameters.attempt));
  if (parameters.priority)
    add(kHeaderPriority, std::to_string(*parameters.priority));
  if (!parameters.cache_salt.empty())
    add("X-Cache-Salt", parameters.cache_salt);
  if (!parameters.weights_name.empty())
    add("X-Expect-Version", parameters.weights_name);
  if (!parameters.adapter.empty())
    add("X-Adapter", parameters.adapter);
  if (parameters.is_resume_only)
    add("X-Resume-Only", "true");
  if (parameters.resume_from_token > 0) {
    add("X-Resume-From", std::to_string(parameters.resume_from_token));
    // Adds a member to the JSON object in the body.
    out.body.pop_back();
    out.body += ",\"delivered\":\"" + parameters.delivered + "\"}";
  }
  return out;
}

response_info ReadResponseHead(const http_response& head) {
  response_info out;
  out.request_id = std::string(FindHeader(head.headers, kHeaderRequestId));
  const std::string_view attempt = FindHeader(head.headers, kHeaderAttempt);
  std::from_chars(attempt.data(), attempt.data() + attempt.size(), out.attempt);
  const std::string_view boot_id = FindHeader(head.headers, "X-Boot-Id");
  std::from_chars(boot_id.data(), boot_id.data() + boot_id.size(), out.boot_id);
  out.weights_name = std::string(FindHeader(head.headers, "X-Weights-Version"));
  return out;
}

http_request WriteCancel(std::string_view request_id) {
  return {"POST", "/v1/cancel?id=" + std::string(request_id), {}, ""};
}

void DropHeaders(http_headers& headers,
                 std::initializer_list<std::string_view> names) {
  std::erase_if(headers, [&](const http_header& header) {
    return std::any_of(names.begin(), names.end(), [&](std::string_view name) {
      return boost::beast::iequals(name, header.name);
    });
  });
}

}  // namespace

protocol_adapter MakeNativeAdapter() {
  protocol_adapter out;
  out.read_request = ReadNativeRequest;
  out.write_directory_response = WriteDirectoryResponse;
  out.write_target_request = WriteTargetRequest;
  out.read_response_head = ReadResponseHead;
  out.write_cancel = WriteCancel;
  return out;
}

native_request_kind ClassifyNativeRequest(const http_request& request) {
  const std::string_view path = PathOf(request.target);
  if (request.method == "POST" && path == kChatPath)
    return native_request_kind::kChat;
  if (path.starts_with(kServicesPath))
    return native_request_kind::kService;
  if (path == "/v1/entry")
    return native_request_kind::kEntry;
  if (path == "/healthz")
    return native_request_kind::kHealth;
  return path == "/metrics" ? native_request_kind::kMetrics
                            : native_request_kind::kUnknown;
}

service_call ReadServiceCall(std::string_view request_target) {
  request_target.remove_prefix(kServicesPath.size());
  const std::size_t end =
      std::min(request_target.find_first_of("/?"), request_target.size());
  service_call out;
  out.name = std::string(request_target.substr(0, end));
  out.request_target = std::string(request_target.substr(end));
  if (!out.request_target.starts_with('/'))
    out.request_target.insert(0, "/");
  out.path = std::string(PathOf(out.request_target));
  return out;
}

http_request MakeChatRequest(std::string body) {
  return {"POST",
          std::string(kChatPath),
          {{"Content-Type", "application/json"}},
          std::move(body)};
}

http_request MakeServiceRequest(const http_request& caller_request,
                                const service_call& call) {
  http_request out{
      caller_request.method, call.request_target, {}, caller_request.body};
  const std::string_view type =
      FindHeader(caller_request.headers, "Content-Type");
  if (!type.empty())
    out.headers.push_back({"Content-Type", std::string(type)});
  return out;
}

http_request MakeForwardedRequest(const http_request& caller_request,
                                  std::string_view vm) {
  http_request out = caller_request;
  DropHeaders(out.headers,
              {"Host", "Content-Length", "Transfer-Encoding", "Connection"});
  out.headers.push_back({std::string(kHeaderForwarded), std::string(vm)});
  return out;
}

bool IsForwarded(const http_request& request) {
  return !FindHeader(request.headers, kHeaderForwarded).empty();
}

http_response MakeForwardedResponse(http_response response) {
  DropHeaders(response.headers,
              {"Connection", "Transfer-Encoding", "Content-Length"});
  return response;
}

void AddRequestId(http_response& response, std::string_view id) {
  response.headers.push_back({std::string(kHeaderRequestId), std::string(id)});
}

void AddTicket(http_response& response, std::string_view ticket) {
  response.headers.push_back({std::string(kHeaderTicket), std::string(ticket)});
}

void MarkRepeated(http_response& response) {
  response.headers.push_back({"X-Repeated", "true"});
}

http_response MakeStreamHead(std::string_view request_id) {
  http_response out{200, {{"Content-Type", "text/event-stream"}}, ""};
  AddRequestId(out, request_id);
  return out;
}

std::string WriteCompletion(const buffered_completion& completion) {
  const stream_usage& usage = completion.usage;
  return "{\"id\":\"chatcmpl-" + std::string(completion.request_id) +
         "\",\"object\":\"chat.completion\",\"model\":\"" +
         std::string(completion.model) +
         "\",\"choices\":[{\"index\":0,\"message\":{\"role\":\"assistant\","
         "\"content\":\"" +
         std::string(completion.text) +
         "\"},\"finish_reason\":\"stop\"}],\"usage\":{\"prompt_tokens\":" +
         std::to_string(usage.prompt_tokens) +
         ",\"completion_tokens\":" + std::to_string(completion.tokens) +
         ",\"prompt_tokens_details\":{\"cached_tokens\":" +
         std::to_string(usage.cached_tokens) + "}}}";
}

}  // namespace waxwing
