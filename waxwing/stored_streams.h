// What one VM keeps in the object store about its running streams, so that
// their origins survive the end of all VMs (stream_builds.h).
//
// A VM writes its object while a service has had more than one build within the
// life of a stream. In calm times there is no object, and that is information
// too: if a service had had two builds, some VM would have written so.
//
// Wall-clock times are compared between VMs and over restarts, so they count
// with a margin.

#ifndef WAXWING_STORED_STREAMS_H_
#define WAXWING_STORED_STREAMS_H_

#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>

#include <tl/expected.hpp>

#include "waxwing/json.h"
#include "waxwing/stream_builds.h"
#include "waxwing/types.h"

namespace waxwing {

// A stream's origin, and when the stream began.
struct stored_stream {
  stream_origin origin;
  std::uint32_t attempt = 0;
  unix_ms began = 0;

  bool operator==(const stored_stream&) const = default;
};

struct stored_streams {
  unix_ms written = 0;
  // Builds at which streams may have begun, by service, of the services that
  // have had more than one.
  std::map<std::string, std::set<std::string>, std::less<>> builds;
  std::map<stream_key, stored_stream> streams;

  bool operator==(const stored_streams&) const = default;
};

std::string WriteStoredStreams(const stored_streams& record);
tl::expected<stored_streams, json_error> ReadStoredStreams(
    std::string_view text);

// Clocks of VMs and targets are assumed to differ by at most this.
inline constexpr milliseconds kMaxClockDifference{6'000};

// True if a stream that is in the object, or a build that it names, may still
// matter at `now`.
bool IsRelevant(const stored_streams& record,
                duration stream_lifetime,
                unix_ms now);

// The earliest start of the listed targets of a service, by build.
using build_births = std::map<std::string, unix_ms, std::less<>>;

// True if all streams of a service that can still be taken up have begun at the
// only listed build: one of its targets has been there for longer than a stream
// lives, and no relevant object names another build. `stored` is what all VMs
// have written.
bool ProvesSoleBuild(std::span<const stored_streams> stored,
                     std::string_view service,
                     const build_births& listed,
                     duration stream_lifetime,
                     unix_ms now);

}  // namespace waxwing

#endif  // WAXWING_STORED_STREAMS_H_
