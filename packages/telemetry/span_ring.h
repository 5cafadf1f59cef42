// Defines the ring of the latest spans of a process, from which an operator's
// `trace ID` is answered. It is bounded in spans and in bytes for each span.
#ifndef FLAMINGOSHUNT_TELEMETRY_SPAN_RING_H_
#define FLAMINGOSHUNT_TELEMETRY_SPAN_RING_H_

#include <mutex>
#include <vector>

#include "telemetry/span.h"

namespace flamingoshunt::telemetry {

inline constexpr std::size_t kDefaultRingSpans = 4096;  // spans
inline constexpr std::size_t kMaxSpanAttributes = 16;   // for each span
inline constexpr std::size_t kMaxSpanText = 128;        // bytes of each text

/// Any thread may record and look up.
class span_ring {
 public:
  explicit span_ring(std::size_t capacity = kDefaultRingSpans);

  /// Keeps @p recorded, in place of the oldest when full; texts and attributes
  /// beyond the bounds are cut.
  void Record(span recorded);

  /// @return the spans kept of this trace, by start.
  std::vector<span> FindTrace(trace_id trace) const;

  /// @return the spans kept of the traces of this request, by start.
  std::vector<span> FindRequest(const base::request_id& request) const;

  /// Takes the spans recorded since the last call, for export; those that were
  /// overwritten meanwhile are missing.
  /// @param most at most so many, the oldest first.
  std::vector<span> TakeUnexported(std::size_t most);

 private:
  template <class Matches>
  std::vector<span> FindIf(Matches matches) const;

  mutable std::mutex mutex_;
  std::size_t capacity_;
  std::vector<span> spans_;
  std::uint64_t recorded_ = 0;  // all ever; the next goes to recorded_ % size
  std::uint64_t exported_ = 0;
};

}  // namespace flamingoshunt::telemetry

#endif  // FLAMINGOSHUNT_TELEMETRY_SPAN_RING_H_
