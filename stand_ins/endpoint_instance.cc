#include "stand_ins/endpoint_instance.h"

namespace flamingoshunt::stand_ins {

endpoint::order_outcome endpoint_instance::Take(const endpoint::order& order,
                                                base::time_point now) {
  if (order.target != id_)
    return endpoint::order_outcome::kRefused;
  if (options_.checks_fencing && order.fencing_number < highest_fencing_)
    return endpoint::order_outcome::kStale;
  highest_fencing_ = std::max(highest_fencing_, order.fencing_number);
  switch (order.kind) {
    case endpoint::order_kind::kJoin: {
      const bool holds_weights =
          entry_ == order.entry && version_ == order.version;
      const bool same =
          holds_weights && replica_ == order.replica && epoch_ == order.epoch;
      if (!same)
        ready_at_ =
            holds_weights ? std::max(ready_at_, now) : now + options_.load_time;
      replica_ = order.replica;
      epoch_ = order.epoch;
      entry_ = order.entry;
      version_ = order.version;
      members_ = order.members;
      draining_ = false;
      break;
    }
    case endpoint::order_kind::kRelease:
      replica_ = base::replica_id();
      epoch_ = base::epoch();
      members_.clear();
      draining_ = false;
      break;
    case endpoint::order_kind::kDrain:
      draining_ = true;
      break;
    case endpoint::order_kind::kAdapters:
      break;
  }
  return endpoint::order_outcome::kAccepted;
}

endpoint::member_state endpoint_instance::StateAt(base::time_point now) const {
  if (replica_.empty())
    return endpoint::member_state::kIdle;
  if (now < ready_at_)
    return endpoint::member_state::kLoading;
  return draining_ ? endpoint::member_state::kDraining
                   : endpoint::member_state::kReady;
}

endpoint::report endpoint_instance::Report(base::time_point now) {
  endpoint::report report;
  report.instance = id_;
  report.replica = replica_;
  report.epoch = epoch_;
  report.state = StateAt(now);
  report.entry = entry_;
  report.version = version_;
  report.leaving = leaving_;
  report.load.running = running_;
  report.sequence = ++sequence_;
  return report;
}

bool endpoint_instance::Serves(const base::replica_id& replica,
                               base::epoch epoch,
                               base::time_point now) const {
  const auto state = StateAt(now);
  const bool running = state == endpoint::member_state::kReady ||
                       state == endpoint::member_state::kDraining;
  return running && replica_ == replica && epoch_ == epoch;
}

void endpoint_instance::Restart() {
  *this = endpoint_instance(id_, options_);
}

}  // namespace flamingoshunt::stand_ins
