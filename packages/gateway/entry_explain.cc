// Explains where a request that an operator describes would go now.
#include <algorithm>

#include "gateway/entry.h"

namespace flamingoshunt::gateway {

placement_explanation entry::Explain(const described_request& described) const {
  placement_explanation result;
  const configuration_ptr configuration =
      view_ ? view_->configuration : nullptr;
  const route* found =
      configuration ? configuration->Match(described.host, described.path)
                    : nullptr;
  if (!found || found->targets.empty()) {
    result.error = configuration ? "no_route" : "no_configuration";
    return result;
  }
  const auto now = Now();
  slot_request request;
  // Of several services the one with the most requests.
  request.service =
      std::max_element(
          found->targets.begin(), found->targets.end(),
          [](const auto& a, const auto& b) { return a.weight < b.weight; })
          ->service;
  request.model = described.model;
  request.prompt_tokens = described.prompt_tokens;
  request.output_tokens = described.hinted_output_tokens > 0
                              ? std::min(described.hinted_output_tokens,
                                         described.max_output_tokens)
                              : described.max_output_tokens;
  request.priority = found->priority;
  request.on_time_deadline = now + found->first_answer_target;
  request.deadline = now + found->timeout;
  request.traits.route = found->name;
  request.traits.max_output_tokens = described.max_output_tokens;
  request.traits.hinted_output_tokens = described.hinted_output_tokens;
  result = dispatcher_.Explain(std::move(request), now);
  result.route = found->name;
  return result;
}

}  // namespace flamingoshunt::gateway
