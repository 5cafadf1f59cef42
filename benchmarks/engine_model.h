// Defines a small queueing model of one replica's engine with continuous
// batching, for measurements in virtual time: a batch of bounded size whose
// step slows as it grows, a queue by priority, prompts that are computed unless
// their prefix is cached, and faults (slow, paused, dead).
#ifndef FLAMINGOSHUNT_BENCHMARKS_ENGINE_MODEL_H_
#define FLAMINGOSHUNT_BENCHMARKS_ENGINE_MODEL_H_

#include <algorithm>
#include <cstdint>
#include <deque>
#include <map>
#include <unordered_set>
#include <utility>
#include <vector>

#include "base/clock.h"

namespace flamingoshunt::benchmarks {

/// Step time of a batch of n: kStepBase + n * kStepPerJob (42 ms for 8).
constexpr double kStepBaseSeconds = 0.030;
constexpr double kStepPerJobSeconds = 0.0015;
constexpr double kPromptTokensPerSecond = 8'000;
/// Prefixes that one engine keeps.
constexpr std::size_t kCachedPrefixes = 256;

/// One request inside an engine.
struct engine_job {
  std::uint64_t id = 0;
  int priority = 0;
  double tokens_left = 0;
  double prompt_tokens = 0;
  std::vector<std::uint64_t> prefixes;  ///< Shortest first, equal lengths.
  double prompt_seconds_left = 0;
  double tokens_done = 0;
  double tokens_told = 0;
  bool is_hit = false;
};

class engine_model {
 public:
  explicit engine_model(int slots) : slots_(slots) {}

  void Submit(engine_job job) {
    queue_.emplace(std::pair(job.priority, next_++), std::move(job));
  }

  /// Moves on by @p seconds.
  template <class OnStart, class OnEnd>
  void Step(double seconds, const OnStart& on_start, const OnEnd& on_end) {
    if (is_paused || is_dead)
      return;
    Fill(on_start);
    const double step = kStepBaseSeconds +
                        kStepPerJobSeconds * static_cast<double>(batch_.size());
    const double tokens = seconds * speed / step;
    for (auto& job : batch_)
      Advance(job, seconds * speed, tokens);
    for (std::size_t i = 0; i < batch_.size();) {
      if (batch_[i].tokens_left > 0) {
        ++i;
        continue;
      }
      const engine_job done = std::move(batch_[i]);
      batch_.erase(batch_.begin() + static_cast<std::ptrdiff_t>(i));
      on_end(done);
    }
  }

  /// Removes one job, as a cancelled stream does.
  /// @return the tokens it had produced.
  double Cancel(std::uint64_t id) {
    double done = 0;
    for (const auto& job : batch_)
      done += job.id == id ? job.tokens_done : 0;
    std::erase_if(batch_, [id](const auto& job) { return job.id == id; });
    std::erase_if(queue_,
                  [id](const auto& each) { return each.second.id == id; });
    return done;
  }

  std::vector<engine_job>& batch() { return batch_; }
  std::size_t queued() const { return queue_.size(); }

  /// @return prefixes that entered and left the cache since the last call.
  std::pair<std::vector<std::uint64_t>, std::vector<std::uint64_t>>
  TakeCacheChanges() {
    return {std::exchange(added_, {}), std::exchange(removed_, {})};
  }

  double speed = 1;
  bool is_paused = false;
  bool is_dead = false;

 private:
  template <class OnStart>
  void Fill(const OnStart& on_start) {
    while (static_cast<int>(batch_.size()) < slots_ && !queue_.empty()) {
      engine_job job = std::move(queue_.begin()->second);
      queue_.erase(queue_.begin());
      Prefill(job);
      on_start(job);
      batch_.push_back(std::move(job));
    }
  }

  void Prefill(engine_job& job) {
    std::size_t cached = 0;
    while (cached < job.prefixes.size() &&
           cache_.contains(job.prefixes[cached]))
      ++cached;
    const double part = job.prefixes.empty()
                            ? 0
                            : static_cast<double>(cached) /
                                  static_cast<double>(job.prefixes.size());
    job.is_hit = cached > 0;
    job.prompt_seconds_left =
        job.prompt_tokens * (1 - part) / kPromptTokensPerSecond;
    for (const auto prefix : job.prefixes)
      Keep(prefix);
  }

  void Keep(std::uint64_t prefix) {
    if (!cache_.insert(prefix).second)
      return;
    order_.push_back(prefix);
    added_.push_back(prefix);
    if (order_.size() <= kCachedPrefixes)
      return;
    cache_.erase(order_.front());
    removed_.push_back(order_.front());
    order_.pop_front();
  }

  static void Advance(engine_job& job, double seconds, double tokens) {
    if (job.prompt_seconds_left > 0) {
      job.prompt_seconds_left -= seconds;
      return;
    }
    job.tokens_left -= tokens;
    job.tokens_done += tokens;
  }

  int slots_;
  std::uint64_t next_ = 0;
  std::map<std::pair<int, std::uint64_t>, engine_job> queue_;
  std::vector<engine_job> batch_;
  std::unordered_set<std::uint64_t> cache_;
  std::deque<std::uint64_t> order_;
  std::vector<std::uint64_t> added_;
  std::vector<std::uint64_t> removed_;
};

}  // namespace flamingoshunt::benchmarks

#endif  // FLAMINGOSHUNT_BENCHMARKS_ENGINE_MODEL_H_
