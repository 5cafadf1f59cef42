// Defines the request path of a node on its I/O thread: the line, the budgets
// and the idle connections that the sessions of its requests share. What it
// sees goes to the control thread as news; what the fleet knows comes as views.
#ifndef FLAMINGOSHUNT_GATEWAY_ENTRY_H_
#define FLAMINGOSHUNT_GATEWAY_ENTRY_H_

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "base/clock.h"
#include "duty/timer.h"
#include "gateway/crash_guard.h"
#include "gateway/dispatcher.h"
#include "gateway/metrics.h"
#include "gateway/protocol.h"
#include "gateway/retry_budget.h"
#include "gateway/stall_detector.h"
#include "runtime/fiber_wait.h"
#include "runtime/http_client.h"
#include "runtime/http_server.h"

namespace flamingoshunt::gateway {

/// A question whether a replica is heard of.
struct activity_query {
  base::node_id requesting_node;  ///< Empty in this node's own questions.
  base::instance_id replica;
  base::duration window{};
};

/// An answer: the replica goes on.
struct activity_confirmation {
  base::node_id requesting_node;
  base::instance_id replica;
};

/// What the control thread tells.
struct fleet_update {
  fleet_view_ptr view;  ///< Null when unchanged.
  load_map loads;       ///< What the others have placed, where it changed.
  std::optional<queue_length_map> queue_lengths;  ///< What waits at the others.
  std::vector<base::instance_id> suspects;  ///< Stand still, as others see.
  std::vector<crash_report> crashes;
  std::vector<activity_query> queries;             ///< Of other nodes.
  std::vector<base::instance_id> active_replicas;  ///< By other nodes.
  std::optional<retry_allowance> allowance;
};

/// What the request path tells the control thread.
struct entry_update {
  load_map loads;                  ///< All that this node has placed.
  queue_length_map queue_lengths;  ///< What waits here.
  bool urgent = false;  ///< Peers decide better when they know it at once.
  std::vector<activity_query> queries;
  std::vector<activity_confirmation> answers;
  bool seen_requests = false;
  std::vector<base::instance_id> suspects;  ///< New since the last news.
  std::vector<crash_report> crashes;        ///< New since the last news.
};

class session;

class entry {
 public:
  /// @param tell called on this thread with news; @c urgent ones at once.
  /// @param apply_pending_updates called before a decision on loads, to take
  /// what the control
  ///        thread told meanwhile.
  entry(boost::asio::io_context& loop,
        const base::clock& clock,
        const protocol& protocol_adapter,
        metrics& counters,
        std::uint64_t seed,
        std::function<void(entry_update)> send_update,
        std::function<void()> apply_pending_updates = {});
  ~entry();

  /// Serves one request; runs in the fiber of its connection.
  void Handle(runtime::http_exchange& exchange);

  void ApplyUpdate(const fleet_update& update);

  /// @return the news since the last call.
  entry_update CollectUpdate();

  /// @return requests under way.
  std::size_t running() const { return sessions_.size(); }

 private:
  friend class session;

  /// How a wait for a place ended; both empty when the caller left.
  struct slot_result {
    std::optional<grant> granted;
    std::optional<refusal> refused;
  };
  struct waiting_fiber {
    runtime::fiber_signal* signal = nullptr;
    slot_result result;
  };

  slot_result WaitForSlot(slot_request request, runtime::fiber_signal& signal);
  void ReleaseSlot(ticket_id ticket, bool complete);
  void ReportStall(const base::instance_id& replica, base::duration inactivity);
  /// A head refused a request; it is looked at, but goes on getting work.
  void ReportRefusal(const base::instance_id& replica);
  /// An event of a suspected replica proves that it goes on.
  void RecordActivity(const base::instance_id& replica);
  void ReportCrash(const crash_report& report);
  void DeliverDecisions(decisions decided);
  void ArmTimer();
  void CheckStalls();
  void QueryPeers(const base::instance_id& replica, base::duration inactivity);
  base::time_point Now() const { return clock_.Now(); }

  boost::asio::io_context& loop_;
  const base::clock& clock_;
  const protocol& protocol_;
  metrics& metrics_;
  std::function<void(entry_update)> send_update_;
  std::function<void()> apply_pending_updates_;
  base::random_engine random_;
  fleet_view_ptr view_;
  base::time_point view_received_at_{};
  dispatcher dispatcher_;
  retry_budget retry_budget_{retry_allowance{}};
  crash_guard crash_guard_;
  stall_detector stall_detector_;
  runtime::connection_pool connections_;
  duty::timer timer_;
  std::map<ticket_id, waiting_fiber> waiting_;
  std::set<session*> sessions_;
  std::uint64_t next_ticket_ = 1;
  bool seen_requests_ = false;
  bool placed_since_update_ = false;  ///< Since the last news.
  base::time_point next_stall_check_{};
  std::vector<base::instance_id> new_suspects_;
  std::map<base::instance_id, base::time_point> refusals_reported_at_;
  std::vector<activity_query> new_queries_;
  std::vector<activity_confirmation> new_answers_;
  std::vector<crash_report> new_crashes_;
};

}  // namespace flamingoshunt::gateway

#endif  // FLAMINGOSHUNT_GATEWAY_ENTRY_H_
