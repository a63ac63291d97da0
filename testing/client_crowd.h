// Crowds of clients that do not keep the protocol or the limits, and what the
// process that serves them uses.

#ifndef TESTING_CLIENT_CROWD_H_
#define TESTING_CLIENT_CROWD_H_

#include <sys/types.h>

#include <boost/asio.hpp>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "waxwing/types.h"

namespace testing_support {

namespace asio = boost::asio;

// What each client of a crowd sends: a beginning, then the same bytes `count`
// times, then an end, after which its connection stays open.
struct client_script {
  std::string name;
  std::string beginning;
  std::string repeated;
  std::size_t count = 0;
  std::string end;
  int clients = 0;
  // A client whose connection is closed opens the next one, up to this many.
  int connections_each = 1;
  bool reads_responses = true;
};

// The clients of one crowd. It ends when this is destroyed.
struct client_crowd {
  std::vector<std::shared_ptr<asio::ip::tcp::socket>> sockets;
  // Clients that have sent everything, or whose last connection has ended.
  int done = 0;
  std::uint64_t bytes_sent = 0;
  // Lets the clients' coroutines notice the end of the crowd.
  std::shared_ptr<bool> lives = std::make_shared<bool>(true);

  client_crowd() = default;
  client_crowd(const client_crowd&) = delete;
  client_crowd& operator=(const client_crowd&) = delete;
  ~client_crowd();
};

std::unique_ptr<client_crowd> StartCrowd(asio::io_context& context,
                                         const waxwing::endpoint& address,
                                         const client_script& script);

// The largest values seen so far.
struct process_usage {
  // Resident memory and bytes received that the process has not read yet.
  std::size_t memory_bytes = 0;
  std::size_t descriptors = 0;
};

// A process that is watched, and the ports by which its connections are known:
// those on which it listens and those to which it connects.
struct watched_process {
  pid_t id = 0;
  std::set<std::uint16_t> own_ports;
  std::set<std::uint16_t> target_ports;
  process_usage peak;
};

bool IsAlive(const watched_process& process);

// Measures the process and raises its peak.
void Measure(watched_process& process);

}  // namespace testing_support

#endif  // TESTING_CLIENT_CROWD_H_
