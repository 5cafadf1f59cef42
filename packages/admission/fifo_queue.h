// Defines the baseline queue: first come first served, whoever asks and however
// long the work is.
#ifndef FLAMINGOSHUNT_ADMISSION_FIFO_QUEUE_H_
#define FLAMINGOSHUNT_ADMISSION_FIFO_QUEUE_H_

#include <map>
#include <unordered_map>

#include "admission/wait_queue.h"

namespace flamingoshunt::admission {

class arrival_queue final : public wait_queue {
 public:
  void Push(waiting each) override;
  bool StartOne(const start& try_start) override;
  std::optional<waiting> Remove(const base::request_id& request) override;
  void Charge(const base::workspace_id&,
              catalogue::work_class,
              double) override {}
  double CostAhead(const waiting&) const override { return cost_; }
  std::size_t size() const override { return queue_.size(); }
  std::size_t Shorts() const override { return queue_.size(); }
  std::size_t SizeOf(const base::workspace_id& workspace) const override;

 private:
  using queue = std::map<std::uint64_t, waiting>;
  waiting Take(queue::iterator at);

  queue queue_;
  std::unordered_map<base::request_id, std::uint64_t> places_;
  std::uint64_t next_ = 0;
  double cost_ = 0;
};

}  // namespace flamingoshunt::admission

#endif  // FLAMINGOSHUNT_ADMISSION_FIFO_QUEUE_H_
