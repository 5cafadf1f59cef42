// Defines the hashes by which routing detects a shared prompt prefix: one for
// each complete block of the prompt, chained to the previous block's hash, so
// that equal hashes mean equal prefixes up to the end of that block.
//
//   prompt of 1,200 bytes, blocks of 512:   h1 = H(block 1, seed of the entry)
//                                           h2 = H(block 2, h1)
#ifndef FLAMINGOSHUNT_CALLER_PREFIX_HASHES_H_
#define FLAMINGOSHUNT_CALLER_PREFIX_HASHES_H_

#include <cstdint>
#include <string_view>
#include <vector>

#include "base/ids.h"

namespace flamingoshunt::caller {

/// @return at most kMaxPrefixBlocks hashes, shortest prefix first.
std::vector<std::uint64_t> ComputePrefixHashes(const base::entry_name& entry,
                                               std::string_view prompt);

/// @return the hash of (workspace, entry, body).
base::fingerprint ComputeFingerprint(const base::workspace_id& workspace,
                                     const base::entry_name& entry,
                                     std::string_view body);

}  // namespace flamingoshunt::caller

#endif  // FLAMINGOSHUNT_CALLER_PREFIX_HASHES_H_
