#include "replica/allocation.h"

#include <algorithm>
#include <limits>
#include <unordered_set>

#include "base/checked_json.h"

namespace flamingoshunt::replica {
namespace {

namespace json = boost::json;

constexpr std::int64_t kMaxEpoch = std::numeric_limits<std::int64_t>::max();
constexpr std::int64_t kMaxRank = 1 << 16;

template <class Range, class Value>
bool Contains(const Range& range, const Value& value) {
  return std::find(range.begin(), range.end(), value) != range.end();
}

json::array IdsToJson(const std::vector<base::instance_id>& ids) {
  json::array out;
  for (const base::instance_id& id : ids)
    out.emplace_back(id.str());
  return out;
}

std::vector<base::instance_id> IdsFromJson(base::object_reader& reader,
                                           std::string_view key) {
  std::vector<base::instance_id> ids;
  for (std::string& text : reader.Strings(key))
    ids.emplace_back(std::move(text));
  return ids;
}

json::object IncomingToJson(const incoming_member& incoming) {
  return {{"instance", incoming.instance.str()}, {"rank", incoming.rank}};
}

json::array LoadsToJson(const std::vector<pending_load>& loads) {
  json::array out;
  for (const pending_load& load : loads)
    out.emplace_back(json::object{{"instance", load.instance.str()},
                                  {"since", load.since.value()}});
  return out;
}

json::object ReplicaToJson(const allocated_replica& replica) {
  json::object out{{"id", replica.id.str()},
                   {"epoch", replica.epoch.value()},
                   {"entry", replica.entry.str()},
                   {"version", replica.version},
                   {"members", IdsToJson(replica.members)}};
  if (!replica.adapters.empty())
    out["adapters"] =
        json::array(replica.adapters.begin(), replica.adapters.end());
  if (!replica.loads.empty())
    out["loads"] = LoadsToJson(replica.loads);
  if (!replica.incoming.empty()) {
    json::array incoming;
    for (const incoming_member& member : replica.incoming)
      incoming.emplace_back(IncomingToJson(member));
    out["incoming"] = std::move(incoming);
    out["incoming_epoch"] = replica.incoming_epoch.value();
  }
  if (replica.draining)
    out["draining"] = true;
  return out;
}

allocated_replica ReplicaFromJson(const json::value& value,
                                  const std::string& path,
                                  base::json_problems& problems) {
  base::object_reader reader(value, path, problems);
  allocated_replica replica;
  replica.id = base::replica_id(reader.String("id"));
  replica.epoch = base::epoch(reader.Integer("epoch", 1, kMaxEpoch));
  replica.entry = base::entry_name(reader.String("entry"));
  replica.version = reader.String("version", "");
  replica.adapters = reader.Strings("adapters");
  replica.members = IdsFromJson(reader, "members");
  reader.Each("loads", [&](const json::value& item,
                           const std::string& item_path) {
    base::object_reader load(item, item_path, problems);
    replica.loads.push_back({base::instance_id(load.String("instance")),
                             base::epoch(load.Integer("since", 1, kMaxEpoch))});
    load.Finish();
  });
  reader.Each(
      "incoming", [&](const json::value& item, const std::string& item_path) {
        base::object_reader incoming(item, item_path, problems);
        replica.incoming.push_back(
            {base::instance_id(incoming.String("instance")),
             static_cast<std::size_t>(incoming.Integer("rank", 0, kMaxRank))});
        incoming.Finish();
      });
  replica.incoming_epoch =
      base::epoch(reader.Integer("incoming_epoch", 0, kMaxEpoch, 0));
  replica.draining = reader.Boolean("draining", false);
  reader.Finish();
  return replica;
}

void CheckReplica(const allocated_replica& replica, std::uint64_t next_epoch) {
  FLAMINGOSHUNT_INVARIANT(!replica.members.empty(), replica.id);
  FLAMINGOSHUNT_INVARIANT(replica.epoch.value() < next_epoch, replica.epoch);
  FLAMINGOSHUNT_INVARIANT(replica.incoming_epoch.value() < next_epoch,
                          replica.incoming_epoch);
  for (const pending_load& load : replica.loads)
    FLAMINGOSHUNT_INVARIANT(replica.HasMember(load.instance), load.instance);
  for (const incoming_member& incoming : replica.incoming)
    FLAMINGOSHUNT_INVARIANT(incoming.rank < replica.members.size(),
                            incoming.instance);
}

}  // namespace

bool allocated_replica::HasMember(const base::instance_id& instance) const {
  return Contains(members, instance);
}

std::optional<base::epoch> allocated_replica::LoadRequiredSince(
    const base::instance_id& instance) const {
  for (const pending_load& load : loads) {
    if (load.instance == instance)
      return load.since;
  }
  return std::nullopt;
}

const allocated_replica* allocation::FindReplica(
    const base::replica_id& id) const {
  for (const allocated_replica& replica : replicas) {
    if (replica.id == id)
      return &replica;
  }
  return nullptr;
}

allocated_replica* allocation::FindReplica(const base::replica_id& id) {
  return const_cast<allocated_replica*>(std::as_const(*this).FindReplica(id));
}

const allocated_replica* allocation::FindReplicaOf(
    const base::instance_id& instance) const {
  for (const allocated_replica& replica : replicas) {
    if (replica.HasMember(instance))
      return &replica;
    for (const incoming_member& incoming : replica.incoming) {
      if (incoming.instance == instance)
        return &replica;
    }
  }
  return nullptr;
}

base::epoch allocation::TakeEpoch() {
  return base::epoch(next_epoch++);
}

void CheckAllocation(const allocation& value) {
  std::unordered_set<base::instance_id> seen;
  std::unordered_set<base::replica_id> replicas;
  for (const allocated_replica& replica : value.replicas) {
    CheckReplica(replica, value.next_epoch);
    FLAMINGOSHUNT_INVARIANT(replicas.insert(replica.id).second, replica.id);
    for (const base::instance_id& member : replica.members)
      FLAMINGOSHUNT_INVARIANT(seen.insert(member).second, member);
    for (const incoming_member& incoming : replica.incoming)
      FLAMINGOSHUNT_INVARIANT(seen.insert(incoming.instance).second,
                              incoming.instance);
  }
  for (const base::instance_id& cooling : value.cooling)
    FLAMINGOSHUNT_INVARIANT(seen.insert(cooling).second, cooling);
}

std::string ToJson(const allocation& value) {
  json::array replicas;
  for (const allocated_replica& replica : value.replicas)
    replicas.emplace_back(ReplicaToJson(replica));
  json::object out{{"next_epoch", value.next_epoch},
                   {"replicas", std::move(replicas)}};
  if (!value.cooling.empty())
    out["cooling"] = IdsToJson(value.cooling);
  std::string text = json::serialize(out);
  if (text.size() > kMaxAllocationBytes)
    throw allocation_error("allocation of " + value.domain.str() + ": " +
                           std::to_string(text.size()) +
                           " bytes: must be at most " +
                           std::to_string(kMaxAllocationBytes));
  return text;
}

allocation AllocationFromObject(const store::object& source) {
  base::json_problems problems;
  allocation result;
  result.domain = base::fabric_domain_id(source.key.name);
  result.version = source.version;
  if (const auto parsed = base::ParseJson(source.value, problems)) {
    base::object_reader reader(*parsed, "", problems);
    result.next_epoch = reader.Integer("next_epoch", 1, kMaxEpoch);
    reader.Each(
        "replicas", [&](const json::value& item, const std::string& item_path) {
          result.replicas.push_back(ReplicaFromJson(item, item_path, problems));
        });
    result.cooling = IdsFromJson(reader, "cooling");
    reader.Finish();
  }
  if (!problems.empty())
    throw allocation_error("allocation of " + source.key.name + ": " +
                           problems.front().Text());
  try {
    CheckAllocation(result);
  } catch (const base::internal_error& error) {
    throw allocation_error("allocation of " + source.key.name + ": " +
                           error.what());
  }
  return result;
}

}  // namespace flamingoshunt::replica
