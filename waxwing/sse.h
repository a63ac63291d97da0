// Server-sent events as the engines send them.
//
// The event of token N carries "id: N". The last one carries a finish reason
// and the usage; "data: [DONE]" closes the stream. The router forwards events
// as they are and reads only what it needs to tell whether the stream is whole
// and in order.

#ifndef WAXWING_SSE_H_
#define WAXWING_SSE_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace waxwing {

// Largest event that is accepted from a target.
inline constexpr std::size_t kMaxEventBytes = 256 * 1024;

// Cuts the first whole event, with its closing blank line, off the front of
// `buffer`. Empty if there is none yet.
std::string_view ConsumeEvent(std::string_view& buffer);

// The number in the event's "id:" line.
std::optional<std::uint64_t> EventId(std::string_view event);

// The event's data, without "data: ".
std::string_view EventData(std::string_view event);

bool IsDoneEvent(std::string_view event);

// The token text of an event, still escaped as in JSON; empty if it has none.
std::string_view EscapedContent(std::string_view event);

// Undoes the JSON escapes of a text.
std::string Unescape(std::string_view escaped);

// Figures of the last event.
struct stream_usage {
  std::uint32_t prompt_tokens = 0;
  std::uint32_t completion_tokens = 0;
  std::uint32_t cached_tokens = 0;
};

// The usage that an event carries, if it does.
std::optional<stream_usage> EventUsage(std::string_view event);

}  // namespace waxwing

#endif  // WAXWING_SSE_H_
