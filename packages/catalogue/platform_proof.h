// Defines how a node proves that its catalogue is what the platform holds. A
// watch alone proves nothing: its events may be late. A read tells the store's
// revision at some time after it was sent; once the watches have reached that
// revision, the catalogue was complete when the read was sent. A watch that
// does not get there is bridged by a full list.
//
//   10.0 s  read sent.   10.1 s  answer: the store is at revision 57.
//   10.4 s  bookmark 58 on both watches: proven as of 10.0 s.
#ifndef FLAMINGOSHUNT_CATALOGUE_PLATFORM_PROOF_H_
#define FLAMINGOSHUNT_CATALOGUE_PLATFORM_PROOF_H_

#include <array>
#include <deque>
#include <optional>
#include <vector>

#include "base/clock.h"
#include "store/call_ids.h"
#include "store/messages.h"

namespace flamingoshunt::catalogue {

class platform_proof {
 public:
  static constexpr std::size_t kMaxReads = 4;  // in flight or not yet reached
  /// A watch that lags behind a read for so long is bridged by a list.
  static constexpr base::duration kListAfter = std::chrono::milliseconds(600);
  /// Least time between two lists of one kind.
  static constexpr base::duration kListInterval = std::chrono::seconds(1);

  explicit platform_proof(store::call_id_source& ids) : ids_(ids) {}

  /// Notes that all changes of @p kind up to @p reached have been seen.
  void Reach(const std::string& kind, base::revision reached);

  /// @return the read to send; the oldest open one is given up when there are
  ///         too many.
  store::call Read(base::time_point now);

  /// @return lists to send for kinds that lag behind a read; with @p force for
  ///         every kind, whether it lags or not.
  std::vector<store::call> Lists(bool force, base::time_point now);

  enum class reply_use { kForeign, kRead, kList, kFailed };

  /// Takes a reply; after kList the caller takes the listed objects in.
  reply_use Handle(const store::reply& answer, base::time_point now);

  /// @return the latest time as of which the catalogue was proven complete.
  std::optional<base::time_point> proven_at() const { return proven_at_; }

  /// @return whether the platform's last answer was behind an earlier one.
  bool behind() const { return behind_since_.has_value(); }

  /// @return when Lists has something to send next.
  std::optional<base::time_point> NextTimer() const;

 private:
  struct open_read {
    store::call_id id;
    base::time_point sent_at;
    std::optional<base::revision> revision;  // Once answered.
    base::time_point answered_at;
  };
  struct watched_kind {
    std::string kind;
    base::revision reached;
    std::optional<store::call_id> list;
    std::optional<base::time_point> listed_at;
  };

  void Evaluate();
  bool TakeReadAnswer(open_read& read,
                      const store::reply& answer,
                      base::time_point now);
  base::revision Reached() const;

  store::call_id_source& ids_;
  std::array<watched_kind, 2> kinds_{watched_kind{"entry", {}, {}, {}},
                                     watched_kind{"workspace", {}, {}, {}}};
  std::deque<open_read> reads_;
  base::revision highest_;  // Ever shown by the platform.
  std::optional<base::time_point> behind_since_;
  std::optional<base::time_point> proven_at_;
};

}  // namespace flamingoshunt::catalogue

#endif  // FLAMINGOSHUNT_CATALOGUE_PLATFORM_PROOF_H_
