#include "control/commands.h"

#include "control/help.h"

namespace flamingoshunt::control {

const std::vector<command>& Commands() {
  static const std::vector<command> commands = {
      {"validate", "FILE", "check a catalogue file",
       "Checks FILE by itself and prints every problem with its key path,\n"
       "the value found and what is allowed. Talks to nobody.",
       1, 1, &Validate},
      {"apply", "FILE", "write a catalogue file to the platform",
       "Creates and updates the entries and workspaces that FILE names, each\n"
       "under the version that was read, after checking the whole catalogue\n"
       "that results. Items that FILE does not name stay, unless --prune.\n"
       "A conflict stops it; what was applied before is printed. With --wait\n"
       "it returns once every live node has the edits in force, which needs\n"
       "--node or --config.",
       1, 1, &Apply},
      {"get", "[KIND [NAME]]", "show the catalogue",
       "Shows all items, those of KIND (entry or workspace), or one. The\n"
       "version is the one that --expect-version takes.",
       0, 2, &Get},
      {"diff", "FILE", "show what apply would change",
       "Prints one line for each item that apply would create (+), update\n"
       "(~) or, with --prune, delete (-), and the fields that differ.",
       1, 1, &Diff},
      {"edit", "KIND NAME", "edit one item by way of a file",
       "The first call writes the item and its version to the --file, which\n"
       "must not exist. Change it there; the second call applies it under\n"
       "that version, so that an edit made by somebody else meanwhile shows\n"
       "as a conflict.",
       2, 2, &Edit},
      {"delete", "KIND NAME", "delete one item",
       "Replaces the item by a tombstone, which every node obeys also when\n"
       "the platform comes back behind.",
       2, 2, &Delete},
      {"status", "", "show nodes, replicas, queues and quarantine",
       "Asks every --node, and prints who is live and at which version of\n"
       "the catalogue, the replicas, and what waits. --output json prints\n"
       "each node's whole answer.",
       0, 0, &Status},
      {"drain", "[INSTANCE]", "empty an instance, or list drains",
       "Asks the nodes to give INSTANCE no new work and to replace it in its\n"
       "replica once a spare has taken its place. --undo takes it back.",
       0, 1, &Drain},
      {"quarantine", "list|lift [FINGERPRINT]",
       "show or lift quarantined requests",
       "Shows requests that crashed endpoints and are refused, or lifts one\n"
       "at every --node.",
       1, 2, &Quarantine},
      {"trace", "ID", "show the spans of one request",
       "Finds the spans of a request id or trace id at every --node and\n"
       "prints them in order of their start.",
       1, 1, &Trace},
      {"explain", "HOST PATH [MODEL [PROMPT [OUTPUT [HINT]]]]",
       "show where a request would go now, and why",
       "Asks a --node of a gateway, which sends nothing: the decision, what "
       "is\n"
       "queued, and each replica of the pool with why it is out, its load and\n"
       "the parts of its cost in ms. PROMPT, OUTPUT (the most) and HINT (the\n"
       "caller's estimate) are tokens; \"-\" stands for no MODEL.",
       2, 6, &Explain},
      {"completion", "bash", "print a completion script",
       "For example: flamingoshuntctl completion bash > "
       "/etc/bash_completion.d/flamingoshuntctl",
       1, 1, &Completion},
  };
  return commands;
}

exit_code Completion(session& here, const invocation& call) {
  if (call.arguments.front() != "bash")
    throw command_error(
        exit_code::kInvalid,
        "completion " + call.arguments.front() + ": must be: bash");
  here.out << BashCompletion();
  return exit_code::kOk;
}

}  // namespace flamingoshunt::control
