// Defines requests and views for dispatcher tests in virtual time.
#ifndef FLAMINGOSHUNT_GATEWAY_TESTS_DISPATCH_FIXTURE_H_
#define FLAMINGOSHUNT_GATEWAY_TESTS_DISPATCH_FIXTURE_H_

#include <map>
#include <string>
#include <vector>

#include "gateway/dispatcher.h"

namespace flamingoshunt::gateway::testing {

using std::chrono::milliseconds;

inline base::time_point At(int ms) {
  return base::time_point(std::chrono::hours(1) + milliseconds(ms));
}

inline engine_profile SixTokenPassProfile(int slots) {
  engine_profile profile;
  profile.slots = slots;
  profile.step_ms = 6.45;
  profile.step_per_sequence_ms = 0.0967;
  profile.prefill_tokens_per_ms = 56.1;
  profile.steps_per_pass = 6;
  profile.usual_prompt_tokens = 1115;
  profile.usual_answer_tokens = 152;
  return profile;
}

/// @param heads replicas "h0", "h1", ... of model "m".
inline fleet_view_ptr MakeView(int heads, int slots, int nodes = 1) {
  service engine;
  engine.name = "llm";
  engine.engine = SixTokenPassProfile(slots);
  auto view = std::make_shared<fleet_view>();
  view->configuration = std::make_shared<configuration>(
      1, std::vector<route>{}, std::vector<service>{engine},
      std::unordered_map<std::string, workspace>{}, caller_limits());
  view->live_nodes = nodes;
  for (int i = 0; i < heads; ++i) {
    target replica;
    replica.instance = base::instance_id("h" + std::to_string(i));
    replica.model = "m";
    replica.slots = slots;
    view->targets["llm"].push_back(replica);
  }
  return view;
}

/// @return a slot request that arrives at @p now_ms with a target of
///         @p target_ms for its first event.
inline slot_request MakeStreamRequest(std::uint64_t ticket,
                                      int now_ms,
                                      int target_ms = 400) {
  slot_request request;
  request.ticket = ticket_id(ticket);
  request.service = "llm";
  request.model = "m";
  request.prompt_tokens = 1420;
  request.output_tokens = 172;
  request.on_time_deadline = At(now_ms + target_ms);
  request.deadline = At(now_ms + 8000);
  return request;
}

}  // namespace flamingoshunt::gateway::testing

#endif  // FLAMINGOSHUNT_GATEWAY_TESTS_DISPATCH_FIXTURE_H_
