// Defines the catalogue as operators find and change it in the platform: read
// whole, compared with a document, changed item by item under the version that
// was read.
#ifndef FLAMINGOSHUNT_CONTROL_CATALOGUE_STORE_H_
#define FLAMINGOSHUNT_CONTROL_CATALOGUE_STORE_H_

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "catalogue/entry_json.h"
#include "catalogue/stored_item.h"
#include "control/outside.h"
#include "store/call_ids.h"

namespace flamingoshunt::control {

/// An item as it stands in the platform.
struct found_item {
  base::revision version;  ///< Of the platform's object.
  catalogue::stored_item item;
};

using found_items = std::map<store::object_key, found_item>;

enum class change_kind { kCreate, kUpdate, kDelete };

struct planned_change {
  change_kind kind = change_kind::kUpdate;
  store::object_key key;
  std::optional<catalogue::specification> before;
  std::optional<catalogue::specification> after;
};

boost::json::object SpecJson(const catalogue::specification& spec);

/// @return what turns @p current into @p wanted; items that it does not name
///         are deleted only with @p prune.
std::vector<planned_change> Plan(const catalogue::document& wanted,
                                 const found_items& current,
                                 bool prune);

/// @throws base::json_document_error when the catalogue that results from
///         @p changes would not pass the checks.
void CheckResult(const found_items& current,
                 const std::vector<planned_change>& changes);

class catalogue_store {
 public:
  explicit catalogue_store(outside& world) : world_(world) {}

  /// Reads every item, tombstones included.
  /// @throws command_error (kUnavailable).
  found_items ReadAll();

  /// Writes one change under the version found in @p current.
  /// @return the generation written.
  /// @throws command_error: kConflict showing both versions, kUnavailable.
  std::uint64_t Write(const planned_change& change, const found_items& current);

 private:
  store::reply Perform(store::call request);
  void Settle(const store::call& request, const std::string& mine);

  outside& world_;
  store::call_id_source ids_{store::call_owner::kControl};
};

}  // namespace flamingoshunt::control

#endif  // FLAMINGOSHUNT_CONTROL_CATALOGUE_STORE_H_
