// Defines the replicas, reports and peers that the routing tests share.
#ifndef FLAMINGOSHUNT_ROUTING_TESTS_REPLICAS_H_
#define FLAMINGOSHUNT_ROUTING_TESTS_REPLICAS_H_

#include <algorithm>
#include <chrono>
#include <string>

#include "routing/router.h"

namespace flamingoshunt::routing {

using namespace std::chrono_literals;

inline const base::entry_name kEntry("telaio-llm");

inline base::replica_id IdOf(int number) {
  return base::replica_id("r" + std::to_string(number));
}

inline int NumberOf(const base::replica_id& id) {
  return std::stoi(id.str().substr(1));
}

inline location LocationOf(int node) {
  return {base::node_id("n" + std::to_string(1'000 + node)),
          base::failure_domain_id("d0"), base::region_id("home")};
}

inline membership::peers_changed PeersOf(int node, int nodes) {
  membership::peers_changed changed;
  for (int other = 0; other < nodes; ++other) {
    if (other == node)
      continue;
    membership::peer peer;
    peer.id = LocationOf(other).node;
    peer.region = LocationOf(other).region;
    changed.peers.push_back(peer);
  }
  return changed;
}

inline replica::serving_changed Serving(
    int number,
    int slots,
    replica::serving_state state = replica::serving_state::kServing) {
  replica::serving_replica serving;
  serving.replica = IdOf(number);
  serving.epoch = base::epoch(1);
  serving.entry = kEntry;
  serving.failure_domain = base::failure_domain_id("d0");
  serving.region = base::region_id("home");
  serving.members = {base::instance_id("i" + std::to_string(number))};
  serving.slots = slots;
  serving.state = state;
  return {serving};
}

inline endpoint::report Report(int number,
                               std::uint64_t sequence,
                               int running) {
  endpoint::report result;
  result.instance = base::instance_id("i" + std::to_string(number));
  result.replica = IdOf(number);
  result.epoch = base::epoch(1);
  result.entry = kEntry;
  result.sequence = sequence;
  result.load.running = running;
  return result;
}

inline request_shape Shape(int number) {
  request_shape result;
  result.request = base::request_id(std::to_string(number));
  result.entry = kEntry;
  return result;
}

inline attempt_finished Finished(const request_shape& shape,
                                 const placement& place,
                                 attempt_result result,
                                 base::duration to_first_token = 300ms) {
  attempt_finished finished;
  finished.request = shape.request;
  finished.replica = place.replica;
  finished.epoch = place.epoch;
  finished.result = result;
  finished.to_first_token = to_first_token;
  finished.total = to_first_token + 2s;
  return finished;
}

}  // namespace flamingoshunt::routing

#endif  // FLAMINGOSHUNT_ROUTING_TESTS_REPLICAS_H_
