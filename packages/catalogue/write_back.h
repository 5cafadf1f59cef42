// Defines how a platform that lost accepted edits, by being restored from an
// old copy or by a delete that bypassed the command line, gets them back: the
// nodes, which still hold them, write them there by conditional writes, the
// node that ranks first for an item before the others.
#ifndef FLAMINGOSHUNT_CATALOGUE_WRITE_BACK_H_
#define FLAMINGOSHUNT_CATALOGUE_WRITE_BACK_H_

#include <map>
#include <optional>

#include "catalogue/item_table.h"
#include "catalogue/peer_statements.h"
#include "store/settled_write.h"

namespace flamingoshunt::catalogue {

class write_back {
 public:
  static constexpr base::duration kDelay = std::chrono::milliseconds(300);
  static constexpr base::duration kRankStep = std::chrono::milliseconds(500);
  static constexpr base::duration kRetry = std::chrono::seconds(1);
  static constexpr std::size_t kMaxWaiting = 256;  // items; others come later

  write_back(const item_table& table,
             const peer_statements& peers,
             store::call_id_source& ids)
      : table_(table), peers_(peers), ids_(ids) {}

  /// Notes that the platform holds an item that is older than the table's.
  /// @param at the version of that object; nothing when it has none.
  void Older(const store::object_key& key,
             std::optional<base::revision> at,
             base::time_point now);

  /// Notes that the platform holds what the table holds, or newer.
  void Current(const store::object_key& key) { waiting_.erase(key); }

  /// @return the next call, if one is due. Nothing is written while fewer than
  ///         half of the known nodes hold the same catalogue as this one.
  std::optional<store::call> Due(base::time_point now);
  std::optional<store::call> Handle(const store::reply& answer,
                                    base::time_point now);
  std::optional<base::time_point> NextTimer() const;

  std::uint64_t written() const { return written_; }

 private:
  struct older_object {
    std::optional<base::revision> at;
    base::time_point due;
  };

  std::optional<store::call> Take(const store::settled_write::step& step);
  store::call Write(const stored_item& item,
                    std::optional<base::revision> at) const;

  const item_table& table_;
  const peer_statements& peers_;
  store::call_id_source& ids_;
  std::map<store::object_key, older_object> waiting_;
  std::optional<store::settled_write> writing_;
  std::uint64_t written_ = 0;
};

}  // namespace flamingoshunt::catalogue

#endif  // FLAMINGOSHUNT_CATALOGUE_WRITE_BACK_H_
