#include "daemon/replica_duty.h"

#include <utility>

#include "endpoint/instance_json.h"
#include "replica/recovery_policy.h"
#include "runtime/fiber_scheduler.h"
#include "runtime/fiber_wait.h"
#include "telemetry/log.h"

namespace flamingoshunt::daemon {
namespace {

constexpr std::size_t kRingMessages = 4096;

const char* NameOf(replica::serving_state state) {
  static constexpr const char* kNames[] = {"serving", "draining", "gone"};
  return kNames[static_cast<std::size_t>(state)];
}

}  // namespace

replica_duty::replica_duty(const replica::settings& settings,
                           base::node_id self,
                           telemetry::metric_registry& metrics,
                           const base::clock& clock,
                           std::uint64_t seed)
    : clock_(clock),
      thread_("replica"),
      machine_(settings,
               std::move(self),
               std::make_shared<replica::repair_policy>(),
               base::random_engine(seed)),
      metrics_(metrics),
      endpoints_(thread_.loop(),
                 clock,
                 settings.report_timeout,
                 settings.order_validity,
                 [this](instance_news news) {
                   const auto* report = std::get_if<endpoint::report>(&news);
                   if (report && news_)
                     news_->Send(*report);
                   std::visit([this](const auto& each) { Feed(each); }, news);
                 }),
      timer_(thread_.loop(), [this] { Feed(replica::tick{}); }),
      platform_news_(kRingMessages,
                     thread_.loop(),
                     [this](platform_delivery&& news) {
                       if (auto* reply = std::get_if<store::reply>(&news))
                         Feed(*reply);
                       else
                         TakeEvent(std::get<store::watch_event>(news));
                     }),
      catalogues_(kRingMessages,
                  thread_.loop(),
                  [this](catalogue_update&& update) {
                    Feed(replica::catalogue_changed{update.snapshot});
                  }),
      peers_(kRingMessages,
             thread_.loop(),
             [this](peer_news&& news) {
               std::visit([this](const auto& each) { Feed(each); }, news);
             }),
      failures_(kRingMessages,
                thread_.loop(),
                [this](replica::replica_failed&& failed) { Feed(failed); }) {}

void replica_duty::ConnectPlatform(duty::channel<store::call>& calls) {
  calls_.emplace(thread_.loop(), calls);
}

void replica_duty::ConnectDispatch(duty::channel<replica_news>& news) {
  news_.emplace(thread_.loop(), news);
}

void replica_duty::ConnectPeers(
    duty::channel<membership::publish>& publications) {
  publications_.emplace(thread_.loop(), publications);
}

void replica_duty::Start() {
  thread_.Start([this](boost::asio::io_context& loop) {
    runtime::RunFibers(loop, [this] {
      Feed(replica::tick{});
      runtime::fiber_signal forever;
      forever.Wait();
    });
  });
}

void replica_duty::Perform(replica::effects effects) {
  for (auto& changed : effects.serving) {
    NoteServing(changed.replica);
    news_->Send(std::move(changed));
  }
  for (auto& call : effects.calls)
    calls_->Send(std::move(call));
  for (const auto& order : effects.orders) {
    metrics_.orders.Add();
    endpoints_.SendOrder(order);
  }
  for (const auto& instance : effects.report_queries)
    endpoints_.AskReport(instance);
  for (auto& item : effects.items)
    publications_->Send(std::move(item));
  timer_.Arm(machine_.NextTimer());
}

void replica_duty::NoteServing(const replica::serving_replica& replica) {
  telemetry::LogChange("replica", NameOf(replica.state),
                       {{"replica", replica.replica.str()},
                        {"entry", replica.entry.str()},
                        {"epoch", replica.epoch.value()}});
  if (replica.state == replica::serving_state::kGone)
    serving_.erase(replica.replica);
  else
    serving_[replica.replica] = replica;
  if (replica.state == replica::serving_state::kGone)
    metrics_.closures.Add();
  metrics_.serving.Set(static_cast<std::int64_t>(serving_.size()));
  metrics_.instances.Set(static_cast<std::int64_t>(listed_.size()));
}

void replica_duty::TakeEvent(const store::watch_event& event) {
  const std::string& kind = event.changed.key.kind;
  if (kind == "instance")
    TakeInstance(event);
  else if (kind == "allocation")
    TakeAllocation(event);
  else if (kind == "drain")
    TakeDrain(event);
}

void replica_duty::TakeInstance(const store::watch_event& event) {
  try {
    switch (instances_.Take(event)) {
      case kind_sync::step::kListComplete: {
        replica::instances_listed list;
        for (const auto& object : instances_.TakeList()) {
          list.instances.push_back(
              endpoint::DecodeInstance(object.key.name, object.value));
          listed_[list.instances.back().id] = list.instances.back();
        }
        Feed(list);
        return;
      }
      case kind_sync::step::kChange: {
        const bool gone = event.kind == store::watch_event_kind::kDelete;
        const base::instance_id id(event.changed.key.name);
        if (!gone)
          listed_[id] = endpoint::DecodeInstance(id.str(), event.changed.value);
        endpoint::instance instance = listed_[id];
        instance.id = id;
        if (gone)
          listed_.erase(id);
        Feed(replica::instance_changed{instance, gone});
        return;
      }
      case kind_sync::step::kCollecting:
      case kind_sync::step::kNothing:
        return;
    }
  } catch (const base::user_error& error) {
    ++malformed_;
    telemetry::LogChange(
        "replica", "instance_malformed",
        {{"instance", event.changed.key.name}, {"detail", error.what()}},
        telemetry::log_level::kError);
  }
}

void replica_duty::TakeAllocation(const store::watch_event& event) {
  switch (allocations_.Take(event)) {
    case kind_sync::step::kListComplete:
      Feed(replica::allocations_listed{allocations_.TakeList()});
      return;
    case kind_sync::step::kChange:
      Feed(replica::allocation_changed{
          event.changed, event.kind == store::watch_event_kind::kDelete});
      return;
    case kind_sync::step::kCollecting:
    case kind_sync::step::kNothing:
      return;
  }
}

void replica_duty::TakeDrain(const store::watch_event& event) {
  switch (drains_.Take(event)) {
    case kind_sync::step::kListComplete: {
      replica::drains_listed list;
      for (const auto& object : drains_.TakeList())
        list.instances.emplace_back(object.key.name);
      Feed(list);
      return;
    }
    case kind_sync::step::kChange:
      Feed(replica::drain_changed{base::instance_id(event.changed.key.name),
                                  event.kind == store::watch_event_kind::kPut});
      return;
    case kind_sync::step::kCollecting:
    case kind_sync::step::kNothing:
      return;
  }
}

boost::json::value replica_duty::Answer(const status_query&) {
  boost::json::array replicas;
  for (const auto& [id, replica] : serving_) {
    boost::json::object each;
    each["replica"] = id.str();
    each["entry"] = replica.entry.str();
    each["epoch"] = replica.epoch.value();
    each["state"] = NameOf(replica.state);
    each["version"] = replica.version;
    each["failure_domain"] = replica.failure_domain.str();
    each["members"] = replica.members.size();
    each["address"] = replica.address;
    replicas.push_back(std::move(each));
  }
  boost::json::object status;
  status["replicas"] = std::move(replicas);
  status["instances"] = listed_.size();
  status["orders"] = machine_.counters().orders;
  status["writes"] = machine_.counters().writes;
  status["asks"] = machine_.counters().report_queries;
  return status;
}

}  // namespace flamingoshunt::daemon
