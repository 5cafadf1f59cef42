// Defines a fleet of platform clients joined to one platform stand-in in
// virtual time, for tests and benchmarks of whatever stands on the client.
#ifndef FLAMINGOSHUNT_STAND_INS_CLIENT_FLEET_H_
#define FLAMINGOSHUNT_STAND_INS_CLIENT_FLEET_H_

#include <functional>
#include <optional>
#include <vector>

#include "stand_ins/platform_stand_in.h"
#include "store/client.h"

namespace flamingoshunt::stand_ins {

class client_fleet {
 public:
  client_fleet(int nodes,
               const store::client_options& options,
               std::uint64_t seed);

  void Submit(int node, const store::call& request);
  void Watch(int node, store::watch_id id, std::string kind);

  /// Replaces one node's client, as a restarted process would.
  void Restart(int node);

  /// Lets virtual time pass up to @p end, delivering everything due.
  void RunUntil(base::time_point end);
  void RunFor(base::duration span) { RunUntil(now_ + span); }

  /// Delivers what is due now, without letting time pass.
  void Settle();

  /// @return when something is next due.
  std::optional<base::time_point> NextTimer();
  void AdvanceTo(base::time_point when) { now_ = std::max(now_, when); }

  base::time_point now() const { return now_; }
  store::client& node(int index) { return clients_[index]; }
  int size() const { return static_cast<int>(clients_.size()); }

  platform_stand_in platform;
  std::function<void(int, const store::reply&)> on_reply;
  std::function<void(int, const store::watch_event&)> on_event;

 private:
  void Carry(int node, store::client_effects effects);
  bool DeliverDue();

  store::client_options options_;
  std::uint64_t seed_;
  std::uint64_t restarts_ = 0;
  base::time_point now_{};
  std::vector<store::client> clients_;
};

}  // namespace flamingoshunt::stand_ins

#endif  // FLAMINGOSHUNT_STAND_INS_CLIENT_FLEET_H_
