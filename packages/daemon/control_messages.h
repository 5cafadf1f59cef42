// Defines what the control duties send to the dispatch thread.
#ifndef FLAMINGOSHUNT_DAEMON_CONTROL_MESSAGES_H_
#define FLAMINGOSHUNT_DAEMON_CONTROL_MESSAGES_H_

#include <variant>

#include "admission/messages.h"
#include "membership/messages.h"
#include "replica/messages.h"

namespace flamingoshunt::daemon {

/// From the catalogue duty to all that act on the catalogue.
struct catalogue_update {
  catalogue::snapshot_ptr snapshot;
  bool confirmed = true;
};

/// From the replica duty to the dispatch duty.
using replica_news = std::variant<replica::serving_changed, endpoint::report>;

/// From the membership duty to any other.
using peer_news =
    std::variant<membership::item_received, membership::peers_changed>;

}  // namespace flamingoshunt::daemon

#endif  // FLAMINGOSHUNT_DAEMON_CONTROL_MESSAGES_H_
