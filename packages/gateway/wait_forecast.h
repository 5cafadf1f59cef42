// Forecasts how long a queued request waits for a slot, from the queues of all
// nodes, the slots that become free and the requests that arrive meanwhile.
// Pure functions.
//
// Load pattern: a hundred small nodes have one or two requests queued each. A
// node that counts only its own queue expects the next slot for itself, while
// the requests of the others wait for it too.
#ifndef FLAMINGOSHUNT_GATEWAY_WAIT_FORECAST_H_
#define FLAMINGOSHUNT_GATEWAY_WAIT_FORECAST_H_

#include "base/clock.h"

namespace flamingoshunt::gateway {

/// The queue of one pool as a node knows it.
struct queue_outlook {
  int ahead = 0;               ///< Here, served before the request, on time.
  int own = 1;                 ///< Here, on time, the request included.
  int peers = 0;               ///< On time, at all other nodes.
  int late_ahead = 0;          ///< Here, served before the request, late.
  int nodes = 1;               ///< That serve callers.
  double releases_per_ms = 1;  ///< Slots that become free, of the fleet.
  double urgent_per_ms = 0;    ///< More urgent requests, of the fleet.
  double arrivals_per_ms = 0;  ///< No less urgent requests, of the fleet.
};

/// @return the expected wait of a request that can be on time; the queues of
///         the other nodes are taken to be ordered like this one.
base::duration ForecastWait(const queue_outlook& outlook);

/// @return the expected wait of a request that yields to all that can be on
///         time, those that arrive meanwhile included. The other nodes are
///         taken to hold as many late ones as this one.
base::duration ForecastLateWait(const queue_outlook& outlook);

}  // namespace flamingoshunt::gateway

#endif  // FLAMINGOSHUNT_GATEWAY_WAIT_FORECAST_H_
