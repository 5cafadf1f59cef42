// Defines which items a node publishes to its peers, and when. Each item is
// kept published by the two live nodes that rank first for it, so that a node
// that starts or is cut off from the platform finds the whole catalogue among
// its peers. Others publish an item only if, after a wait, no peer has shown it
// or some peer still lags behind it.
#ifndef FLAMINGOSHUNT_CATALOGUE_PUBLISHER_H_
#define FLAMINGOSHUNT_CATALOGUE_PUBLISHER_H_

#include <map>
#include <optional>
#include <vector>

#include "catalogue/item_table.h"
#include "catalogue/peer_statements.h"

namespace flamingoshunt::catalogue {

inline constexpr std::string_view kTopic = "catalogue";

class publisher {
 public:
  static constexpr std::size_t kPublishers = 2;  // nodes for each item
  /// Wait before a node of lower rank stands in, and more for each rank.
  static constexpr base::duration kStandInAfter =
      std::chrono::milliseconds(500);
  static constexpr base::duration kStandInStep = std::chrono::milliseconds(60);
  /// Wait before the newest items are published for a peer that lags.
  static constexpr base::duration kHelpAfter = std::chrono::milliseconds(800);
  static constexpr std::size_t kMaxHelp = 16;  // items at a time

  publisher(const item_table& table, const peer_statements& peers)
      : table_(table), peers_(peers) {}

  /// Notes that the table took @p item, from a peer or from the platform.
  void Changed(const stored_item& item, bool from_peer, base::time_point now);

  /// Notes that a peer shows an item as new as the table's.
  void Shown(const store::object_key& key);

  /// Ranks anew after peers came or went.
  void PeersChanged(base::time_point now);

  /// @return what is to be published now.
  std::vector<membership::publish> Due(base::time_point now);
  std::optional<base::time_point> NextTimer() const;

 private:
  struct identity {
    std::uint64_t generation = 0;
    std::string writer;
    bool operator==(const identity&) const = default;
  };

  void Schedule(const store::object_key& key, base::time_point when);
  void HelpLagging(base::time_point now);

  const item_table& table_;
  const peer_statements& peers_;
  std::map<store::object_key, identity> published_;
  std::map<store::object_key, base::time_point> due_;
  std::optional<base::time_point> help_at_;
};

/// @return the item's key among the peers' items: "kind/name".
std::string PeerKey(const store::object_key& key);

/// @return nothing when @p text is no such key.
std::optional<store::object_key> ParsePeerKey(std::string_view text);

}  // namespace flamingoshunt::catalogue

#endif  // FLAMINGOSHUNT_CATALOGUE_PUBLISHER_H_
