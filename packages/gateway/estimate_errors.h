// Defines the histograms of how far the expected times of requests were off,
// for each model: the number that says whether placement by likely cost is
// well informed.
#ifndef FLAMINGOSHUNT_GATEWAY_ESTIMATE_ERRORS_H_
#define FLAMINGOSHUNT_GATEWAY_ESTIMATE_ERRORS_H_

#include <map>
#include <string>

#include "base/clock.h"
#include "telemetry/counters.h"

namespace flamingoshunt::gateway {

/// Used by one thread; the histograms are read by any.
class estimate_errors {
 public:
  /// Models with histograms of their own; further ones share those of "other".
  static constexpr std::size_t kMaxModels = 32;

  explicit estimate_errors(telemetry::metric_registry& registry)
      : registry_(registry) {}

  /// Records the time from sending to the first event.
  void RecordFirstEvent(const std::string& model,
                        base::duration expected,
                        base::duration actual);

  /// Records the time from sending to the end of a whole answer.
  void RecordEnd(const std::string& model,
                 base::duration expected,
                 base::duration actual);

 private:
  struct histograms {
    telemetry::histogram& first_event;
    telemetry::histogram& end;
  };

  histograms& Find(const std::string& model);

  telemetry::metric_registry& registry_;
  std::map<std::string, histograms> models_;
};

}  // namespace flamingoshunt::gateway

#endif  // FLAMINGOSHUNT_GATEWAY_ESTIMATE_ERRORS_H_
