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
// and the system's message, for the operator.
tl::expected<boost::asio::ip::tcp::acceptor, std::string> OpenListener(
    boost::asio::any_io_executor executor,
    const endpoint& address);

}  // namespace waxwing

#endif  // WAXWING_LISTENER_H_
