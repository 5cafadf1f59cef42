// Defines the platform client, the machine between the slices of one node and
// the platform port. It keeps every call and watch inside the node's call
// budget, lets the request path go first, waits out outages with one probe at a
// time, and keeps watches gapless: a broken watch resumes after its last
// revision, a gap is bridged by a full list. docs/design/platform-client.md
// weighs the ways.
#ifndef FLAMINGOSHUNT_STORE_CLIENT_H_
#define FLAMINGOSHUNT_STORE_CLIENT_H_

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "base/random.h"
#include "store/backoff.h"
#include "store/call_ids.h"
#include "store/call_queue.h"
#include "store/kind_view.h"
#include "store/messages.h"
#include "store/outage_monitor.h"
#include "store/token_bucket.h"

namespace flamingoshunt::store {

struct client_options {
  double calls_per_second = 20;
  double burst = 20;  ///< Calls.
  base::duration backoff_low = std::chrono::milliseconds(200);
  base::duration backoff_high = std::chrono::seconds(4);
  std::size_t queue_limit = 512;     ///< Calls that wait.
  std::size_t in_flight_limit = 64;  ///< Calls sent and not answered.
  /// A watch that shows nothing, not even a bookmark, is opened again.
  base::duration watch_silence = std::chrono::seconds(3);
  /// Outages shorter than this had no effect on leased objects.
  base::duration lapse_outage{};
};

/// What the owner of the client carries out.
struct client_effects {
  // To the platform port:
  std::vector<call> send;
  std::vector<watch_request> start_watches;
  std::vector<watch_id> stop_watches;
  // To the slices; replies carry the id that the slice chose.
  std::vector<reply> replies;
  /// Puts, deletes and bookmarks, never gaps. The first bookmark of a watch
  /// says that the state is complete.
  std::vector<watch_event> events;
  /// Set when the first success after a failure is handled; it precedes the
  /// replies and events above.
  std::optional<outage> ended_outage;
  /// Set when the platform turns out to have been restored from a copy; what
  /// the replies and events above name by a revision is of this era.
  era begun_era = std::nullopt;
};

struct client_counters {
  std::uint64_t sent = 0;             ///< Calls and watches sent.
  std::uint64_t failed = 0;           ///< Unavailable or unknown.
  std::uint64_t expired = 0;          ///< Given up in the queue, never sent.
  std::uint64_t dropped = 0;          ///< Queue full, never sent.
  std::uint64_t lists = 0;            ///< Full lists for watches.
  std::uint64_t watches_started = 0;  ///< First starts and resumptions.
  std::uint64_t outages = 0;
};

class client {
 public:
  client(const client_options& options, base::random_engine random);

  /// Takes a call of a slice; its id comes from the slice's call_id_source.
  /// Exactly one reply with that id follows within the call's timeout; a call
  /// that was never sent ends as kUnavailable.
  client_effects Submit(const call& request, base::time_point now);

  /// Watches a whole kind for a slice until Unwatch.
  /// @param id chosen by the slices, distinct over the node.
  client_effects Watch(watch_id id, std::string kind, base::time_point now);
  client_effects Unwatch(watch_id id);

  /// What the platform port delivers.
  client_effects Handle(const reply& answer, base::time_point now);
  client_effects Handle(const watch_event& event, base::time_point now);
  client_effects Handle(const watch_ended& ended, base::time_point now);

  client_effects Tick(base::time_point now);
  std::optional<base::time_point> NextTimer(base::time_point now);

  /// @return whether the platform answered last time it was asked.
  bool available() const { return gate_ == gate::kOpen; }
  /// @return since when every call and watch has failed; empty when the last
  ///         one succeeded.
  std::optional<base::time_point> failing_since() const {
    return monitor_.failing_since();
  }
  /// @return whether any watched kind is behind what it showed before.
  bool behind() const;
  const client_counters& counters() const { return counters_; }

 private:
  // Whether calls may go out. While closed, one probe at a time finds out
  // whether the outage is over. Watches neither close nor open it: a watch can
  // be silent while calls work, and the other way round.
  enum class gate { kOpen, kClosed, kProbing };
  enum class watch_state { kMustList, kListing, kMustStart, kRunning };
  struct watched {
    kind_view view;
    backoff retry;  // Of starts and lists that fail.
    watch_state state = watch_state::kMustList;
    watch_id wire{};      // Id on the port; a new one for each connection.
    call_id list_call{};  // While listing.
    base::time_point not_before{};  // Of the next start or list.
    base::time_point silent_at{};   // When a running watch counts as silent.
  };
  struct sent_call {
    call request;
    base::time_point sent_at;
    base::time_point give_up_at;  // Should the port never answer.
  };

  void Pump(base::time_point now, client_effects& effects);
  void ExpireQueue(base::time_point now, client_effects& effects);
  void ExpireSent(base::time_point now, client_effects& effects);
  void ExpireWatches(base::time_point now, client_effects& effects);
  bool MaySend(base::time_point now);
  void SendNext(base::time_point now, client_effects& effects);
  void SendProbe(base::time_point now, client_effects& effects);
  bool SendQueued(base::time_point now,
                  call_priority at_least,
                  client_effects& effects);
  bool ServeWatch(base::time_point now, client_effects& effects);
  void SendCall(const call& request,
                base::time_point now,
                client_effects& effects);
  void StartWatch(watched& watch,
                  base::time_point now,
                  client_effects& effects);
  void StartList(watched& watch, base::time_point now, client_effects& effects);
  void FinishList(watched& watch,
                  const reply& answer,
                  base::time_point now,
                  client_effects& effects);
  void Settle(const reply& received,
              base::time_point now,
              client_effects& effects);
  bool TellsOfOutage(const sent_call& sent,
                     call_outcome outcome,
                     base::time_point now) const;
  void RecordSuccess(base::time_point now, client_effects& effects);
  /// @return whether an answer of @p named_era is of the current one; a later
  ///         one begins here.
  bool IsCurrent(const era& named_era,
                 base::time_point now,
                 client_effects& effects);
  void BeginEra(base::time_point now, client_effects& effects);
  void AnswerUnsent(const call& request, client_effects& effects);
  void Succeed();
  void Fail(base::time_point now);
  bool WantsToSend(base::time_point now) const;
  watched* FindByWire(watch_id wire);

  client_options options_;
  base::random_engine random_;
  token_bucket budget_;
  backoff backoff_;
  call_queue queue_;
  call_id_source ids_{call_owner::kClient};
  gate gate_ = gate::kOpen;
  base::time_point probe_at_{};
  outage_monitor monitor_;
  era era_;
  std::map<call_id, sent_call> sent_;
  std::map<watch_id, watched> watches_;
  std::uint64_t last_wire_ = 0;
  client_counters counters_;
};

}  // namespace flamingoshunt::store

#endif  // FLAMINGOSHUNT_STORE_CLIENT_H_
