#include "testing/processes.h"

#include <fcntl.h>
#include <gtest/gtest.h>
#include <signal.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <boost/asio.hpp>
#include <cstdlib>

extern char** environ;

namespace testing_support {

namespace asio = boost::asio;
using waxwing::endpoint;

std::uint64_t FromEnvironment(const char* name, std::uint64_t fallback) {
  const char* text = std::getenv(name);
  return text ? std::strtoull(text, nullptr, 10) : fallback;
}

// Uses ports below the range that the system assigns to outgoing connections.
// Each process has its own range, chosen by its id, so that test processes
// running in parallel rarely collide.
endpoint FindFreeAddress(asio::io_context& context) {
  constexpr int kFirstPort = 12'000;
  constexpr int kPortsPerProcess = 400;
  constexpr int kProcesses = 50;
  static int next = 0;
  const int base = kFirstPort + (getpid() % kProcesses) * kPortsPerProcess;
  while (true) {
    const auto port =
        static_cast<std::uint16_t>(base + next++ % kPortsPerProcess);
    boost::system::error_code error;
    asio::ip::tcp::acceptor acceptor(context);
    const asio::ip::tcp::endpoint local(asio::ip::make_address("127.0.0.1"),
                                        port);
    acceptor.open(local.protocol(), error);
    acceptor.set_option(asio::socket_base::reuse_address(true), error);
    acceptor.bind(local, error);
    if (!error)
      return {"127.0.0.1", port};
  }
}

pid_t Spawn(const std::string& program,
            std::vector<std::string> arguments,
            std::vector<std::string> variables,
            bool inherits_stdout) {
  const char* folder = std::getenv("WAXWING_TEST_PROGRAMS");
  const std::string path =
      std::string(folder ? folder : WAXWING_PROGRAM_DIR) + "/" + program;
  arguments.insert(arguments.begin(), path);
  std::vector<char*> argv;
  argv.reserve(arguments.size() + 1);
  for (std::string& argument : arguments)
    argv.push_back(argument.data());
  argv.push_back(nullptr);
  std::vector<char*> environment;
  for (char** each = environ; *each; ++each)
    environment.push_back(*each);
  for (std::string& variable : variables)
    environment.push_back(variable.data());
  environment.push_back(nullptr);
  posix_spawn_file_actions_t actions;
  posix_spawn_file_actions_init(&actions);
  const char* log = std::getenv("WAXWING_TEST_LOG");
  posix_spawn_file_actions_addopen(&actions, 2, log ? log : "/dev/null",
                                   O_WRONLY | O_CREAT | O_APPEND, 0644);
  if (!inherits_stdout)
    posix_spawn_file_actions_adddup2(&actions, 2, 1);
  pid_t pid = 0;
  const int error = posix_spawn(&pid, path.c_str(), &actions, nullptr,
                                argv.data(), environment.data());
  posix_spawn_file_actions_destroy(&actions);
  EXPECT_EQ(error, 0) << path;
  return error == 0 ? pid : 0;
}

void KillProcess(pid_t& pid) {
  if (pid == 0)
    return;
  kill(pid, SIGKILL);
  int status = 0;
  waitpid(pid, &status, 0);
  pid = 0;
}

void PauseProcess(pid_t pid) {
  kill(pid, SIGSTOP);
}

void ResumeProcess(pid_t pid) {
  kill(pid, SIGCONT);
}

}  // namespace testing_support
