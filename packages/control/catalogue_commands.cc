#include <algorithm>
#include <limits>
#include <sstream>
#include <utility>

#include "catalogue/check.h"
#include "control/catalogue_store.h"
#include "control/commands.h"
#include "control/table.h"

namespace flamingoshunt::control {
namespace {

using catalogue::specification;

std::string ReadText(outside& world, const std::string& path) {
  auto text = world.ReadFile(path);
  if (!text)
    throw command_error(exit_code::kInvalid, path + ": cannot be read");
  return std::move(*text);
}

store::object_key ParseKey(const std::string& kind, const std::string& name) {
  if (kind != catalogue::kEntryKind && kind != catalogue::kWorkspaceKind)
    throw command_error(exit_code::kInvalid,
                        kind + ": must be one of: entry, workspace");
  return {kind, name};
}

const char* Sign(change_kind kind) {
  static constexpr const char* kSigns[] = {"+", "~", "-"};
  return kSigns[static_cast<std::size_t>(kind)];
}

const char* Verb(change_kind kind) {
  static constexpr const char* kVerbs[] = {"created", "updated", "deleted"};
  return kVerbs[static_cast<std::size_t>(kind)];
}

std::string Title(const store::object_key& key) {
  return key.kind + " " + key.name;
}

boost::json::array FieldChanges(const planned_change& change) {
  boost::json::array fields;
  if (!change.before || !change.after)
    return fields;
  const boost::json::object before = SpecJson(*change.before);
  const boost::json::object after = SpecJson(*change.after);
  for (const auto& field : after) {
    const auto& old = before.at(field.key());
    if (old != field.value())
      fields.push_back(boost::json::object{
          {"field", field.key()}, {"before", old}, {"after", field.value()}});
  }
  return fields;
}

boost::json::array PlanJson(const std::vector<planned_change>& changes) {
  boost::json::array all;
  for (const planned_change& change : changes)
    all.push_back(boost::json::object{{"change", Sign(change.kind)},
                                      {"kind", change.key.kind},
                                      {"name", change.key.name},
                                      {"fields", FieldChanges(change)}});
  return all;
}

// Checks the expected version where one was given.
void CheckExpected(const invocation& call,
                   const store::object_key& key,
                   const found_items& current) {
  if (!call.expect_version)
    return;
  const auto found = current.find(key);
  const std::uint64_t version =
      found == current.end() ? 0 : found->second.version.value();
  if (version == *call.expect_version)
    return;
  throw command_error(
      exit_code::kConflict,
      Title(key) + ": conflict: version " +
          std::to_string(*call.expect_version) + " is expected, the platform " +
          (version == 0 ? "holds none"
                        : "holds version " + std::to_string(version) + ": " +
                              catalogue::EncodeStored(found->second.item)));
}

exit_code WriteAll(session& here,
                   const invocation& call,
                   const std::vector<planned_change>& changes,
                   const found_items& current) {
  CheckResult(current, changes);
  catalogue_store store(here.world);
  std::uint64_t newest = 0;
  boost::json::array done;
  for (const planned_change& change : changes) {
    const std::uint64_t generation = store.Write(change, current);
    newest = std::max(newest, generation);
    if (call.output == output_format::kTable)
      here.out << Title(change.key) << ' ' << Verb(change.kind) << '\n'
               << std::flush;
    done.push_back(boost::json::object{{"kind", change.key.kind},
                                       {"name", change.key.name},
                                       {"result", Verb(change.kind)},
                                       {"generation", generation}});
  }
  if (call.output == output_format::kJson)
    Print(done, here.out);
  else if (changes.empty())
    here.out << "nothing to change\n";
  if (call.wait && !changes.empty())
    WaitInForce(here, call, newest);
  return exit_code::kOk;
}

planned_change ReplaceOne(const store::object_key& key,
                          const found_items& current,
                          std::optional<specification> after) {
  const auto found = current.find(key);
  const bool exists = found != current.end() && found->second.item.spec;
  planned_change change;
  change.key = key;
  change.kind = !after   ? change_kind::kDelete
                : exists ? change_kind::kUpdate
                         : change_kind::kCreate;
  if (exists)
    change.before = found->second.item.spec;
  change.after = std::move(after);
  return change;
}

// What `edit` writes to its file and reads from it.
struct edit_file {
  store::object_key key;
  std::uint64_t version = 0;
  std::optional<specification> spec;
};

edit_file ParseEditFile(const std::string& text) {
  base::json_problems problems;
  edit_file file;
  if (const auto json = base::ParseJson(text, problems)) {
    base::object_reader reader(*json, "", problems);
    file.key.kind = reader.String("kind");
    file.key.name = reader.String("name");
    file.version = static_cast<std::uint64_t>(
        reader.Integer("version", 0, std::numeric_limits<std::int64_t>::max()));
    const boost::json::value* spec = reader.Child("spec", true);
    if (spec && file.key.kind == catalogue::kEntryKind)
      file.spec = catalogue::ParseEntry(*spec, "spec", problems);
    else if (spec)
      file.spec = catalogue::ParseWorkspace(*spec, "spec", problems);
    reader.Finish();
  }
  if (!problems.empty())
    throw base::json_document_error(std::move(problems));
  return file;
}

exit_code StartEdit(session& here,
                    const invocation& call,
                    const store::object_key& key) {
  const found_items current = catalogue_store(here.world).ReadAll();
  const auto found = current.find(key);
  if (found == current.end() || !found->second.item.spec)
    throw command_error(exit_code::kFailure, Title(key) + ": not found");
  std::ostringstream text;
  Print(boost::json::object{{"kind", key.kind},
                            {"name", key.name},
                            {"version", found->second.version.value()},
                            {"spec", SpecJson(*found->second.item.spec)}},
        text);
  here.world.WriteFile(call.file, text.str());
  here.out << "written to " << call.file
           << "; change it there and call edit again\n";
  return exit_code::kOk;
}

boost::json::object ItemJson(const found_item& found) {
  return {{"kind", found.item.key.kind},
          {"name", found.item.key.name},
          {"version", found.version.value()},
          {"generation", found.item.generation},
          {"spec", SpecJson(*found.item.spec)}};
}

std::vector<std::string> ItemRow(const found_item& found) {
  const boost::json::object spec = SpecJson(*found.item.spec);
  const auto text = [&](const char* key) {
    const auto* value = spec.if_contains(key);
    if (!value)
      return std::string("-");
    return value->is_string() ? std::string(value->as_string())
                              : OneLine(*value);
  };
  const bool entry = found.item.key.kind == catalogue::kEntryKind;
  return {found.item.key.kind,
          found.item.key.name,
          std::to_string(found.version.value()),
          text("owner"),
          text(entry ? "class" : "best_class"),
          text("version"),
          text("replicas"),
          text("members_per_replica"),
          text("weight")};
}

}  // namespace

exit_code Validate(session& here, const invocation& call) {
  const catalogue::document read =
      catalogue::ReadDocument(ReadText(here.world, call.arguments[0]));
  here.out << call.arguments[0] << ": valid, " << read.entries.size()
           << " entries, " << read.workspaces.size() << " workspaces\n";
  return exit_code::kOk;
}

exit_code Get(session& here, const invocation& call) {
  const std::size_t given = call.arguments.size();
  if (given > 0)
    ParseKey(call.arguments[0], "");
  table rows{{"KIND", "NAME", "VERSION", "OWNER", "CLASS", "MODEL VERSION",
              "REPLICAS", "MEMBERS", "WEIGHT"},
             {}};
  boost::json::array all;
  for (const auto& [key, found] : catalogue_store(here.world).ReadAll()) {
    const bool wanted = found.item.spec &&
                        (given < 1 || key.kind == call.arguments[0]) &&
                        (given < 2 || key.name == call.arguments[1]);
    if (!wanted)
      continue;
    rows.rows.push_back(ItemRow(found));
    all.push_back(ItemJson(found));
  }
  if (given == 2 && all.empty())
    throw command_error(
        exit_code::kFailure,
        call.arguments[0] + " " + call.arguments[1] + ": not found");
  if (call.output == output_format::kJson)
    Print(given == 2 ? all[0] : boost::json::value(all), here.out);
  else
    Print(rows, here.out);
  return exit_code::kOk;
}

exit_code Diff(session& here, const invocation& call) {
  const catalogue::document wanted =
      catalogue::ReadDocument(ReadText(here.world, call.arguments[0]));
  const auto changes =
      Plan(wanted, catalogue_store(here.world).ReadAll(), call.prune);
  if (call.output == output_format::kJson) {
    Print(PlanJson(changes), here.out);
    return exit_code::kOk;
  }
  for (const planned_change& change : changes) {
    here.out << Sign(change.kind) << ' ' << Title(change.key) << '\n';
    for (const auto& each : FieldChanges(change)) {
      const auto& field = each.as_object();
      here.out << "    " << std::string(field.at("field").as_string()) << ": "
               << OneLine(field.at("before")) << " -> "
               << OneLine(field.at("after")) << '\n';
    }
  }
  return exit_code::kOk;
}

exit_code Apply(session& here, const invocation& call) {
  const catalogue::document wanted =
      catalogue::ReadDocument(ReadText(here.world, call.arguments[0]));
  const found_items current = catalogue_store(here.world).ReadAll();
  if (call.expect_version) {
    if (wanted.entries.size() + wanted.workspaces.size() != 1)
      throw command_error(exit_code::kInvalid,
                          "--expect-version: is for a file of one item");
    const store::object_key key =
        wanted.entries.empty()
            ? ParseKey("workspace", wanted.workspaces[0].id.str())
            : ParseKey("entry", wanted.entries[0].name.str());
    CheckExpected(call, key, current);
  }
  return WriteAll(here, call, Plan(wanted, current, call.prune), current);
}

exit_code Edit(session& here, const invocation& call) {
  const auto key = ParseKey(call.arguments[0], call.arguments[1]);
  if (call.file.empty())
    throw command_error(exit_code::kInvalid, "edit: --file is required");
  const auto text = here.world.ReadFile(call.file);
  if (!text)
    return StartEdit(here, call, key);
  edit_file file = ParseEditFile(*text);
  if (file.key != key)
    throw command_error(
        exit_code::kInvalid,
        call.file + ": holds " + Title(file.key) + ", not " + Title(key));
  const found_items current = catalogue_store(here.world).ReadAll();
  invocation expecting = call;
  expecting.expect_version = file.version;
  CheckExpected(expecting, key, current);
  return WriteAll(here, call, {ReplaceOne(key, current, std::move(file.spec))},
                  current);
}

exit_code Delete(session& here, const invocation& call) {
  const auto key = ParseKey(call.arguments[0], call.arguments[1]);
  const found_items current = catalogue_store(here.world).ReadAll();
  const auto found = current.find(key);
  CheckExpected(call, key, current);
  if (found == current.end() || !found->second.item.spec)
    throw command_error(exit_code::kFailure, Title(key) + ": not found");
  return WriteAll(here, call, {ReplaceOne(key, current, std::nullopt)},
                  current);
}

}  // namespace flamingoshunt::control
