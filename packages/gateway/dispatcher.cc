#include "gateway/dispatcher.h"

#include <algorithm>
#include <tuple>
#include <utility>

#include "base/milliseconds.h"

namespace flamingoshunt::gateway {
namespace {

using std::chrono::milliseconds;

// Asks a caller to return when the pool has nothing at all: about the time in
// which a broken group is completed from a warm spare.
constexpr milliseconds kReturnWhenNothingServes{900};
// Retry-After is never less than this: the way to the caller and back.
constexpr milliseconds kShortestReturn{50};
constexpr milliseconds kLongestReturn{3000};
// How long a request takes when none has been seen to end.
constexpr double kUnknownServiceMs = 100;
// Weight of the newest whole request in the mean of its pool.
constexpr double kNewest = 0.1;
// Waiting requests of one pool for each slot of the pool.
constexpr std::size_t kLinePerSlot = 4;
// The line is looked at again at least so often while somebody waits.
constexpr milliseconds kLineCheck{50};

std::string PoolKey(const std::string& service, const std::string& model) {
  return model.empty() ? service : service + '/' + model;
}

}  // namespace

const char* NameOf(refusal_reason reason) {
  switch (reason) {
    case refusal_reason::kNoReplica:
      return "no_replica";
    case refusal_reason::kWaitTooLong:
      return "wait_too_long";
    case refusal_reason::kLineFull:
      return "line_full";
    case refusal_reason::kUnknownService:
      return "unknown_service";
  }
  return "unknown";
}

const std::vector<target>* dispatcher::TargetsOf(
    const std::string& service) const {
  if (!view_)
    return nullptr;
  const auto found = view_->targets.find(service);
  return found == view_->targets.end() ? nullptr : &found->second;
}

const engine_pace* dispatcher::PaceOf(const std::string& service) const {
  if (!view_ || !view_->configuration)
    return nullptr;
  const auto* found = view_->configuration->FindService(service);
  return found && found->engine ? &*found->engine : nullptr;
}

placed_load dispatcher::LoadOf(const base::instance_id& instance) const {
  placed_load sum;
  if (const auto own = own_.find(instance); own != own_.end())
    sum += own->second;
  if (const auto other = peers_.find(instance); other != peers_.end())
    sum += other->second;
  return sum;
}

bool dispatcher::HasRoom(const target& place, const engine_pace* pace) const {
  const int slots = pace ? pace->slots : place.slots;
  return LoadOf(place.instance).running < std::max(1, slots);
}

std::vector<const target*> dispatcher::Candidates(const ask& request,
                                                  base::time_point now) const {
  std::vector<const target*> fit;
  const auto* targets = TargetsOf(request.service);
  if (!targets)
    return fit;
  for (const target& each : *targets) {
    const auto suspect = suspects_.find(each.instance);
    const bool suspected = suspect != suspects_.end() && suspect->second > now;
    const bool tried = std::find(request.avoid.begin(), request.avoid.end(),
                                 each.instance) != request.avoid.end();
    if (each.model == request.model && !suspected && !tried)
      fit.push_back(&each);
  }
  return fit;
}

bool dispatcher::HasAlternative(const std::string& service,
                                const std::string& model,
                                const std::vector<base::instance_id>& avoid,
                                base::time_point now) const {
  ask probe;
  probe.service = service;
  probe.model = model;
  probe.avoid = avoid;
  const engine_pace* pace = PaceOf(service);
  const auto fit = Candidates(probe, now);
  return std::any_of(fit.begin(), fit.end(),
                     [&](const target* each) { return HasRoom(*each, pace); });
}

std::optional<grant> dispatcher::TryPlace(const ask& request,
                                          base::time_point now) {
  const engine_pace* pace = PaceOf(request.service);
  auto fit = Candidates(request, now);
  std::erase_if(fit, [&](const target* each) { return !HasRoom(*each, pace); });
  if (fit.empty())
    return std::nullopt;
  std::optional<grant> best;
  double best_cost = 0;
  // Equal costs are common in a calm; the start is drawn so that the nodes
  // don't all take the first.
  const std::size_t start = base::RandomIndex(random_, fit.size());
  for (std::size_t i = 0; i < fit.size(); ++i) {
    const target& place = *fit[(start + i) % fit.size()];
    grant candidate{request.ticket, place, {}, LoadOf(place.instance)};
    double cost = static_cast<double>(candidate.load.running) / place.slots;
    if (pace) {
      candidate.expected =
          EstimateWork(*pace, place.pace, candidate.load, request.prompt_tokens,
                       request.output_tokens);
      cost = base::Milliseconds(candidate.expected.whole) +
             base::Milliseconds(candidate.expected.first_event);
    }
    if (!best || cost < best_cost) {
      best = candidate;
      best_cost = cost;
    }
  }
  placed_[request.ticket] = {best->place.instance,
                             PoolKey(request.service, request.model),
                             request.prompt_tokens, request.output_tokens, now};
  own_[best->place.instance] +=
      {1, request.prompt_tokens, request.output_tokens};
  return best;
}

base::duration dispatcher::TurnIn(const ask& request,
                                  std::size_t ahead,
                                  base::time_point now) const {
  const engine_pace* pace = PaceOf(request.service);
  double slots = 0;
  double own = 0;
  double all = 0;
  for (const target* each : Candidates(request, now)) {
    slots += std::max(1, pace ? pace->slots : each->slots);
    const auto placed = own_.find(each->instance);
    own += placed == own_.end() ? 0 : placed->second.running;
    all += LoadOf(each->instance).running;
  }
  const auto learned = paces_.find(PoolKey(request.service, request.model));
  const double mean_ms = learned == paces_.end() || learned->second.mean_ms <= 0
                             ? kUnknownServiceMs
                             : learned->second.mean_ms;
  // Places come free over the whole fleet; this node gets its part of them.
  const double part =
      std::max(all > 0 ? own / all : 1.0,
               1.0 / std::max(1, view_ ? view_->live_nodes : 1));
  const double frees_per_ms = std::max(1.0, slots) / mean_ms * part;
  return base::FromMilliseconds((static_cast<double>(ahead) + 1) /
                                frees_per_ms);
}

std::optional<refusal> dispatcher::JudgeWait(const ask& request,
                                             std::size_t ahead,
                                             std::size_t in_pool,
                                             base::time_point now) const {
  const auto refuse = [&](refusal_reason reason, base::duration back) {
    return refusal{
        request.ticket, reason,
        std::clamp<base::duration>(back, kShortestReturn, kLongestReturn),
        in_pool};
  };
  if (view_ && view_->configuration &&
      !view_->configuration->FindService(request.service))
    return refuse(refusal_reason::kUnknownService, kReturnWhenNothingServes);
  const auto fit = Candidates(request, now);
  if (fit.empty())
    return refuse(refusal_reason::kNoReplica, kReturnWhenNothingServes);
  const engine_pace* pace = PaceOf(request.service);
  std::size_t slots = 0;
  for (const target* each : fit)
    slots +=
        static_cast<std::size_t>(std::max(1, pace ? pace->slots : each->slots));
  const base::duration turn = TurnIn(request, ahead, now);
  if (ahead >= slots * kLinePerSlot)
    return refuse(refusal_reason::kLineFull, turn);
  base::duration needed{};
  if (pace)
    needed = EstimateWork(*pace, fit.front()->pace, {}, request.prompt_tokens,
                          request.output_tokens)
                 .whole;
  if (now + turn + needed > request.give_up_at)
    return refuse(refusal_reason::kWaitTooLong, turn);
  return std::nullopt;
}

decisions dispatcher::Ask(ask request, base::time_point now) {
  waiting_.push_back(std::move(request));
  return Pump(now);
}

void dispatcher::Withdraw(ticket_id ticket) {
  waiting_.remove_if([&](const ask& each) { return each.ticket == ticket; });
}

void dispatcher::Started(ticket_id ticket) {
  const auto found = placed_.find(ticket);
  if (found == placed_.end())
    return;
  own_[found->second.instance].unread -= std::exchange(found->second.unread, 0);
}

decisions dispatcher::Ended(ticket_id ticket,
                            bool whole,
                            base::time_point now) {
  const auto found = placed_.find(ticket);
  if (found == placed_.end())
    return {};
  const placement& of = found->second;
  placed_load& load = own_[of.instance];
  load.running -= 1;
  load.unread -= of.unread;
  load.unwritten -= of.unwritten;
  if (load.running <= 0)
    own_.erase(of.instance);
  if (whole) {
    double& mean = paces_[of.pool].mean_ms;
    const double took = base::Milliseconds(now - of.since);
    mean = mean <= 0 ? took : mean + kNewest * (took - mean);
  }
  placed_.erase(found);
  return Pump(now);
}

decisions dispatcher::SetView(fleet_view_ptr view, base::time_point now) {
  view_ = std::move(view);
  return Pump(now);
}

decisions dispatcher::UpdatePeerLoads(const load_map& loads,
                                      base::time_point now) {
  for (const auto& [instance, load] : loads) {
    if (load.running > 0)
      peers_[instance] = load;
    else
      peers_.erase(instance);
  }
  return Pump(now);
}

void dispatcher::Suspect(const base::instance_id& replica,
                         base::time_point until) {
  base::time_point& held = suspects_[replica];
  held = std::max(held, until);
}

decisions dispatcher::Clear(const base::instance_id& replica,
                            base::time_point now) {
  if (suspects_.erase(replica) == 0)
    return {};
  return Pump(now);
}

void dispatcher::Order(base::time_point now) {
  waiting_.sort([&](const ask& a, const ask& b) {
    const bool a_late = a.on_time_until < now;
    const bool b_late = b.on_time_until < now;
    return std::tie(a.priority, a_late, a.on_time_until) <
           std::tie(b.priority, b_late, b.on_time_until);
  });
}

decisions dispatcher::Pump(base::time_point now) {
  decisions made;
  if (waiting_.empty())
    return made;
  std::erase_if(suspects_,
                [&](const auto& each) { return each.second <= now; });
  Order(now);
  std::map<std::string, std::size_t> sizes;
  for (const ask& each : waiting_)
    ++sizes[PoolKey(each.service, each.model)];
  std::map<std::string, std::size_t> ahead;
  for (auto it = waiting_.begin(); it != waiting_.end();) {
    const std::string pool = PoolKey(it->service, it->model);
    if (auto placed = TryPlace(*it, now)) {
      made.grants.push_back(std::move(*placed));
      it = waiting_.erase(it);
    } else if (auto refused = JudgeWait(*it, ahead[pool], sizes[pool], now)) {
      made.refusals.push_back(*refused);
      it = waiting_.erase(it);
    } else {
      ++ahead[pool];
      ++it;
    }
  }
  return made;
}

base::duration dispatcher::ReadingTime(const std::string& service,
                                       const base::instance_id& replica) const {
  const engine_pace* pace = PaceOf(service);
  const auto* targets = TargetsOf(service);
  if (!pace || !targets)
    return {};
  double factor = 1;
  for (const target& each : *targets) {
    if (each.instance == replica)
      factor = each.pace;
  }
  const double most = static_cast<double>(pace->read_chunk) *
                      static_cast<double>(pace->steps_per_pass);
  const double unread =
      std::min(most, static_cast<double>(LoadOf(replica).unread));
  return base::FromMilliseconds(factor * unread / pace->read_tokens_per_ms);
}

decisions dispatcher::Tick(base::time_point now) {
  return Pump(now);
}

std::optional<base::time_point> dispatcher::NextTimer(
    base::time_point now) const {
  if (waiting_.empty())
    return std::nullopt;
  return now + kLineCheck;
}

}  // namespace flamingoshunt::gateway
