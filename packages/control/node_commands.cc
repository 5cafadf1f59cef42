#include <algorithm>
#include <cctype>
#include <cstring>
#include <map>
#include <utility>

#include "base/checked_json.h"
#include "control/commands.h"
#include "control/table.h"
#include "store/call_ids.h"
#include "store/settled_write.h"

namespace flamingoshunt::control {
namespace {

constexpr int kHttpOk = 200;
constexpr base::duration kWaitStep = std::chrono::milliseconds(200);
constexpr const char* kDrainKind = "drain";

// One node's answer; nothing when it was not reached or made no sense.
struct node_answer {
  std::string address;
  std::optional<boost::json::value> json;
};

std::vector<node_answer> AskAll(session& here,
                                const invocation& call,
                                const std::string& method,
                                const std::string& target) {
  if (call.nodes.empty())
    throw command_error(exit_code::kInvalid,
                        "name entry nodes by --node or --config");
  std::vector<node_answer> answers;
  for (const std::string& address : call.nodes) {
    node_answer each{address, std::nullopt};
    const auto answer = here.world.Ask(address, method, target);
    base::json_problems ignored;
    if (answer && answer->status == kHttpOk)
      each.json = base::ParseJson(answer->body, ignored);
    answers.push_back(std::move(each));
  }
  return answers;
}

bool AnyAnswered(const std::vector<node_answer>& answers) {
  return std::any_of(answers.begin(), answers.end(),
                     [](const node_answer& each) { return !!each.json; });
}

void RequireAny(const std::vector<node_answer>& answers) {
  if (!AnyAnswered(answers))
    throw command_error(exit_code::kUnavailable, "no node answered");
}

// Answers come from nodes that may run another version, so nothing is taken
// for granted: a value that is missing prints as "-".
const boost::json::value* Member(const boost::json::value* json,
                                 std::string_view key) {
  const auto* object = json ? json->if_object() : nullptr;
  return object ? object->if_contains({key.data(), key.size()}) : nullptr;
}

std::string Text(const boost::json::value* json) {
  if (!json || json->is_null())
    return "-";
  return json->is_string() ? std::string(json->as_string()) : OneLine(*json);
}

const boost::json::array& Elements(const boost::json::value* json) {
  static const boost::json::array none;
  const auto* array = json ? json->if_array() : nullptr;
  return array ? *array : none;
}

std::uint64_t Number(const boost::json::value* json) {
  boost::json::error_code error;
  const auto number = json ? json->to_number<std::uint64_t>(error) : 0;
  return error ? 0 : number;
}

void PrintNodes(const std::vector<node_answer>& answers, std::ostream& out) {
  table rows{{"ADDRESS", "NODE", "READY", "CATALOGUE", "CONFIRMED", "LAGGING",
              "LIVE NODES", "WAITING", "QUARANTINED"},
             {}};
  for (const node_answer& each : answers) {
    if (!each.json) {
      rows.rows.push_back(
          {each.address, "unreachable", "-", "-", "-", "-", "-", "-", "-"});
      continue;
    }
    const boost::json::value* json = &*each.json;
    const auto* catalogue = Member(json, "catalogue");
    const auto* dispatch = Member(json, "dispatch");
    const auto& peers = Elements(Member(Member(json, "membership"), "peers"));
    const auto live = std::count_if(
        peers.begin(), peers.end(), [](const boost::json::value& peer) {
          return Text(Member(&peer, "state")) == "alive";
        });
    rows.rows.push_back(
        {each.address, Text(Member(json, "node")), Text(Member(json, "ready")),
         Text(Member(catalogue, "version")),
         Text(Member(catalogue, "confirmed")),
         std::to_string(Elements(Member(catalogue, "lagging")).size()),
         std::to_string(live), Text(Member(dispatch, "waiting")),
         std::to_string(Elements(Member(dispatch, "quarantine")).size())});
  }
  Print(rows, out);
}

// Nodes differ in what they have seen; the highest epoch is the newest.
void PrintReplicas(const std::vector<node_answer>& answers, std::ostream& out) {
  std::map<std::string, const boost::json::value*> newest;
  for (const node_answer& each : answers) {
    const boost::json::value* json = each.json ? &*each.json : nullptr;
    const auto* replicas = Member(Member(json, "replica"), "replicas");
    for (const boost::json::value& replica : Elements(replicas)) {
      const boost::json::value*& held =
          newest[Text(Member(&replica, "replica"))];
      const bool newer = !held || Number(Member(&replica, "epoch")) >
                                      Number(Member(held, "epoch"));
      if (newer)
        held = &replica;
    }
  }
  const char* fields[] = {"replica", "entry",          "version", "epoch",
                          "state",   "failure_domain", "members"};
  table rows{{"REPLICA", "ENTRY", "VERSION", "EPOCH", "STATE", "FAILURE DOMAIN",
              "MEMBERS"},
             {}};
  for (const auto& [id, replica] : newest) {
    std::vector<std::string> row;
    for (const char* field : fields)
      row.push_back(Text(Member(replica, field)));
    rows.rows.push_back(std::move(row));
  }
  Print(rows, out);
}

boost::json::object ByAddress(const std::vector<node_answer>& answers) {
  boost::json::object all;
  for (const node_answer& each : answers)
    all[each.address] = each.json ? *each.json : boost::json::value(nullptr);
  return all;
}

// Performs a read or a settled write for a drain.
store::write_result WriteDrain(session& here, const store::call& write) {
  store::call_id_source ids(store::call_owner::kControl);
  store::settled_write settled(write, ids);
  store::settled_write::step step{settled.Start(here.world.Now()),
                                  std::nullopt};
  while (!step.done) {
    if (step.send) {
      const auto answer = here.world.Perform(*step.send);
      step = settled.Handle(answer, here.world.Now());
    } else {
      here.world.Sleep(*settled.NextTimer() - here.world.Now());
      step = settled.Tick(here.world.Now());
    }
  }
  return *step.done;
}

exit_code ListDrains(session& here, const invocation& call) {
  store::call list;
  list.id = store::call_id(1);
  list.op = store::operation::kList;
  list.key.kind = kDrainKind;
  const store::reply answer = here.world.Perform(list);
  if (answer.outcome != store::call_outcome::kOk)
    throw command_error(exit_code::kUnavailable,
                        "the platform did not answer the list of drains");
  table rows{{"INSTANCE", "VERSION"}, {}};
  boost::json::array all;
  for (const store::object& each : answer.listed) {
    rows.rows.push_back({each.key.name, std::to_string(each.version.value())});
    all.push_back(boost::json::string(each.key.name));
  }
  if (call.output == output_format::kJson)
    Print(all, here.out);
  else
    Print(rows, here.out);
  return exit_code::kOk;
}

// Characters that need no encoding in the query of a URL.
bool IsPlain(const std::string& text) {
  return std::all_of(text.begin(), text.end(), [](unsigned char c) {
    return std::isalnum(c) || std::strchr("-._~/:@", c);
  });
}

std::string ExplainTarget(const invocation& call) {
  const char* names[] = {"host", "path", "model", "prompt", "output", "hint"};
  std::string target = "/admin/explain?";
  for (std::size_t i = 0; i < call.arguments.size(); ++i) {
    const std::string& value = call.arguments[i];
    if (value.empty() || !IsPlain(value))
      throw command_error(
          exit_code::kInvalid,
          "explain " + value + ": must be letters, digits and any of -._~/:@");
    if (i > 2 && !std::all_of(value.begin(), value.end(),
                              [](unsigned char c) { return std::isdigit(c); }))
      throw command_error(exit_code::kInvalid,
                          "explain " + value + ": must be a number of tokens");
    if (value != "-")
      target += (i == 0 ? "" : "&") + std::string(names[i]) + '=' + value;
  }
  return target;
}

void PrintExplanation(const node_answer& answer, std::ostream& out) {
  const boost::json::value* json = &*answer.json;
  out << answer.address << ": " << Text(Member(json, "decision"));
  for (const char* each : {"instance", "reason", "first_event_ms", "end_ms",
                           "retry_after_ms", "route", "pool", "queued_here",
                           "queued_at_peers", "expected_output_tokens"}) {
    if (const auto* value = Member(json, each))
      out << "  " << each << ' ' << Text(value);
  }
  out << '\n';
  const char* fields[] = {
      "instance",         "out",   "running", "free_slots", "unread_tokens",
      "unwritten_tokens", "cost",  "own",     "late",       "others",
      "first_event_ms",   "end_ms"};
  table rows{{"INSTANCE", "OUT", "RUNNING", "FREE", "UNREAD", "UNWRITTEN",
              "COST", "OWN", "LATE", "OTHERS", "FIRST MS", "END MS"},
             {}};
  for (const auto& candidate : Elements(Member(json, "candidates"))) {
    std::vector<std::string> row;
    for (const char* field : fields)
      row.push_back(Text(Member(&candidate, field)));
    rows.rows.push_back(std::move(row));
  }
  Print(rows, out);
}

}  // namespace

void WaitInForce(session& here,
                 const invocation& call,
                 std::uint64_t generation) {
  const base::time_point end = here.world.Now() + call.timeout;
  std::string lagging;
  while (true) {
    lagging.clear();
    for (const node_answer& each : AskAll(here, call, "GET", "/admin/status")) {
      const auto* catalogue =
          Member(each.json ? &*each.json : nullptr, "catalogue");
      const auto* behind = Member(catalogue, "lagging");
      const bool holds = Number(Member(catalogue, "version")) >= generation;
      if (holds && behind && Elements(behind).empty()) {
        here.out << "in force at every live node\n";
        return;
      }
      lagging += " " + (holds ? Text(behind) : each.address);
    }
    if (here.world.Now() >= end)
      break;
    here.world.Sleep(kWaitStep);
  }
  throw command_error(exit_code::kWaitTimeout,
                      "applied, but not confirmed in time by:" + lagging);
}

exit_code Status(session& here, const invocation& call) {
  const auto answers = AskAll(here, call, "GET", "/admin/status");
  if (call.output == output_format::kJson) {
    Print(ByAddress(answers), here.out);
  } else {
    PrintNodes(answers, here.out);
    here.out << '\n';
    PrintReplicas(answers, here.out);
  }
  RequireAny(answers);
  return exit_code::kOk;
}

exit_code Drain(session& here, const invocation& call) {
  if (call.arguments.empty())
    return ListDrains(here, call);
  const std::string& instance = call.arguments[0];
  store::call request;
  request.id = store::call_id(1);
  request.key = {kDrainKind, instance};
  const store::reply found = here.world.Perform(request);
  const bool exists = found.outcome == store::call_outcome::kOk;
  if (!exists && found.outcome != store::call_outcome::kNotFound)
    throw command_error(exit_code::kUnavailable, "the platform did not answer");
  if (exists != call.undo) {
    here.out << instance << (exists ? " is draining" : " is not draining")
             << " already\n";
    return exit_code::kOk;
  }
  request.op =
      call.undo ? store::operation::kDelete : store::operation::kCreate;
  request.expected = exists ? found.current->version : base::revision();
  request.value = boost::json::serialize(
      boost::json::object{{"writer", here.world.WriterToken()}});
  switch (WriteDrain(here, request)) {
    case store::write_result::kApplied:
      here.out << instance << (call.undo ? " no longer drains\n" : " drains\n");
      return exit_code::kOk;
    case store::write_result::kConflict:
      throw command_error(exit_code::kConflict,
                          instance + ": somebody else changed its drain");
    default:
      throw command_error(exit_code::kUnavailable,
                          instance + ": the platform did not take the drain");
  }
}

exit_code Quarantine(session& here, const invocation& call) {
  const std::string& verb = call.arguments[0];
  const bool lift = verb == "lift";
  if ((!lift && verb != "list") || lift != (call.arguments.size() == 2))
    throw command_error(exit_code::kInvalid,
                        "usage: flamingoshuntctl quarantine list | "
                        "quarantine lift FINGERPRINT");
  const std::string target =
      "/admin/quarantine" + (lift ? "/" + call.arguments[1] : std::string());
  const auto answers = AskAll(here, call, lift ? "DELETE" : "GET", target);
  Print(ByAddress(answers), here.out);
  RequireAny(answers);
  const bool all =
      std::all_of(answers.begin(), answers.end(),
                  [](const node_answer& each) { return !!each.json; });
  if (lift && !all)
    throw command_error(exit_code::kUnavailable,
                        "not lifted at the nodes that show null");
  return exit_code::kOk;
}

exit_code Explain(session& here, const invocation& call) {
  const auto answers = AskAll(here, call, "GET", ExplainTarget(call));
  RequireAny(answers);
  bool explained = false;
  if (call.output == output_format::kJson)
    Print(ByAddress(answers), here.out);
  for (const node_answer& each : answers) {
    if (!each.json)
      continue;
    const auto* error = Member(&*each.json, "error");
    if (call.output == output_format::kTable && error)
      here.out << each.address << ": " << Text(error) << '\n';
    else if (call.output == output_format::kTable)
      PrintExplanation(each, here.out);
    explained = explained || !error;
  }
  if (!explained)
    throw command_error(exit_code::kFailure,
                        "no node can place such a request");
  return exit_code::kOk;
}

exit_code Trace(session& here, const invocation& call) {
  const auto answers =
      AskAll(here, call, "GET", "/admin/trace/" + call.arguments[0]);
  std::vector<boost::json::value> spans;
  for (const node_answer& each : answers) {
    const auto& found = Elements(each.json ? &*each.json : nullptr);
    spans.insert(spans.end(), found.begin(), found.end());
  }
  if (spans.empty())
    throw command_error(exit_code::kFailure,
                        call.arguments[0] + ": no span found");
  std::stable_sort(spans.begin(), spans.end(),
                   [](const auto& left, const auto& right) {
                     return Number(Member(&left, "start_us")) <
                            Number(Member(&right, "start_us"));
                   });
  if (call.output == output_format::kJson) {
    Print(boost::json::array(spans.begin(), spans.end()), here.out);
    return exit_code::kOk;
  }
  const char* fields[] = {"start_us", "duration_us", "name",
                          "span",     "parent",      "message"};
  table rows{{"START US", "DURATION US", "NAME", "SPAN", "PARENT", "MESSAGE"},
             {}};
  for (const boost::json::value& span : spans) {
    std::vector<std::string> row;
    for (const char* field : fields)
      row.push_back(Text(Member(&span, field)));
    rows.rows.push_back(std::move(row));
  }
  Print(rows, here.out);
  return exit_code::kOk;
}

}  // namespace flamingoshunt::control
