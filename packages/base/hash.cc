#include "base/hash.h"

#include <openssl/crypto.h>
#include <openssl/sha.h>

#include <algorithm>
#include <array>
#include <numeric>

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace flamingoshunt::base {

std::uint64_t Hash64(std::string_view text, std::uint64_t seed) {
  return XXH64(text.data(), text.size(), seed);
}

std::string Sha256Hex(std::string_view text) {
  std::array<unsigned char, SHA256_DIGEST_LENGTH> digest{};
  SHA256(reinterpret_cast<const unsigned char*>(text.data()), text.size(),
         digest.data());
  constexpr char kDigits[] = "0123456789abcdef";
  std::string hex;
  for (const unsigned char byte : digest) {
    hex.push_back(kDigits[byte >> 4]);
    hex.push_back(kDigits[byte & 15]);
  }
  return hex;
}

bool EqualInConstantTime(std::string_view left, std::string_view right) {
  return left.size() == right.size() &&
         CRYPTO_memcmp(left.data(), right.data(), left.size()) == 0;
}

std::vector<std::size_t> RendezvousOrder(
    std::string_view key,
    const std::vector<std::string>& candidates) {
  const std::uint64_t seed = Hash64(key);
  std::vector<std::uint64_t> weights;
  weights.reserve(candidates.size());
  for (const std::string& candidate : candidates)
    weights.push_back(Hash64(candidate, seed));
  std::vector<std::size_t> order(candidates.size());
  std::iota(order.begin(), order.end(), std::size_t{0});
  std::sort(order.begin(), order.end(), [&](std::size_t a, std::size_t b) {
    return weights[a] != weights[b] ? weights[a] > weights[b]
                                    : candidates[a] < candidates[b];
  });
  return order;
}

}  // namespace flamingoshunt::base
