// Splits an event stream into complete events, so that only complete ones are
// forwarded and a broken stream can resume after the last of them.
#ifndef FLAMINGOSHUNT_GATEWAY_EVENT_SPLITTER_H_
#define FLAMINGOSHUNT_GATEWAY_EVENT_SPLITTER_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace flamingoshunt::gateway {

/// Takes bytes as they arrive and returns the complete events among them.
///
///   in:  "id: 1\ndata: a\n\nid: 2\nda"     out: "id: 1\ndata: a\n\n"
///   in:  "ta: b\n\n"                        out: "id: 2\ndata: b\n\n"
///
/// Ids rise by any step within a run, so a larger step says nothing of events
/// that are missing.
class event_splitter {
 public:
  /// @param after events up to this id are dropped, since the caller has them.
  explicit event_splitter(std::optional<std::uint64_t> after = std::nullopt)
      : last_id_(after) {}

  /// @return the new events completed by @p bytes.
  std::string Append(std::string_view bytes);

  /// @return the id of the last event returned, or the initial @c after.
  std::optional<std::uint64_t> last_id() const { return last_id_; }

  /// @return the number of events returned so far.
  std::uint64_t event_count() const { return event_count_; }

  /// @return whether the incomplete event is longer than any valid event: its
  ///         bytes may come without end.
  bool exceeds_limit() const;

  /// @return whether bytes of an incomplete event are buffered.
  bool has_partial_event() const { return !incomplete_event_.empty(); }

  /// @return whether a new id followed one that had fallen: a second run has
  ///         begun in the stream, and no event of it is returned.
  bool joins_runs() const { return joins_runs_; }

 private:
  void AcceptEvent(std::string_view event, std::string& out);

  std::string incomplete_event_;
  std::optional<std::uint64_t> last_id_;
  std::uint64_t event_count_ = 0;
  std::optional<std::uint64_t> previous_id_;  ///< Returned or not.
  bool has_fallen_ = false;  ///< An id was lower than the one before it.
  bool joins_runs_ = false;
};

}  // namespace flamingoshunt::gateway

#endif  // FLAMINGOSHUNT_GATEWAY_EVENT_SPLITTER_H_
