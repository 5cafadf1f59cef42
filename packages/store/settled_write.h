// Defines how a write whose answer was lost is settled: by reading back, never
// by blind repeat. The value carries a token of its writer, so that equal text
// means the writer's own write.
//
//   update a, expected 5 -> unknown.  Read back:
//     a@8 with our value   -> applied.
//     a@5                  -> not applied yet, perhaps later. The same write is
//                             sent again: both expect version 5, and the first
//                             that applies raises it, so at most one can.
//     a@8, another value   -> conflict; ours may have come and gone in between.
#ifndef FLAMINGOSHUNT_STORE_SETTLED_WRITE_H_
#define FLAMINGOSHUNT_STORE_SETTLED_WRITE_H_

#include <optional>

#include "store/call_ids.h"
#include "store/messages.h"

namespace flamingoshunt::store {

enum class write_result {
  kApplied,
  kConflict,    ///< Another write came first, or came after ours.
  kNotApplied,  ///< Surely not, now or later.
  kInvalid,     ///< The platform refuses the value.
  kUnsettled    ///< Time ran out; it may be applied, now or later.
};

struct settled_write_options {
  base::duration call_timeout = std::chrono::seconds(2);
  base::duration read_back_after = std::chrono::milliseconds(200);
  base::duration give_up_after = std::chrono::seconds(15);
};

/// One conditional write, from the first try to a settled result.
class settled_write {
 public:
  struct step {
    std::optional<call> send;
    std::optional<write_result> done;
  };

  /// @param write a kCreate, kUpdate or kDelete; its id is replaced.
  /// @param ids outlives this object.
  settled_write(call write,
                call_id_source& ids,
                const settled_write_options& options = {});

  /// @return the first call to send.
  call Start(base::time_point now);

  /// Takes any reply; one with a foreign id changes nothing.
  step Handle(const reply& answer, base::time_point now);

  /// Reads back when the wait is over, or gives up.
  step Tick(base::time_point now);
  std::optional<base::time_point> NextTimer() const;

  /// @return after kApplied the written object (for a delete its key and the
  ///         store's revision), after kConflict the current one where known.
  const std::optional<object>& current() const { return current_; }

  /// @return after kConflict, whether ours may have been applied in between.
  bool maybe_applied() const { return unknown_; }

 private:
  enum class phase { kWriting, kWaiting, kReading, kDone };

  step Finish(write_result result);
  step AfterWrite(const reply& answer, base::time_point now);
  step AfterRead(const reply& answer, base::time_point now);
  step ReadLater(base::time_point now);
  step WriteAgain();
  bool IsOurs(const std::optional<object>& found) const;

  call write_;
  call_id_source& ids_;
  settled_write_options options_;
  phase phase_ = phase::kWriting;
  call_id awaited_;
  bool unknown_ = false;  // A try may have applied, or may yet.
  base::time_point give_up_at_{};
  base::time_point read_at_{};
  std::optional<object> current_;
};

}  // namespace flamingoshunt::store

#endif  // FLAMINGOSHUNT_STORE_SETTLED_WRITE_H_
