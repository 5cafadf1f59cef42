#include "caller/prefix_hashes.h"

#include "base/hash.h"
#include "caller/parse_request.h"

namespace flamingoshunt::caller {

std::vector<std::uint64_t> ComputePrefixHashes(const base::entry_name& entry,
                                               std::string_view prompt) {
  std::vector<std::uint64_t> hashes;
  std::uint64_t seed = base::Hash64(entry.str());
  while (prompt.size() >= kPrefixBlockBytes &&
         hashes.size() < kMaxPrefixBlocks) {
    seed = base::Hash64(prompt.substr(0, kPrefixBlockBytes), seed);
    hashes.push_back(seed);
    prompt.remove_prefix(kPrefixBlockBytes);
  }
  return hashes;
}

base::fingerprint ComputeFingerprint(const base::workspace_id& workspace,
                                     const base::entry_name& entry,
                                     std::string_view body) {
  const std::uint64_t workspace_hash = base::Hash64(workspace.str());
  return base::fingerprint(
      base::Hash64(body, base::Hash64(entry.str(), workspace_hash)));
}

}  // namespace flamingoshunt::caller
