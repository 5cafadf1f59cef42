// Defines how news reaches every node at about one message each: the origin
// hands a range of nodes to a few of them, each of which splits its range
// again. A child that does not answer is replaced by another of its range;
// whatever still misses out is found by reconciliation.
//
//   n1 publishes; 9 nodes of its region, by position: a b c d e f g h i
//   n1 -> b (range a..c), e (d..f), h (g..i);  b -> a, c;  e -> d, f; ...
//   In every other region one node gets the range of the whole region.
#ifndef FLAMINGOSHUNT_MEMBERSHIP_SPREADER_H_
#define FLAMINGOSHUNT_MEMBERSHIP_SPREADER_H_

#include <map>
#include <optional>
#include <set>

#include "membership/core.h"

namespace flamingoshunt::membership {

/// Mean rate and size of a burst of what one node sends to spread items that
/// are not urgent; urgent ones and members go at once, at the others' expense.
struct spread_budget {
  double bytes_per_second = 1000;
  double burst_bytes = 32 << 10;
};

/// Topics that do not wait for the budget.
bool IsUrgentTopic(const std::string& topic);

class spreader {
 public:
  spreader(core& shared, spread_budget budget);

  /// Sends the member's or item's current record to every node.
  void SpreadMember(const base::node_id& id);
  void SpreadItem(record_id id);

  /// Passes on what a gossip brought, to its range.
  void Forward(const node_range& range, const updates& news);

  /// Sends what is queued and may go; called at the end of each input.
  void Flush(base::time_point now);
  std::optional<base::time_point> NextTimer() const;

  /// A call made by this part failed.
  void OnFailed(gossip_call failed, base::time_point now);

 private:
  // What is to go to one range; to all nodes where the range is missing.
  using target = std::optional<node_range>;
  struct job {
    std::set<base::node_id> members;
    std::set<record_id> items;
  };
  using queue = std::map<target, job>;

  void Refill(base::time_point now);
  void FlushQueue(queue& jobs, base::time_point now);
  void SendJob(const target& to, const job& news, base::time_point now);
  void SendEverywhere(const std::shared_ptr<const updates>& news,
                      base::time_point now);
  void SendSplit(const node_range& range,
                 const std::shared_ptr<const updates>& news,
                 base::time_point now);
  void SendToOne(gossip_call call, base::time_point now);
  job& JobFor(queue& jobs, const target& to);

  core& core_;
  spread_budget budget_;
  double tokens_;
  base::time_point refilled_;
  queue urgent_;
  queue soft_;
};

}  // namespace flamingoshunt::membership

#endif  // FLAMINGOSHUNT_MEMBERSHIP_SPREADER_H_
