// Opening of listening sockets.

#ifndef WAXWING_LISTENER_H_
#define WAXWING_LISTENER_H_

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <string>

#include <tl/expected.hpp>

#include "waxwing/types.h"

namespace waxwing {

// Listens at `address`; port 0 picks a free one. Fails with the address and the
// system's text, for the operator.
tl::expected<boost::asio::ip::tcp::acceptor, std::string> OpenListener(
    boost::asio::any_io_executor executor,
    const endpoint& address);

}  // namespace waxwing

#endif  // WAXWING_LISTENER_H_
