#include "waxwing/hash.h"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <openssl/rand.h>
#include <xxhash.h>

#include <algorithm>
#include <charconv>
#include <cstdio>
#include <cstring>
#include <numeric>

namespace waxwing {

std::uint64_t Hash64(std::string_view text, std::uint64_t seed) {
  return XXH3_64bits_withSeed(text.data(), text.size(), seed);
}

hash128 Hash128(std::initializer_list<std::string_view> texts) {
  std::vector<XXH128_hash_t> digests;
  for (const std::string_view text : texts)
    digests.push_back(XXH3_128bits(text.data(), text.size()));
  const XXH128_hash_t digest =
      XXH3_128bits(digests.data(), digests.size() * sizeof(XXH128_hash_t));
  return {digest.high64, digest.low64};
}

std::uint64_t CombineHashes(std::uint64_t a, std::uint64_t b) {
  const std::uint64_t pair[2] = {a, b};
  return XXH3_64bits(pair, sizeof pair);
}

std::vector<std::size_t> RendezvousPick(std::uint64_t key,
                                        std::span<const std::uint64_t> nodes,
                                        std::size_t count) {
  std::vector<std::size_t> order(nodes.size());
  std::iota(order.begin(), order.end(), std::size_t{0});
  count = std::min(count, nodes.size());
  std::partial_sort(order.begin(),
                    order.begin() + static_cast<std::ptrdiff_t>(count),
                    order.end(), [&](std::size_t a, std::size_t b) {
                      const auto wa = RendezvousWeight(key, nodes[a]);
                      const auto wb = RendezvousWeight(key, nodes[b]);
                      return wa != wb ? wa > wb : nodes[a] < nodes[b];
                    });
  order.resize(count);
  return order;
}

mac_bytes ComputeMac(std::string_view key, std::string_view text) {
  unsigned char digest[EVP_MAX_MD_SIZE];
  unsigned int length = 0;
  HMAC(EVP_sha256(), key.data(), static_cast<int>(key.size()),
       reinterpret_cast<const unsigned char*>(text.data()), text.size(), digest,
       &length);
  mac_bytes out;
  std::memcpy(out.data(), digest, out.size());
  return out;
}

bool SameMac(const mac_bytes& a, const mac_bytes& b) {
  return CRYPTO_memcmp(a.data(), b.data(), a.size()) == 0;
}

std::string ToHex(std::uint64_t value) {
  char text[24];
  std::snprintf(text, sizeof text, "%016llx",
                static_cast<unsigned long long>(value));
  return text;
}

std::string ToHex(const hash128& value) {
  return ToHex(value.high) + ToHex(value.low);
}

std::optional<hash128> ParseHash128(std::string_view text) {
  constexpr std::size_t kDigits = 16;
  hash128 out;
  const auto parse = [](std::string_view digits, std::uint64_t& value) {
    const auto [end, error] = std::from_chars(
        digits.data(), digits.data() + digits.size(), value, 16);
    return error == std::errc() && end == digits.data() + digits.size();
  };
  if (text.size() != 2 * kDigits || !parse(text.substr(0, kDigits), out.high) ||
      !parse(text.substr(kDigits), out.low))
    return std::nullopt;
  return out;
}

std::string ContentHash(std::string_view text) {
  unsigned char digest[EVP_MAX_MD_SIZE];
  unsigned int length = 0;
  EVP_Digest(text.data(), text.size(), digest, &length, EVP_sha256(), nullptr);
  std::string out;
  char hex[4];
  for (unsigned int i = 0; i < length; ++i) {
    std::snprintf(hex, sizeof hex, "%02x", digest[i]);
    out += hex;
  }
  return out;
}

std::uint64_t RandomId() {
  std::uint64_t out = 0;
  RAND_bytes(reinterpret_cast<unsigned char*>(&out), sizeof out);
  return out | 1;
}

}  // namespace waxwing
