#include "telemetry/prometheus.h"

#include <prometheus/text_serializer.h>

#include <limits>

namespace flamingoshunt::telemetry {
namespace {

using prometheus::ClientMetric;
using prometheus::MetricFamily;
using prometheus::MetricType;

double Seconds(base::duration length) {
  return std::chrono::duration<double>(length).count();
}

MetricType TypeOf(const metric_view& view) {
  if (view.counted)
    return MetricType::Counter;
  return view.gauged ? MetricType::Gauge : MetricType::Histogram;
}

ClientMetric::Histogram Distribution(const histogram& source) {
  ClientMetric::Histogram target;
  for (const histogram::bucket& bucket : source.Buckets()) {
    target.sample_count += bucket.count;
    target.bucket.push_back({target.sample_count, Seconds(bucket.upper_bound)});
  }
  // The total is read last, so that it is never below a bucket's count.
  target.sample_count = std::max(target.sample_count, source.Count());
  target.bucket.push_back(
      {target.sample_count, std::numeric_limits<double>::infinity()});
  target.sample_sum = Seconds(source.Sum());
  return target;
}

ClientMetric Sample(const metric_view& view) {
  ClientMetric sample;
  for (const label& each : view.identity->labels)
    sample.label.push_back({each.name, each.value});
  if (view.counted)
    sample.counter.value = static_cast<double>(view.counted->value());
  if (view.gauged)
    sample.gauge.value = static_cast<double>(view.gauged->value());
  if (view.distribution)
    sample.histogram = Distribution(*view.distribution);
  return sample;
}

}  // namespace

std::string PrometheusText(const metric_registry& registry) {
  std::vector<MetricFamily> families;
  for (const metric_view& view : registry.Views()) {
    if (families.empty() || families.back().name != view.identity->name) {
      MetricFamily family;
      family.name = view.identity->name;
      family.help = view.identity->help;
      family.type = TypeOf(view);
      families.push_back(std::move(family));
    }
    families.back().metric.push_back(Sample(view));
  }
  return prometheus::TextSerializer().Serialize(families);
}

}  // namespace flamingoshunt::telemetry
