#include "fleet/poll_delays.h"

#include <algorithm>

namespace flamingoshunt::fleet {

poll_delays ChoosePollDelays(bool large,
                             bool informs_others,
                             std::size_t informed_relays,
                             base::duration drain) {
  poll_delays delays;
  if (!large)
    return delays;
  delays.nodes = poll_delays::kInformedNodes;
  if (informs_others || informed_relays < poll_delays::kMinInformedRelays)
    return delays;
  delays.replicas = std::max(poll_delays::kOwnReplicas,
                             std::chrono::duration_cast<base::duration>(
                                 drain * poll_delays::kDrainFraction));
  return delays;
}

}  // namespace flamingoshunt::fleet
