#include "gateway/outcome_metrics.h"

namespace flamingoshunt::gateway {
namespace {

// Counts all names beyond the bound.
constexpr const char* kOthers = "(others)";

struct outcome_text {
  const char* name;
  const char* help;
};

// In the order of request_outcome.
constexpr std::array<outcome_text, kRequestOutcomes> kOutcomes{
    {{"queued", "Requests that waited for a place"},
     {"on_time", "Requests answered on time"},
     {"late", "Requests answered late"},
     {"refused", "Requests refused as surely not run"},
     {"returned", "Requests with less time left than their route allows"}}};

}  // namespace

void outcome_metrics::Count(request_outcome outcome,
                            const std::string& route,
                            const std::string& workspace) {
  const auto index = static_cast<std::size_t>(outcome);
  Find(routes_, "route", route).at(index)->Add();
  Find(workspaces_, "workspace", workspace).at(index)->Add();
}

outcome_metrics::outcome_counters& outcome_metrics::Find(
    counters_by_name& known,
    const std::string& kind,
    const std::string& name) {
  const auto it = known.find(name);
  if (it != known.end())
    return it->second;
  if (known.size() >= kMaxNames && name != kOthers)
    return Find(known, kind, kOthers);
  outcome_counters& added = known[name];
  for (std::size_t i = 0; i < kRequestOutcomes; ++i)
    added.at(i) = &registry_.AddCounter(
        "gateway_" + kind + '_' + kOutcomes.at(i).name + "_total",
        kOutcomes.at(i).help, {{kind, name}});
  return added;
}

}  // namespace flamingoshunt::gateway
