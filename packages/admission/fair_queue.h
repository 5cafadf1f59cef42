// Defines the production queue. Classes share the slots by weight, and so do
// the workspaces within a class; both levels use start-time fair queueing over
// the estimated cost. Within a workspace, short work goes before long work, and
// long work ages.
//
//   Workspaces a and b have weight 1. When a has ten requests of cost 1 queued
//   and b sends one of cost 1, b's starts after at most one more of a's.
#ifndef FLAMINGOSHUNT_ADMISSION_FAIR_QUEUE_H_
#define FLAMINGOSHUNT_ADMISSION_FAIR_QUEUE_H_

#include <array>
#include <map>
#include <set>
#include <unordered_map>
#include <utility>

#include "admission/wait_queue.h"

namespace flamingoshunt::admission {

class fair_queue final : public wait_queue {
 public:
  void Push(queued_request queued) override;
  bool StartOne(const start_callback& try_start) override;
  std::optional<queued_request> Remove(
      const base::request_id& request) override;
  void Charge(const base::workspace_id& workspace,
              catalogue::work_class work,
              double extra_cost) override;
  double CostAhead(const queued_request& queued) const override;
  std::size_t size() const override { return positions_.size(); }
  std::size_t ShortCount() const override {
    return positions_.size() - long_count_;
  }
  std::size_t SizeOfWorkspace(
      const base::workspace_id& workspace) const override;

 private:
  static constexpr std::size_t kClasses = 3;
  using sort_key = std::pair<base::time_point, std::uint64_t>;
  using request_map = std::map<sort_key, queued_request>;

  /// The queued requests of one workspace in one class.
  struct workspace_flow {
    double weight = 1;
    double start = 0;   ///< Virtual start time of its next request.
    double finish = 0;  ///< Virtual finish time of the work charged so far.
    double short_cost = 0;
    double long_cost = 0;
    request_map short_requests;
    request_map long_requests;
    bool empty() const {
      return short_requests.empty() && long_requests.empty();
    }
    std::size_t size() const {
      return short_requests.size() + long_requests.size();
    }
  };
  using flow_key = std::pair<double, base::workspace_id>;

  struct class_lane {
    double start = 0;
    double finish = 0;
    double virtual_time = 0;
    double short_cost = 0;
    double long_cost = 0;
    double backlogged_weight =
        0;  ///< Sum of the weights of flows with requests.
    std::set<flow_key> backlogged_flows;
    std::unordered_map<base::workspace_id, workspace_flow> flows;
  };

  struct queue_position {
    std::size_t class_index = 0;
    base::workspace_id workspace;
    bool is_long = false;
    fair_queue::sort_key sort_key;
  };

  void Activate(std::size_t index,
                const base::workspace_id& id,
                workspace_flow& flow);
  void Deactivate(class_lane& lane,
                  const base::workspace_id& id,
                  workspace_flow& flow);
  queued_request Extract(const queue_position& position);
  static void AddCost(class_lane& lane,
                      workspace_flow& flow,
                      const queued_request& queued,
                      double sign);
  bool StartFromClass(std::size_t index,
                      const start_callback& try_start,
                      bool& stop);
  void ChargeStart(std::size_t index,
                   const base::workspace_id& id,
                   double cost);
  void DropIdleFlows(class_lane& lane);

  std::array<class_lane, kClasses> lanes_;
  double virtual_time_ = 0;  ///< Of the scheduling between classes.
  std::unordered_map<base::request_id, queue_position> positions_;
  std::size_t long_count_ = 0;
  std::uint64_t next_sequence_ = 0;
};

}  // namespace flamingoshunt::admission

#endif  // FLAMINGOSHUNT_ADMISSION_FAIR_QUEUE_H_
