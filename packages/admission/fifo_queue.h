// Defines the baseline queue: first in, first out, whatever the workspace, the
// class and the length of the work.
#ifndef FLAMINGOSHUNT_ADMISSION_FIFO_QUEUE_H_
#define FLAMINGOSHUNT_ADMISSION_FIFO_QUEUE_H_

#include <map>
#include <unordered_map>

#include "admission/wait_queue.h"

namespace flamingoshunt::admission {

class fifo_queue final : public wait_queue {
 public:
  void Push(queued_request queued) override;
  bool StartOne(const start_callback& try_start) override;
  std::optional<queued_request> Remove(
      const base::request_id& request) override;
  void Charge(const base::workspace_id&,
              catalogue::work_class,
              double) override {}
  double CostAhead(const queued_request&) const override { return total_cost_; }
  std::size_t size() const override { return queue_.size(); }
  std::size_t ShortCount() const override { return queue_.size(); }
  std::size_t SizeOfWorkspace(
      const base::workspace_id& workspace) const override;

 private:
  using queue_map = std::map<std::uint64_t, queued_request>;
  queued_request Extract(queue_map::iterator it);

  queue_map queue_;
  std::unordered_map<base::request_id, std::uint64_t> sequence_by_request_;
  std::uint64_t next_sequence_ = 0;
  double total_cost_ = 0;
};

}  // namespace flamingoshunt::admission

#endif  // FLAMINGOSHUNT_ADMISSION_FIFO_QUEUE_H_
