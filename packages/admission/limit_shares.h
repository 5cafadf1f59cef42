// Defines how a fleet-wide limit is divided between nodes. Each node holds some
// of a fixed total of points. Points move between nodes by transfers that are
// published as running totals, so that a lost, late or repeated message never
// creates points. The sum held never exceeds the total, whichever messages
// arrive. docs/design/limit-shares.md derives this.
//
//   Total 1,000,000, four nodes with 250,000 each; only node a has demand:
//   b, c and d publish "gave a 240,000" and hold 10,000; a adds each transfer
//   when its item arrives and then holds 970,000.
#ifndef FLAMINGOSHUNT_ADMISSION_LIMIT_SHARES_H_
#define FLAMINGOSHUNT_ADMISSION_LIMIT_SHARES_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "admission/messages.h"
#include "base/clock.h"
#include "base/ids.h"
#include "membership/messages.h"

namespace flamingoshunt::admission {

class limit_shares {
 public:
  using points = std::int64_t;
  static constexpr points kTotalPoints = 1'000'000;

  /// @param incarnation of this process, as the roster lists it.
  limit_shares(base::node_id self, std::uint64_t incarnation);

  /// Applies a newer roster. Until every member is known to use it, this node
  /// holds the lesser of its old points and its new base share.
  void Apply(const limit_roster& roster);

  /// Applies an item that a peer published under the topic "limits".
  void Apply(const membership::item& item);

  /// While no roster is known, all points are divided by this many nodes and
  /// none are transferred.
  void SetProvisionalNodes(std::size_t nodes);

  /// @return the points of limit @p key that this node may use now.
  points HeldPoints(const std::string& key) const;

  /// Sets this node's demand for limit @p key, in points; values above the
  /// total count as the total.
  /// @param in_use points that work in flight uses; never transferred.
  void SetDemand(const std::string& key, points demand, points in_use);

  /// Transfers surplus points to nodes with a deficit.
  /// @return the items to publish for what has changed.
  std::vector<membership::publish> Rebalance();

  bool is_settled() const { return is_settled_; }
  std::size_t members() const { return roster_.members.size(); }

  /// Drops limits that are no longer in the catalogue.
  void RetainLimits(const std::vector<std::string>& keys);

 private:
  using by_node = std::map<base::node_id, points>;

  /// The last item of a peer about one limit.
  struct peer_share {
    base::revision roster;
    std::uint64_t version = 0;
    points demand = 0;
    points held = 0;
    points given_to_self = 0;
  };

  struct limit_share {
    points carried_over = 0;  ///< Points held until the roster is settled.
    points demand = 0;
    points in_use = 0;
    points published_demand = -1;
    points published_held = -1;
    by_node given_totals;  ///< Running totals under the current roster.
    std::map<base::node_id, peer_share> peers;
  };

  struct peer_roster {
    base::revision roster;
    std::uint64_t incarnation = 0;
    std::uint64_t version = 0;
  };

  points BaseShare() const;
  points HeldPoints(const limit_share& share) const;
  limit_share& FindOrCreate(const std::string& key);
  void UpdateSettled();
  void TransferSurplus(limit_share& share);
  bool CanAdoptRoster() const;
  membership::publish PublishRoster();
  points FairLevel(const limit_share& share) const;
  void ApplyRoster(const membership::item& item);
  void ApplyShare(const membership::item& item);
  membership::publish PublishShare(const std::string& key,
                                   limit_share& share) const;

  base::node_id self_;
  std::uint64_t incarnation_;
  limit_roster roster_;
  bool is_listed_ = false;   ///< This process is a member of the roster.
  bool is_settled_ = false;  ///< All members are known to use the roster.
  bool roster_published_ = true;
  std::size_t provisional_nodes_ = 1;
  std::map<std::string, limit_share> shares_;
  std::map<base::node_id, peer_roster> peer_rosters_;
};

}  // namespace flamingoshunt::admission

#endif  // FLAMINGOSHUNT_ADMISSION_LIMIT_SHARES_H_
