#include "waxwing/hash.h"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <openssl/rand.h>
#include <xxhash.h>

#include <algorithm>
#include <cstdio>
#include <cstring>
#include <numeric>

namespace waxwing {

std::uint64_t Hash64(std::string_view text, std::uint64_t seed) {
  return XXH3_64bits_withSeed(text.data(), text.size(), seed);
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
