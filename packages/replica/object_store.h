// Defines this node's copy of the allocation objects and its writes in flight:
// versions only increase, one call per object is in flight at a time, and after
// a failed write or one of unknown outcome the object is read again, with
// backoff, before any other call on it.
#ifndef FLAMINGOSHUNT_REPLICA_OBJECT_STORE_H_
#define FLAMINGOSHUNT_REPLICA_OBJECT_STORE_H_

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "base/random.h"
#include "replica/inventory.h"
#include "replica/weight_budget.h"
#include "store/messages.h"

namespace flamingoshunt::replica {

class object_store {
 public:
  explicit object_store(base::random_engine random) : random_(random) {}

  /// A changed allocation's domain, and the allocation before the change.
  struct change {
    base::fabric_domain_id domain;
    allocation before;
  };

  /// Applies an object unless a later version of it was applied before.
  /// @return the change, if an allocation changed.
  std::optional<change> Apply(const store::object& object, bool deleted);
  /// Applies the complete list.
  std::vector<change> ApplyList(const std::vector<store::object>& objects);

  const allocations& stored_allocations() const { return allocations_; }
  const weight_budget& budget() const { return budget_; }
  /// @return whether a list was ever applied; nothing is planned before that.
  bool listed() const { return listed_; }

  /// @return whether a call on @p name may start now.
  bool CanCall(const std::string& name, base::time_point now) const;
  store::call Write(const std::string& name,
                    base::revision expected,
                    std::string value);
  store::call Read(const std::string& name);

  struct call_result {
    std::string name;
    /// A read that returned the latest known version.
    bool is_current_read = false;
    std::optional<change> changed;
    /// Reads the object after a call of unknown outcome.
    std::optional<store::call> next;
  };
  /// Handles the reply to one of this node's calls.
  /// @return nothing if the call does not belong to this store.
  std::optional<call_result> OnReply(const store::reply& reply,
                                     base::time_point now);

  /// Starts the reads whose backoff has ended at @p now.
  std::vector<store::call> DueReads(base::time_point now);
  std::optional<base::time_point> NextRead() const;

  std::uint64_t malformed() const { return malformed_; }
  std::uint64_t outdated() const { return outdated_; }
  std::uint64_t conflicts() const { return conflicts_; }
  std::uint64_t unknown_outcomes() const { return unknown_outcomes_; }

 private:
  struct pending {
    std::string name;
    store::operation op = store::operation::kGet;
  };
  struct back_off {
    base::time_point until{};
    base::duration step{};
  };

  store::call Start(store::operation op, const std::string& name);
  void BackOff(const std::string& name, base::time_point now);
  bool ApplyBudget(const store::object& object, bool deleted);

  allocations allocations_;
  weight_budget budget_;
  bool listed_ = false;
  base::random_engine random_;
  std::uint64_t next_call_ = 1;
  std::map<store::call_id, pending> pending_;
  std::set<std::string> names_in_call_;
  std::map<std::string, back_off> back_off_;
  std::map<std::string, base::revision> highest_versions_;  ///< By object name.
  std::uint64_t malformed_ = 0;
  std::uint64_t outdated_ = 0;
  std::uint64_t conflicts_ = 0;
  std::uint64_t unknown_outcomes_ = 0;
};

}  // namespace flamingoshunt::replica

#endif  // FLAMINGOSHUNT_REPLICA_OBJECT_STORE_H_
