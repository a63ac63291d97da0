#include "waxwing/platform_client.h"

#include <boost/json.hpp>

#include "waxwing/json.h"

namespace waxwing {

namespace asio = boost::asio;
namespace {

constexpr std::string_view kObjectsPath = "/v1/objects/";
constexpr std::int64_t kLargestNumber = std::int64_t{1} << 53;

platform_error ErrorFromStatus(unsigned status, bool is_write) {
  switch (status) {
    case 404:
      return {platform_failure::kAbsent, "absent"};
    case 409:
      return {platform_failure::kConflict, "version differs"};
    case 429:
    case 503:
      return {platform_failure::kUnavailable, std::to_string(status)};
    default:
      break;
  }
  if (status >= 500 && is_write)
    return {platform_failure::kUncertain, std::to_string(status)};
  return {platform_failure::kRefused, std::to_string(status)};
}

platform_error ErrorFromCall(const http_error& error, bool is_write) {
  if (is_write && error.maybe_sent)
    return {platform_failure::kUncertain, error.detail};
  return {platform_failure::kUnavailable, error.detail};
}

asio::awaitable<platform_result<http_response>> Call(platform_client& client,
                                                     http_request request,
                                                     milliseconds timeout) {
  ++client.calls;
  const bool is_write = request.method != "GET";
  const http_call_options options{timeout, !is_write};
  auto response = co_await Fetch(client.pool, client.address, request, options);
  if (!response)
    co_return tl::unexpected(ErrorFromCall(response.error(), is_write));
  if (response->status != 200)
    co_return tl::unexpected(ErrorFromStatus(response->status, is_write));
  co_return std::move(*response);
}

std::uint64_t ReadVersion(const http_response& response) {
  const std::string text(FindHeader(response.headers, "X-Version"));
  return std::strtoull(text.c_str(), nullptr, 10);
}

}  // namespace

asio::awaitable<platform_result<platform_object>> GetObject(
    platform_client& client,
    std::string_view key) {
  http_request request;
  request.target = std::string(kObjectsPath) + std::string(key);
  auto response = co_await Call(client, std::move(request), client.timeout);
  if (!response)
    co_return tl::unexpected(response.error());
  co_return platform_object{response->body, ReadVersion(*response)};
}

asio::awaitable<platform_result<std::uint64_t>> PutObject(
    platform_client& client,
    std::string_view key,
    std::string value,
    std::uint64_t if_version) {
  http_request request;
  request.method = "PUT";
  request.target = std::string(kObjectsPath) + std::string(key);
  request.headers.push_back({"If-Version", std::to_string(if_version)});
  request.body = std::move(value);
  auto response = co_await Call(client, std::move(request), client.timeout);
  if (!response)
    co_return tl::unexpected(response.error());
  co_return ReadVersion(*response);
}

asio::awaitable<platform_result<void>> PutImmutable(platform_client& client,
                                                    std::string_view key,
                                                    std::string value) {
  auto stored = co_await PutObject(client, key, std::move(value), 0);
  if (!stored && stored.error().failure != platform_failure::kConflict)
    co_return tl::unexpected(stored.error());
  co_return platform_result<void>();
}

asio::awaitable<platform_result<std::uint64_t>> WatchPrefix(
    platform_client& client,
    std::string_view prefix,
    std::uint64_t revision,
    milliseconds wait) {
  http_request request;
  request.target = "/v1/watch?prefix=" + std::string(prefix) +
                   "&revision=" + std::to_string(revision) +
                   "&timeout_ms=" + std::to_string(wait.count());
  auto response =
      co_await Call(client, std::move(request), client.timeout + wait);
  if (!response)
    co_return tl::unexpected(response.error());
  const auto body = ParseObject(response->body);
  if (!body)
    co_return tl::unexpected(
        platform_error{platform_failure::kRefused, ToText(body.error())});
  const auto current_revision =
      ReadInteger(*body, "revision", 0, kLargestNumber);
  if (!current_revision)
    co_return tl::unexpected(platform_error{platform_failure::kRefused,
                                            ToText(current_revision.error())});
  co_return static_cast<std::uint64_t>(*current_revision);
}

std::string_view NameOf(platform_failure failure) {
  switch (failure) {
    case platform_failure::kAbsent:
      return "absent";
    case platform_failure::kConflict:
      return "conflict";
    case platform_failure::kUnavailable:
      return "unavailable";
    case platform_failure::kUncertain:
      return "uncertain";
    case platform_failure::kRefused:
      return "refused";
  }
  return "unknown";
}

}  // namespace waxwing
