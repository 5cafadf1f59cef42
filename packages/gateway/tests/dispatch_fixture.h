// Defines a dispatcher over a few engine replicas, in virtual time.
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

inline engine_pace SixTokenPasses(int slots) {
  engine_pace pace;
  pace.slots = slots;
  pace.step_ms = 6.45;
  pace.step_per_sequence_ms = 0.0967;
  pace.read_tokens_per_ms = 56.1;
  pace.steps_per_pass = 6;
  pace.usual_prompt = 1115;
  pace.usual_answer = 152;
  return pace;
}

/// @param heads replicas "h0", "h1", ... of model "m".
inline fleet_view_ptr View(int heads, int slots, int nodes = 1) {
  service engine;
  engine.name = "llm";
  engine.engine = SixTokenPasses(slots);
  auto view = std::make_shared<fleet_view>();
  view->configuration = std::make_shared<configuration>(
      1, std::vector<route>{}, std::vector<service>{engine},
      std::unordered_map<std::string, workspace>{}, caller_limits());
  view->live_nodes = nodes;
  for (int i = 0; i < heads; ++i) {
    target place;
    place.instance = base::instance_id("h" + std::to_string(i));
    place.model = "m";
    place.slots = slots;
    view->targets["llm"].push_back(place);
  }
  return view;
}

/// An ask that arrives at @p now_ms with @p aim_ms for its first event.
inline ask Stream(std::uint64_t ticket, int now_ms, int aim_ms = 400) {
  ask request;
  request.ticket = ticket_id(ticket);
  request.service = "llm";
  request.model = "m";
  request.prompt_tokens = 1420;
  request.output_tokens = 172;
  request.on_time_until = At(now_ms + aim_ms);
  request.give_up_at = At(now_ms + 8000);
  return request;
}

}  // namespace flamingoshunt::gateway::testing

#endif  // FLAMINGOSHUNT_GATEWAY_TESTS_DISPATCH_FIXTURE_H_
