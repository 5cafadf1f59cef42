// Defines how an event stream is cut into whole events, so that only whole
// ones are passed on and a broken stream can continue after the last of them.
#ifndef FLAMINGOSHUNT_GATEWAY_EVENT_SPLITTER_H_
#define FLAMINGOSHUNT_GATEWAY_EVENT_SPLITTER_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace flamingoshunt::gateway {

/// Fed with bytes as they arrive; gives back the whole events among them.
///
///   in:  "id: 1\ndata: a\n\nid: 2\nda"     out: "id: 1\ndata: a\n\n"
///   in:  "ta: b\n\n"                        out: "id: 2\ndata: b\n\n"
class event_splitter {
 public:
  /// @param after events up to this id are dropped: the caller has them.
  explicit event_splitter(std::optional<std::uint64_t> after = std::nullopt)
      : last_id_(after) {}

  /// @return the whole new events in @p bytes and what was kept before.
  std::string Append(std::string_view bytes);

  /// @return the id of the last event given back, or what was passed in.
  std::optional<std::uint64_t> last_id() const { return last_id_; }

  /// @return events given back so far.
  std::uint64_t event_count() const { return event_count_; }

  /// @return whether bytes of an unfinished event are kept.
  bool has_partial_event() const { return !incomplete_event_.empty(); }

  /// @return whether an event skipped an id: part of the stream is missing, and
  ///         nothing after the gap is given back.
  bool has_gap() const { return gap_; }

 private:
  void AcceptEvent(std::string_view event, std::string& out);

  std::string incomplete_event_;
  std::optional<std::uint64_t> last_id_;
  std::uint64_t event_count_ = 0;
  bool gap_ = false;
};

}  // namespace flamingoshunt::gateway

#endif  // FLAMINGOSHUNT_GATEWAY_EVENT_SPLITTER_H_
