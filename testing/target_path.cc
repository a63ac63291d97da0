#include "testing/target_path.h"

#include <array>

namespace testing_support {

namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

constexpr auto kUseTuple = asio::as_tuple(asio::use_awaitable);
constexpr std::chrono::milliseconds kHangPoll{5};
// Connections after which a listener without a backlog drops further ones.
constexpr int kFillers = 4;

using socket_ptr = std::shared_ptr<tcp::socket>;

// Copies bytes one way; while the path hangs, it holds them.
asio::awaitable<void> Copy(std::shared_ptr<target_path> path,
                           socket_ptr from,
                           socket_ptr to) {
  std::array<char, 16 * 1024> bytes;
  while (true) {
    auto [read_error, count] =
        co_await from->async_read_some(asio::buffer(bytes), kUseTuple);
    while (path->cut == path_cut::kHanging && from->is_open()) {
      asio::steady_timer timer(*path->context, kHangPoll);
      co_await timer.async_wait(kUseTuple);
    }
    if (read_error)
      break;
    auto [write_error, written] = co_await asio::async_write(
        *to, asio::buffer(bytes.data(), count), kUseTuple);
    if (write_error)
      break;
  }
  boost::system::error_code ignored;
  to->close(ignored);
  from->close(ignored);
}

asio::awaitable<void> Serve(std::shared_ptr<target_path> path,
                            socket_ptr client) {
  const auto server = std::make_shared<tcp::socket>(*path->context);
  const tcp::endpoint remote(asio::ip::make_address(path->target.host),
                             path->target.port);
  auto [error] = co_await server->async_connect(remote, kUseTuple);
  if (error)
    co_return;
  path->sockets.push_back(client);
  path->sockets.push_back(server);
  asio::co_spawn(*path->context, Copy(path, client, server), asio::detached);
  co_await Copy(path, server, client);
}

asio::awaitable<void> Accept(std::shared_ptr<target_path> path,
                             tcp::acceptor* acceptor) {
  while (path->acceptor.get() == acceptor && path->cut == path_cut::kNone) {
    auto [error, socket] = co_await acceptor->async_accept(kUseTuple);
    if (error)
      co_return;
    asio::co_spawn(
        *path->context,
        Serve(path, std::make_shared<tcp::socket>(std::move(socket))),
        asio::detached);
  }
}

// Takes the path's port, at first any free one. Connections to it are refused.
void Bind(target_path& path) {
  path.acceptor = std::make_unique<tcp::acceptor>(*path.context);
  path.acceptor->open(tcp::v4());
  path.acceptor->set_option(tcp::acceptor::reuse_address(true));
  path.acceptor->bind(
      tcp::endpoint(asio::ip::address_v4::loopback(), path.port));
  path.port = path.acceptor->local_endpoint().port();
}

void FillBacklog(target_path& path) {
  for (int i = 0; i < kFillers; ++i) {
    auto filler = std::make_unique<tcp::socket>(*path.context, tcp::v4());
    filler->async_connect(
        tcp::endpoint(asio::ip::address_v4::loopback(), path.port),
        [](const boost::system::error_code&) {});
    path.fillers.push_back(std::move(filler));
  }
}

void ResetAll(target_path& path) {
  for (const auto& weak : path.sockets) {
    if (const auto socket = weak.lock(); socket && socket->is_open()) {
      boost::system::error_code ignored;
      socket->set_option(asio::socket_base::linger(true, 0), ignored);
      socket->close(ignored);
    }
  }
  path.sockets.clear();
}

}  // namespace

std::shared_ptr<target_path> OpenPath(asio::io_context& context,
                                      const waxwing::endpoint& target) {
  auto path = std::make_shared<target_path>();
  path->context = &context;
  path->target = target;
  SetCut(path, path_cut::kNone);
  return path;
}

void SetCut(const std::shared_ptr<target_path>& path, path_cut cut) {
  path->cut = cut;
  path->acceptor.reset();
  path->fillers.clear();
  if (cut == path_cut::kResetting)
    ResetAll(*path);
  // Without it, another process may listen on the port of a path that is cut.
  Bind(*path);
  if (cut == path_cut::kHanging) {
    path->acceptor->listen(0);
    FillBacklog(*path);
  }
  if (cut == path_cut::kNone) {
    path->acceptor->listen(tcp::acceptor::max_listen_connections);
    asio::co_spawn(*path->context, Accept(path, path->acceptor.get()),
                   asio::detached);
  }
}

}  // namespace testing_support
