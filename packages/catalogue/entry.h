// Defines what operators write into the catalogue: entries, each with an owner,
// a class and limits, and workspaces, whose keys and shares the system
// enforces.
#ifndef FLAMINGOSHUNT_CATALOGUE_ENTRY_H_
#define FLAMINGOSHUNT_CATALOGUE_ENTRY_H_

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "base/ids.h"

namespace flamingoshunt::catalogue {

/// How urgent the work of an entry or workspace is.
enum class work_class { kInteractive, kStandard, kBatch };

enum class entry_kind {
  kEngine,  ///< Model replicas of several instances.
  kService  ///< A plain service; some of its calls may not be repeated.
};

/// Zero means no limit.
struct limits {
  double requests_per_second = 0;
  double tokens_per_second = 0;
  int concurrency = 0;
  bool operator==(const limits&) const = default;
};

/// Overrides, for one group of calls, whether they may be repeated. Without a
/// rule GET, HEAD, PUT, DELETE and OPTIONS may, POST and PATCH may not.
struct call_rule {
  std::string method;
  std::string path_prefix;
  bool repeatable = false;
  bool operator==(const call_rule&) const = default;
};

struct entry {
  base::entry_name name;
  std::string owner;
  entry_kind kind = entry_kind::kEngine;
  work_class work = work_class::kStandard;
  std::string model;    ///< Weights in the weight store; engines only.
  std::string version;  ///< Version of the weights or of the service.
  std::vector<std::string> adapters;
  int replicas = 1;
  int members_per_replica = 1;
  int slots_per_replica = 8;    ///< Requests in flight that one replica takes.
  bool checks_fencing = false;  ///< Its endpoints refuse old fencing numbers.
  limits limit;
  std::vector<call_rule> call_rules;
  bool operator==(const entry&) const = default;
};

struct workspace {
  base::workspace_id id;
  std::string owner;
  std::vector<std::string> key_hashes;  ///< SHA-256 in hexadecimal.
  double weight = 1;                    ///< Share under contention.
  work_class best_class = work_class::kInteractive;  ///< Highest it may ask.
  limits limit;
  bool operator==(const workspace&) const = default;
};

/// The whole catalogue at one revision. Immutable once shared.
struct snapshot {
  base::revision version;
  std::map<base::entry_name, entry> entries;
  std::map<base::workspace_id, workspace> workspaces;
};

using snapshot_ptr = std::shared_ptr<const snapshot>;

}  // namespace flamingoshunt::catalogue

#endif  // FLAMINGOSHUNT_CATALOGUE_ENTRY_H_
