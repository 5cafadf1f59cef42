// What the fleet duty takes from the platform's store: configuration, replicas,
// the other nodes, and who acts.
#include <boost/json.hpp>

#include <optional>
#include <utility>

#include "daemon/fleet_duty.h"
#include "runtime/fiber_scheduler.h"
#include "telemetry/log.h"

namespace flamingoshunt::daemon {
namespace {

using boost::asio::ip::udp;
using std::chrono::milliseconds;

constexpr char kNodePrefix[] = "node.";
constexpr milliseconds kRegisterRetry{500};
// Replicas that are listed at once and still get a log line each.
constexpr std::size_t kLoggedSingly = 8;

std::string NodeStatement(const std::string& address,
                          std::uint64_t incarnation,
                          const std::string& admin,
                          const std::string& passed,
                          const fleet::fleet_node& node) {
  return boost::json::serialize(
      boost::json::object{{"address", address},
                          {"incarnation", incarnation},
                          {"admin", admin},
                          {"passed_requests", passed},
                          {"failure_domain", node.failure_domain.str()},
                          {"cores", node.cores}});
}

// Entries of older nodes name neither failure domain nor cores.
fleet::fleet_node NodeIn(const std::string& statement) {
  boost::system::error_code error;
  const auto value = boost::json::parse(statement, error);
  const auto* object = value.if_object();
  fleet::fleet_node node;
  if (error || !object)
    return node;
  const auto* domain = object->if_contains("failure_domain");
  if (domain && domain->is_string())
    node.failure_domain =
        base::failure_domain_id(std::string(domain->as_string()));
  const auto* cores = object->if_contains("cores");
  if (cores && cores->is_number())
    node.cores = cores->to_number<double>();
  return node;
}

// @return whether @p held is JSON with the content of @p written; the store may
//         have another order, and another writer may have replaced it.
bool HoldsSameJson(const std::string& held, const std::string& written) {
  boost::system::error_code error;
  const auto value = boost::json::parse(held, error);
  return !error && value == boost::json::parse(written);
}

// @param field "address" for peers' datagrams, "admin" for the admin interface,
//        "passed_requests" for requests of peers.
std::optional<settings::ip_endpoint> EndpointIn(const std::string& statement,
                                                const char* field) {
  boost::system::error_code error;
  const auto value = boost::json::parse(statement, error);
  const auto* object = value.if_object();
  const auto* address = object ? object->if_contains(field) : nullptr;
  if (error || !address || !address->is_string())
    return std::nullopt;
  return settings::ParseIpEndpoint(std::string(address->as_string()));
}

std::optional<udp::endpoint> AddressIn(const std::string& statement) {
  const auto parsed = EndpointIn(statement, "address");
  if (!parsed)
    return std::nullopt;
  return udp::endpoint(boost::asio::ip::make_address(parsed->ip), parsed->port);
}

bool StartsWith(const std::string& text, std::string_view prefix) {
  return text.compare(0, prefix.size(), prefix) == 0;
}

}  // namespace

// Records an outage before what was received after it is applied.
void fleet_duty::TakeOutage() {
  const auto outage = platform_duty_->last_outage();
  if (!outage || outage == handled_outage_)
    return;
  handled_outage_ = outage;
  replicas_.RecordOutageEnd(outage->ended);
}

void fleet_duty::TakeEra(const store::era& named) {
  if (!named || named == era_)
    return;
  const bool restored = era_.has_value();
  era_ = named;
  if (!restored)
    return;
  // Entries that are missing in the copy are written again.
  replicas_.RecordOutageEnd(clock_.Now());
  replicas_.RecordRestore(clock_.Now(), settings_.gateway->replica_heartbeat);
  // The lists that follow tell what the store still has.
  fleet_listed_ = false;
  for (auto& [name, of] : services_)
    of->term.OnStoreRestored();
}

void fleet_duty::TakeDelivery(platform_delivery&& delivery) {
  TakeOutage();
  std::visit([this](const auto& each) { TakeEra(each.platform_era); },
             delivery);
  if (const auto* event = std::get_if<store::watch_event>(&delivery))
    TakeEvent(*event);
  else
    TakeReply(std::get<store::reply>(delivery));
  StepSoon();
}

void fleet_duty::TakeEvent(const store::watch_event& event) {
  const std::string& kind = event.changed.key.kind;
  const bool deleted = event.kind == store::watch_event_kind::kDelete;
  if (event.kind == store::watch_event_kind::kBookmark) {
    if (kind == groups::kFleetKind && !fleet_listed_) {
      fleet_listed_ = true;
      gather_until_ = clock_.Now() + kGather;
      Register();
    }
    if (kind == wire_.evacuation_kind())
      TakeEvacuationBookmark(event);
    return;
  }
  if (kind == wire_.configuration_kind()) {
    if (!deleted && event.changed.key.name == wire_.configuration_name())
      TakeConfiguration(event.changed, kFromStore);
  } else if (kind == wire_.replica_kind()) {
    TakeReplica(event.changed, deleted);
  } else if (kind == groups::kFleetKind) {
    TakeFleetObject(event.changed, deleted);
  } else if (kind == wire_.evacuation_kind()) {
    TakeEvacuation(event.changed, deleted);
  }
}

void fleet_duty::TakeConfiguration(const store::object& object,
                                   std::string_view source) {
  gateway::configuration_ptr read;
  try {
    read = wire_.ReadConfiguration(object.value);
  } catch (const base::user_error& error) {
    telemetry::LogChange(
        "fleet", "configuration_unreadable",
        {{"revision", object.version.value()},
         {"why", error.what()},
         {"kept", configuration_ ? configuration_->version() : 0}},
        telemetry::log_level::kWarning);
    return;
  }
  // What was in force never comes back.
  if (configuration_ && read->version() <= configuration_->version())
    return;
  telemetry::LogChange(
      "fleet", "configuration",
      {{"version", read->version()},
       {"before", configuration_ ? configuration_->version() : 0},
       {"source", source},
       {"requires_key", read->requires_key()},
       {"revision", object.version.value()}});
  configuration_ = std::move(read);
  configuration_object_ = object;
  configuration_sources_.OnInForce(configuration_->version());
  configuration_version_.Set(
      static_cast<std::int64_t>(configuration_->version()));
  for (const auto& [name, service] : configuration_->services()) {
    if (!service.engine)
      continue;
    auto& acting = services_[name];
    if (!acting) {
      acting = std::make_unique<acting_service>(self_, incarnation_, name);
      if (stopping_)
        acting->term.Resign();
      if (const auto& evacuated = evacuations_.current())
        acting->planner.SetEvacuated(evacuated->domains);
      if (const auto term = terms_.find(name); term != terms_.end())
        acting->term.OnTermObject(term->second);
      if (fleet_listed_)
        acting->term.OnListed();
      for (const auto& [id, replica] : replicas_.replicas()) {
        if (replica.service == name)
          acting->planner.OnListed(replica, clock_.Now());
      }
    }
    acting->planner.SetLayout(*service.engine);
    if (settings_.gateway->groups_follow_demand)
      acting->planner.FollowDemand();
  }
  view_due_ = true;
}

void fleet_duty::TakeReplica(const store::object& object, bool deleted) {
  const base::instance_id id(object.key.name);
  const auto entry =
      deleted ? std::nullopt : wire_.ReadReplica(id.str(), object.value);
  if (entry) {
    AddReplica(*entry, "list", object.version);
    return;
  }
  if (!deleted) {
    unusable_entries_.Add();
    newly_unusable_.push_back({id, object.version});
  }
  const auto now = clock_.Now();
  const auto known = replicas_.replicas().find(id);
  const std::string service =
      known == replicas_.replicas().end() ? "" : known->second.service;
  const bool gone =
      deleted ? replicas_.Delete(id, now) : replicas_.Withdraw(id, now);
  if (service.empty())
    return;
  telemetry::LogChange("fleet", gone ? "replica_gone" : "replica_lapsed",
                       {{"instance", id.str()},
                        {"service", service},
                        {"revision", object.version.value()},
                        {"unusable", !deleted}});
  if (gone)
    Forget(id, service);
}

void fleet_duty::AddReplica(const fleet::replica& entry,
                            std::string_view source,
                            base::revision revision) {
  const auto now = clock_.Now();
  const base::instance_id& id = entry.id;
  const auto known = replicas_.replicas().find(id);
  const bool fresh = known == replicas_.replicas().end();
  const bool left_before = !fresh && known->second.leaving;
  if (!replicas_.Put(entry, now)) {
    if (replicas_.IsSetAside(id))
      telemetry::LogChange("fleet", "replica_set_aside",
                           {{"instance", id.str()},
                            {"started_ms", entry.engine.started_ms},
                            {"revision", revision.value()}});
    return;
  }
  TakeColdTime(entry);
  const fleet::replica& current = replicas_.replicas().at(id);
  const bool leaves = current.leaving && !left_before;
  if (leaves && relays_.in_use() && InformsOthers()) {
    // The other nodes of a large fleet poll the list seldom.
    departure_reports_.Add({id, entry.engine.started_ms}, now);
    outbox_.RequestChanges();
  }
  if (fresh || leaves) {
    const listed_replica change{entry, source, revision};
    if (leaves)
      LogListed("replica_leaving", change);
    else
      newly_listed_.push_back(change);
  }
  if (const auto of = services_.find(entry.service); of != services_.end())
    of->second->planner.OnListed(current, now);
  view_due_ = true;
}

void fleet_duty::LogListed(const char* event, const listed_replica& change) {
  telemetry::LogChange("fleet", event,
                       {{"instance", change.entry.id.str()},
                        {"service", change.entry.service},
                        {"address", change.entry.address},
                        {"source", change.source},
                        {"revision", change.revision.value()}});
}

// Logs the replicas listed since the last step; a long list in one line, since
// every node of the fleet logs it.
void fleet_duty::LogNewlyListed() {
  const auto listed = std::exchange(newly_listed_, {});
  if (listed.size() <= kLoggedSingly) {
    for (const listed_replica& each : listed)
      LogListed("replica_listed", each);
    return;
  }
  telemetry::LogChange("fleet", "replicas_listed",
                       {{"count", listed.size()},
                        {"known", replicas_.replicas().size()},
                        {"first", listed.front().entry.id.str()},
                        {"last", listed.back().entry.id.str()},
                        {"source", listed.back().source},
                        {"revision", listed.back().revision.value()}});
}

// Logs the entries that name no usable replica, each once per revision.
void fleet_duty::LogNewlyUnusable() {
  const auto unusable = std::exchange(newly_unusable_, {});
  if (unusable.size() <= kLoggedSingly) {
    for (const unusable_entry& each : unusable)
      telemetry::LogChange(
          "fleet", "entry_unusable",
          {{"instance", each.id.str()}, {"revision", each.revision.value()}},
          telemetry::log_level::kWarning);
    return;
  }
  telemetry::LogChange("fleet", "entries_unusable",
                       {{"count", unusable.size()},
                        {"first", unusable.front().id.str()},
                        {"last", unusable.back().id.str()},
                        {"revision", unusable.back().revision.value()}},
                       telemetry::log_level::kWarning);
}

void fleet_duty::LearnLeaving(const gateway::replica_process& process,
                              std::string_view source) {
  if (!replicas_.RecordLeaving(process, clock_.Now()))
    return;
  telemetry::LogChange("fleet", "replica_leaving",
                       {{"instance", process.instance.str()},
                        {"started_ms", process.started_ms},
                        {"source", source}});
  if (source == kFromAnswer)
    departure_reports_.Add(process, clock_.Now());
  const auto listed = replicas_.replicas().find(process.instance);
  if (listed == replicas_.replicas().end() || !listed->second.leaving)
    return;
  if (const auto of = services_.find(listed->second.service);
      of != services_.end())
    of->second->planner.OnLeaving(process.instance);
  view_due_ = true;
}

void fleet_duty::Forget(const base::instance_id& id,
                        const std::string& service) {
  if (const auto of = services_.find(service); of != services_.end())
    of->second->planner.OnUnlisted(id);
  view_due_ = true;
}

void fleet_duty::TakeFleetObject(const store::object& object, bool deleted) {
  const std::string& name = object.key.name;
  if (StartsWith(name, groups::kTermPrefix)) {
    const std::string service = name.substr(std::size(groups::kTermPrefix) - 1);
    const auto of = services_.find(service);
    if (deleted) {
      terms_.erase(service);
      if (of != services_.end())
        of->second->term.OnTermObjectDeleted();
      return;
    }
    terms_[service] = object;
    if (of != services_.end())
      of->second->term.OnTermObject(object);
  } else if (StartsWith(name, kNodePrefix)) {
    const base::node_id node(name.substr(std::size(kNodePrefix) - 1));
    if (node == self_) {
      own_entry_ = deleted ? std::nullopt : std::optional(object);
      Register();
      return;
    }
    const auto address = deleted ? std::nullopt : AddressIn(object.value);
    if (!deleted && !address)
      telemetry::LogChange(
          "fleet", "node_entry_unusable",
          {{"node", node.str()}, {"revision", object.version.value()}},
          telemetry::log_level::kWarning);
    nodes_changed_ = true;
    const auto admin =
        deleted ? std::nullopt : EndpointIn(object.value, "admin");
    if (admin)
      admin_addresses_[node] = admin->Text();
    else
      admin_addresses_.erase(node);
    const auto passed =
        deleted ? std::nullopt : EndpointIn(object.value, "passed_requests");
    if (passed)
      passed_addresses_[node] = passed->Text();
    else
      passed_addresses_.erase(node);
    if (address) {
      addresses_[node] = *address;
      nodes_[node] = NodeIn(object.value);
    } else {
      addresses_.erase(node);
      nodes_.erase(node);
    }
  }
}

// Writes the node's own entry until the store holds it.
void fleet_duty::Register() {
  const std::string value =
      NodeStatement(settings_.listen.peer.Text(), incarnation_, admin_address_,
                    passed_address_, nodes_.at(self_));
  if (!fleet_listed_ || registering_ || clock_.Now() < register_not_before_)
    return;
  if (own_entry_ && HoldsSameJson(own_entry_->value, value))
    return;
  registering_ = true;
  store::call write;
  write.op = own_entry_ ? store::operation::kUpdate : store::operation::kCreate;
  write.key = {groups::kFleetKind, kNodePrefix + self_.str()};
  if (own_entry_)
    write.expected = own_entry_->version;
  write.value = value;
  Submit(std::move(write), {});
}

void fleet_duty::Submit(store::call call, pending_call purpose) {
  call.id = store::call_id(next_call_++);
  pending_[call.id] = std::move(purpose);
  calls_->Send(std::move(call));
}

void fleet_duty::TakeReply(const store::reply& reply) {
  const auto found = pending_.find(reply.id);
  if (found == pending_.end())
    return;
  const pending_call purpose = std::move(found->second);
  pending_.erase(found);
  if (purpose.configuration) {
    if (reply.current)
      TakeConfiguration(*reply.current, kFromStore);
  } else if (purpose.service.empty()) {
    registering_ = false;
    register_not_before_ = clock_.Now() + kRegisterRetry;
    if (reply.current)
      own_entry_ = *reply.current;
  } else if (const auto of = services_.find(purpose.service);
             of != services_.end()) {
    of->second->term.OnWriteReply(reply, clock_.Now());
  }
}

}  // namespace flamingoshunt::daemon
