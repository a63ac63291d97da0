// Runs the project's programs as child processes of a test.

#ifndef TESTING_PROCESSES_H_
#define TESTING_PROCESSES_H_

#include <sys/types.h>

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <string>
#include <vector>

#include "waxwing/types.h"

namespace testing_support {

// Returns a number from the environment, or `fallback` if it is not set.
std::uint64_t FromEnvironment(const char* name, std::uint64_t fallback);

// Returns a loopback address whose port is free at the time of the call.
waxwing::endpoint FindFreeAddress(boost::asio::io_context& context);

// Starts a program from the build folder, or from the folder that
// WAXWING_TEST_PROGRAMS names, to run an older build. `variables` are added to
// the environment, as "NAME=value". Standard error is appended to the file
// named by WAXWING_TEST_LOG, or discarded if that is not set. So is standard
// output if `inherits_stdout` is false.
pid_t Spawn(const std::string& program,
            std::vector<std::string> arguments,
            std::vector<std::string> variables = {},
            bool inherits_stdout = true);

// Sends SIGKILL, waits until the process has ended and sets `pid` to 0. Does
// nothing if `pid` is 0.
void KillProcess(pid_t& pid);
void PauseProcess(pid_t pid);
void ResumeProcess(pid_t pid);

}  // namespace testing_support

#endif  // TESTING_PROCESSES_H_
