// Eras of the object store.
//
// A store may return from a copy that lacks changes it has acknowledged. It
// then gives out their revisions again, so revisions are comparable only within
// an era. The store states its era in each response; it rises with each such
// loss.

#ifndef WAXWING_STORE_ERA_H_
#define WAXWING_STORE_ERA_H_

#include <cstdint>

namespace waxwing {

enum class era_relation {
  kCurrent,
  // From before a loss: the response says nothing about the store as it is now.
  kOlder,
  // The store has lost changes: revisions known so far are void.
  kNewer,
};

// Compares the era that a message states, 0 if none, with the one known.
inline era_relation CompareEras(std::uint64_t known, std::uint64_t stated) {
  if (stated == 0 || stated == known)
    return era_relation::kCurrent;
  return stated < known ? era_relation::kOlder : era_relation::kNewer;
}

}  // namespace waxwing

#endif  // WAXWING_STORE_ERA_H_
