// The product's own protocol on the data path: header fields, paths and JSON of
// callers and targets, read into and written from the types of adapter.h.
//
// The shape of a completion's body and of errors is in api.h, that of a
// target's events in sse.h.

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

// Fills in the calls of callers and targets that the router makes by the seam.
// The object store and the orders of the product are the agent's
// (platform_client.h); their functions stay null, as do those that only the
// entry calls.
protocol_adapter MakeNativeAdapter();

// What a caller asks for.
enum class native_request_kind {
  kChat,
  kService,
  kEntry,
  kHealth,
  kMetrics,
  kUnknown
};

native_request_kind ClassifyNativeRequest(const http_request& request);

// A call to a plain service, by its path "/v1/services/NAME/REST?QUERY".
struct service_call {
  std::string name;
  // The rest of the path, without and with the query. Never empty.
  std::string path;
  std::string request_target;
};

service_call ReadServiceCall(std::string_view request_target);

// The request for a target that runs a completion.
http_request MakeChatRequest(std::string body);

// The request for a target of the service, from the caller's.
http_request MakeServiceRequest(const http_request& caller_request,
                                const service_call& call);

// Marks a request that a router passes on to the owner of its ticket; `vm` is
// the router's. The connection's own header fields are dropped.
http_request MakeForwardedRequest(const http_request& caller_request,
                                  std::string_view vm);
bool IsForwarded(const http_request& request);

// An answer that came from another router, fit to be sent on.
http_response MakeForwardedResponse(http_response response);

// Adds to an answer the name of its request, a ticket for the next try, or the
// mark of an answer that has been given before.
void AddRequestId(http_response& response, std::string_view id);
void AddTicket(http_response& response, std::string_view ticket);
void MarkRepeated(http_response& response);

// The head of a streamed completion.
http_response MakeStreamHead(std::string_view request_id);

// A completion that is answered in one piece.
struct buffered_completion {
  std::string_view request_id;
  std::string_view model;
  // Escaped as in JSON.
  std::string_view text;
  std::uint64_t tokens = 0;
  stream_usage usage;
};

std::string WriteCompletion(const buffered_completion& completion);

}  // namespace waxwing

#endif  // WAXWING_NATIVE_ADAPTER_H_
