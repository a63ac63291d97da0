#include "waxwing/platform_client.h"

#include <boost/json.hpp>

#include "waxwing/json.h"

namespace waxwing {

namespace asio = boost::asio;
namespace {

constexpr std::string_view kObjectsPath = "/v1/objects/";
constexpr std::int64_t kLargestNumber = std::int64_t{1} << 53;

platform_error ErrorOfStatus(unsigned status, bool is_write) {
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

platform_error ErrorOfCall(const http_error& error, bool is_write) {
  if (is_write && error.sent)
    return {platform_failure::kUncertain, error.detail};
  return {platform_failure::kUnavailable, error.detail};
}

asio::awaitable<platform_result<http_response>> Call(platform_client& client,
                                                     http_request request,
                                                     milliseconds timeout) {
  ++client.calls;
  const bool is_write = request.method != "GET";
  const http_call_options options{timeout, !is_write};
  auto answer = co_await Fetch(client.pool, client.address, request, options);
  if (!answer)
    co_return tl::unexpected(ErrorOfCall(answer.error(), is_write));
  if (answer->status != 200)
    co_return tl::unexpected(ErrorOfStatus(answer->status, is_write));
  co_return std::move(*answer);
}

std::uint64_t VersionOf(const http_response& answer) {
  const std::string text(FindHeader(answer.headers, "X-Version"));
  return std::strtoull(text.c_str(), nullptr, 10);
}

}  // namespace

asio::awaitable<platform_result<platform_object>> GetObject(
    platform_client& client,
    std::string_view key) {
  http_request request;
  request.target = std::string(kObjectsPath) + std::string(key);
  auto answer = co_await Call(client, std::move(request), client.timeout);
  if (!answer)
    co_return tl::unexpected(answer.error());
  co_return platform_object{answer->body, VersionOf(*answer)};
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
  auto answer = co_await Call(client, std::move(request), client.timeout);
  if (!answer)
    co_return tl::unexpected(answer.error());
  co_return VersionOf(*answer);
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
  auto answer =
      co_await Call(client, std::move(request), client.timeout + wait);
  if (!answer)
    co_return tl::unexpected(answer.error());
  const auto body = ParseObject(answer->body);
  if (!body)
    co_return tl::unexpected(
        platform_error{platform_failure::kRefused, ToText(body.error())});
  const auto now = ReadInteger(*body, "revision", 0, kLargestNumber);
  if (!now)
    co_return tl::unexpected(
        platform_error{platform_failure::kRefused, ToText(now.error())});
  co_return static_cast<std::uint64_t>(*now);
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
