// Defines which peer a node asks for a configuration that is later than its
// own. A peer that named one may have stopped since, or may not hold it: the
// next peer is asked soon, whatever becomes of the first query.
#ifndef FLAMINGOSHUNT_FLEET_CONFIGURATION_SOURCES_H_
#define FLAMINGOSHUNT_FLEET_CONFIGURATION_SOURCES_H_

#include <cstdint>
#include <map>
#include <optional>

#include "base/clock.h"
#include "base/ids.h"

namespace flamingoshunt::fleet {

/// Uses no sockets and no clock.
class configuration_sources {
 public:
  /// The own watch mostly brings a configuration as soon as the peers' do.
  static constexpr base::duration kWatchPatience =
      std::chrono::milliseconds(150);
  /// Time between queries to two peers: several times what an answer takes.
  static constexpr base::duration kQueryPeriod = std::chrono::milliseconds(200);
  /// A peer that was asked in vain is asked again after this.
  static constexpr base::duration kRepeatDelay = std::chrono::seconds(1);

  /// The status of @p peer names @p version as in force there.
  void OnNamed(const base::node_id& peer,
               std::uint64_t version,
               base::time_point now);

  /// Configuration @p version is in force at this node.
  void OnInForce(std::uint64_t version);

  /// @return the peer to ask now, if any; it counts as asked.
  std::optional<base::node_id> TakeNext(base::time_point now);

 private:
  struct source {
    std::uint64_t version = 0;
    std::optional<base::time_point> asked_at;
  };

  std::uint64_t in_force_ = 0;
  std::map<base::node_id, source> later_;  ///< Peers that named a later one.
  base::time_point behind_since_{};        ///< Unless none did.
  base::time_point last_query_at_ = base::time_point::min();
};

}  // namespace flamingoshunt::fleet

#endif  // FLAMINGOSHUNT_FLEET_CONFIGURATION_SOURCES_H_
