#include "daemon/platform_duty.h"

#include <boost/asio/post.hpp>

#include <optional>
#include <utility>

#include "base/milliseconds.h"
#include "runtime/fiber_scheduler.h"
#include "runtime/fiber_wait.h"
#include "telemetry/log.h"

namespace flamingoshunt::daemon {
namespace {

constexpr std::size_t kRingCalls = 1024;

// Ids of calls start far from those that the client picks for its own lists.
constexpr std::uint64_t kFirstCall = std::uint64_t{1} << 62;

}  // namespace

struct platform_duty::link {
  std::unique_ptr<duty::channel<store::call>> calls;
  std::optional<duty::outbox<platform_delivery>> deliveries;
  std::optional<duty::outbox<store::reply>> replies;

  void Deliver(store::reply reply) {
    if (replies)
      replies->Send(std::move(reply));
    else
      deliveries->Send(std::move(reply));
  }
};

platform_duty::platform_duty(const store::client_options& options,
                             const port_factory& make_port,
                             const base::clock& clock,
                             std::uint64_t seed)
    : clock_(clock),
      thread_("platform"),
      client_(options, base::random_engine(seed)),
      port_(make_port(thread_.loop(),
                      [this](store::port_news news) {
                        NoteSource(news);
                        std::visit(
                            [this](const auto& each) {
                              Perform(client_.Handle(each, clock_.Now()));
                            },
                            news);
                      })),
      timer_(thread_.loop(), [this] { Perform(client_.Tick(clock_.Now())); }),
      next_call_(kFirstCall),
      lapse_outage_(options.lapse_outage) {}

platform_duty::~platform_duty() = default;

duty::channel<store::call>& platform_duty::AddLink(
    std::unique_ptr<link> added) {
  const std::size_t index = links_.size();
  added->calls = std::make_unique<duty::channel<store::call>>(
      kRingCalls, thread_.loop(),
      [this, index](store::call&& call) { Submit(index, std::move(call)); });
  links_.push_back(std::move(added));
  return *links_.back()->calls;
}

duty::channel<store::call>& platform_duty::Link(
    duty::channel<platform_delivery>& deliveries,
    const std::vector<std::string>& kinds) {
  for (const std::string& kind : kinds) {
    const store::watch_id id(watches_.size() + 1);
    watches_.emplace_back(id, kind);
    watch_links_[id] = links_.size();
  }
  auto added = std::make_unique<link>();
  added->deliveries.emplace(thread_.loop(), deliveries);
  return AddLink(std::move(added));
}

duty::channel<store::call>& platform_duty::Link(
    duty::channel<store::reply>& replies) {
  auto added = std::make_unique<link>();
  added->replies.emplace(thread_.loop(), replies);
  return AddLink(std::move(added));
}

void platform_duty::Start() {
  thread_.Start([this](boost::asio::io_context& loop) {
    runtime::RunFibers(loop, [this] {
      for (const auto& [id, kind] : watches_)
        Perform(client_.Watch(id, kind, clock_.Now()));
      runtime::fiber_signal forever;
      forever.Wait();
    });
  });
}

void platform_duty::SetPollDelay(const std::string& kind,
                                 base::duration delay) {
  boost::asio::post(thread_.loop(),
                    [this, kind, delay] { port_->SetPollDelay(kind, delay); });
}

void platform_duty::NoteSource(const store::port_news& news) {
  news_source_ = std::holds_alternative<store::reply>(news) ? "call" : "watch";
  const auto* event = std::get_if<store::watch_event>(&news);
  if (event && event->kind == store::watch_event_kind::kGap)
    telemetry::LogChange("store", "history_gone",
                         {{"watch", event->id.value()}});
}

// Publishes whether the platform answers, and logs each change.
void platform_duty::UpdateContact(const store::client_effects& effects) {
  constexpr auto kNever = base::time_point::max();
  if (effects.begun_era)
    telemetry::LogChange(
        "store", "restored",
        {{"era", *effects.begun_era}, {"by", std::string(news_source_)}},
        telemetry::log_level::kWarning);
  const std::optional<store::outage>& ended = effects.ended_outage;
  if (ended) {
    if (ended->length() >= lapse_outage_) {
      const std::lock_guard lock(last_outage_mutex_);
      last_outage_ = ended;
    }
    telemetry::LogChange(
        "store", "regained",
        {{"after_ms", base::WholeMilliseconds(ended->length())}});
  }
  const auto since = client_.failing_since().value_or(kNever);
  const auto before = failing_since_.exchange(since);
  if (since != kNever && (before == kNever || ended))
    telemetry::LogChange("store", "lost", {{"by", news_source_}},
                         telemetry::log_level::kWarning);
}

void platform_duty::Submit(std::size_t link, store::call call) {
  const store::call_id own(next_call_++);
  callers_[own] = {link, call.id};
  call.id = own;
  Perform(client_.Submit(call, clock_.Now()));
}

void platform_duty::Perform(const store::client_effects& effects) {
  UpdateContact(effects);
  for (const auto& call : effects.send)
    port_->Send(call);
  for (const auto& watch : effects.start_watches)
    port_->StartWatch(watch);
  for (const auto& watch : effects.stop_watches)
    port_->StopWatch(watch);
  for (const auto& reply : effects.replies)
    DeliverReply(reply);
  for (const auto& event : effects.events)
    DeliverEvent(event);
  available_.store(client_.available());
  sent_.store(client_.counters().sent);
  timer_.Arm(client_.NextTimer(clock_.Now()));
}

void platform_duty::DeliverReply(store::reply reply) {
  const auto found = callers_.find(reply.id);
  if (found == callers_.end())
    return;
  const caller to = found->second;
  callers_.erase(found);
  reply.id = to.id;
  links_[to.link]->Deliver(std::move(reply));
}

void platform_duty::DeliverEvent(const store::watch_event& event) {
  const auto found = watch_links_.find(event.id);
  if (found != watch_links_.end())
    links_[found->second]->deliveries->Send(event);
}

}  // namespace flamingoshunt::daemon
