// Authenticated connections between agents and routers: FlatBuffers frames over
// TCP.
//
// Both ends prove that they know the shared key before any other message is
// read: each sends a nonce, then a MAC over both nonces, its role, its VM name
// and its incarnation. Frames are limited to kMaxHandshakeFrameBytes during the
// handshake and to kMaxFrameBytes after it. Every frame is checked by the
// FlatBuffers verifier. A frame that is too long or fails verification closes
// the connection.
//
// SendFrame() only queues a frame; a separate coroutine writes the queue. A
// link whose queue exceeds kMaxQueueBytes is closed, so that a peer that does
// not read cannot make this process hold unbounded memory.

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

// Identity that a process presents to its peers.
struct peer_identity {
  peer_role role = peer_role::kAgent;
  std::string vm;
  std::uint64_t incarnation = 0;
};

enum class peer_failure {
  kConnect,
  kClosed,
  kTimeout,
  kRefused,    // the peer failed authentication or has another wire version
  kMalformed,  // a frame is too long or fails verification
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

// Traffic of a process over all its links.
struct peer_traffic {
  std::uint64_t bytes_sent = 0;
  std::uint64_t bytes_received = 0;
  std::uint64_t frames_sent = 0;
  std::uint64_t frames_received = 0;
};

// Returns the totals of this process.
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

// Queues a frame. Does nothing if the link is closed.
void SendFrame(const peer_link& link, const wire::frameT& frame);

// Wraps a message in a frame and queues it.
template <typename Message>
void SendMessage(const peer_link& link, Message message) {
  wire::frameT frame;
  frame.message.Set(std::move(message));
  SendFrame(link, frame);
}

// Reads the next frame. Fails if none arrives within `timeout`.
boost::asio::awaitable<tl::expected<wire::frameT, peer_error>> ReadFrame(
    peer_link link,
    milliseconds timeout);

// Closes the connection. A pending read fails.
void ClosePeer(const peer_link& link);

bool IsOpen(const peer_link& link);

// Returns a short name for a failure, for logs.
std::string_view NameOf(peer_failure failure);

namespace detail {

// Returns the text whose MAC proves knowledge of the key: both nonces, whether
// the sender is the dialler or the acceptor, and its claimed identity.
std::string HandshakeText(std::uint64_t dialler_nonce,
                          std::uint64_t acceptor_nonce,
                          bool is_dialler,
                          const peer_identity& identity);

}  // namespace detail
}  // namespace waxwing

#endif  // WAXWING_PEER_LINK_H_
