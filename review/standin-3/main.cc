// Runs one case: `review-cases NAME`, from the root of the repository.
// TROUBLE=0 leaves the disruption out; RECORD names the file for the record.

#include <cstdio>
#include <exception>
#include <map>
#include <string>

#include "review/standin-3/cases.h"

int main(int argc, char** argv) {
  using review::world;
  const std::map<std::string, int (*)(world&)> cases{
      {"rank", review::RunRankCase},
      {"second-model", review::RunSecondModelCase},
      {"lost-seeds", review::RunLostSeedsCase},
      {"take-up", review::RunTakeUpCase},
      {"all-ended", review::RunAllEndedCase}};
  const auto found = cases.find(argc > 1 ? argv[1] : "");
  if (found == cases.end()) {
    std::fprintf(stderr, "usage: review-cases NAME\n");
    return review::kNotRun;
  }
  try {
    world w;
    const int result = found->second(w);
    Note(w, "exit code " + std::to_string(result));
    return result;
  } catch (const std::exception& error) {
    std::fprintf(stderr, "%s\n", error.what());
    return review::kNotRun;
  }
}
