#include "testing/client_crowd.h"

#include <dirent.h>
#include <signal.h>
#include <sys/wait.h>

#include <algorithm>
#include <array>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <string_view>
#include <utility>

namespace testing_support {
namespace {

using asio::ip::tcp;

constexpr auto kUseTuple = asio::as_tuple(asio::use_awaitable);
constexpr std::size_t kPieceBytes = 64 * 1024;
constexpr std::size_t kKilobyte = 1'024;
constexpr waxwing::milliseconds kPollPeriod{20};

// Reads until the connection ends, and closes it.
asio::awaitable<void> ReadToEnd(std::shared_ptr<tcp::socket> socket) {
  std::array<char, 4 * kKilobyte> bytes;
  while (true) {
    auto [error, count] =
        co_await socket->async_read_some(asio::buffer(bytes), kUseTuple);
    if (error)
      break;
  }
  boost::system::error_code ignored;
  socket->close(ignored);
}

asio::awaitable<void> WaitUntilClosed(std::shared_ptr<tcp::socket> socket) {
  asio::steady_timer timer(socket->get_executor());
  while (socket->is_open()) {
    timer.expires_after(kPollPeriod);
    co_await timer.async_wait(kUseTuple);
  }
}

// Sends the script on one connection and waits until that is closed. Calls
// `on_sent` once everything has been sent.
asio::awaitable<void> SendScript(std::shared_ptr<tcp::socket> socket,
                                 const client_script& script,
                                 std::uint64_t& bytes_sent,
                                 const std::function<void()>& on_sent) {
  const std::size_t at_once = std::max<std::size_t>(
      1, kPieceBytes / std::max<std::size_t>(1, script.repeated.size()));
  std::string piece;
  for (std::size_t i = 0; i < std::min(at_once, script.count); ++i)
    piece += script.repeated;
  auto [begin_error, begun] = co_await asio::async_write(
      *socket, asio::buffer(script.beginning), kUseTuple);
  if (begin_error)
    co_return;
  for (std::size_t i = 0; i < script.count; i += at_once) {
    const std::size_t size =
        std::min(at_once, script.count - i) * script.repeated.size();
    auto [error, bytes] = co_await asio::async_write(
        *socket, asio::buffer(piece.data(), size), kUseTuple);
    bytes_sent += bytes;
    if (error)
      co_return;
  }
  auto [end_error, ended] =
      co_await asio::async_write(*socket, asio::buffer(script.end), kUseTuple);
  if (end_error)
    co_return;
  on_sent();
  co_await WaitUntilClosed(socket);
}

asio::awaitable<void> RunClient(std::weak_ptr<bool> crowd_lives,
                                client_crowd& crowd,
                                asio::io_context& context,
                                waxwing::endpoint address,
                                client_script script) {
  bool is_done = false;
  const auto finish = [&] {
    if (!is_done && !crowd_lives.expired())
      ++crowd.done;
    is_done = true;
  };
  std::uint64_t ignored = 0;
  for (int i = 0; i < script.connections_each && !crowd_lives.expired(); ++i) {
    auto socket = std::make_shared<tcp::socket>(context);
    crowd.sockets.push_back(socket);
    auto [error] = co_await socket->async_connect(
        {asio::ip::make_address(address.host), address.port}, kUseTuple);
    if (error || crowd_lives.expired())
      continue;
    if (!script.reads_responses) {
      boost::system::error_code unused;
      socket->set_option(asio::socket_base::receive_buffer_size(kKilobyte),
                         unused);
    } else {
      // A response may arrive before everything has been sent.
      asio::co_spawn(context, ReadToEnd(socket), asio::detached);
    }
    std::uint64_t& sent = crowd_lives.expired() ? ignored : crowd.bytes_sent;
    co_await SendScript(socket, script, sent, finish);
  }
  finish();
}

// Returns a size from /proc/ID/status, in bytes.
std::size_t ReadStatus(pid_t id, std::string_view name) {
  std::ifstream file("/proc/" + std::to_string(id) + "/status");
  for (std::string line; std::getline(file, line);) {
    if (line.starts_with(name))
      return std::strtoul(line.c_str() + name.size(), nullptr, 10) * kKilobyte;
  }
  return 0;
}

std::size_t CountDescriptors(pid_t id) {
  DIR* folder = ::opendir(("/proc/" + std::to_string(id) + "/fd").c_str());
  if (!folder)
    return 0;
  std::size_t count = 0;
  while (const dirent* entry = ::readdir(folder))
    count += entry->d_name[0] != '.';
  ::closedir(folder);
  return count;
}

// Returns the bytes that wait to be read by the process.
std::size_t CountUnread(const watched_process& process) {
  constexpr unsigned kListening = 0x0a;
  std::ifstream file("/proc/net/tcp");
  std::size_t sum = 0;
  for (std::string line; std::getline(file, line);) {
    unsigned local = 0;
    unsigned remote = 0;
    unsigned state = 0;
    unsigned unread = 0;
    if (std::sscanf(line.c_str(), " %*d: %*x:%x %*x:%x %x %*x:%x", &local,
                    &remote, &state, &unread) != 4 ||
        state == kListening)
      continue;
    if (process.own_ports.contains(static_cast<std::uint16_t>(local)) ||
        process.target_ports.contains(static_cast<std::uint16_t>(remote)))
      sum += unread;
  }
  return sum;
}

}  // namespace

client_crowd::~client_crowd() {
  for (const auto& socket : sockets) {
    boost::system::error_code ignored;
    socket->close(ignored);
  }
}

std::unique_ptr<client_crowd> StartCrowd(asio::io_context& context,
                                         const waxwing::endpoint& address,
                                         const client_script& script) {
  auto crowd = std::make_unique<client_crowd>();
  for (int i = 0; i < script.clients; ++i)
    asio::co_spawn(context,
                   RunClient(crowd->lives, *crowd, context, address, script),
                   asio::detached);
  return crowd;
}

bool IsAlive(const watched_process& process) {
  int status = 0;
  return ::waitpid(process.id, &status, WNOHANG) == 0;
}

void Measure(watched_process& process) {
  // VmHWM is the peak of VmRSS, which this may have missed.
  process.peak.memory_bytes =
      std::max({process.peak.memory_bytes, ReadStatus(process.id, "VmHWM:"),
                ReadStatus(process.id, "VmRSS:") + CountUnread(process)});
  process.peak.descriptors =
      std::max(process.peak.descriptors, CountDescriptors(process.id));
}

}  // namespace testing_support
