#include "waxwing/peer_link.h"

#include <algorithm>
#include <array>
#include <boost/asio.hpp>
#include <boost/beast/core/error.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <cstring>
#include <deque>
#include <optional>
#include <vector>

#include "waxwing/hash.h"

namespace waxwing {

namespace asio = boost::asio;
namespace beast = boost::beast;

namespace detail {

struct peer_link_state {
  // Reads use the stream and its timeout. Writes use its socket directly, so
  // that the timeout of a pending read does not apply to them.
  beast::tcp_stream stream;
  std::deque<std::vector<std::uint8_t>> queue;
  std::size_t queued_bytes = 0;
  bool writing = false;
  bool open = true;
  std::size_t frame_limit = kMaxHandshakeFrameBytes;

  explicit peer_link_state(beast::tcp_stream s) : stream(std::move(s)) {}
};

std::string HandshakeText(std::uint64_t dialler_nonce,
                          std::uint64_t acceptor_nonce,
                          bool is_dialler,
                          const peer_identity& identity) {
  return ToHex(dialler_nonce) + ToHex(acceptor_nonce) +
         (is_dialler ? "d" : "a") +
         std::to_string(static_cast<int>(identity.role)) +
         ToHex(identity.incarnation) + identity.vm;
}

}  // namespace detail

namespace {

constexpr auto kUseTuple = asio::as_tuple(asio::use_awaitable);
constexpr std::size_t kLengthBytes = 4;

using state_ptr = std::shared_ptr<detail::peer_link_state>;
template <typename T>
using result = tl::expected<T, peer_error>;

void Close(detail::peer_link_state& state) {
  state.open = false;
  beast::error_code ignored;
  state.stream.socket().close(ignored);
}

std::vector<std::uint8_t> Encode(const wire::frameT& frame) {
  flatbuffers::FlatBufferBuilder builder;
  builder.Finish(wire::frame::Pack(builder, &frame));
  const auto size = static_cast<std::uint32_t>(builder.GetSize());
  std::vector<std::uint8_t> out(kLengthBytes + size);
  for (std::size_t i = 0; i < kLengthBytes; ++i)
    out[i] = static_cast<std::uint8_t>(size >> (8 * i));
  std::memcpy(out.data() + kLengthBytes, builder.GetBufferPointer(), size);
  return out;
}

asio::awaitable<void> WriteLoop(state_ptr state) {
  while (state->open && !state->queue.empty()) {
    const std::vector<std::uint8_t> next = std::move(state->queue.front());
    state->queue.pop_front();
    state->queued_bytes -= next.size();
    auto [error, bytes] = co_await asio::async_write(
        state->stream.socket(), asio::buffer(next), kUseTuple);
    if (error) {
      Close(*state);
      break;
    }
    ProcessTraffic().bytes_sent += next.size();
    ++ProcessTraffic().frames_sent;
  }
  state->writing = false;
}

peer_error ToPeerError(const beast::error_code& error) {
  if (error == beast::error::timeout)
    return {peer_failure::kTimeout, error.message()};
  return {peer_failure::kClosed, error.message()};
}

asio::awaitable<result<wire::frameT>> ReadNextFrame(state_ptr state,
                                                    milliseconds timeout) {
  std::array<std::uint8_t, kLengthBytes> length_bytes;
  state->stream.expires_after(timeout);
  auto [length_error, length_read] = co_await asio::async_read(
      state->stream, asio::buffer(length_bytes), kUseTuple);
  if (length_error) {
    Close(*state);
    co_return tl::unexpected(ToPeerError(length_error));
  }
  std::size_t size = 0;
  for (std::size_t i = 0; i < kLengthBytes; ++i)
    size |= static_cast<std::size_t>(length_bytes[i]) << (8 * i);
  if (size > state->frame_limit) {
    Close(*state);
    co_return tl::unexpected(
        peer_error{peer_failure::kMalformed, "frame exceeds the size limit"});
  }
  std::vector<std::uint8_t> bytes(size);
  auto [error, read] =
      co_await asio::async_read(state->stream, asio::buffer(bytes), kUseTuple);
  if (error) {
    Close(*state);
    co_return tl::unexpected(ToPeerError(error));
  }
  flatbuffers::Verifier verifier(bytes.data(), bytes.size());
  if (!wire::VerifyframeBuffer(verifier)) {
    Close(*state);
    co_return tl::unexpected(
        peer_error{peer_failure::kMalformed, "frame fails verification"});
  }
  ProcessTraffic().bytes_received += kLengthBytes + size;
  ++ProcessTraffic().frames_received;
  wire::frameT frame;
  wire::Getframe(bytes.data())->UnPackTo(&frame);
  co_return frame;
}

wire::helloT MakeHello(const peer_identity& self,
                       std::string_view key,
                       const std::string& text) {
  const mac_bytes mac = ComputeMac(key, text);
  wire::helloT hello;
  hello.role = static_cast<std::uint8_t>(self.role);
  hello.vm = self.vm;
  hello.incarnation = self.incarnation;
  hello.mac.assign(mac.begin(), mac.end());
  return hello;
}

bool HasValidMac(const wire::helloT& hello,
                 std::string_view key,
                 const std::string& text) {
  mac_bytes claimed{};
  if (hello.mac.size() != claimed.size())
    return false;
  std::copy(hello.mac.begin(), hello.mac.end(), claimed.begin());
  return SameMac(claimed, ComputeMac(key, text));
}

// Runs the handshake on a new connection.
asio::awaitable<result<peer_link>> Handshake(state_ptr state,
                                             peer_identity self,
                                             std::string key,
                                             bool is_dialler) {
  peer_link link{state, {}, {}};
  wire::challengeT challenge;
  challenge.version = kWireVersion;
  challenge.nonce = RandomId();
  const std::uint64_t own_nonce = challenge.nonce;
  SendMessage(link, challenge);
  auto first = co_await ReadNextFrame(state, kHandshakeTimeout);
  if (!first)
    co_return tl::unexpected(first.error());
  const auto* peer_challenge = first->message.Aschallenge();
  if (!peer_challenge || peer_challenge->version != kWireVersion) {
    Close(*state);
    co_return tl::unexpected(
        peer_error{peer_failure::kRefused,
                   "no challenge, or an unsupported wire version"});
  }
  const std::uint64_t dialler_nonce =
      is_dialler ? own_nonce : peer_challenge->nonce;
  const std::uint64_t acceptor_nonce =
      is_dialler ? peer_challenge->nonce : own_nonce;
  const std::string own_text =
      detail::HandshakeText(dialler_nonce, acceptor_nonce, is_dialler, self);
  SendMessage(link, MakeHello(self, key, own_text));
  auto second = co_await ReadNextFrame(state, kHandshakeTimeout);
  if (!second)
    co_return tl::unexpected(second.error());
  const auto* hello = second->message.Ashello();
  if (hello) {
    link.peer = {static_cast<peer_role>(hello->role), hello->vm,
                 hello->incarnation};
  }
  const std::string peer_text = detail::HandshakeText(
      dialler_nonce, acceptor_nonce, !is_dialler, link.peer);
  if (!hello || !HasValidMac(*hello, key, peer_text)) {
    Close(*state);
    co_return tl::unexpected(peer_error{
        peer_failure::kRefused, "the peer's MAC does not match the key"});
  }
  state->frame_limit = kMaxFrameBytes;
  co_return link;
}

}  // namespace

peer_traffic& ProcessTraffic() {
  static peer_traffic traffic;
  return traffic;
}

asio::awaitable<result<peer_link>> DialPeer(asio::any_io_executor executor,
                                            endpoint address,
                                            peer_identity self,
                                            std::string key) {
  beast::error_code code;
  const asio::ip::tcp::endpoint remote(
      asio::ip::make_address(address.host, code), address.port);
  if (code)
    co_return tl::unexpected(
        peer_error{peer_failure::kConnect, code.message()});
  beast::tcp_stream stream(executor);
  stream.expires_after(kHandshakeTimeout);
  auto [error] = co_await stream.async_connect(remote, kUseTuple);
  if (error)
    co_return tl::unexpected(
        peer_error{peer_failure::kConnect, error.message()});
  stream.socket().set_option(asio::ip::tcp::no_delay(true), code);
  auto state = std::make_shared<detail::peer_link_state>(std::move(stream));
  auto link = co_await Handshake(state, std::move(self), std::move(key), true);
  if (link)
    link->address = address;
  co_return link;
}

asio::awaitable<result<peer_link>> AcceptPeer(asio::ip::tcp::socket socket,
                                              peer_identity self,
                                              std::string key) {
  beast::error_code ignored;
  socket.set_option(asio::ip::tcp::no_delay(true), ignored);
  auto state = std::make_shared<detail::peer_link_state>(
      beast::tcp_stream(std::move(socket)));
  auto link = co_await Handshake(state, std::move(self), std::move(key), false);
  co_return link;
}

void SendFrame(const peer_link& link, const wire::frameT& frame) {
  const state_ptr& state = link.state;
  if (!state || !state->open)
    return;
  std::vector<std::uint8_t> bytes = Encode(frame);
  state->queued_bytes += bytes.size();
  if (state->queued_bytes > kMaxQueueBytes) {
    Close(*state);
    return;
  }
  state->queue.push_back(std::move(bytes));
  if (!state->writing) {
    state->writing = true;
    asio::co_spawn(state->stream.get_executor(), WriteLoop(state),
                   asio::detached);
  }
}

asio::awaitable<result<wire::frameT>> ReadFrame(peer_link link,
                                                milliseconds timeout) {
  return ReadNextFrame(link.state, timeout);
}

void ClosePeer(const peer_link& link) {
  if (link.state)
    Close(*link.state);
}

bool IsOpen(const peer_link& link) {
  return link.state && link.state->open;
}

std::string_view NameOf(peer_failure failure) {
  switch (failure) {
    case peer_failure::kConnect:
      return "connect";
    case peer_failure::kClosed:
      return "closed";
    case peer_failure::kTimeout:
      return "timeout";
    case peer_failure::kRefused:
      return "refused";
    case peer_failure::kMalformed:
      return "malformed";
  }
  return "unknown";
}

}  // namespace waxwing
