// Defines the hashes of the product: a fast seeded one for placement and
// fingerprints, SHA-256 for stored keys, a comparison in constant time, and
// rendezvous hashing, which ranks candidates for a key without coordination.
#ifndef FLAMINGOSHUNT_BASE_HASH_H_
#define FLAMINGOSHUNT_BASE_HASH_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace flamingoshunt::base {

/// @return the 64-bit xxHash of @p text under @p seed; equal on every node.
std::uint64_t Hash64(std::string_view text, std::uint64_t seed = 0);

/// @return the SHA-256 of @p text as 64 lower-case hexadecimal digits.
std::string Sha256Hex(std::string_view text);

/// @return whether both are equal; takes the same time for equal lengths.
bool EqualInConstantTime(std::string_view left, std::string_view right);

/// Ranks @p candidates for @p key by rendezvous hashing: every node computes
/// the same order, and removing a candidate moves only the keys it led.
/// @return indices into @p candidates, the best first.
std::vector<std::size_t> RendezvousOrder(
    std::string_view key,
    const std::vector<std::string>& candidates);

}  // namespace flamingoshunt::base

#endif  // FLAMINGOSHUNT_BASE_HASH_H_
