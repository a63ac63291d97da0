// The cases of this review that are scripts. Each returns kHeld, kBroken or
// kNotRun.

#ifndef REVIEW_STANDIN_3_CASES_H_
#define REVIEW_STANDIN_3_CASES_H_

#include "review/standin-3/world.h"

namespace review {

// The operator adds routes, one of which ranks tenth, drops a route and takes a
// key away.
int RunRankCase(world& w);

// New weights are named for the second of two models that each worker serves.
int RunSecondModelCase(world& w);

// All machines lose power; those whose addresses are the seeds stay away.
int RunLostSeedsCase(world& w);

// A machine loses its paths to the workers and then ends, while two versions of
// the workers' software serve.
int RunTakeUpCase(world& w);

// All machines end and start again, and clients take their streams up.
int RunAllEndedCase(world& w);

}  // namespace review

#endif  // REVIEW_STANDIN_3_CASES_H_
