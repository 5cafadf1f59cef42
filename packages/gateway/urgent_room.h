// Decides how many slots of a replica stay free for more urgent requests.
//
// Load pattern: two classes of different priority share a model, and a burst of
// the less urgent one takes every slot for a second or two. Urgent requests
// then wait for running work, whatever the order of the queue.
#ifndef FLAMINGOSHUNT_GATEWAY_URGENT_ROOM_H_
#define FLAMINGOSHUNT_GATEWAY_URGENT_ROOM_H_

namespace flamingoshunt::gateway {

/// @param urgent_per_ms recent arrivals of more urgent requests, of the fleet.
/// @param replicas      that share them.
/// @param slots         of one replica.
/// @return slots of one replica to keep free; 0 without urgent arrivals.
int SlotsKeptForUrgent(double urgent_per_ms, int replicas, int slots);

}  // namespace flamingoshunt::gateway

#endif  // FLAMINGOSHUNT_GATEWAY_URGENT_ROOM_H_
