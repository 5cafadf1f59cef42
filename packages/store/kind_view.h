// Defines what a watcher has seen of one kind of object, so that a full list
// after a gap can be turned into the changes that the watch did not deliver,
// and so that nothing from a platform that came back behind is passed on.
//
//   seen: a@5 b@7, up to revision 7.  List at 12: a@5 c@11.
//   passed on: put c@11, delete b@12, bookmark 12.
//   List at 6 instead: the platform is behind 7, so nothing is passed on until
//   it has caught up, or has stayed behind for kBehindGrace. Then it was
//   restored from an old copy, and its state is passed on as it is. A platform
//   that counts its eras says so at once.
#ifndef FLAMINGOSHUNT_STORE_KIND_VIEW_H_
#define FLAMINGOSHUNT_STORE_KIND_VIEW_H_

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "store/messages.h"

namespace flamingoshunt::store {

/// How long a platform may lag behind what it has shown before it counts as
/// restored from an old copy.
inline constexpr base::duration kBehindGrace = std::chrono::seconds(30);

class kind_view {
 public:
  /// @param subscriber id on the events passed on.
  kind_view(watch_id subscriber, std::string kind)
      : subscriber_(subscriber), kind_(std::move(kind)) {}

  /// Takes a full list.
  /// @return the events to pass on: puts and deletes, then one bookmark.
  std::vector<watch_event> Reconcile(const reply& list, base::time_point now);

  /// The platform was restored: revisions seen before order nothing any more.
  /// The next list is passed on whole, with deletes for what it lacks.
  void BeginEra();

  /// Takes one event of a running watch.
  /// @return the event to pass on, if any.
  std::optional<watch_event> Observe(const watch_event& event);

  /// @return whether a full list is needed before watching on.
  bool NeedsList(base::time_point now) const;

  /// @return when NeedsList becomes true without an event.
  std::optional<base::time_point> NextTimer() const;

  /// @return the revision after which to watch.
  base::revision position() const { return position_; }
  const std::string& kind() const { return kind_; }
  watch_id subscriber() const { return subscriber_; }
  bool behind() const { return behind_since_.has_value(); }

 private:
  watch_event Bookmark(base::revision at) const;

  watch_id subscriber_;
  std::string kind_;
  std::map<std::string, base::revision> known_;
  base::revision position_;
  base::revision highest_;  // The state passed on is that of this revision.
  era platform_era_;        // Of the state passed on.
  std::optional<base::time_point> behind_since_;
  bool needs_list_ = true;
};

}  // namespace flamingoshunt::store

#endif  // FLAMINGOSHUNT_STORE_KIND_VIEW_H_
