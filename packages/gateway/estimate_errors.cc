#include "gateway/estimate_errors.h"

#include <chrono>

namespace flamingoshunt::gateway {
namespace {

constexpr char kOther[] = "other";

}  // namespace

estimate_errors::histograms& estimate_errors::Find(const std::string& model) {
  const auto known = models_.find(model);
  if (known != models_.end())
    return known->second;
  const std::string name = models_.size() < kMaxModels ? model : kOther;
  const auto shared = models_.find(name);
  if (shared != models_.end())
    return shared->second;
  const auto add = [&](const char* metric,
                       const char* help) -> telemetry::histogram& {
    return registry_.AddHistogram(metric, help, {{"model", name}});
  };
  return models_
      .emplace(name,
               histograms{add("gateway_first_event_error_seconds",
                              "Expected against actual first event"),
                          add("gateway_end_error_seconds",
                              "Expected against actual end of the answer")})
      .first->second;
}

void estimate_errors::RecordFirstEvent(const std::string& model,
                                       base::duration expected,
                                       base::duration actual) {
  Find(model).first_event.Observe(std::chrono::abs(actual - expected));
}

void estimate_errors::RecordEnd(const std::string& model,
                                base::duration expected,
                                base::duration actual) {
  Find(model).end.Observe(std::chrono::abs(actual - expected));
}

}  // namespace flamingoshunt::gateway
