// Defines the fleet duty of a gateway: the control thread that follows the
// platform's store, talks with the other nodes, and, where this node acts for a
// service, forms and mends the groups of its replicas.
#ifndef FLAMINGOSHUNT_DAEMON_FLEET_DUTY_H_
#define FLAMINGOSHUNT_DAEMON_FLEET_DUTY_H_

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include <boost/asio/ip/udp.hpp>

#include "base/clock.h"
#include "daemon/platform_duty.h"
#include "daemon/status_link.h"
#include "duty/duty_thread.h"
#include "duty/outbox.h"
#include "duty/timer.h"
#include "fleet/cold_periods.h"
#include "fleet/configuration_sources.h"
#include "fleet/departure_reports.h"
#include "fleet/deployment.h"
#include "fleet/evacuated_targets.h"
#include "fleet/evacuations.h"
#include "fleet/fleet_size.h"
#include "fleet/peer_outbox.h"
#include "fleet/peer_status.h"
#include "fleet/poll_delays.h"
#include "fleet/relay_network.h"
#include "fleet/relayed_loads.h"
#include "fleet/replica_directory.h"
#include "gateway/endpoint_reach.h"
#include "gateway/entry.h"
#include "groups/leader_election.h"
#include "groups/planner.h"
#include "runtime/fiber_wait.h"
#include "runtime/http_client.h"
#include "settings/settings.h"
#include "telemetry/counters.h"

namespace flamingoshunt::daemon {

class fleet_duty {
 public:
  fleet_duty(const settings::daemon_settings& settings,
             const fleet::deployment& wire,
             const base::clock& clock,
             telemetry::metric_registry& metrics,
             std::uint64_t incarnation);
  ~fleet_duty();

  // Wiring; before Start.
  duty::channel<platform_delivery>& platform() { return deliveries_; }
  std::vector<std::string> WatchedKinds() const;
  void ConnectPlatform(duty::channel<store::call>& calls, platform_duty& duty);
  duty::channel<gateway::entry_update>& news() { return news_; }
  void ConnectEntry(duty::channel<gateway::fleet_update>& updates);

  /// @param address where the other nodes may ask for "/admin/configuration".
  void SetAdminAddress(std::string address) {
    admin_address_ = std::move(address);
  }
  /// @param address where the other nodes may send requests; empty for none.
  void SetPassedAddress(std::string address) {
    passed_address_ = std::move(address);
  }
  boost::asio::io_context& loop() { return thread_.loop(); }
  /// Answers the admin thread, on this duty's thread: "status", or
  /// "configuration" for the configuration in force as the store holds it.
  boost::json::value Answer(const status_query& query) const;

  void Start();

  /// Hands over what this node acts for; from any thread.
  void BeginStop();

 private:
  /// Time for the first datagrams before anybody decides who acts.
  static constexpr std::chrono::milliseconds kGather{500};

  struct acting_service {
    acting_service(const base::node_id& self,
                   std::uint64_t incarnation,
                   const std::string& name)
        : term(self, incarnation, name), planner(name) {}
    groups::leader_election term;
    groups::planner planner;
    std::uint64_t begun_term = 0;  ///< Term that the planner works under.
    bool is_leader = false;
    /// Term and stage of the inventory that were logged last.
    std::pair<std::uint64_t, groups::inventory::stage> logged_inventory{};
    /// As the leader's queries show it; each loss is verified.
    gateway::endpoint_reach reach;
  };
  /// Datagrams sent to the peers since @c since.
  struct peer_traffic {
    base::time_point since{};
    std::uint64_t full_rounds = 0;     ///< Full status, to every peer.
    std::uint64_t partial_rounds = 0;  ///< Changes only, to every peer.
    std::uint64_t datagrams = 0;
    std::uint64_t bytes = 0;
  };
  /// What this node knows of the keys to which crashes are attributed.
  struct crash_sightings {
    /// When an answer was received; since the last round.
    std::map<base::fingerprint, base::time_point> answered;
    /// When one that is refused crashed a replica last.
    std::map<base::fingerprint, base::time_point> blamed;
    bool blamed_changed = false;  ///< Since the last round.

    void Take(const std::vector<gateway::key_sighting>& new_answers,
              const std::vector<gateway::key_sighting>& all_blamed,
              base::time_point now);
  };
  struct kept_crash {
    gateway::crash_report report;
    base::time_point received_at{};
  };
  /// What a call of the store was for.
  struct pending_call {
    std::string service;  ///< Empty for the node's own entry.
    bool configuration = false;
  };

  // The platform's store:
  void TakeDelivery(platform_delivery&& delivery);
  void TakeOutage();
  /// Starts anew if @p named, the era of a delivery, is later than the last
  /// one; call before applying the delivery.
  void TakeEra(const store::era& named);
  void TakeEvent(const store::watch_event& event);
  void TakeReply(const store::reply& reply);
  // Where a configuration comes from, as logged:
  static constexpr std::string_view kFromStore = "store";
  void TakeConfiguration(const store::object& object, std::string_view source);
  void TakeReplica(const store::object& object, bool deleted);
  /// @param source of the entry: "list", or "set_aside" for one that the
  ///        directory had set aside.
  /// @param revision of the entry; zero if it had been set aside.
  void AddReplica(const fleet::replica& entry,
                  std::string_view source,
                  base::revision revision);
  struct listed_replica {
    fleet::replica entry;
    std::string_view source;
    base::revision revision;
  };
  struct unusable_entry {
    base::instance_id id;
    base::revision revision;
  };
  void LogNewlyUnusable();
  static void LogListed(const char* event, const listed_replica& change);
  void LogNewlyListed();
  void ExpireEntries(base::time_point now);
  void Forget(const base::instance_id& id, const std::string& service);
  // How this node learned that a replica is leaving, as logged:
  static constexpr std::string_view kFromAnswer = "answer";
  static constexpr std::string_view kFromPeer = "peer";
  /// Applies that @p process is leaving, and reports it to the peers if an
  /// answer said so.
  /// @param source kFromAnswer or kFromPeer.
  void LearnLeaving(const gateway::replica_process& process,
                    std::string_view source);
  void TakeFleetObject(const store::object& object, bool deleted);
  void Register();
  void Submit(store::call call, pending_call purpose);

  // Evacuated failure domains:
  bool FollowsEvacuations() const;
  void TakeEvacuation(const store::object& object, bool deleted);
  void TakeEvacuationBookmark(const store::watch_event& event);
  void TakePeerEvacuations(const fleet::peer_status& news);
  /// @param source kFromStore, or the name of a peer.
  void ApplyEvacuations(std::string_view source);
  bool AwaitsEvacuations();
  void MarkEvacuated(std::vector<gateway::target>& targets);

  // Cold replicas:
  void TakeColdTime(const fleet::replica& entry);
  void TakePeerCold(const fleet::peer_status& news);
  /// @return how long after becoming cold a replica's entry may not say so
  /// here.
  base::duration EntryDelay() const;
  bool NamesColdReplicas() const;
  void MarkCold(const gateway::service& service,
                std::vector<gateway::target>& targets);
  void UpdateFleetSize();

  // Peers:
  void Receive();
  void TakeDatagram(std::string_view text);
  /// @param direct whether the author of @p news sent it, not a relay.
  void TakeNews(const fleet::peer_status& news, bool direct);
  /// Applies what is in @p news besides the state of its sender.
  void ApplyNews(const fleet::peer_status& news);
  void TakeAnnouncements(const fleet::peer_status& news);
  void TakeConfigurationVersion(const fleet::peer_status& news);
  /// Asks the next peer that named a later configuration, if it is time to.
  void RequestConfiguration();
  /// Asks @p peer for its configuration, and the store if that brings none
  /// later than the own one.
  void FetchConfiguration(const base::node_id& peer);
  void GetConfiguration();
  bool ApplyDigest(const fleet::peer_status& digest);
  /// Sends and applies what the relays' network wants sent and applied.
  void Perform(const fleet::relay_effects& effects);
  void TickRelays();
  void ArmRelayTimer();
  /// @return whether other nodes learn from this one what the store says.
  bool InformsOthers() const;
  void UpdatePollDelays();
  void TakeSuspects(const fleet::peer_status& news,
                    gateway::fleet_update& update);
  /// Sends the round that is due to the peers, if the limit allows it now.
  void SendDue();
  fleet::peer_status FullStatus();
  fleet::peer_status Changes();
  fleet::peer_status PartialStatus() const;
  std::vector<base::instance_id> TakeSuspectsToReport();
  std::vector<fleet::limit_report> LimitsToReport(bool only_changed);
  std::vector<gateway::crash_report> Reports(
      const std::vector<kept_crash>& crashes) const;
  std::vector<gateway::key_sighting> Sightings(
      const std::map<base::fingerprint, base::time_point>& keys) const;
  /// @return whether the entry thread must learn of it at once.
  static bool IsUrgent(const crash_sightings& own,
                       const std::vector<gateway::key_sighting>& answered,
                       const std::vector<gateway::key_sighting>& blamed);
  void AnswerPeers(const gateway::entry_update& news);
  void QueryPeers(const gateway::entry_update& news);
  void SendPartial(fleet::peer_status part, const base::node_id& node);
  void SendToPeers(fleet::peer_status news);
  void SendTo(const std::string& text,
              const boost::asio::ip::udp::endpoint& address);
  void LogPeerTraffic(base::time_point now);
  base::duration NewsPeriod() const;
  base::duration SharedNewsPeriod() const;
  base::duration Silence() const;
  bool StoreReachable() const;
  /// Sends the entry thread the peers that take requests, if they changed.
  void UpdatePassingPeers();
  bool AnyNodeSeenRequests() const;

  // Groups:
  void Step();
  /// Steps once after the messages that are being handled now: a list or a
  /// round of orders ends in hundreds of them.
  void StepSoon();
  void ArmTimer();
  void StepService(const std::string& name, acting_service& of);
  void Carry(const std::string& name, const groups::plan& plan);
  runtime::http_reply ExchangeOnce(const std::string& address,
                                   runtime::http_request request,
                                   base::duration timeout,
                                   bool* connected = nullptr);
  void SendOrder(const std::string& service, const fleet::order& order);
  void AskReport(const std::string& service,
                 const groups::report_query& question);
  /// @return whether a failed query of a replica says something of it: this
  ///         node has reached one of @p service since the query began at @p
  ///         asked_at. Probes some if it doesn't know.
  bool ReachesOthers(const std::string& service, base::time_point asked_at);
  void ProbeReplicas(const std::string& service);
  /// @return the services of which a thread of this node reaches no endpoint.
  std::set<std::string> CutOffServices() const;
  /// Reads whether the answer to an order or a report request says that the
  /// replica is leaving.
  void LearnLeavingFrom(const base::instance_id& id,
                        const runtime::http_response_head& head);
  void LogChanges(const std::string& name, acting_service& of);
  void LogInventory(const std::string& name, acting_service& of);
  void TakeDemand(const std::string& name, acting_service& of);
  void LogTargets(const std::string& name, acting_service& of);
  void ClearModelGauges(const std::string& service);

  // The entry thread:
  void TakeEntryNews(gateway::entry_update&& news);
  void TakeCrashNews(const gateway::entry_update& news);
  void Publish();
  std::vector<gateway::target> TargetsOf(const gateway::service& service) const;
  std::vector<fleet::serving_group> GroupsOf(
      const gateway::service& service) const;

  settings::daemon_settings settings_;
  const fleet::deployment& wire_;
  const base::clock& clock_;
  std::uint64_t incarnation_;
  base::node_id self_;
  duty::duty_thread thread_;
  duty::channel<platform_delivery> deliveries_;
  duty::channel<gateway::entry_update> news_;
  std::optional<duty::outbox<store::call>> calls_;
  std::optional<duty::outbox<gateway::fleet_update>> updates_;
  platform_duty* platform_duty_ = nullptr;
  fleet::poll_delays poll_delays_;
  std::uint64_t next_call_ = 1;
  std::map<store::call_id, pending_call> pending_;

  gateway::configuration_ptr configuration_;
  store::object configuration_object_;  ///< What configuration_ was read from.
  fleet::configuration_sources configuration_sources_;
  fleet::replica_directory replicas_;
  std::vector<listed_replica> newly_listed_;    ///< Since the last step.
  std::vector<unusable_entry> newly_unusable_;  ///< Since the last step.
  std::map<std::string, std::unique_ptr<acting_service>> services_;
  std::map<std::string, store::object> terms_;  ///< By service.
  bool fleet_listed_ = false;

  std::optional<store::object> own_entry_;
  bool registering_ = false;
  base::time_point register_not_before_{};
  std::map<base::node_id, boost::asio::ip::udp::endpoint> addresses_;
  std::string admin_address_;
  std::map<base::node_id, std::string> admin_addresses_;
  std::string passed_address_;
  /// Where the peers take requests of others.
  std::map<base::node_id, std::string> passed_addresses_;
  std::vector<gateway::peer_node> passing_peers_;  ///< As the entry knows them.
  std::map<base::node_id, fleet::fleet_node> nodes_;  ///< This one included.
  bool nodes_changed_ = true;  ///< Since the relays' network got them.
  fleet::peer_table peers_;
  fleet::relay_network relays_;
  fleet::relayed_loads relayed_loads_;
  std::vector<base::node_id> report_targets_;  ///< Of the last report.
  duty::timer relay_timer_;
  boost::asio::ip::udp::socket socket_;
  boost::asio::ip::udp::endpoint sender_;
  std::vector<char> datagram_;
  std::uint64_t sequence_ = 0;
  peer_traffic traffic_;
  fleet::peer_outbox outbox_;
  gateway::load_map own_loads_;
  gateway::queue_length_map own_lines_;
  gateway::load_map told_loads_;  ///< What the peers were told last.
  gateway::limit_map own_limits_;
  gateway::limit_map told_limits_;
  bool seen_requests_ = false;
  /// Services of which the entry thread reaches no endpoint.
  std::set<std::string> cut_off_services_;
  runtime::fiber_event probe_finished_;
  base::random_engine random_;
  bool stopping_ = false;
  std::map<base::instance_id, base::time_point> suspects_;  ///< Own, since.
  std::map<base::instance_id, base::time_point> heard_suspects_;
  std::vector<kept_crash> crashes_;
  std::vector<kept_crash> new_crashes_;  ///< Since the last round.
  crash_sightings crashing_parts_;       ///< Of prompts.
  crash_sightings crashing_requests_;    ///< Whole ones.
  std::size_t live_nodes_ = 1;
  std::map<std::string, fleet::group_announcement> told_;
  base::time_point next_news_{};
  base::time_point next_step_{};
  base::time_point gather_until_{};
  base::time_point configuration_not_before_{};
  std::optional<store::outage> handled_outage_;
  store::era era_;
  fleet::departure_reports departure_reports_;
  fleet::evacuations evacuations_;
  bool evacuations_known_ = false;           ///< The first state was applied.
  bool evacuations_missing_logged_ = false;  ///< That none came in time.
  fleet::evacuation_times evacuated_;        ///< In effect here.
  /// As last sent to the peers.
  std::optional<fleet::evacuation_state> told_evacuated_;
  base::time_point started_at_{};
  fleet::cold_periods cold_periods_;
  fleet::fleet_size fleet_size_;
  /// When a view is due that no event asks for.
  base::time_point next_view_ = base::time_point::max();

  bool view_due_ = false;
  bool step_due_ = false;  ///< StepSoon has posted a step.
  duty::timer timer_;
  runtime::connection_pool pool_;
  telemetry::counter& orders_sent_;
  telemetry::counter& reports_asked_;
  telemetry::counter& peer_datagrams_;
  telemetry::counter& peer_bytes_;
  telemetry::counter& peer_sends_failed_;
  telemetry::counter& peer_datagrams_dropped_;
  telemetry::counter& unusable_entries_;
  telemetry::counter& groups_closed_;
  telemetry::counter& views_published_;
  telemetry::gauge& groups_serving_;
  telemetry::metric_registry& metrics_;
  struct model_gauges {
    telemetry::gauge* target = nullptr;
    telemetry::gauge* serving = nullptr;
  };
  std::map<std::pair<std::string, std::string>, model_gauges> model_gauges_;
  telemetry::gauge& configuration_version_;
  telemetry::gauge& evacuated_domains_;
};

}  // namespace flamingoshunt::daemon

#endif  // FLAMINGOSHUNT_DAEMON_FLEET_DUTY_H_
