#include "waxwing/stream_builds.h"

namespace waxwing {

bool MayContinueAt(const stream_origin& origin, const target_view& view) {
  if (view.serves != origin.service)
    return false;
  if (!origin.build.empty())
    return view.build == origin.build;
  return view.name == origin.target && view.boot_id == origin.incarnation &&
         view.build.empty();
}

}  // namespace waxwing
