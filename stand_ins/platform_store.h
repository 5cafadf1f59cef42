// Defines the state of the platform stand-in: objects under revisions of the
// whole store, conditional writes, and a bounded history from which watches are
// served. It has no time and no faults; platform_stand_in adds both. A copy is
// a backup: assigning an older copy makes the platform come back behind.
#ifndef FLAMINGOSHUNT_STAND_INS_PLATFORM_STORE_H_
#define FLAMINGOSHUNT_STAND_INS_PLATFORM_STORE_H_

#include <deque>
#include <map>
#include <vector>

#include "store/messages.h"

namespace flamingoshunt::stand_ins {

class platform_store {
 public:
  static constexpr std::size_t kDefaultHistory = 10000;    // changes
  static constexpr std::size_t kMaxValueBytes = 1U << 20;  // bytes

  /// @param history_limit changes kept for watches; a watch that starts before
  ///        them gets a gap.
  explicit platform_store(std::size_t history_limit = kDefaultHistory)
      : history_limit_(history_limit) {}

  /// Applies a call at once. Never answers kUnavailable or kUnknown.
  store::reply Apply(const store::call& request);

  /// @return the changes of the watched kind after the request's revision in
  ///         order, then one bookmark at the current revision; or one kGap
  ///         when the history does not reach back that far or the revision
  ///         lies in the future, as after a store came back behind.
  std::vector<store::watch_event> ChangesAfter(
      const store::watch_request& request) const;

  base::revision revision() const { return revision_; }
  std::size_t size() const { return objects_.size(); }

  /// Forgets the whole history, so that every watch gets a gap.
  void DropHistory();

 private:
  struct change {
    store::watch_event_kind kind;
    store::object changed;
  };

  store::reply Write(const store::call& request);
  store::reply Delete(const store::call& request);
  void Record(store::watch_event_kind kind, store::object changed);

  std::size_t history_limit_;
  std::map<store::object_key, store::object> objects_;
  std::deque<change> history_;
  base::revision revision_{1};
  base::revision history_start_{0};  // Changes up to this one are forgotten.
};

}  // namespace flamingoshunt::stand_ins

#endif  // FLAMINGOSHUNT_STAND_INS_PLATFORM_STORE_H_
