// Binds a stream to the build that began it.
//
// A target's build is the version of its software. What two builds write does
// not fit together, so a stream that a caller has received in part may go on
// only at targets of its build. Targets do not check this.

#ifndef WAXWING_STREAM_BUILDS_H_
#define WAXWING_STREAM_BUILDS_H_

#include <cstdint>
#include <string>

#include "waxwing/target_view.h"

namespace waxwing {

// The target that brought the first event of a stream.
struct stream_origin {
  std::string service;
  // Empty if the target's record states none.
  std::string build;
  std::string target;
  std::uint64_t incarnation = 0;

  bool operator==(const stream_origin&) const = default;
};

// True if a stream with this origin may go on at the target. A stream without a
// known build fits only the same incarnation of the same target.
bool MayContinueAt(const stream_origin& origin, const target_view& view);

}  // namespace waxwing

#endif  // WAXWING_STREAM_BUILDS_H_
