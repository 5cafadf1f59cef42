// Defines the membership of one node as the daemon drives it: the machine with
// its codec. Bodies of HTTP posts go in and out; nothing else of the peer
// interface is visible outside this slice.
#ifndef FLAMINGOSHUNT_MEMBERSHIP_AGENT_H_
#define FLAMINGOSHUNT_MEMBERSHIP_AGENT_H_

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "membership/machine.h"
#include "membership/peer_codec.h"

namespace flamingoshunt::membership {

/// What the daemon has to do after an input.
struct effects {
  std::vector<peer_call> calls;      ///< POST these to peers.
  std::vector<peer_answer> answers;  ///< Answer these posts.
  std::vector<store::call> platform_calls;
  std::vector<item_received> items;
  std::optional<peers_changed> peers;
  std::vector<peer> changes;  ///< States that changed, for the log.
  bool left = false;          ///< The node may end.
};

/// Counts of messages that were not accepted.
struct peer_refusal_counters {
  std::uint64_t unreadable = 0;
  std::uint64_t unauthenticated = 0;
  std::uint64_t replayed = 0;
};

class agent_builder;

/// One node's membership. Deterministic and not thread-safe.
class agent {
 public:
  effects Start(base::time_point now);

  effects Handle(const peer_request& input, base::time_point now);
  effects Handle(const peer_call_answered& input, base::time_point now);
  effects Handle(const peer_call_failed& input, base::time_point now);
  effects Handle(const store::reply& input, base::time_point now);
  effects Handle(const publish& input, base::time_point now);
  effects Handle(const leave& input, base::time_point now);
  effects Handle(const tick& input, base::time_point now);

  /// @return when a tick is due.
  std::optional<base::time_point> NextTimer() const;

  const machine& state() const { return machine_; }
  const peer_refusal_counters& refusals() const { return refusals_; }

 private:
  friend class agent_builder;
  agent(peer self,
        authenticator signer,
        timing times,
        spread_budget budget,
        base::random_engine random);

  effects Encode(machine_effects made);
  void CountRefusal(const peer_message_error& error);

  machine machine_;
  peer_codec codec_;
  peer_refusal_counters refusals_;
  std::map<peer_request_handle, request_origin> unanswered_;
  std::map<peer_call_id, request_origin> calls_;  // receiver and counter
};

/// Builds an agent and checks what it is given.
class agent_builder {
 public:
  agent_builder& Node(base::node_id id);
  /// @param address "IP:port" under which peers reach this node's /peer.
  agent_builder& Address(std::string address);
  agent_builder& FailureDomain(base::failure_domain_id domain);
  agent_builder& Region(base::region_id region);
  /// @param incarnation rises from run to run; the time of day of the start in
  ///        milliseconds.
  agent_builder& Incarnation(std::uint64_t incarnation);
  /// @param keys the first signs, all are accepted.
  agent_builder& ClusterKeys(std::vector<std::string> keys);
  agent_builder& Timing(timing times);
  agent_builder& SpreadBudget(spread_budget budget);
  agent_builder& Random(base::random_engine random);

  /// @throws membership_settings_error naming the setting and its value.
  std::unique_ptr<agent> Build() const;

 private:
  peer self_;
  std::vector<std::string> keys_;
  timing times_;
  spread_budget budget_;
  base::random_engine random_;
};

}  // namespace flamingoshunt::membership

#endif  // FLAMINGOSHUNT_MEMBERSHIP_AGENT_H_
