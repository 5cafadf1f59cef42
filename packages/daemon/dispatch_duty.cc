#include "daemon/dispatch_duty.h"

#include <charconv>
#include <utility>

namespace flamingoshunt::daemon {
namespace {

constexpr std::size_t kRequestRing = 4096;
constexpr std::size_t kControlRing = 4096;

}  // namespace

dispatch_duty::dispatch_duty(admission::controller machine,
                             telemetry::metric_registry& metrics,
                             const base::clock& clock)
    : clock_(clock),
      thread_("dispatch"),
      machine_(std::move(machine)),
      metrics_(metrics),
      timer_(thread_.loop(), [this] { Feed(admission::tick{}); }),
      catalogues_(kControlRing,
                  thread_.loop(),
                  [this](catalogue_update&& update) {
                    Feed(admission::catalogue_in_force{
                        std::move(update.snapshot), update.confirmed});
                  }),
      replicas_(kControlRing,
                thread_.loop(),
                [this](replica_news&& news) {
                  std::visit([this](const auto& each) { Feed(each); }, news);
                }),
      peers_(kControlRing,
             thread_.loop(),
             [this](peer_news&& news) {
               if (auto* item = std::get_if<membership::item_received>(&news))
                 Feed(std::move(item->received));
               else
                 Feed(std::get<membership::peers_changed>(std::move(news)));
             }),
      rosters_(kControlRing,
               thread_.loop(),
               [this](admission::limit_roster&& roster) { Feed(roster); }) {}

duty::channel<dispatch_request>& dispatch_duty::Link(
    duty::channel<dispatch_answer>& answers) {
  const std::size_t index = links_.size();
  io_link added;
  added.answers =
      std::make_unique<duty::outbox<dispatch_answer>>(thread_.loop(), answers);
  added.requests = std::make_unique<duty::channel<dispatch_request>>(
      kRequestRing, thread_.loop(), [this, index](dispatch_request&& request) {
        Take(index, std::move(request));
      });
  links_.push_back(std::move(added));
  return *links_.back().requests;
}

void dispatch_duty::ConnectPeers(
    duty::channel<membership::publish>& publications) {
  publications_.emplace(thread_.loop(), publications);
}

void dispatch_duty::ConnectReplicas(
    duty::channel<replica::replica_failed>& failures) {
  failures_.emplace(thread_.loop(), failures);
}

void dispatch_duty::Take(std::size_t link, dispatch_request&& request) {
  if (const auto* ask = std::get_if<admission::slot_request>(&request))
    NoteRequest(link, ask->shape.request);
  else if (const auto* withdraw = std::get_if<admission::withdrawal>(&request))
    asked_by_.erase(withdraw->request);
  else if (const auto* release = std::get_if<admission::release>(&request))
    NoteRelease(release->finished);
  std::visit([this](const auto& each) { Feed(each); }, request);
}

void dispatch_duty::NoteRequest(std::size_t link,
                                const base::request_id& request) {
  asker& by = asked_by_[request];
  by.link = link;
  by.is_waiting = true;
}

void dispatch_duty::ForgetUnused(const base::request_id& request) {
  const auto found = asked_by_.find(request);
  if (found != asked_by_.end() && !found->second.is_waiting &&
      found->second.slots <= 0)
    asked_by_.erase(found);
}

void dispatch_duty::NoteRelease(const routing::attempt_finished& finished) {
  if (const auto found = asked_by_.find(finished.request);
      found != asked_by_.end())
    --found->second.slots;
  ForgetUnused(finished.request);
  const bool failed = finished.result == routing::attempt_result::kBroken ||
                      finished.result == routing::attempt_result::kNotStarted;
  if (failed && failures_)
    failures_->Send({finished.replica, finished.epoch});
}

void dispatch_duty::Feed(const admission::input& input) {
  for (admission::effect& effect : machine_.Handle(input, clock_.Now())) {
    if (auto* publish = std::get_if<membership::publish>(&effect)) {
      publications_->Send(std::move(*publish));
    } else if (auto* grant = std::get_if<admission::grant>(&effect)) {
      NoteAnswer(grant->request, 1);
      Reply(grant->request, *grant);
    } else if (auto* preempt = std::get_if<admission::preemption>(&effect)) {
      Reply(preempt->request, *preempt);
    } else {
      const auto& refusal = std::get<admission::refusal>(effect);
      NoteAnswer(refusal.request, 0);
      Reply(refusal.request, refusal);
      ForgetUnused(refusal.request);
    }
  }
  metrics_.Update(machine_);
  timer_.Arm(machine_.NextTimer());
}

void dispatch_duty::NoteAnswer(const base::request_id& request, int slots) {
  const auto found = asked_by_.find(request);
  if (found == asked_by_.end())
    return;
  found->second.is_waiting = false;
  found->second.slots += slots;
}

void dispatch_duty::Reply(const base::request_id& request,
                          dispatch_answer answer) {
  const auto found = asked_by_.find(request);
  if (found == asked_by_.end())
    return;
  links_[found->second.link].answers->Send(std::move(answer));
}

boost::json::array dispatch_duty::QuarantineJson() {
  boost::json::array list;
  for (const auto& record : machine_.ListQuarantined(clock_.Now())) {
    boost::json::object each;
    each["fingerprint"] = std::to_string(record.fingerprint.value());
    each["crashes"] = record.crashes;
    list.push_back(std::move(each));
  }
  return list;
}

boost::json::value dispatch_duty::Answer(const status_query& query) {
  if (query.verb == "quarantine")
    return QuarantineJson();
  if (query.verb == "lift") {
    std::uint64_t value = 0;
    std::from_chars(query.argument.data(),
                    query.argument.data() + query.argument.size(), value);
    Feed(admission::lift_quarantine{base::fingerprint(value)});
    return QuarantineJson();
  }
  const auto& counters = machine_.counters();
  boost::json::object status;
  status["waiting"] = machine_.QueuedRequests();
  status["asked"] = counters.slot_requests;
  status["granted"] = counters.granted;
  status["withdrawn"] = counters.withdrawn;
  status["quarantine"] = QuarantineJson();
  return status;
}

}  // namespace flamingoshunt::daemon
