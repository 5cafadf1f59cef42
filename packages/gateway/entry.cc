#include "gateway/entry.h"

#include <utility>

#include "gateway/session.h"
#include "telemetry/log.h"

namespace flamingoshunt::gateway {
namespace {

using std::chrono::milliseconds;

// A replica that stood still gets no new work for so long, unless it is heard
// of before: the time in which the acting node finds out what happened.
constexpr milliseconds kSuspicion{1000};
// A full head refuses many; telling once in a while is enough.
constexpr milliseconds kRefusalPeriod{500};
// How often the streams are looked at for silences.
constexpr milliseconds kShortestCheck{15};
constexpr milliseconds kLongestCheck{60};
// A replica heard of within this goes on, however short the asker's silence.
constexpr milliseconds kShortestWithin{50};

}  // namespace

entry::entry(boost::asio::io_context& loop,
             const base::clock& clock,
             const protocol& wire,
             metrics& counted,
             std::uint64_t seed,
             std::function<void(entry_news)> tell,
             std::function<void()> catch_up)
    : loop_(loop),
      clock_(clock),
      wire_(wire),
      metrics_(counted),
      tell_(std::move(tell)),
      catch_up_(std::move(catch_up)),
      random_(seed),
      dispatcher_(base::random_engine(seed)),
      pool_(loop),
      timer_(loop, [this] {
        Apply(dispatcher_.Tick(Now()));
        CheckSilence();
        ArmTimer();
      }) {}

entry::~entry() = default;

void entry::Handle(runtime::http_exchange& exchange) {
  seen_requests_ = true;
  session serving(*this, exchange);
  sessions_.insert(&serving);
  ArmTimer();
  metrics_.requests.Add();
  metrics_.running.Set(static_cast<std::int64_t>(sessions_.size()));
  serving.Run();
  sessions_.erase(&serving);
  metrics_.running.Set(static_cast<std::int64_t>(sessions_.size()));
}

void entry::Take(const fleet_update& update) {
  const auto now = Now();
  if (update.allowance)
    budget_.SetAllowance(*update.allowance);
  for (const crash_sighting& each : update.crashes)
    guard_.Note(each, now);
  for (const base::instance_id& each : update.suspects) {
    dispatcher_.Suspect(each, now + kSuspicion);
    for (session* open : sessions_)
      open->PeerSuspects(each);
  }
  if (update.view) {
    view_ = update.view;
    view_at_ = now;
    budget_.SetNodes(view_->live_nodes);
    Apply(dispatcher_.SetView(view_, now));
  }
  if (update.lines)
    dispatcher_.SetPeerLines(*update.lines);
  if (!update.loads.empty())
    Apply(dispatcher_.UpdatePeerLoads(update.loads, now));
  for (const base::instance_id& each : update.heard_of)
    stalls_.Refuted(each, now);
  for (const silence_ask& each : update.questions) {
    if (stalls_.HeardWithin(each.replica, each.within, now))
      new_answers_.push_back({each.asker, each.replica});
  }
  if (!new_answers_.empty())
    tell_(TakeNews());
  ArmTimer();
}

entry_news entry::TakeNews() {
  entry_news news;
  news.loads = dispatcher_.own_loads();
  news.lines = dispatcher_.own_lines();
  news.urgent = std::exchange(placed_since_, false) || !new_questions_.empty();
  news.questions = std::exchange(new_questions_, {});
  news.answers = std::exchange(new_answers_, {});
  news.seen_requests = seen_requests_;
  news.suspects = std::exchange(new_suspects_, {});
  news.crashes = std::exchange(new_crashes_, {});
  return news;
}

entry::place entry::WaitForPlace(ask request, runtime::fiber_signal& signal) {
  if (catch_up_)
    catch_up_();
  const ticket_id ticket = request.ticket;
  waiting_[ticket].signal = &signal;
  Apply(dispatcher_.Ask(std::move(request), Now()));
  ArmTimer();
  signal.Wait();
  const auto found = waiting_.find(ticket);
  place result = std::move(found->second.result);
  waiting_.erase(found);
  if (!result.granted && !result.refused)
    dispatcher_.Withdraw(ticket);
  // The other nodes place better when they know of this at once.
  if (result.granted && !result.granted->place.model.empty()) {
    placed_since_ = true;
    tell_(TakeNews());
  }
  metrics_.waiting.Set(static_cast<std::int64_t>(dispatcher_.waiting()));
  return result;
}

void entry::Ended(ticket_id ticket, bool whole) {
  Apply(dispatcher_.Ended(ticket, whole, Now()));
  ArmTimer();
}

void entry::Apply(decisions made) {
  for (grant& each : made.grants) {
    const auto found = waiting_.find(each.ticket);
    if (found == waiting_.end())
      continue;
    found->second.result.granted = std::move(each);
    found->second.signal->Notify();
  }
  for (const refusal& each : made.refusals) {
    const auto found = waiting_.find(each.ticket);
    if (found == waiting_.end())
      continue;
    found->second.result.refused = each;
    found->second.signal->Notify();
  }
}

void entry::ArmTimer() {
  auto next = dispatcher_.NextTimer(Now());
  if (!sessions_.empty())
    next = next ? std::min(*next, next_check_) : next_check_;
  timer_.Arm(next);
  metrics_.waiting.Set(static_cast<std::int64_t>(dispatcher_.waiting()));
}

void entry::CheckSilence() {
  const auto now = Now();
  if (now < next_check_)
    return;
  // A stream that began since the last look is due later than this.
  base::time_point next = now + kLongestCheck;
  for (session* each : sessions_)
    next = std::min(next, each->CheckSilence());
  next_check_ = std::max<base::time_point>(next, now + kShortestCheck);
}

void entry::AskPeers(const base::instance_id& replica, base::duration silence) {
  new_questions_.push_back(
      {{}, replica, std::max<base::duration>(silence / 2, kShortestWithin)});
  tell_(TakeNews());
}

void entry::ReportStall(const base::instance_id& replica,
                        base::duration silence) {
  metrics_.stalls.Add();
  dispatcher_.Suspect(replica, Now() + kSuspicion);
  telemetry::LogChange(
      "gateway", "replica_suspected",
      {{"instance", replica.str()},
       {"silent_ms",
        std::chrono::duration_cast<milliseconds>(silence).count()}});
  new_suspects_.push_back(replica);
  tell_(TakeNews());
}

void entry::ReportRefusal(const base::instance_id& replica) {
  base::time_point& told = refusals_told_[replica];
  if (told != base::time_point() && Now() - told < kRefusalPeriod)
    return;
  told = Now();
  new_suspects_.push_back(replica);
  tell_(TakeNews());
}

void entry::HeardFrom(const base::instance_id& replica) {
  stalls_.Heard(replica, Now());
  Apply(dispatcher_.Clear(replica, Now()));
}

void entry::ReportCrash(const crash_sighting& seen) {
  if (!guard_.Note(seen, Now()))
    return;
  new_crashes_.push_back(seen);
  tell_(TakeNews());
}

}  // namespace flamingoshunt::gateway
