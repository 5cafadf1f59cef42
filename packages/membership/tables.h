// Defines what a node knows of the fleet: the members and the items, each a
// record with a version that only rises, and a digest over the live ones by
// which two nodes see whether they know the same.
#ifndef FLAMINGOSHUNT_MEMBERSHIP_TABLES_H_
#define FLAMINGOSHUNT_MEMBERSHIP_TABLES_H_

#include <map>
#include <unordered_map>
#include <vector>

#include "base/random.h"
#include "membership/limits.h"
#include "membership/wire.h"

namespace flamingoshunt::membership {

record_id MemberRecordId(const base::node_id& id);
record_id ItemRecordId(const std::string& topic,
                       const std::string& key,
                       const base::node_id& origin);

/// @return the place of @p member in the order by which its claims replace each
///         other: by incarnation, then alive < suspect < dead < left.
std::uint64_t VersionOf(const peer& member);

bool IsLive(peer_state state);  ///< Alive or suspect.

/// Hash over a set of (record, version), whole and for each bucket. Adding and
/// removing are the same operation.
class table_digest {
 public:
  void Toggle(record_id id, std::uint64_t version);
  std::uint64_t whole() const { return whole_; }
  const bucket_digests& buckets() const { return buckets_; }
  static std::uint32_t BucketOf(record_id id);

 private:
  std::uint64_t whole_ = 0;
  bucket_digests buckets_{};
};

struct member_record {
  peer known;
  record_id id;
  std::uint64_t position = 0;   ///< Hash of the node id; orders a region.
  base::time_point since;       ///< When the state was last changed.
  std::uint64_t forwarded = 0;  ///< Highest version that was passed on.
};

/// All members, with this node itself among them.
class member_table {
 public:
  member_table(base::node_id self, table_digest& digest);

  const member_record* Find(const base::node_id& id) const;
  const member_record* Find(record_id id) const;

  /// Takes @p claim when its version is higher than the known one.
  /// @return whether it was taken.
  bool Apply(const peer& claim, base::time_point now);

  /// @return whether @p version of the member is still to be passed on; it
  ///         counts as passed on afterwards.
  bool TakeForwarding(const base::node_id& id, std::uint64_t version);

  /// Live members without this node.
  const std::vector<const member_record*>& Live() const;
  /// Live members of @p region without this node, by position.
  const std::vector<const member_record*>& LiveIn(
      const base::region_id& region) const;
  std::vector<base::region_id> Regions() const;
  std::vector<const member_record*> Dead() const;
  const std::unordered_map<base::node_id, member_record>& all() const {
    return records_;
  }

  /// Drops those that are dead or left for @p retention.
  void Forget(base::time_point now, base::duration retention);

 private:
  void Rebuild() const;

  base::node_id self_;
  table_digest& digest_;
  std::unordered_map<base::node_id, member_record> records_;
  std::unordered_map<record_id, base::node_id> by_id_;
  // Rebuilt from records_ when read after a change.
  mutable bool stale_ = false;
  mutable std::vector<const member_record*> live_;
  mutable std::map<base::region_id, std::vector<const member_record*>> regions_;
};

struct item_record {
  item kept;
  record_id id;
  base::time_point since;
  std::uint64_t forwarded = 0;
};

enum class item_verdict { kTaken, kOld, kRefused };

class item_table {
 public:
  explicit item_table(table_digest& digest);

  const item_record* Find(record_id id) const;

  /// Takes @p claim when its version is higher than the known one and the
  /// bounds allow. Items of an origin that is not live are kept but not part of
  /// the digest.
  item_verdict Apply(const item& claim, base::time_point now);

  bool TakeForwarding(record_id id, std::uint64_t version);

  /// Tells that @p origin became live or went.
  void SetOriginLive(const base::node_id& origin,
                     bool live,
                     base::time_point now);

  bool IsOriginLive(const base::node_id& origin) const;
  const std::unordered_map<record_id, item_record>& all() const {
    return records_;
  }

  /// Drops items withdrawn, or of origins gone, for @p retention.
  void Forget(base::time_point now, base::duration retention);

 private:
  struct origin_state {
    bool live = false;
    base::time_point since;
    std::vector<record_id> items;
  };

  bool HasRoom(const item& claim, const item_record* known) const;
  bool Counts(const item_record& record) const;
  void ToggleIfCounted(const item_record& record);

  table_digest& digest_;
  std::unordered_map<record_id, item_record> records_;
  std::unordered_map<base::node_id, origin_state> origins_;
  std::size_t bytes_ = 0;  // of all values
};

}  // namespace flamingoshunt::membership

#endif  // FLAMINGOSHUNT_MEMBERSHIP_TABLES_H_
