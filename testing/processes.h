// Programs of ours as processes of a test.

#ifndef TESTING_PROCESSES_H_
#define TESTING_PROCESSES_H_

#include <sys/types.h>

#include <boost/asio/io_context.hpp>
#include <string>
#include <vector>

#include "waxwing/types.h"

namespace testing_support {

// An address whose port was free a moment ago.
waxwing::endpoint FindFreeAddress(boost::asio::io_context& context);

// Starts a program of the build folder. `variables` are added to the
// environment, as "NAME=value". Its standard error goes to WAXWING_TEST_LOG, if
// that is set; its standard output too, with `inherits_stdout` false.
pid_t Spawn(const std::string& program,
            std::vector<std::string> arguments,
            std::vector<std::string> variables = {},
            bool inherits_stdout = true);

// Sends SIGKILL and waits for the end.
void KillProcess(pid_t& pid);
void PauseProcess(pid_t pid);
void ResumeProcess(pid_t pid);

}  // namespace testing_support

#endif  // TESTING_PROCESSES_H_
