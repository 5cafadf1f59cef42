// Defines the platform stand-in: a platform_store that answers many clients in
// virtual time, with the platform's faults as switches. The owner passes calls
// in, asks for the next timer, and collects what is due for each client. Tests
// drive it under a virtual clock; the HTTP stand-in under the real one.
#ifndef FLAMINGOSHUNT_STAND_INS_PLATFORM_STAND_IN_H_
#define FLAMINGOSHUNT_STAND_INS_PLATFORM_STAND_IN_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <utility>
#include <variant>
#include <vector>

#include "stand_ins/platform_store.h"

namespace flamingoshunt::stand_ins {

/// Switches of the platform's faults; each acts on calls sent from then on.
struct platform_faults {
  bool refuse = false;  ///< Outage: every call is refused, watches end.
  bool silent = false;  ///< Outage: no call has effect or is ever answered.
  base::duration latency = std::chrono::milliseconds(2);  ///< Until the answer.
  base::duration watch_latency = std::chrono::milliseconds(2);
  int lose_answers = 0;  ///< So many writes take effect without an answer.
  int delay_writes = 0;  ///< So many writes take effect late, unanswered.
  base::duration write_delay = std::chrono::seconds(5);
  bool stale_watch = false;  ///< Watches stay open and deliver nothing.
  std::set<int> cut_off;     ///< Clients that reach nothing.
};

/// Something the platform delivers to one client.
struct platform_delivery {
  int client = 0;
  std::variant<store::reply, store::watch_event, store::watch_ended> message;
};

/// How often an idle watch gets a bookmark.
inline constexpr base::duration kBookmarkInterval =
    std::chrono::milliseconds(500);

class platform_stand_in {
 public:
  explicit platform_stand_in(
      std::size_t history_limit = platform_store::kDefaultHistory)
      : store(history_limit) {}

  void Send(int client, const store::call& request, base::time_point now);
  void StartWatch(int client,
                  const store::watch_request& request,
                  base::time_point now);
  void StopWatch(int client, store::watch_id id);

  /// Drops every watch and pending answer of a client that went away.
  void Disconnect(int client);

  /// @return when Due would next deliver something or a delayed write applies.
  std::optional<base::time_point> NextTimer() const;

  /// Applies delayed writes and @return all deliveries up to @p now, in order.
  std::vector<platform_delivery> Due(base::time_point now);

  /// Calls received since the start, watches included; what the platform
  /// counts against a client's budget.
  std::uint64_t calls_received() const { return calls_received_; }

  platform_faults faults;
  platform_store store;

 private:
  using watch_key = std::pair<int, store::watch_id>;
  struct open_watch {
    store::watch_request position;
    base::time_point next_bookmark;
    base::time_point last_delivery{};  // One connection keeps its order.
  };

  bool Reaches(int client) const;
  void Deliver(base::time_point when, platform_delivery delivery);
  void AnswerUnknown(int client,
                     const store::call& request,
                     base::time_point now);
  void ServeWatches(base::time_point now);
  void ServeWatch(const watch_key& key,
                  open_watch& watch,
                  base::time_point now);
  void EndAllWatches(base::time_point now);

  std::multimap<base::time_point, platform_delivery> deliveries_;
  std::multimap<base::time_point, store::call> delayed_writes_;
  std::map<watch_key, open_watch> watches_;
  std::uint64_t calls_received_ = 0;
};

}  // namespace flamingoshunt::stand_ins

#endif  // FLAMINGOSHUNT_STAND_INS_PLATFORM_STAND_IN_H_
