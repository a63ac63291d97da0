// Hashing: XXH3 for tables and rendezvous hashing, HMAC-SHA-256 for anything
// that an outsider must not be able to forge.

#ifndef WAXWING_HASH_H_
#define WAXWING_HASH_H_

#include <array>
#include <compare>
#include <cstdint>
#include <initializer_list>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace waxwing {

// XXH3 of `text` with a seed.
std::uint64_t Hash64(std::string_view text, std::uint64_t seed = 0);

// A hash that is long enough to stand for the hashed text. Not secure against
// texts that are made to collide.
struct hash128 {
  std::uint64_t high = 0;
  std::uint64_t low = 0;

  auto operator<=>(const hash128&) const = default;
};

// XXH3 of a list of texts.
hash128 Hash128(std::initializer_list<std::string_view> texts);

// Combines two hashes into one; their order matters.
std::uint64_t CombineHashes(std::uint64_t a, std::uint64_t b);

// Weight of `node` for `key` in rendezvous hashing: the nodes with the largest
// weights own the key, so that a change of nodes moves only the keys of the
// nodes that changed.
inline std::uint64_t RendezvousWeight(std::uint64_t key, std::uint64_t node) {
  std::uint64_t x = key ^ (node * 0x9e3779b97f4a7c15ULL);
  x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9ULL;
  x = (x ^ (x >> 27)) * 0x94d049bb133111ebULL;
  return x ^ (x >> 31);
}

// Indexes of the `count` entries of `nodes` with the largest weights for `key`,
// largest first.
std::vector<std::size_t> RendezvousPick(std::uint64_t key,
                                        std::span<const std::uint64_t> nodes,
                                        std::size_t count);

using mac_bytes = std::array<std::uint8_t, 16>;

// HMAC-SHA-256 of `text` under `key`, truncated to 16 bytes.
mac_bytes ComputeMac(std::string_view key, std::string_view text);

// Compares in constant time.
bool SameMac(const mac_bytes& a, const mac_bytes& b);

// Formats `value` as 16 hexadecimal digits.
std::string ToHex(std::uint64_t value);

// Formats a hash as 32 hexadecimal digits, and parses such text. Returns
// std::nullopt if it is anything else.
std::string ToHex(const hash128& value);
std::optional<hash128> ParseHash128(std::string_view text);

// Hexadecimal SHA-256 of `text`; used as the name of immutable objects.
std::string ContentHash(std::string_view text);

// A non-zero cryptographic random number; used as an incarnation id.
std::uint64_t RandomId();

}  // namespace waxwing

#endif  // WAXWING_HASH_H_
