// Defines how a duty follows the objects of one kind: collects them until the
// first bookmark says that the list is complete, then passes single changes.
#ifndef FLAMINGOSHUNT_DAEMON_KIND_SYNC_H_
#define FLAMINGOSHUNT_DAEMON_KIND_SYNC_H_

#include <map>
#include <string>
#include <vector>

#include "store/messages.h"

namespace flamingoshunt::daemon {

class kind_sync {
 public:
  enum class step { kCollecting, kListComplete, kChange, kNothing };

  /// @return what the event means; after kListComplete, TakeList gives the
  ///         objects, after kChange the event itself is the change.
  step Take(const store::watch_event& event) {
    if (complete_)
      return event.kind == store::watch_event_kind::kBookmark ? step::kNothing
                                                              : step::kChange;
    switch (event.kind) {
      case store::watch_event_kind::kPut:
        collected_[event.changed.key.name] = event.changed;
        return step::kCollecting;
      case store::watch_event_kind::kDelete:
        collected_.erase(event.changed.key.name);
        return step::kCollecting;
      case store::watch_event_kind::kBookmark:
        complete_ = true;
        return step::kListComplete;
      case store::watch_event_kind::kGap:
        break;
    }
    return step::kCollecting;
  }

  std::vector<store::object> TakeList() {
    std::vector<store::object> list;
    for (auto& [name, object] : collected_)
      list.push_back(std::move(object));
    collected_.clear();
    return list;
  }

 private:
  bool complete_ = false;
  std::map<std::string, store::object> collected_;
};

}  // namespace flamingoshunt::daemon

#endif  // FLAMINGOSHUNT_DAEMON_KIND_SYNC_H_
