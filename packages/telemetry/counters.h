// Defines counters, gauges and the registry that names them. A metric is
// registered once, with its help text and fixed labels, before the threads
// start; after that it is a plain atomic that any thread may change.
#ifndef FLAMINGOSHUNT_TELEMETRY_COUNTERS_H_
#define FLAMINGOSHUNT_TELEMETRY_COUNTERS_H_

#include <atomic>
#include <cstdint>
#include <deque>
#include <mutex>
#include <string>
#include <vector>

#include "base/errors.h"
#include "telemetry/histogram.h"

namespace flamingoshunt::telemetry {

/// A metric was registered under a bad name, or twice.
class metric_error : public base::internal_error {
 public:
  using base::internal_error::internal_error;
};

/// A number that only rises.
class counter {
 public:
  void Add(std::uint64_t amount = 1) {
    value_.fetch_add(amount, std::memory_order_relaxed);
  }
  std::uint64_t value() const { return value_.load(std::memory_order_relaxed); }

 private:
  std::atomic<std::uint64_t> value_ = 0;
};

/// A number that moves both ways.
class gauge {
 public:
  void Set(std::int64_t value) {
    value_.store(value, std::memory_order_relaxed);
  }
  void Add(std::int64_t amount) {
    value_.fetch_add(amount, std::memory_order_relaxed);
  }
  std::int64_t value() const { return value_.load(std::memory_order_relaxed); }

 private:
  std::atomic<std::int64_t> value_ = 0;
};

struct label {
  std::string name;
  std::string value;
  bool operator==(const label&) const = default;
};

/// What a metric is called; equal (name, labels) may be registered only once.
struct metric_identity {
  std::string name;  ///< As Prometheus allows: [a-zA-Z_][a-zA-Z0-9_]*
  std::string help;
  std::vector<label> labels;
};

/// One metric as read at a moment; exactly one pointer is set.
struct metric_view {
  const metric_identity* identity = nullptr;
  const counter* counted = nullptr;
  const gauge* gauged = nullptr;
  const histogram* distribution = nullptr;
};

/// Owns the metrics of a process. References stay valid as long as it lives.
class metric_registry {
 public:
  /// @param name by custom ends in "_total" for counters.
  /// @throws metric_error for a bad or doubled name.
  counter& AddCounter(std::string name,
                      std::string help,
                      std::vector<label> labels = {});
  gauge& AddGauge(std::string name,
                  std::string help,
                  std::vector<label> labels = {});

  /// @param name by custom ends in "_seconds".
  histogram& AddHistogram(std::string name,
                          std::string help,
                          std::vector<label> labels = {},
                          histogram_range range = {});

  /// @return all metrics, those of one name beside each other.
  std::vector<metric_view> Views() const;

 private:
  template <class Metric>
  struct named {
    template <class... Arguments>
    explicit named(metric_identity identity_in, Arguments&&... arguments)
        : identity(std::move(identity_in)), metric(arguments...) {}
    metric_identity identity;
    Metric metric;
  };

  void Check(const metric_identity& identity) const;

  mutable std::mutex mutex_;
  std::deque<named<counter>> counters_;
  std::deque<named<gauge>> gauges_;
  std::deque<named<histogram>> histograms_;
};

}  // namespace flamingoshunt::telemetry

#endif  // FLAMINGOSHUNT_TELEMETRY_COUNTERS_H_
