#include "daemon/catalogue_duty.h"

#include <utility>

#include "telemetry/log.h"

namespace flamingoshunt::daemon {
namespace {

constexpr std::size_t kRingMessages = 4096;

}  // namespace

catalogue_duty::catalogue_duty(const catalogue::keeper_options& options,
                               const base::clock& clock)
    : clock_(clock),
      thread_("catalogue"),
      keeper_(options),
      timer_(thread_.loop(), [this] { Perform(keeper_.Tick(clock_.Now())); }),
      platform_news_(kRingMessages,
                     thread_.loop(),
                     [this](platform_delivery&& news) {
                       std::visit(
                           [this](const auto& each) {
                             Perform(keeper_.Handle(each, clock_.Now()));
                           },
                           news);
                     }),
      peer_news_(kRingMessages, thread_.loop(), [this](peer_news&& news) {
        std::visit(
            [this](const auto& each) {
              Perform(keeper_.Handle(each, clock_.Now()));
            },
            news);
      }) {}

void catalogue_duty::ConnectPlatform(duty::channel<store::call>& calls) {
  calls_.emplace(thread_.loop(), calls);
}

void catalogue_duty::ConnectPeers(
    duty::channel<membership::publish>& publications) {
  publications_.emplace(thread_.loop(), publications);
}

void catalogue_duty::AddReader(duty::channel<catalogue::snapshot_ptr>& reader) {
  auto box = std::make_shared<duty::outbox<catalogue::snapshot_ptr>>(
      thread_.loop(), reader);
  readers_.emplace_back([box](const catalogue_update& update, bool changed) {
    if (changed)
      box->Send(update.snapshot);
  });
}

void catalogue_duty::AddReader(duty::channel<catalogue_update>& reader) {
  auto box =
      std::make_shared<duty::outbox<catalogue_update>>(thread_.loop(), reader);
  readers_.emplace_back(
      [box](const catalogue_update& update, bool) { box->Send(update); });
}

void catalogue_duty::Start() {
  thread_.Start();
  boost::asio::post(thread_.loop(),
                    [this] { Perform(keeper_.Tick(clock_.Now())); });
}

void catalogue_duty::Perform(const catalogue::keeper_effects& effects) {
  for (const store::call& call : effects.calls)
    calls_->Send(call);
  for (const membership::publish& item : effects.publish)
    publications_->Send(item);
  const bool changed = effects.in_force != nullptr;
  const bool told = changed || effects.confirmed.has_value();
  if (told && keeper_.in_force()) {
    const bool confirmed = keeper_.Confirmed(clock_.Now());
    for (const reader& each : readers_)
      each({keeper_.in_force(), confirmed}, changed);
    ready_.store(confirmed);
  }
  if (changed)
    LogInForce(*effects.in_force);
  if (effects.confirmed)
    telemetry::LogChange("catalogue",
                         *effects.confirmed ? "confirmed" : "unconfirmed",
                         {{"version", keeper_.version()}});
  timer_.Arm(keeper_.NextTimer());
}

void catalogue_duty::LogInForce(const catalogue::snapshot& in_force) {
  telemetry::LogChange("catalogue", "in_force",
                       {{"version", in_force.version.value()},
                        {"entries", in_force.entries.size()},
                        {"workspaces", in_force.workspaces.size()}});
}

boost::json::value catalogue_duty::Answer(const status_query&) {
  boost::json::object status;
  status["version"] = keeper_.version();
  status["confirmed"] = keeper_.Confirmed(clock_.Now());
  boost::json::array lagging;
  for (const base::node_id& node : keeper_.Lagging(keeper_.version()))
    lagging.emplace_back(node.str());
  status["lagging"] = std::move(lagging);
  const auto& in_force = keeper_.in_force();
  status["entries"] = in_force ? in_force->entries.size() : 0;
  status["workspaces"] = in_force ? in_force->workspaces.size() : 0;
  const catalogue::keeper_counters& counted = keeper_.counters();
  status["taken"] = counted.taken;
  status["older"] = counted.older;
  status["malformed"] = counted.malformed;
  status["reads"] = counted.reads;
  status["lists"] = counted.lists;
  status["published"] = counted.published;
  status["times_unconfirmed"] = counted.unconfirmed;
  status["written_back"] = keeper_.written_back();
  return status;
}

}  // namespace flamingoshunt::daemon
