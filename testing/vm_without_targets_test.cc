// Callers of a VM that reaches no target, while other VMs do.

#include <gtest/gtest.h>

#include "testing/entry_fixture.h"
#include "testing/target_path.h"

namespace testing_support {
namespace {

constexpr int kTargetsPerService = 3;
// Time within which requests may fail after a cut has begun.
constexpr milliseconds kContactTime{3'000};

struct cut_fixture : zone_fixture {
  // By VM, then by target.
  std::vector<std::vector<std::shared_ptr<target_path>>> paths;

  explicit cut_fixture(std::size_t count) : zone_fixture(count) {
    for (int i = 0; i < kTargetsPerService; ++i) {
      AddTarget("engine-" + std::to_string(i), "llm", StreamTwoEvents);
      AddTarget("panel-" + std::to_string(i), "panel", RespondOk);
    }
    EXPECT_TRUE(WaitUntilSettled());
    EXPECT_TRUE(RunUntil([&] {
      return std::all_of(vms.begin(), vms.end(), [&](const entry& vm) {
        return vm.state->targets.size() == targets.size();
      });
    }));
    for (const entry& vm : vms)
      paths.push_back(RoutePaths(*vm.state));
  }

  // Makes a VM reach its targets over paths of its own.
  std::vector<std::shared_ptr<target_path>> RoutePaths(entry_state& vm) {
    std::vector<std::shared_ptr<target_path>> out;
    for (auto& [id, target] : vm.targets) {
      out.push_back(OpenPath(context, target.record.address));
      target.record.address = out.back()->Address();
      vm.placement.targets[target.index].address = out.back()->Address();
    }
    return out;
  }

  void Cut(std::size_t vm, path_cut kind) {
    for (const auto& path : paths[vm])
      SetCut(path, kind);
  }

  tl::expected<http_response, http_error> SendTo(std::size_t vm,
                                                 std::string_view path) {
    http_request request;
    request.method = "POST";
    request.target = std::string(path);
    request.headers = {{"Host", "calls.example"},
                       {"Request-Id", "r" + std::to_string(next_id++)},
                       {"Deadline-Ms", std::to_string(caller_deadline_ms)},
                       {"Authorization", "Token key-1"}};
    const http_call_options options{milliseconds(2'000), false};
    return RunToEnd(context, Fetch(pool, vms[vm].state->caller_server.address,
                                   request, options));
  }

  // Sends requests to a VM for some time, on all routes in turn. Returns how
  // many of them were served.
  std::pair<int, int> ServedOf(std::size_t vm, milliseconds time) {
    constexpr std::string_view kPaths[] = {kIdempotentPath, kNonIdempotentPath,
                                           kStreamPath, kResumablePath};
    std::pair<int, int> out;
    const instant end = std::chrono::steady_clock::now() + time;
    while (std::chrono::steady_clock::now() < end) {
      const auto response =
          SendTo(vm, kPaths[static_cast<std::size_t>(out.second) % 4]);
      out.first += response && response->status == 200;
      ++out.second;
    }
    return out;
  }
};

class VmWithoutTargets : public ::testing::TestWithParam<path_cut> {};

TEST_P(VmWithoutTargets, FirstTriesOfItsCallersAreServed) {
  cut_fixture f(3);
  const auto [before, sent_before] = f.ServedOf(0, milliseconds(300));
  ASSERT_EQ(before, sent_before);
  f.Cut(0, GetParam());
  f.ServedOf(0, kContactTime);
  const auto [served, sent] = f.ServedOf(0, milliseconds(1'000));
  EXPECT_GE(served, 0.95 * sent) << served << " of " << sent;
}

INSTANTIATE_TEST_SUITE_P(Cuts,
                         VmWithoutTargets,
                         ::testing::Values(path_cut::kHanging,
                                           path_cut::kResetting,
                                           path_cut::kRefusingNew));

}  // namespace
}  // namespace testing_support
