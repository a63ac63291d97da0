// Injects faults, one at a time and in pairs, into a cluster of real processes
// under load. Checks every response byte by byte, and every non-idempotent call
// against the service's own count of executions.

#include <gtest/gtest.h>

#include "testing/cluster.h"

namespace testing_support {
namespace {

using waxwing::milliseconds;

constexpr double kRequestsPerSecond = 60;
constexpr milliseconds kLoadDuration{4'000};

// Faults that can be injected while a load runs.
enum class fault {
  kNone,
  kEngineCrash,
  kUnresponsiveEngine,
  kTruncatedStreams,
  kRefusals,
  kUnresponsiveService,
  kServiceDropsResponses,
  kRouterKilled,
  kAllRoutersKilled,
  kAgentKilled,
  kVmKilled,
  kStoreDown,
  kStoreDropsResponses,
  kSlowEngine,
  kCrossedResponses,  // responses to another request
};

const char* NameOf(fault kind) {
  constexpr const char* kNames[] = {"None",
                                    "EngineCrash",
                                    "UnresponsiveEngine",
                                    "TruncatedStreams",
                                    "Refusals",
                                    "UnresponsiveService",
                                    "ServiceDropsResponses",
                                    "RouterKilled",
                                    "AllRoutersKilled",
                                    "AgentKilled",
                                    "VmKilled",
                                    "StoreDown",
                                    "StoreDropsResponses",
                                    "SlowEngine",
                                    "CrossedResponses"};
  return kNames[static_cast<std::size_t>(kind)];
}

void InjectFault(cluster& c, fault kind) {
  switch (kind) {
    case fault::kNone:
      break;
    case fault::kEngineCrash:
      standin::CrashEngine(c.engines[0]);
      break;
    case fault::kUnresponsiveEngine:
      for (standin::engine& engine : c.engines)
        standin::StallConnections(engine);
      break;
    case fault::kTruncatedStreams:
      for (standin::engine& engine : c.engines)
        standin::MutableFaults(engine).cut = 0.2;
      break;
    case fault::kRefusals:
      standin::MutableFaults(c.engines[1]).refuse = 0.5;
      break;
    case fault::kUnresponsiveService:
      standin::StallConnections(c.services[0]);
      break;
    case fault::kServiceDropsResponses:
      standin::MutableFaults(c.services[0]).lose_answer = 0.3;
      break;
    case fault::kRouterKilled:
      KillProcess(c.vms[0].router);
      StartVmRouter(c, 0);
      break;
    case fault::kAllRoutersKilled:
      for (int i = 0; i < c.options.vms; ++i)
        KillProcess(c.vms[static_cast<std::size_t>(i)].router);
      for (int i = 0; i < c.options.vms; ++i)
        StartVmRouter(c, i);
      break;
    case fault::kAgentKilled:
      KillProcess(c.vms[1].agent);
      StartVmAgent(c, 1);
      break;
    case fault::kVmKilled:
      KillProcess(c.vms[2].router);
      KillProcess(c.vms[2].agent);
      break;
    case fault::kStoreDown:
      standin::MutableFaults(c.platform).outage = true;
      break;
    case fault::kStoreDropsResponses:
      standin::MutableFaults(c.platform).lose_answer = 0.5;
      break;
    case fault::kSlowEngine:
      standin::MutableFaults(c.engines[2]).slow = 4;
      break;
    case fault::kCrossedResponses:
      for (standin::engine& engine : c.engines)
        standin::MutableFaults(engine).swap_response = 0.2;
      break;
  }
}

struct fault_pair {
  fault first;
  fault second;
};

class FaultTest : public ::testing::TestWithParam<fault_pair> {};

TEST_P(FaultTest, ResponsesAreCorrectAndCallsRunAtMostOnce) {
  const auto c = StartCluster({});
  const auto load = StartLoad(*c, kRequestsPerSecond, kLoadDuration, 11);
  RunFor(*c, milliseconds(1'000));
  InjectFault(*c, GetParam().first);
  RunFor(*c, milliseconds(700));
  InjectFault(*c, GetParam().second);
  const standin::load_result result = FinishLoad(*c, load);
  ExpectGuaranteesHold(*c, result);
}

std::string PairName(const ::testing::TestParamInfo<fault_pair>& info) {
  return std::string(NameOf(info.param.first)) + "Then" +
         NameOf(info.param.second);
}

INSTANTIATE_TEST_SUITE_P(
    SingleFaults,
    FaultTest,
    ::testing::Values(fault_pair{fault::kNone, fault::kNone},
                      fault_pair{fault::kEngineCrash, fault::kNone},
                      fault_pair{fault::kUnresponsiveEngine, fault::kNone},
                      fault_pair{fault::kTruncatedStreams, fault::kNone},
                      fault_pair{fault::kRefusals, fault::kNone},
                      fault_pair{fault::kUnresponsiveService, fault::kNone},
                      fault_pair{fault::kServiceDropsResponses, fault::kNone},
                      fault_pair{fault::kRouterKilled, fault::kNone},
                      fault_pair{fault::kAllRoutersKilled, fault::kNone},
                      fault_pair{fault::kAgentKilled, fault::kNone},
                      fault_pair{fault::kVmKilled, fault::kNone},
                      fault_pair{fault::kStoreDown, fault::kNone},
                      fault_pair{fault::kStoreDropsResponses, fault::kNone},
                      fault_pair{fault::kSlowEngine, fault::kNone},
                      fault_pair{fault::kCrossedResponses, fault::kNone}),
    PairName);

INSTANTIATE_TEST_SUITE_P(
    FaultPairs,
    FaultTest,
    ::testing::Values(
        fault_pair{fault::kEngineCrash, fault::kRouterKilled},
        fault_pair{fault::kUnresponsiveEngine, fault::kEngineCrash},
        fault_pair{fault::kTruncatedStreams, fault::kEngineCrash},
        fault_pair{fault::kStoreDown, fault::kAllRoutersKilled},
        fault_pair{fault::kStoreDown, fault::kAgentKilled},
        fault_pair{fault::kServiceDropsResponses, fault::kRouterKilled},
        fault_pair{fault::kServiceDropsResponses, fault::kAgentKilled},
        fault_pair{fault::kAgentKilled, fault::kRouterKilled},
        fault_pair{fault::kVmKilled, fault::kEngineCrash},
        fault_pair{fault::kSlowEngine, fault::kTruncatedStreams},
        fault_pair{fault::kCrossedResponses, fault::kEngineCrash},
        fault_pair{fault::kRefusals, fault::kAllRoutersKilled}),
    PairName);

}  // namespace
}  // namespace testing_support
