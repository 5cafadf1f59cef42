// Defines what a deployment may switch on in the dispatcher. The defaults serve
// as the dispatcher always has.
#ifndef FLAMINGOSHUNT_GATEWAY_DISPATCHER_OPTIONS_H_
#define FLAMINGOSHUNT_GATEWAY_DISPATCHER_OPTIONS_H_

namespace flamingoshunt::gateway {

/// Which queued request of a priority gets the next slot.
enum class queue_order {
  kDeadline,  ///< The one that is late first, late ones last.
  kBenefit    ///< The one that earns the most on time for its slot time.
};

struct dispatcher_options {
  queue_order order = queue_order::kDeadline;
  /// Whether expected costs are corrected by what replicas took for requests.
  bool learn_costs = false;
  /// Whether replicas get the priorities of requests.
  bool send_priority = false;
};

}  // namespace flamingoshunt::gateway

#endif  // FLAMINGOSHUNT_GATEWAY_DISPATCHER_OPTIONS_H_
