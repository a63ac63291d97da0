// Counts events in the busiest window of time.

#ifndef TESTING_BUSIEST_WINDOW_H_
#define TESTING_BUSIEST_WINDOW_H_

#include <algorithm>
#include <cstddef>
#include <vector>

#include "waxwing/types.h"

namespace testing_support {

// Returns the largest number of `times` in any window of this length.
inline std::size_t BusiestWindow(std::vector<waxwing::instant> times,
                                 waxwing::duration window) {
  std::sort(times.begin(), times.end());
  std::size_t busiest = 0;
  for (std::size_t first = 0, last = 0; last < times.size(); ++last) {
    while (times[last] - times[first] > window)
      ++first;
    busiest = std::max(busiest, last - first + 1);
  }
  return busiest;
}

}  // namespace testing_support

#endif  // TESTING_BUSIEST_WINDOW_H_
