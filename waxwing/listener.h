// Opens listening sockets.

#ifndef WAXWING_LISTENER_H_
#define WAXWING_LISTENER_H_

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <string>

#include <tl/expected.hpp>

#include "waxwing/types.h"

namespace waxwing {

// Listens on `address`; port 0 selects a free port. The error names the address
// and the system's message, for the operator. Connections receive at most
// `receive_window` bytes ahead, unless it is 0.
tl::expected<boost::asio::ip::tcp::acceptor, std::string> OpenListener(
    boost::asio::any_io_executor executor,
    const endpoint& address,
    int receive_window = 0);

}  // namespace waxwing

#endif  // WAXWING_LISTENER_H_
