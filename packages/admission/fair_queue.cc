#include "admission/fair_queue.h"

#include <algorithm>

#include "admission/fifo_queue.h"
#include "base/errors.h"

namespace flamingoshunt::admission {

namespace {

/// Shares of interactive, standard and batch work under contention.
constexpr std::array<double, 3> kClassWeights{16, 4, 1};
/// Flows remembered per class before idle ones are dropped.
constexpr std::size_t kMaxIdleFlows = 2'048;
constexpr double kLeastWeight = 0.001;

}  // namespace

void fair_queue::Push(waiting each) {
  const auto index = static_cast<std::size_t>(each.request.work);
  lane& in = lanes_.at(index);
  const base::workspace_id id = each.request.shape.workspace;
  flow& of = in.flows[id];
  const place at{index, id, each.is_long, {each.order, next_++}};
  places_[each.request.shape.request] = at;
  const bool was_empty = of.empty();
  if (was_empty)
    of.weight = std::max(kLeastWeight, each.weight);
  Count(in, of, each, 1);
  longs_ += each.is_long ? 1 : 0;
  (each.is_long ? of.longs : of.shorts).emplace(at.order, std::move(each));
  if (was_empty)
    Activate(index, id, of);
}

void fair_queue::Count(lane& in, flow& of, const waiting& each, double sign) {
  (each.is_long ? in.long_cost : in.short_cost) += sign * each.cost;
  (each.is_long ? of.long_cost : of.short_cost) += sign * each.cost;
}

void fair_queue::Activate(std::size_t index,
                          const base::workspace_id& id,
                          flow& of) {
  lane& in = lanes_[index];
  if (in.due_flows.empty())
    in.start = std::max(virtual_time_, in.finish);
  of.start = std::max(in.virtual_time, of.finish);
  in.weight_waiting += of.weight;
  in.due_flows.emplace(of.start, id);
}

void fair_queue::Deactivate(lane& in, const base::workspace_id& id, flow& of) {
  in.due_flows.erase({of.start, id});
  in.weight_waiting -= of.weight;
  if (in.flows.size() > kMaxIdleFlows)
    ForgetIdleFlows(in);
}

void fair_queue::ForgetIdleFlows(lane& in) {
  std::erase_if(in.flows, [&in](const auto& each) {
    return each.second.empty() && each.second.finish <= in.virtual_time;
  });
}

waiting fair_queue::Take(const place& from) {
  lane& in = lanes_[from.lane];
  flow& of = in.flows[from.workspace];
  requests& line = from.is_long ? of.longs : of.shorts;
  auto node = line.extract(from.order);
  FLAMINGOSHUNT_INVARIANT(!node.empty(), from.workspace);
  waiting each = std::move(node.mapped());
  Count(in, of, each, -1);
  longs_ -= each.is_long ? 1 : 0;
  places_.erase(each.request.shape.request);
  return each;
}

bool fair_queue::StartOne(const start& try_start) {
  std::array<std::size_t, kClasses> order{0, 1, 2};
  std::sort(order.begin(), order.end(), [this](auto left, auto right) {
    return lanes_[left].start < lanes_[right].start;
  });
  bool stop = false;
  for (const auto index : order) {
    if (StartFromLane(index, try_start, stop))
      return true;
    if (stop)
      return false;
  }
  return false;
}

bool fair_queue::StartFromLane(std::size_t index,
                               const start& try_start,
                               bool& stop) {
  lane& in = lanes_[index];
  for (const auto& [when, id] : in.due_flows) {
    flow& of = in.flows[id];
    // The head that is due first, then the head of the other length.
    const bool long_first = !of.longs.empty() &&
                            (of.shorts.empty() || of.longs.begin()->first <
                                                      of.shorts.begin()->first);
    for (const bool is_long : {long_first, !long_first}) {
      requests& line = is_long ? of.longs : of.shorts;
      if (line.empty())
        continue;
      const auto head = line.begin();
      const start_result result = try_start(head->second);
      if (result == start_result::kStarted) {
        const base::workspace_id workspace = id;
        const double cost = head->second.cost;
        Take({index, workspace, is_long, head->first});
        ChargeStart(index, workspace, cost);
        return true;
      }
      stop = result == start_result::kStop;
      if (stop)
        return false;
    }
  }
  return false;
}

void fair_queue::ChargeStart(std::size_t index,
                             const base::workspace_id& id,
                             double cost) {
  lane& in = lanes_[index];
  flow& of = in.flows[id];
  virtual_time_ = std::max(virtual_time_, in.start);
  in.finish = in.start + cost / kClassWeights.at(index);
  in.start = in.finish;
  in.virtual_time = std::max(in.virtual_time, of.start);
  of.finish = of.start + cost / of.weight;
  in.due_flows.erase({of.start, id});
  if (of.empty()) {
    Deactivate(in, id, of);
    return;
  }
  of.start = of.finish;
  in.due_flows.emplace(of.start, id);
}

std::optional<waiting> fair_queue::Remove(const base::request_id& request) {
  const auto found = places_.find(request);
  if (found == places_.end())
    return std::nullopt;
  const place from = found->second;
  waiting each = Take(from);
  flow& of = lanes_[from.lane].flows[from.workspace];
  if (of.empty())
    Deactivate(lanes_[from.lane], from.workspace, of);
  return each;
}

void fair_queue::Charge(const base::workspace_id& workspace,
                        catalogue::work_class work,
                        double extra_cost) {
  lane& in = lanes_.at(static_cast<std::size_t>(work));
  const auto found = in.flows.find(workspace);
  if (found == in.flows.end())
    return;
  flow& of = found->second;
  of.finish += extra_cost / of.weight;
  if (of.empty())
    return;
  in.due_flows.erase({of.start, workspace});
  of.start = std::max(in.virtual_time, of.start + extra_cost / of.weight);
  in.due_flows.emplace(of.start, workspace);
}

// Long work that waits is overtaken, so it counts only for other long work.
double fair_queue::CostAhead(const waiting& each) const {
  const auto cost_of = [&each](const auto& of) {
    return of.short_cost + (each.is_long ? of.long_cost : 0);
  };
  const auto index = static_cast<std::size_t>(each.request.work);
  const lane& in = lanes_.at(index);
  double ahead = 0;
  // Less urgent classes get a small part of the slots while this one waits.
  for (std::size_t other = 0; other < kClasses; ++other) {
    const double part = kClassWeights.at(other) / kClassWeights.at(index);
    const double cost = cost_of(lanes_.at(other));
    if (other != index)
      ahead += other < index ? cost : std::min(cost, cost_of(in) * part);
  }
  const auto found = in.flows.find(each.request.shape.workspace);
  const bool waits = found != in.flows.end() && !found->second.empty();
  const double own = each.cost + (waits ? cost_of(found->second) : 0);
  const double weight = std::max(kLeastWeight, each.weight);
  const double rivals = in.weight_waiting + (waits ? 0 : weight);
  return ahead + std::min(cost_of(in), own * rivals / weight);
}

std::size_t fair_queue::SizeOf(const base::workspace_id& workspace) const {
  std::size_t sum = 0;
  for (const lane& in : lanes_) {
    const auto found = in.flows.find(workspace);
    if (found != in.flows.end())
      sum += found->second.size();
  }
  return sum;
}

std::unique_ptr<wait_queue> MakeQueue(queue_kind kind) {
  if (kind == queue_kind::kArrival)
    return std::make_unique<arrival_queue>();
  return std::make_unique<fair_queue>();
}

}  // namespace flamingoshunt::admission
