// Decides which replicas are queried for a report, and when.
#include <algorithm>
#include <utility>

#include "groups/planner.h"
#include "groups/planner_bounds.h"

namespace flamingoshunt::groups {

void planner::QueryReport(replica_state& replica,
                          plan& out,
                          base::time_point now) {
  replica.query_due = false;
  if (replica.displaced)
    return;
  if (replica.query_sent_at && now - *replica.query_sent_at < kQueryTimeout)
    return;
  replica.query_sent_at = now;
  replica.last_queried = now;
  out.report_queries.push_back({replica.record.id, replica.record.address});
}

// Queries domain by domain, so that the first ones are settled early.
void planner::QueryForInventory(plan& out, base::time_point now) {
  std::vector<replica_state*> missing;
  std::size_t on_their_way = 0;
  for (auto& [id, replica] : replicas_) {
    if (HasAnswered(replica))
      continue;
    if (replica.query_sent_at && now - *replica.query_sent_at < kQueryTimeout) {
      ++on_their_way;
      continue;
    }
    const base::duration since_query = now - replica.last_queried;
    const bool ask_again =
        (replica.inconclusive && since_query >= kQueryIntervalInconclusive) ||
        (replica.silent_since && since_query >= kQueryIntervalSilent);
    if (replica.query_due || replica.query_sent_at || ask_again)
      missing.push_back(&replica);
  }
  std::stable_sort(missing.begin(), missing.end(),
                   [](const replica_state* left, const replica_state* right) {
                     // Silent ones would hold the places of others.
                     const auto rank = [](const replica_state* replica) {
                       return std::pair(replica->silent_since.has_value(),
                                        replica->record.engine.fabric_domain);
                     };
                     return rank(left) < rank(right);
                   });
  for (replica_state* replica : missing) {
    if (on_their_way++ >= kInventoryQueries)
      return;
    QueryReport(*replica, out, now);
  }
}

void planner::QueryDueReplicas(plan& out, base::time_point now) {
  const auto query_every = [&](replica_state& replica,
                               base::duration interval) {
    if (now - std::max(replica.last_queried, replica.reported_at) >= interval)
      QueryReport(replica, out, now);
  };
  QueryForInventory(out, now);
  for (auto& [id, replica] : replicas_) {
    if (!HasAnswered(replica))
      continue;  // Has its turn in the inventory.
    if (replica.query_due)
      QueryReport(replica, out, now);
    else if (replica.inconclusive)
      query_every(replica, kQueryIntervalInconclusive);
    else if (IsAwaited(replica))
      query_every(replica, kQueryIntervalSilent);
    else if (replica.lost && !replica.unlisted)
      query_every(replica, kQueryIntervalLost);
    else if (!group_of_.contains(id) && replica.loading_model == kUnknownModel)
      query_every(replica, kQueryIntervalUnknownLoad);
    else if (!replica.loading_model.empty() && now >= replica.loading_until)
      query_every(replica, kQueryIntervalLoading);
  }
  for (auto& [name, group] : groups_) {
    replica_state* head = Find(group.head());
    if (group.phase == group_phase::kForming) {
      for (const base::instance_id& id : group.members) {
        replica_state* replica = Find(id);
        const bool join_accepted =
            replica && replica->accepted_join_group == group.name;
        const bool has_joined = replica && IsMemberOf(*replica, group) &&
                                replica->record.engine.member->state !=
                                    fleet::member_state::kJoining;
        // A member that an earlier leader ordered to join reports its progress
        // as well.
        const bool is_member = replica && IsMemberOf(*replica, group);
        if ((!join_accepted && !is_member) || has_joined)
          continue;
        const base::duration join_time =
            ExpectedJoinTime(*replica, group.model);
        if (join_accepted &&
            now - replica->join_accepted_at >= join_time * 9 / 10)
          query_every(*replica, kQueryIntervalNearDue);
        else
          query_every(*replica, kQueryIntervalLoading);
      }
    } else if (group.phase == group_phase::kOpening && head) {
      if (now - group.phase_since >= layout_->form_time * 9 / 10)
        query_every(*head, kQueryIntervalNearDue);
    } else if (group.phase == group_phase::kClosing && head) {
      query_every(*head,
                  head->lost ? kQueryIntervalLostHead : kQueryIntervalNearDue);
    }
  }
}

}  // namespace flamingoshunt::groups
