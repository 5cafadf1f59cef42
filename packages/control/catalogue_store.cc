#include "control/catalogue_store.h"

#include <algorithm>
#include <utility>

#include "catalogue/check.h"
#include "control/errors.h"
#include "store/settled_write.h"

namespace flamingoshunt::control {
namespace {

using catalogue::specification;
using store::call_outcome;
using store::write_result;

template <class Spec>
store::object_key KeyOf(const Spec& spec) {
  return catalogue::Stored(spec, 1, "").key;
}

catalogue::stored_item MakeItem(const planned_change& change,
                                std::uint64_t generation,
                                const std::string& writer) {
  if (!change.after)
    return catalogue::Tombstone(change.key, generation, writer);
  return std::visit(
      [&](const auto& spec) {
        return catalogue::Stored(spec, generation, writer);
      },
      *change.after);
}

std::string Describe(const store::object_key& key) {
  return key.kind + " " + key.name;
}

command_error Unavailable(const std::string& what) {
  return {exit_code::kUnavailable, what};
}

}  // namespace

boost::json::object SpecJson(const specification& spec) {
  return std::visit([](const auto& each) { return catalogue::ToJson(each); },
                    spec);
}

std::vector<planned_change> Plan(const catalogue::document& wanted,
                                 const found_items& current,
                                 bool prune) {
  std::map<store::object_key, specification> after;
  for (const catalogue::entry& each : wanted.entries)
    after.emplace(KeyOf(each), each);
  for (const catalogue::workspace& each : wanted.workspaces)
    after.emplace(KeyOf(each), each);
  std::vector<planned_change> changes;
  for (const auto& [key, spec] : after) {
    const auto found = current.find(key);
    const bool exists = found != current.end() && found->second.item.spec;
    if (!exists)
      changes.push_back({change_kind::kCreate, key, std::nullopt, spec});
    else if (*found->second.item.spec != spec)
      changes.push_back(
          {change_kind::kUpdate, key, found->second.item.spec, spec});
  }
  for (const auto& [key, found] : current) {
    if (prune && found.item.spec && !after.contains(key))
      changes.push_back(
          {change_kind::kDelete, key, found.item.spec, std::nullopt});
  }
  return changes;
}

void CheckResult(const found_items& current,
                 const std::vector<planned_change>& changes) {
  std::map<store::object_key, specification> result;
  for (const auto& [key, found] : current) {
    if (found.item.spec)
      result.insert_or_assign(key, *found.item.spec);
  }
  for (const planned_change& change : changes) {
    if (change.after)
      result.insert_or_assign(change.key, *change.after);
    else
      result.erase(change.key);
  }
  catalogue::document whole;
  for (const auto& [key, spec] : result) {
    if (const auto* entry = std::get_if<catalogue::entry>(&spec))
      whole.entries.push_back(*entry);
    else
      whole.workspaces.push_back(std::get<catalogue::workspace>(spec));
  }
  base::json_problems problems;
  catalogue::CheckDocument(whole, problems);
  if (!problems.empty())
    throw base::json_document_error(std::move(problems));
}

found_items catalogue_store::ReadAll() {
  found_items items;
  for (const auto kind : {catalogue::kEntryKind, catalogue::kWorkspaceKind}) {
    store::call list;
    list.op = store::operation::kList;
    list.key.kind = std::string(kind);
    const store::reply answer = Perform(list);
    for (const store::object& each : answer.listed) {
      base::json_problems problems;
      auto item = catalogue::DecodeStored(each.key, each.value, problems);
      if (!item)
        throw command_error(exit_code::kFailure,
                            Describe(each.key) +
                                " in the platform: " + problems.front().Text());
      items.emplace(each.key, found_item{each.version, std::move(*item)});
    }
  }
  return items;
}

std::uint64_t catalogue_store::Write(const planned_change& change,
                                     const found_items& current) {
  const auto found = current.find(change.key);
  const bool exists = found != current.end();
  const std::uint64_t replaced = exists ? found->second.item.generation : 0;
  const std::uint64_t generation =
      catalogue::NextGeneration(replaced, world_.WallNow());
  store::call write;
  write.op = exists ? store::operation::kUpdate : store::operation::kCreate;
  write.key = change.key;
  write.expected = exists ? found->second.version : base::revision();
  write.value = catalogue::EncodeStored(
      MakeItem(change, generation, world_.WriterToken()));
  Settle(write,
         exists ? "version " + std::to_string(write.expected.value()) : "none");
  return generation;
}

store::reply catalogue_store::Perform(store::call request) {
  request.id = ids_.Next();
  const store::reply answer = world_.Perform(request);
  if (answer.outcome != call_outcome::kOk)
    throw Unavailable("the platform did not answer the list of kind " +
                      request.key.kind);
  return answer;
}

void catalogue_store::Settle(const store::call& request,
                             const std::string& mine) {
  store::settled_write write(request, ids_);
  store::settled_write::step step{write.Start(world_.Now()), std::nullopt};
  while (!step.done) {
    if (step.send) {
      const store::reply answer = world_.Perform(*step.send);
      step = write.Handle(answer, world_.Now());
    } else {
      world_.Sleep(*write.NextTimer() - world_.Now());
      step = write.Tick(world_.Now());
    }
  }
  const std::string what = Describe(request.key);
  switch (*step.done) {
    case write_result::kApplied:
      return;
    case write_result::kConflict: {
      const auto& now = write.current();
      throw command_error(
          exit_code::kConflict,
          what + ": conflict: this edit is based on " + mine +
              ", the platform holds " +
              (now ? "version " + std::to_string(now->version.value()) + ": " +
                         now->value
                   : std::string("none")));
    }
    case write_result::kInvalid:
      throw command_error(exit_code::kInvalid,
                          what + ": the platform refuses the value");
    case write_result::kNotApplied:
      throw Unavailable(what + ": the platform is unavailable; not applied");
    case write_result::kUnsettled:
      throw Unavailable(what +
                        ": the platform stopped answering; the edit may be "
                        "applied, now or later");
  }
}

}  // namespace flamingoshunt::control
