#include "waxwing/http.h"

#include <boost/beast/core/string.hpp>
#include <boost/beast/http/status.hpp>
#include <ostream>

namespace waxwing {

std::string_view FindHeader(const http_headers& headers,
                            std::string_view name) {
  for (const http_header& header : headers) {
    if (boost::beast::iequals(header.name, name))
      return header.value;
  }
  return {};
}

std::string_view PathOf(std::string_view target) {
  return target.substr(0, target.find('?'));
}

std::string_view QueryValue(std::string_view target, std::string_view name) {
  std::size_t pos = target.find('?');
  while (pos != std::string_view::npos) {
    target.remove_prefix(pos + 1);
    pos = target.find('&');
    const std::string_view pair = target.substr(0, pos);
    const std::size_t equals = pair.find('=');
    if (equals != std::string_view::npos && pair.substr(0, equals) == name)
      return pair.substr(equals + 1);
  }
  return {};
}

http_response JsonResponse(unsigned status, std::string body) {
  return {status, {{"Content-Type", "application/json"}}, std::move(body)};
}

std::string_view NameOf(http_failure failure) {
  switch (failure) {
    case http_failure::kConnect:
      return "connect";
    case http_failure::kTimeout:
      return "timeout";
    case http_failure::kClosed:
      return "closed";
    case http_failure::kMalformed:
      return "malformed";
  }
  return "unknown";
}

}  // namespace waxwing
