// Defines what peers say of the catalogue they have in force, and what follows
// from it: whether enough of them agree with this node, who lags, and which
// node acts first for an item.
#ifndef FLAMINGOSHUNT_CATALOGUE_PEER_STATEMENTS_H_
#define FLAMINGOSHUNT_CATALOGUE_PEER_STATEMENTS_H_

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/clock.h"
#include "base/ids.h"
#include "membership/messages.h"

namespace flamingoshunt::catalogue {

/// What a node says of itself under topic "catalogue", key "in-force".
struct statement {
  std::uint64_t version = 0;
  std::uint64_t digest = 0;
  /// How long ago this state was proven against the platform; nothing when
  /// that lies beyond the bound.
  std::optional<base::duration> platform_age;
  bool operator==(const statement&) const = default;
};

std::string EncodeStatement(const statement& said);

/// @return nothing when @p text is not a statement.
std::optional<statement> DecodeStatement(std::string_view text);

class peer_statements {
 public:
  static constexpr std::size_t kMaxOrigins = 4096;  // nodes

  explicit peer_statements(base::node_id self) : self_(std::move(self)) {}

  void SetPeers(const std::vector<membership::peer>& peers);
  void Take(const base::node_id& origin,
            const statement& said,
            base::time_point now);

  /// @return when the platform last held nothing newer than @p digest, as some
  ///         peer with the same catalogue proved. Cheap while the digest stays.
  std::optional<base::time_point> PlatformProof(std::uint64_t digest) const;

  /// @return since when at least more than half of all known nodes, this one
  ///         included, have said that they hold @p digest. Dead nodes count
  ///         among the known ones: they may be alive beyond a partition.
  std::optional<base::time_point> MajorityProof(std::uint64_t digest) const;

  /// @return the highest version that any peer ever said to have in force.
  std::uint64_t HighestVersion() const { return highest_version_; }

  /// @return live peers that have not said to be at @p version or above.
  std::vector<base::node_id> Lagging(std::uint64_t version) const;

  /// @return the lowest version that a live peer has said, if it is below
  ///         @p version; a peer that holds nothing yet does not count.
  std::optional<std::uint64_t> LowestLaggingVersion(
      std::uint64_t version) const;

  /// @return how many live peers come before this node for @p key; zero means
  ///         that this node acts first.
  std::size_t Rank(std::string_view key) const;

  std::size_t live_peers() const { return live_.size(); }

 private:
  struct heard {
    statement said;
    base::time_point at;
  };

  base::node_id self_;
  std::vector<base::node_id> live_;
  std::vector<base::node_id> known_;
  std::map<base::node_id, heard> heard_;
  std::uint64_t highest_version_ = 0;
  // The latest proof for the digest last asked for. Kept as statements come,
  // since each of them asks again; a proof once given stays true.
  mutable std::uint64_t proven_digest_ = 0;
  mutable std::optional<base::time_point> proof_;
  // Ranks since the last change of peers: each costs a hash for every peer.
  static constexpr std::size_t kMaxRanks = 16384;  // keys
  mutable std::map<std::string, std::size_t, std::less<>> ranks_;
};

}  // namespace flamingoshunt::catalogue

#endif  // FLAMINGOSHUNT_CATALOGUE_PEER_STATEMENTS_H_
