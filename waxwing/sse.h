// Parsing of the server-sent events (SSE) that inference engines send.
//
// The event of token N carries "id: N". The last one carries a finish reason
// and the usage; "data: [DONE]" ends the stream. The router forwards events
// unchanged and parses only what it needs to check that the stream is complete
// and in order. As the format allows, the space after a field's colon may be
// missing, and lines may end with "\r\n".

#ifndef WAXWING_SSE_H_
#define WAXWING_SSE_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace waxwing {

// Largest event that is accepted from a target.
inline constexpr std::size_t kMaxEventBytes = 256 * 1024;

// Removes the first complete event, with its terminating blank line, from the
// front of `buffer` and returns it; empty if there is none yet.
std::string_view ConsumeEvent(std::string_view& buffer);

// True if an event consists of comments only, which carry no data.
bool IsComment(std::string_view event);

// The number in the event's "id" field.
std::optional<std::uint64_t> EventId(std::string_view event);

// The value of the event's "data" field.
std::string_view EventData(std::string_view event);

bool IsDoneEvent(std::string_view event);

// The token text of an event, still escaped as in JSON; empty if it has none.
std::string_view EscapedContent(std::string_view event);

// Decodes the JSON escapes of a string; empty if they are invalid.
std::string Unescape(std::string_view escaped);

// Token counts of a stream, carried by its last event.
struct stream_usage {
  std::uint32_t prompt_tokens = 0;
  std::uint32_t completion_tokens = 0;
  std::uint32_t cached_tokens = 0;
};

// The usage that an event carries, if any.
std::optional<stream_usage> EventUsage(std::string_view event);

}  // namespace waxwing

#endif  // WAXWING_SSE_H_
