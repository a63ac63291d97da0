#include "waxwing/connection_end.h"

namespace waxwing {

std::string_view NameOf(connection_end end) {
  switch (end) {
    case connection_end::kResponded:
      return "responded";
    case connection_end::kCallerLeft:
      return "caller_left";
    case connection_end::kCallerBroke:
      return "caller_broke";
    case connection_end::kCallerGone:
      return "caller_gone";
    case connection_end::kUnread:
      return "unread";
    case connection_end::kLate:
      return "late";
    case connection_end::kMalformed:
      return "malformed";
    case connection_end::kAborted:
      return "aborted";
    case connection_end::kIdle:
      return "idle";
    case connection_end::kDisplaced:
      return "displaced";
    case connection_end::kRefused:
      return "refused";
    case connection_end::kStopped:
      return "stopped";
    case connection_end::kClosed:
      return "closed";
    case connection_end::kFailed:
      return "failed";
  }
  return "unknown";
}

bool IsRegular(connection_end end) {
  return end == connection_end::kResponded ||
         end == connection_end::kCallerLeft || end == connection_end::kIdle;
}

bool LacksResponse(const connection_report& report) {
  return report.is_read && !report.is_complete &&
         report.end != connection_end::kCallerGone;
}

}  // namespace waxwing
