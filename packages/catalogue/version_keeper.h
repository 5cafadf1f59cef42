// Defines the version keeper, the machine that keeps the catalogue in force at
// one node. It learns items from the platform's watches and from peers, lets
// each item only rise, tells peers what it learns, and says whether the state
// in force is confirmed: proven within the bound to be what the platform holds,
// or, with the platform out of reach, to be what more than half of the known
// nodes hold. An unconfirmed node refuses new work as not run.
// docs/design/catalogue-in-force.md weighs the ways.
#ifndef FLAMINGOSHUNT_CATALOGUE_VERSION_KEEPER_H_
#define FLAMINGOSHUNT_CATALOGUE_VERSION_KEEPER_H_

#include <optional>
#include <vector>

#include "catalogue/item_table.h"
#include "catalogue/peer_statements.h"
#include "catalogue/platform_proof.h"
#include "catalogue/publisher.h"
#include "catalogue/write_back.h"
#include "membership/messages.h"

namespace flamingoshunt::catalogue {

struct keeper_options {
  base::node_id self;
  base::duration bound = std::chrono::seconds(3);  ///< Of a confirmation.
};

struct keeper_effects {
  std::vector<store::call> calls;  ///< For the platform client.
  std::vector<membership::publish> publish;
  snapshot_ptr in_force;          ///< Set when it changed.
  std::optional<bool> confirmed;  ///< Set when it changed.
};

struct keeper_counters {
  std::uint64_t taken = 0;      ///< Items that replaced an older one.
  std::uint64_t older = 0;      ///< Items offered that were older.
  std::uint64_t malformed = 0;  ///< Items and statements that made no sense.
  std::uint64_t full = 0;       ///< Items refused beyond kMaxItems.
  std::uint64_t reads = 0;
  std::uint64_t lists = 0;
  std::uint64_t published = 0;
  std::uint64_t unconfirmed = 0;  ///< Times that confirmation was lost.
};

class version_keeper {
 public:
  /// So many nodes read the platform each second on behalf of all.
  static constexpr std::size_t kReaders = 3;
  static constexpr base::duration kReadInterval = std::chrono::seconds(1);
  /// A node that no reader has confirmed for so long reads for itself.
  static constexpr base::duration kReadAlone = std::chrono::milliseconds(1500);
  /// A peer ahead of this node for so long makes it list the catalogue.
  static constexpr base::duration kPeerAhead = std::chrono::milliseconds(400);

  explicit version_keeper(const keeper_options& options);
  version_keeper(const version_keeper&) = delete;
  version_keeper& operator=(const version_keeper&) = delete;

  /// Takes an event of the watches on kinds "entry" and "workspace".
  keeper_effects Handle(const store::watch_event& event, base::time_point now);
  /// Takes a reply to a call of call_owner::kCatalogue.
  keeper_effects Handle(const store::reply& answer, base::time_point now);
  keeper_effects Handle(const membership::item_received& received,
                        base::time_point now);
  keeper_effects Handle(const membership::peers_changed& changed,
                        base::time_point now);
  keeper_effects Tick(base::time_point now);
  std::optional<base::time_point> NextTimer() const;

  const snapshot_ptr& in_force() const { return in_force_; }
  std::uint64_t version() const { return table_.version(); }
  std::uint64_t digest() const { return table_.digest(); }

  /// @return whether new work may be admitted under in_force().
  bool Confirmed(base::time_point now) const;

  /// @return live peers not yet known to be at @p version; none, together with
  ///         this node's version(), means that it is in force everywhere.
  std::vector<base::node_id> Lagging(std::uint64_t version) const {
    return peers_.Lagging(version);
  }
  /// @return the item held under @p key, a tombstone too; null if none.
  const stored_item* Held(const store::object_key& key) const {
    return table_.Find(key);
  }
  const keeper_counters& counters() const { return counters_; }
  std::uint64_t written_back() const { return write_back_.written(); }

 private:
  void TakeObject(const store::object& found,
                  base::time_point now,
                  bool listed);
  void Offer(const stored_item& item, bool from_peer, base::time_point now);
  void TakePeerItem(const membership::item& item, base::time_point now);
  void NotePeerAhead(base::time_point now);
  keeper_effects Finish(base::time_point now);
  void SendReads(base::time_point now, keeper_effects& effects);
  void Publish(base::time_point now, keeper_effects& effects);
  void UpdateInForce(base::time_point now, keeper_effects& effects);
  std::optional<base::time_point> PlatformConfirmedAt() const;
  std::optional<base::time_point> ConfirmedAt(base::time_point now) const;
  statement Statement(base::time_point now) const;
  base::time_point NextRead() const;
  std::optional<base::time_point> NextStatement() const;
  bool IsReader() const { return peers_.Rank("reader") < kReaders; }

  keeper_options options_;
  store::call_id_source ids_{store::call_owner::kCatalogue};
  item_table table_;
  peer_statements peers_;
  platform_proof proof_{ids_};
  publisher publisher_{table_, peers_};
  write_back write_back_{table_, peers_, ids_};
  snapshot_ptr in_force_;
  bool changed_ = false;
  bool complete_ = false;  // Once the whole catalogue has been seen.
  bool was_confirmed_ = false;
  base::time_point confirmed_until_{};  // While was_confirmed_.
  std::array<bool, 2> bookmarked_{};    // Entries, workspaces.
  std::optional<base::time_point> last_read_;
  std::optional<base::time_point> stated_at_;
  statement stated_;
  std::optional<base::time_point> peer_ahead_since_;
  keeper_counters counters_;
};

}  // namespace flamingoshunt::catalogue

#endif  // FLAMINGOSHUNT_CATALOGUE_VERSION_KEEPER_H_
