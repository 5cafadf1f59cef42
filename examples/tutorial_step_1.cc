// Tutorial, step 1: a decision slice is a state machine that takes a message
// and the time, and says what to do. Here the admission machine is told of one
// replica with one slot and asked twice; the second request waits until the
// first gives its place back. There is no socket, thread or clock.
#include <iostream>

#include "admission/controller.h"

namespace {

namespace admission = flamingoshunt::admission;
namespace base = flamingoshunt::base;
namespace catalogue = flamingoshunt::catalogue;
namespace replica = flamingoshunt::replica;
namespace routing = flamingoshunt::routing;

catalogue::snapshot_ptr OneEntry() {
  auto snapshot = std::make_shared<catalogue::snapshot>();
  catalogue::entry entry;
  entry.name = base::entry_name("ripen-llm");
  snapshot->entries[entry.name] = entry;
  catalogue::workspace workspace;
  workspace.id = base::workspace_id("dispatch");
  snapshot->workspaces[workspace.id] = workspace;
  snapshot->version = base::revision(1);
  return snapshot;
}

replica::serving_changed OneReplica() {
  replica::serving_replica serving;
  serving.replica = base::replica_id("langley-f1-1");
  serving.epoch = base::epoch(1);
  serving.entry = base::entry_name("ripen-llm");
  serving.address = "10.0.0.7:8000";
  serving.slots = 1;
  serving.state = replica::serving_state::kServing;
  return {serving};
}

admission::slot_request Ask(const char* request) {
  admission::slot_request ask;
  ask.shape.request = base::request_id(request);
  ask.shape.workspace = base::workspace_id("dispatch");
  ask.shape.entry = base::entry_name("ripen-llm");
  ask.prompt_tokens = 10;
  ask.max_tokens = 20;
  return ask;
}

void Print(const char* what, const admission::effects& effects) {
  std::cout << what << ":";
  for (const admission::effect& effect : effects) {
    if (const auto* grant = std::get_if<admission::grant>(&effect))
      std::cout << " " << grant->request << " runs on " << grant->place.replica;
    else if (const auto* refusal = std::get_if<admission::refusal>(&effect))
      std::cout << " " << refusal->request << " is refused";
  }
  std::cout << (effects.empty() ? " nothing to do\n" : "\n");
}

}  // namespace

int main() {
  routing::location self;
  self.node = base::node_id("n1");
  admission::controller machine =
      admission::controller_builder().Self(self).Build();
  base::virtual_clock clock;
  machine.Handle(admission::catalogue_in_force{OneEntry(), true}, clock.Now());
  machine.Handle(OneReplica(), clock.Now());

  Print("first asks", machine.Handle(Ask("first"), clock.Now()));
  Print("second asks", machine.Handle(Ask("second"), clock.Now()));

  clock.Advance(std::chrono::seconds(2));
  admission::release release;
  release.finished.request = base::request_id("first");
  release.finished.replica = base::replica_id("langley-f1-1");
  release.finished.epoch = base::epoch(1);
  Print("first ends", machine.Handle(release, clock.Now()));
}
