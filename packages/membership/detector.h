// Defines the failure detector, after SWIM: every period one member is probed;
// when it does not answer, a few others are asked to probe it; when none
// reaches it, it is suspect, and dead unless it refutes that in time.
#ifndef FLAMINGOSHUNT_MEMBERSHIP_DETECTOR_H_
#define FLAMINGOSHUNT_MEMBERSHIP_DETECTOR_H_

#include <map>
#include <optional>
#include <vector>

#include "membership/core.h"
#include "membership/spreader.h"

namespace flamingoshunt::membership {

class detector {
 public:
  detector(core& shared, spreader& spread);

  void Start(base::time_point now);
  void Stop();

  std::optional<base::time_point> NextTimer() const;
  void OnTimer(base::time_point now);

  /// Forgives everyone else after this process itself was paused.
  void OnLateWake(base::duration late, base::time_point now);

  /// Tells a few members that this node exists.
  void Announce(base::time_point now);

  /// Probes a member that another node claims to be dead, passing the claim on
  /// so that the member can refute it. The claim itself is not believed.
  void ProbeWithClaim(const peer& claim, base::time_point now);

  /// The target was reached, directly or through a helper.
  void OnReached(const base::node_id& target);
  void OnDirectFailed(const base::node_id& target, base::time_point now);
  void OnHelperFailed(const base::node_id& target, base::time_point now);

 private:
  // Probes under way; counts the helpers that may still reach the target.
  struct probe {
    std::size_t helpers = 0;
  };

  void ProbeNext(base::time_point now);
  void ProbeOneDead(base::time_point now);
  void Probe(const peer& target, updates carried, base::time_point now);
  const member_record* NextOfRegion();
  const member_record* AnyOfOtherRegions();
  std::vector<peer> Helpers(const peer& target);
  void Suspect(const base::node_id& target, base::time_point now);
  void ExpireSuspicions(base::time_point now);

  core& core_;
  spreader& spreader_;
  std::optional<base::time_point> next_probe_;
  std::uint64_t periods_ = 0;
  std::vector<base::node_id> round_;  // own region, still to probe
  std::map<base::node_id, probe> probes_;
};

}  // namespace flamingoshunt::membership

#endif  // FLAMINGOSHUNT_MEMBERSHIP_DETECTOR_H_
