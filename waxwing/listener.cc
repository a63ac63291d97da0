#include "waxwing/listener.h"

#include <boost/asio.hpp>

namespace waxwing {

namespace asio = boost::asio;

tl::expected<asio::ip::tcp::acceptor, std::string> OpenListener(
    asio::any_io_executor executor,
    const endpoint& address,
    int receive_window) {
  asio::ip::tcp::acceptor acceptor(executor);
  boost::system::error_code error;
  const asio::ip::tcp::endpoint local(
      asio::ip::make_address(address.host, error), address.port);
  if (!error)
    acceptor.open(local.protocol(), error);
  // Lets a restarted process bind the address despite sockets in TIME_WAIT.
  if (!error)
    acceptor.set_option(asio::socket_base::reuse_address(true), error);
  // Is inherited by connections only if it is set before they are accepted.
  if (!error && receive_window > 0)
    acceptor.set_option(asio::socket_base::receive_buffer_size(receive_window),
                        error);
  if (!error)
    acceptor.bind(local, error);
  if (!error)
    acceptor.listen(asio::socket_base::max_listen_connections, error);
  if (error)
    return tl::unexpected("can't listen on " + ToText(address) + ": " +
                          error.message());
  return acceptor;
}

}  // namespace waxwing
