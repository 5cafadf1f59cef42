#include "gateway/dispatcher.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "base/milliseconds.h"

namespace flamingoshunt::gateway {
namespace {

using std::chrono::milliseconds;

// Weight of the newest whole request in the mean of its pool.
constexpr double kNewest = 0.1;
// The line is looked at again at least so often while somebody waits.
constexpr milliseconds kLineCheck{50};

// Time in which the others learn of a placement: the way between two nodes and
// the scheduling of small processes.
constexpr milliseconds kNewsDelay{20};

}  // namespace

std::string PoolName(const std::string& service, const std::string& model) {
  return model.empty() ? service : service + '/' + model;
}

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

int dispatcher::FreePlaces(const target& place, const engine_pace* pace) const {
  const int slots = std::max(1, pace ? pace->slots : place.slots);
  return std::max(0, slots - LoadOf(place.instance).running);
}

// Whether this node may take a place while others wait for it too.
bool dispatcher::MayTake(const target& place,
                         const engine_pace* pace,
                         const queue_position& position,
                         base::time_point now) {
  const bool alone = position.others == 0;
  if (!pace || alone || vacated_ == place.instance)
    return true;
  portion& own = portions_[place.instance];
  if (now >= own.until) {
    const double part = static_cast<double>(FreePlaces(place, pace)) *
                        position.line / (position.line + position.others);
    // The broken part is drawn, so that the nodes together take what is free.
    const double whole = std::floor(part);
    own.left = static_cast<int>(whole) +
               (base::RandomUnit(random_) < part - whole ? 1 : 0);
    own.until = now + kNewsDelay;
  }
  return own.left > 0;
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
  return std::any_of(fit.begin(), fit.end(), [&](const target* each) {
    return FreePlaces(*each, pace) > 0;
  });
}

std::optional<grant> dispatcher::TryPlace(const ask& request,
                                          const queue_position& position,
                                          base::time_point now) {
  const engine_pace* pace = PaceOf(request.service);
  auto fit = Candidates(request, now);
  std::erase_if(fit, [&](const target* each) {
    return FreePlaces(*each, pace) == 0 || !MayTake(*each, pace, position, now);
  });
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
  if (vacated_ == best->place.instance)
    vacated_.reset();
  else if (const auto own = portions_.find(best->place.instance);
           own != portions_.end())
    --own->second.left;
  placed_[request.ticket] = {best->place.instance, position.pool,
                             request.prompt_tokens, request.output_tokens, now};
  own_[best->place.instance] +=
      {1, request.prompt_tokens, request.output_tokens};
  return best;
}

decisions dispatcher::Ask(ask request, base::time_point now) {
  // Callers may name any model; only those that are served are remembered.
  if (!Candidates(request, now).empty())
    NoteArrival(request, now);
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
  vacated_ = of.instance;
  placed_.erase(found);
  decisions made = Pump(now);
  vacated_.reset();
  return made;
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

decisions dispatcher::Pump(base::time_point now) {
  decisions made;
  if (waiting_.empty())
    return made;
  std::erase_if(suspects_,
                [&](const auto& each) { return each.second <= now; });
  Order(now);
  std::erase_if(portions_,
                [&](const auto& each) { return each.second.until <= now; });
  const line_map lines = own_lines();
  line_map ahead;
  for (auto it = waiting_.begin(); it != waiting_.end();) {
    queue_position position;
    position.pool = PoolName(it->service, it->model);
    position.ahead = ahead[position.pool];
    position.line = lines.at(position.pool);
    if (const auto others = peer_lines_.find(position.pool);
        others != peer_lines_.end())
      position.others = others->second;
    if (auto placed = TryPlace(*it, position, now)) {
      made.grants.push_back(std::move(*placed));
      it = waiting_.erase(it);
    } else if (auto refused = JudgeWait(*it, position, now)) {
      made.refusals.push_back(*refused);
      it = waiting_.erase(it);
    } else {
      ++ahead[position.pool];
      ++it;
    }
  }
  return made;
}

line_map dispatcher::own_lines() const {
  line_map lines;
  for (const ask& each : waiting_)
    ++lines[PoolName(each.service, each.model)];
  return lines;
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
  return now + (portions_.empty() ? kLineCheck : kNewsDelay);
}

}  // namespace flamingoshunt::gateway
