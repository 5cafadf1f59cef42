// Defines the request path of a node on its I/O thread: the queue, the retry
// budgets and the idle connections that the sessions of its requests share. It
// sends updates on what it observes to the control thread, and receives the
// state of the fleet as immutable views.
#ifndef FLAMINGOSHUNT_GATEWAY_ENTRY_H_
#define FLAMINGOSHUNT_GATEWAY_ENTRY_H_

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "base/clock.h"
#include "duty/timer.h"
#include "gateway/crash_guard.h"
#include "gateway/dispatcher.h"
#include "gateway/endpoint_reach.h"
#include "gateway/metrics.h"
#include "gateway/peer_request.h"
#include "gateway/placement_explanation.h"
#include "gateway/prompt_part_guard.h"
#include "gateway/protocol.h"
#include "gateway/retry_budget.h"
#include "gateway/stall_detector.h"
#include "runtime/fiber_wait.h"
#include "runtime/http_client.h"
#include "runtime/http_server.h"

namespace flamingoshunt::gateway {

/// Asks whether a replica was recently active.
struct activity_query {
  base::node_id requesting_node;  ///< Empty in this node's own queries.
  base::instance_id replica;
  base::duration window{};  ///< How recent counts as active.
};

/// Answers that the replica is active.
struct activity_confirmation {
  base::node_id requesting_node;
  base::instance_id replica;
};

/// The replicas' rate limits as a peer knows them, and what it has sent.
struct peer_limits {
  base::node_id peer;
  limit_map limits;
};

/// Sent by the control thread.
struct fleet_update {
  fleet_view_ptr view;  ///< Null when unchanged.
  load_map loads;       ///< Placed by the other nodes, where changed.
  std::optional<queue_length_map> queue_lengths;  ///< At the other nodes.
  std::vector<base::instance_id>
      suspects;                       ///< Stalled, as observed by other nodes.
  std::vector<crash_report> crashes;  ///< Observed by other nodes.
  /// Parts on which other nodes received answers although replicas crashed.
  std::vector<key_sighting> answered_parts;
  std::vector<key_sighting> blamed_parts;  ///< Refused by other nodes.
  /// The same of whole requests.
  std::vector<key_sighting> answered_requests;
  std::vector<key_sighting> blamed_requests;
  std::vector<activity_query> queries;             ///< From other nodes.
  std::vector<base::instance_id> active_replicas;  ///< Confirmed by peers.
  std::vector<peer_limits> limits;
  /// All peers that take requests; empty when unchanged.
  std::optional<std::vector<peer_node>> peers;
  std::optional<retry_allowance> allowance;
};

/// Sent to the control thread.
struct entry_update {
  load_map loads;                  ///< Everything placed by this node.
  queue_length_map queue_lengths;  ///< Queued at this node.
  limit_map limits;                ///< All that this node knows.
  bool urgent = false;             ///< Peers place better if informed at once.
  std::vector<activity_query> queries;
  std::vector<activity_confirmation> answers;
  bool seen_requests = false;  ///< Since the start.
  /// Services of which this node reaches no endpoint.
  std::set<std::string> cut_off_services;
  std::vector<base::instance_id> suspects;      ///< Since the last update.
  std::vector<crash_report> crashes;            ///< Since the last update.
  std::vector<key_sighting> answered_parts;     ///< Since the last update.
  std::vector<key_sighting> blamed_parts;       ///< All that are refused.
  std::vector<key_sighting> answered_requests;  ///< Since the last update.
  std::vector<key_sighting> blamed_requests;    ///< All that are refused.
  std::vector<replica_process> leaving;         ///< Since the last update.
};

class session;

/// Serves the callers of one node; used by the I/O thread only.
class entry {
 public:
  /// @param send_update called on this thread; the receiver must forward
  ///        @c urgent updates at once.
  /// @param apply_pending_updates called before a placement decision, to apply
  ///        what the control thread has sent meanwhile.
  /// @param options of the queue and the placement.
  entry(boost::asio::io_context& loop,
        const base::clock& clock,
        const protocol& protocol_adapter,
        metrics& counters,
        std::uint64_t seed,
        std::function<void(entry_update)> send_update,
        std::function<void()> apply_pending_updates = {},
        dispatcher_options options = {});
  ~entry();

  /// Serves one request; runs in the fiber of its connection.
  void Handle(runtime::http_exchange& exchange);

  /// Serves a request that a peer passed on; runs in the fiber of its
  /// connection.
  void HandlePassed(runtime::http_exchange& exchange);

  void ApplyUpdate(const fleet_update& update);

  /// @return the state and the events since the last call.
  entry_update CollectUpdate();

  /// @return where a request would go now, and why; nothing is sent.
  placement_explanation Explain(const described_request& described) const;

  /// @return the number of requests in progress.
  std::size_t running() const { return sessions_.size(); }

 private:
  friend class session;
  friend class standby_attempt;

  /// How the wait for a slot ended; both empty when the caller disconnected.
  struct slot_result {
    std::optional<grant> granted;
    std::optional<refusal> refused;
  };
  struct waiting_fiber {
    runtime::fiber_signal* signal = nullptr;
    slot_result result;
  };

  /// Lists a session while it runs. Timers and updates use the listed ones, so
  /// an error that ends a session must take it off the list too.
  class running_session {
   public:
    running_session(entry& owner, session& listed);
    ~running_session();
    running_session(const running_session&) = delete;
    running_session& operator=(const running_session&) = delete;

   private:
    entry& owner_;
    session& listed_;
  };
  /// Owns a request's queue entry and, once granted, its slot. The destructor
  /// releases both, so an exception can't leak them.
  class slot_claim {
   public:
    slot_claim(entry& owner, ticket_id ticket)
        : owner_(owner), ticket_(ticket) {}
    ~slot_claim();
    slot_claim(const slot_claim&) = delete;
    slot_claim& operator=(const slot_claim&) = delete;

    /// Gives the slot back early.
    /// @param complete see dispatcher::Release.
    void Release(bool complete);

   private:
    entry& owner_;
    ticket_id ticket_;
    bool released_ = false;
  };

  void RunSession(session& request_session);
  /// @return a peer other than @p tried that reaches @p service, if any.
  std::optional<peer_node> ChoosePeer(const std::string& service,
                                      const std::vector<base::node_id>& tried);
  /// @return whether the peer takes requests and reaches @p service.
  bool HasPeer(const std::string& service, const base::node_id& node) const;
  /// Records the outcome of a connection to @p replica of @p service.
  void RecordConnection(const std::string& service,
                        const target& replica,
                        bool connected);
  /// Records that a replica of @p service is silent towards this node.
  void RecordSilence(const std::string& service);
  /// @return whether this node reaches no endpoint of @p service.
  bool IsCutOff(const std::string& service) const;
  /// @return whether failures at endpoints of @p service may be due to this
  ///         node.
  bool InDoubt(const std::string& service) const;
  std::set<std::string> CutOffServices() const;
  void CheckReach();
  void ProbeService(const std::string& service);
  std::vector<std::string> AddressesOf(const std::string& service) const;
  slot_result WaitForSlot(slot_request request, runtime::fiber_signal& signal);
  /// Assigns a slot without queueing. @return nothing if none is free.
  std::optional<grant> PlaceNow(const slot_request& request);
  void AnnouncePlacement(const grant& granted);
  void ReleaseSlot(ticket_id ticket, bool complete);
  void ReportStall(const std::string& service,
                   const base::instance_id& replica,
                   base::duration inactivity);
  /// Reports a head that refused a request. The leader checks it, but it still
  /// gets requests.
  void ReportRefusal(const base::instance_id& replica);
  /// Records the rate limit that an answer of @p replica names, or its absence.
  void RecordLimit(const base::instance_id& replica,
                   std::optional<double> requests_per_second);
  /// Records that an answer of @p replica says that it is leaving.
  void RecordLeaving(const target& replica, const base::request_id& request);
  /// Records that an answer of @p replica asked this node for a pause.
  void RecordPause(const target& replica,
                   base::duration pause,
                   const base::request_id& request);
  /// Records an event of @p replica and ends its suspicion.
  void RecordActivity(const base::instance_id& replica);
  void ReportCrash(const crash_report& report);
  /// @param own whether this node observed it.
  /// @return whether the crash was unknown.
  bool CountCrash(const crash_report& report, bool own);
  void RecordAnsweredParts(const std::vector<base::fingerprint>& parts);
  /// Records that a replica answered the whole request.
  void RecordWholeAnswer(const request_identity& request);
  /// Applies what peers know of crashes and of answers that followed.
  void ApplyCrashNews(const fleet_update& update);
  std::size_t CountBlamed() const;
  void DeliverDecisions(decisions results);
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
  prompt_part_guard prompt_part_guard_;
  stall_detector stall_detector_;
  std::map<std::string, endpoint_reach> reach_;  ///< By service.
  std::vector<peer_node> peers_;  ///< That take requests of this node.
  runtime::connection_pool connections_;
  duty::timer timer_;
  std::map<ticket_id, waiting_fiber> waiting_;
  std::set<session*> sessions_;
  std::uint64_t next_ticket_ = 1;
  bool seen_requests_ = false;
  /// The peers place better if informed at once.
  bool update_is_urgent_ = false;
  base::time_point next_stall_check_{};
  std::vector<base::instance_id> new_suspects_;
  /// By service; reported unless the next probes show that this node is cut
  /// off.
  std::map<std::string, std::vector<base::instance_id>> unverified_suspects_;
  std::map<base::instance_id, base::time_point> refusals_reported_at_;
  std::vector<activity_query> new_queries_;
  std::vector<activity_confirmation> new_answers_;
  std::vector<crash_report> new_crashes_;
  std::vector<replica_process> new_leaving_;
};

}  // namespace flamingoshunt::gateway

#endif  // FLAMINGOSHUNT_GATEWAY_ENTRY_H_
