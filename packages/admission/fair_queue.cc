#include "admission/fair_queue.h"

#include <algorithm>

#include "admission/fifo_queue.h"
#include "base/errors.h"

namespace flamingoshunt::admission {

namespace {

/// Weights of interactive, standard and batch work under contention.
constexpr std::array<double, 3> kClassWeights{16, 4, 1};
/// Flows stored per class before idle ones are dropped.
constexpr std::size_t kMaxFlowsPerClass = 2'048;
constexpr double kMinWeight = 0.001;

}  // namespace

void fair_queue::Push(queued_request queued) {
  const auto index = static_cast<std::size_t>(queued.request.work);
  class_lane& lane = lanes_.at(index);
  const base::workspace_id id = queued.request.shape.workspace;
  workspace_flow& flow = lane.flows[id];
  const queue_position position{
      index, id, queued.is_long, {queued.order_time, next_sequence_++}};
  positions_[queued.request.shape.request] = position;
  const bool was_empty = flow.empty();
  if (was_empty)
    flow.weight = std::max(kMinWeight, queued.weight);
  AddCost(lane, flow, queued, 1);
  long_count_ += queued.is_long ? 1 : 0;
  (queued.is_long ? flow.long_requests : flow.short_requests)
      .emplace(position.sort_key, std::move(queued));
  if (was_empty)
    Activate(index, id, flow);
}

void fair_queue::AddCost(class_lane& lane,
                         workspace_flow& flow,
                         const queued_request& queued,
                         double sign) {
  (queued.is_long ? lane.long_cost : lane.short_cost) += sign * queued.cost;
  (queued.is_long ? flow.long_cost : flow.short_cost) += sign * queued.cost;
}

void fair_queue::Activate(std::size_t index,
                          const base::workspace_id& id,
                          workspace_flow& flow) {
  class_lane& lane = lanes_[index];
  if (lane.backlogged_flows.empty())
    lane.start = std::max(virtual_time_, lane.finish);
  flow.start = std::max(lane.virtual_time, flow.finish);
  lane.backlogged_weight += flow.weight;
  lane.backlogged_flows.emplace(flow.start, id);
}

void fair_queue::Deactivate(class_lane& lane,
                            const base::workspace_id& id,
                            workspace_flow& flow) {
  lane.backlogged_flows.erase({flow.start, id});
  lane.backlogged_weight -= flow.weight;
  if (lane.flows.size() > kMaxFlowsPerClass)
    DropIdleFlows(lane);
}

void fair_queue::DropIdleFlows(class_lane& lane) {
  std::erase_if(lane.flows, [&lane](const auto& entry) {
    return entry.second.empty() && entry.second.finish <= lane.virtual_time;
  });
}

queued_request fair_queue::Extract(const queue_position& position) {
  class_lane& lane = lanes_[position.class_index];
  workspace_flow& flow = lane.flows[position.workspace];
  request_map& queue =
      position.is_long ? flow.long_requests : flow.short_requests;
  auto node = queue.extract(position.sort_key);
  FLAMINGOSHUNT_INVARIANT(!node.empty(), position.workspace);
  queued_request queued = std::move(node.mapped());
  AddCost(lane, flow, queued, -1);
  long_count_ -= queued.is_long ? 1 : 0;
  positions_.erase(queued.request.shape.request);
  return queued;
}

bool fair_queue::StartOne(const start_callback& try_start) {
  std::array<std::size_t, kClasses> class_order{0, 1, 2};
  std::sort(class_order.begin(), class_order.end(),
            [this](auto left, auto right) {
              return lanes_[left].start < lanes_[right].start;
            });
  bool stop = false;
  for (const auto index : class_order) {
    if (StartFromClass(index, try_start, stop))
      return true;
    if (stop)
      return false;
  }
  return false;
}

bool fair_queue::StartFromClass(std::size_t index,
                                const start_callback& try_start,
                                bool& stop) {
  class_lane& lane = lanes_[index];
  for (const auto& [virtual_start, id] : lane.backlogged_flows) {
    workspace_flow& flow = lane.flows[id];
    // The head with the earlier sort key, then the head of the other length.
    const bool long_first =
        !flow.long_requests.empty() &&
        (flow.short_requests.empty() || flow.long_requests.begin()->first <
                                            flow.short_requests.begin()->first);
    for (const bool is_long : {long_first, !long_first}) {
      request_map& queue = is_long ? flow.long_requests : flow.short_requests;
      if (queue.empty())
        continue;
      const auto head = queue.begin();
      const start_result result = try_start(head->second);
      if (result == start_result::kStarted) {
        const base::workspace_id workspace = id;
        const double cost = head->second.cost;
        Extract({index, workspace, is_long, head->first});
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
  class_lane& lane = lanes_[index];
  workspace_flow& flow = lane.flows[id];
  virtual_time_ = std::max(virtual_time_, lane.start);
  lane.finish = lane.start + cost / kClassWeights.at(index);
  lane.start = lane.finish;
  lane.virtual_time = std::max(lane.virtual_time, flow.start);
  flow.finish = flow.start + cost / flow.weight;
  lane.backlogged_flows.erase({flow.start, id});
  if (flow.empty()) {
    Deactivate(lane, id, flow);
    return;
  }
  flow.start = flow.finish;
  lane.backlogged_flows.emplace(flow.start, id);
}

std::optional<queued_request> fair_queue::Remove(
    const base::request_id& request) {
  const auto it = positions_.find(request);
  if (it == positions_.end())
    return std::nullopt;
  const queue_position position = it->second;
  queued_request queued = Extract(position);
  workspace_flow& flow = lanes_[position.class_index].flows[position.workspace];
  if (flow.empty())
    Deactivate(lanes_[position.class_index], position.workspace, flow);
  return queued;
}

void fair_queue::Charge(const base::workspace_id& workspace,
                        catalogue::work_class work,
                        double extra_cost) {
  class_lane& lane = lanes_.at(static_cast<std::size_t>(work));
  const auto it = lane.flows.find(workspace);
  if (it == lane.flows.end())
    return;
  workspace_flow& flow = it->second;
  flow.finish += extra_cost / flow.weight;
  if (flow.empty())
    return;
  lane.backlogged_flows.erase({flow.start, workspace});
  flow.start =
      std::max(lane.virtual_time, flow.start + extra_cost / flow.weight);
  lane.backlogged_flows.emplace(flow.start, workspace);
}

// Short work overtakes queued long work, so long work counts only for other
// long work.
double fair_queue::CostAhead(const queued_request& queued) const {
  const auto cost_of = [&queued](const auto& flow) {
    return flow.short_cost + (queued.is_long ? flow.long_cost : 0);
  };
  const auto index = static_cast<std::size_t>(queued.request.work);
  const class_lane& lane = lanes_.at(index);
  double ahead = 0;
  // Less urgent classes get their small share of the slots in the meantime.
  for (std::size_t other_class = 0; other_class < kClasses; ++other_class) {
    const double share =
        kClassWeights.at(other_class) / kClassWeights.at(index);
    const double cost = cost_of(lanes_.at(other_class));
    if (other_class != index)
      ahead +=
          other_class < index ? cost : std::min(cost, cost_of(lane) * share);
  }
  const auto it = lane.flows.find(queued.request.shape.workspace);
  const bool is_backlogged = it != lane.flows.end() && !it->second.empty();
  const double own = queued.cost + (is_backlogged ? cost_of(it->second) : 0);
  const double weight = std::max(kMinWeight, queued.weight);
  const double competing_weight =
      lane.backlogged_weight + (is_backlogged ? 0 : weight);
  return ahead + std::min(cost_of(lane), own * competing_weight / weight);
}

std::size_t fair_queue::SizeOfWorkspace(
    const base::workspace_id& workspace) const {
  std::size_t sum = 0;
  for (const class_lane& lane : lanes_) {
    const auto it = lane.flows.find(workspace);
    if (it != lane.flows.end())
      sum += it->second.size();
  }
  return sum;
}

std::unique_ptr<wait_queue> MakeQueue(queue_kind kind) {
  if (kind == queue_kind::kFifo)
    return std::make_unique<fifo_queue>();
  return std::make_unique<fair_queue>();
}

}  // namespace flamingoshunt::admission
