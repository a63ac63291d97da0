// The native protocol of the data path: header fields, paths and JSON of
// callers and targets, parsed into and serialized from the types of adapter.h.
//
// Request bodies of completions and error responses are in api.h, the events of
// a target's stream in sse.h.

#ifndef WAXWING_NATIVE_ADAPTER_H_
#define WAXWING_NATIVE_ADAPTER_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "waxwing/adapter.h"
#include "waxwing/http.h"
#include "waxwing/sse.h"

namespace waxwing {

// The adapter that the router uses. It sets only the functions for callers and
// targets that the router calls. The others are null: the agent, not the
// router, accesses the object store (platform_client.h) and sends weights
// orders.
protocol_adapter MakeNativeAdapter();

// Kind of a caller's request, by its method and path.
enum class native_request_kind {
  kChat,
  kService,
  kEntry,
  kHealth,
  kMetrics,
  kUnknown
};

native_request_kind ClassifyNativeRequest(const http_request& request);

// A call to a service that is not a model, parsed from its path
// "/v1/services/NAME/REST?QUERY".
struct service_call {
  std::string name;
  // The path and the request target to send to the service: what follows NAME,
  // without and with the query. Never empty.
  std::string path;
  std::string request_target;
};

service_call ReadServiceCall(std::string_view request_target);

// The request that asks a target for a completion.
http_request MakeChatRequest(std::string body);

// Converts a caller's request into the one for a target of the service.
http_request MakeServiceRequest(const http_request& caller_request,
                                const service_call& call);

// A copy of the request for the router that owns its ticket, marked as
// forwarded by this router's VM. Connection-specific header fields are dropped.
http_request MakeForwardedRequest(const http_request& caller_request,
                                  std::string_view vm);
// True if another router has forwarded the request.
bool IsForwarded(const http_request& request);

// Drops the connection-specific header fields of another router's response, so
// that it can be sent to the caller.
http_response MakeForwardedResponse(http_response response);

// Add a header field to a response: the request's ID, a ticket for the caller's
// next attempt, or the mark of a stored response that is sent again.
void AddRequestId(http_response& response, std::string_view id);
void AddTicket(http_response& response, std::string_view ticket);
void MarkRepeated(http_response& response);

// The head of the response to a streamed completion.
http_response MakeStreamHead(std::string_view request_id);

// A completion that is returned as one JSON body instead of a stream.
struct buffered_completion {
  std::string_view request_id;
  std::string_view model;
  // JSON-escaped.
  std::string_view text;
  std::uint64_t tokens = 0;
  stream_usage usage;
};

std::string WriteCompletion(const buffered_completion& completion);

}  // namespace waxwing

#endif  // WAXWING_NATIVE_ADAPTER_H_
