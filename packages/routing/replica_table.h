// Defines one node's view of the replicas that it may send to: which are
// serving, the load of each, how many requests this node may have in flight at
// each, and how fast each answered this node. Load reports arrive late; they
// are corrected by the attempts that this node started and finished since the
// load was measured.
#ifndef FLAMINGOSHUNT_ROUTING_REPLICA_TABLE_H_
#define FLAMINGOSHUNT_ROUTING_REPLICA_TABLE_H_

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

#include "base/clock.h"
#include "base/ids.h"
#include "endpoint/messages.h"
#include "membership/messages.h"
#include "replica/messages.h"

namespace flamingoshunt::routing {

/// Identity of this node and where it runs.
struct location {
  base::node_id node;
  base::failure_domain_id failure_domain;
  base::region_id region;
};

/// Position of this node among the nodes that send to the same replicas.
struct node_position {
  std::size_t rank = 0;
  std::size_t nodes = 1;
};

/// One replica as this node sees it.
struct replica_view {
  replica::serving_replica serving;
  int own_running = 0;  ///< This node's attempts in flight.
  int own_long = 0;     ///< Those of them that are long.
  int allowance = 0;    ///< Bound on own_running until the next report.
  int reported = 0;     ///< Requests in flight, by the last report.
  int own_running_at_report = 0;
  std::uint64_t report_sequence = 0;
  base::time_point measured_at{};
  bool is_report_stale = false;    ///< The last report was old on arrival.
  double first_token_seconds = 0;  ///< Smoothed; zero before the first answer.
  int failures_in_a_row = 0;
  base::time_point ejected_until{};
  base::time_point claimed_until{};  ///< Reserved for one suspect request.
  double cache_confidence = 1;
  std::uint64_t cache_sequence = 0;

  /// @return estimated requests in flight: the last report, corrected by this
  ///         node's starts and ends since.
  int Outstanding() const;
  /// @return Outstanding() as a fraction of the slots.
  double Load() const;
  bool IsServing() const {
    return serving.state == replica::serving_state::kServing;
  }

 private:
  friend class replica_table;
  struct change {
    base::time_point when;
    int delta = 0;
  };
  std::deque<change> changes_;  ///< Recent starts (+1) and ends (-1).
};

/// The replicas of all entries; bounded by the replicas that are announced.
class replica_table {
 public:
  /// Index of a view; valid until the replica is gone.
  using index = std::uint32_t;

  explicit replica_table(location self);

  void Apply(const replica::serving_changed& changed);
  void Apply(const endpoint::report& report, base::time_point now);
  void Apply(const membership::peers_changed& changed);

  void RecordStart(index position, bool is_long, base::time_point now);
  void RecordEnd(index position, bool is_long, base::time_point now);
  void RecordReclassified(index position) { ++views_[position].own_long; }

  std::optional<index> Find(const base::replica_id& replica) const;
  std::optional<index> FindMember(const base::instance_id& instance) const;
  replica_view& At(index position) { return views_[position]; }
  const replica_view& At(index position) const { return views_[position]; }

  /// @return the serving replicas of @p entry that this node sends to: all of
  ///         its region while they are few, else the part of its node group;
  ///         those of other regions when its own has none.
  const std::vector<index>& Subset(const base::entry_name& entry);

  const location& self() const { return self_; }
  const node_position& regional() const { return regional_; }
  const node_position& global() const { return global_; }
  std::size_t size() const { return by_id_.size(); }

 private:
  struct entry_replicas {
    std::vector<index> members;
    std::vector<index> subset;
    bool is_stale = true;
    bool is_divided = false;  ///< Each node group sends to its own part.
  };

  bool IsInRegion(const replica_view& view) const;
  const node_position& PositionAmongSenders(const replica_view& view) const;
  bool IsInOwnGroup(const replica_view& view) const;
  void UpdateAllowance(replica_view& view);
  void RecordChange(replica_view& view, int delta, base::time_point now);
  void InvalidateSubsets();
  void Remove(index position);
  index Add(const replica::serving_replica& serving);

  location self_;
  std::vector<replica_view> views_;
  std::vector<index> free_;
  std::unordered_map<base::replica_id, index> by_id_;
  std::unordered_map<base::instance_id, index> by_member_;
  std::map<base::entry_name, entry_replicas> replicas_by_entry_;
  node_position regional_;
  node_position in_group_;  ///< Among the nodes of this node's group.
  node_position global_;
  std::size_t region_groups_ = 1;
  std::size_t own_group_ = 0;
};

}  // namespace flamingoshunt::routing

#endif  // FLAMINGOSHUNT_ROUTING_REPLICA_TABLE_H_
