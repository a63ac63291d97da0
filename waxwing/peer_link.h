// Connections between the system's own processes: FlatBuffers frames over TCP.
//
// Both ends prove that they know the shared key before anything else is read:
// each sends a nonce, then a MAC over both nonces, its role and its name. Until
// that is done a frame may have kMaxHandshakeFrameBytes at most; afterwards
// kMaxFrameBytes. Every frame is checked by the FlatBuffers verifier. A frame
// that is too long or does not verify ends the connection.
//
// Reading and writing are separate: SendFrame() only queues, a link whose queue
// exceeds kMaxQueueBytes is closed, so that a silent peer can't hold memory.

#ifndef WAXWING_PEER_LINK_H_
#define WAXWING_PEER_LINK_H_

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <utility>

#include <tl/expected.hpp>

#include "schema/wire_generated.h"
#include "waxwing/types.h"

namespace waxwing {

inline constexpr std::uint32_t kWireVersion = 1;
inline constexpr std::size_t kMaxHandshakeFrameBytes = 1024;
inline constexpr std::size_t kMaxFrameBytes = 4 * 1024 * 1024;
inline constexpr std::size_t kMaxQueueBytes = 32 * 1024 * 1024;
inline constexpr milliseconds kHandshakeTimeout{1'000};

enum class peer_role : std::uint8_t { kAgent, kRouter };

// Who a process is towards its peers.
struct peer_identity {
  peer_role role = peer_role::kAgent;
  std::string vm;
  std::uint64_t incarnation = 0;
};

enum class peer_failure {
  kConnect,
  kClosed,
  kTimeout,
  kRefused,    // the other end does not know the key
  kMalformed,  // a frame is too long or does not verify
};

struct peer_error {
  peer_failure failure = peer_failure::kClosed;
  std::string detail;
};

namespace detail {
struct peer_link_state;
}  // namespace detail

// An authenticated connection.
struct peer_link {
  std::shared_ptr<detail::peer_link_state> state;
  peer_identity peer;
  endpoint address;
};

// Bytes that a process has exchanged over all its links.
struct peer_traffic {
  std::uint64_t bytes_sent = 0;
  std::uint64_t bytes_received = 0;
  std::uint64_t frames_sent = 0;
  std::uint64_t frames_received = 0;
};

// Totals of this process.
peer_traffic& ProcessTraffic();

boost::asio::awaitable<tl::expected<peer_link, peer_error>> DialPeer(
    boost::asio::any_io_executor executor,
    endpoint address,
    peer_identity self,
    std::string key);

boost::asio::awaitable<tl::expected<peer_link, peer_error>> AcceptPeer(
    boost::asio::ip::tcp::socket socket,
    peer_identity self,
    std::string key);

// Queues a frame. A link that is closed drops it.
void SendFrame(const peer_link& link, const wire::frameT& frame);

// Wraps a message into a frame and queues it.
template <typename Message>
void SendMessage(const peer_link& link, Message message) {
  wire::frameT frame;
  frame.message.Set(std::move(message));
  SendFrame(link, frame);
}

// The next frame; fails if none comes within `timeout`.
boost::asio::awaitable<tl::expected<wire::frameT, peer_error>> ReadFrame(
    peer_link link,
    milliseconds timeout);

// Closes the connection; a pending read ends.
void ClosePeer(const peer_link& link);

bool IsOpen(const peer_link& link);

// Short word for a failure, for logs.
std::string_view NameOf(peer_failure failure);

namespace detail {

// The text whose MAC proves the key: the nonces of dialler and acceptor, which
// of the two speaks, and who it claims to be.
std::string HandshakeText(std::uint64_t dialler_nonce,
                          std::uint64_t acceptor_nonce,
                          bool is_dialler,
                          const peer_identity& identity);

}  // namespace detail
}  // namespace waxwing

#endif  // WAXWING_PEER_LINK_H_
