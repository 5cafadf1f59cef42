#include "daemon/housekeeping_duty.h"

#include <utility>
#include <vector>

#include "base/hash.h"

namespace flamingoshunt::daemon {
namespace {

constexpr std::size_t kRingMessages = 1024;
constexpr char kSweepKey[] = "claim sweep";  // for rendezvous hashing

}  // namespace

housekeeping_duty::housekeeping_duty(admission::limit_roster::member self,
                                     std::string unique_prefix,
                                     const base::clock& clock)
    : clock_(clock),
      self_(self.node),
      thread_("housekeeping"),
      roster_(std::move(self)),
      ids_(std::move(unique_prefix)),
      sweeper_({}, ids_),
      roster_timer_(thread_.loop(),
                    [this] { PerformRoster(roster_.Tick(clock_.Now())); }),
      sweep_timer_(thread_.loop(), [this] { Sweep(); }),
      platform_news_(
          kRingMessages,
          thread_.loop(),
          [this](platform_delivery&& news) { TakePlatformNews(news); }),
      peers_(kRingMessages, thread_.loop(), [this](peer_news&& news) {
        TakePeerNews(news);
      }) {}

void housekeeping_duty::ConnectPlatform(duty::channel<store::call>& calls) {
  calls_.emplace(thread_.loop(), calls);
}

void housekeeping_duty::ConnectPeers(
    duty::channel<membership::publish>& publications) {
  publications_.emplace(thread_.loop(), publications);
}

void housekeeping_duty::ConnectDispatch(
    duty::channel<admission::limit_roster>& rosters) {
  rosters_.emplace(thread_.loop(), rosters);
}

void housekeeping_duty::Start() {
  boost::asio::post(thread_.loop(), [this] {
    PerformRoster(roster_.Start());
    TakePeerNews(membership::peers_changed{});
  });
  thread_.Start();
}

void housekeeping_duty::TakePlatformNews(const platform_delivery& news) {
  std::visit(
      [this](const auto& each) {
        PerformRoster(roster_.Handle(each, clock_.Now()));
      },
      news);
  if (const auto* reply = std::get_if<store::reply>(&news)) {
    sweeper_.Handle(*reply, clock_.WallNow());
    Sweep();
  }
}

void housekeeping_duty::TakePeerNews(const peer_news& news) {
  std::visit(
      [this](const auto& each) {
        PerformRoster(roster_.Handle(each, clock_.Now()));
      },
      news);
  if (const auto* changed = std::get_if<membership::peers_changed>(&news)) {
    sweeper_.SetLeading(LeadsSweep(*changed), clock_.Now());
    Sweep();
  }
}

bool housekeeping_duty::LeadsSweep(
    const membership::peers_changed& changed) const {
  std::vector<std::string> live = {self_.str()};
  for (const membership::peer& peer : changed.peers) {
    if (peer.state == membership::peer_state::kAlive)
      live.push_back(peer.id.str());
  }
  return live[base::RendezvousOrder(kSweepKey, live).front()] == self_.str();
}

void housekeeping_duty::PerformRoster(
    const admission::roster_effects& effects) {
  for (const auto& call : effects.calls)
    calls_->Send(call);
  for (const auto& item : effects.publish)
    publications_->Send(item);
  if (effects.agreed)
    rosters_->Send(*effects.agreed);
  roster_timer_.Arm(roster_.NextTimer());
}

void housekeeping_duty::Sweep() {
  for (auto& call : sweeper_.Tick(clock_.Now()))
    calls_->Send(std::move(call));
  sweep_timer_.Arm(sweeper_.NextTimer());
}

boost::json::value housekeeping_duty::Answer(const status_query&) {
  boost::json::object status;
  status["roster_version"] = roster_.agreed().version.value();
  status["roster_members"] = roster_.agreed().members.size();
  status["claims_deleted"] = sweeper_.counters().deleted;
  return status;
}

}  // namespace flamingoshunt::daemon
