// Defines spans: one record for each hop of a request, and the W3C traceparent
// header that joins the hops of several processes into one trace.
//
//   traceparent: 00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01
//                   trace id                         span id          sampled
#ifndef FLAMINGOSHUNT_TELEMETRY_SPAN_H_
#define FLAMINGOSHUNT_TELEMETRY_SPAN_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/clock.h"
#include "base/ids.h"
#include "base/random.h"

namespace flamingoshunt::telemetry {

struct trace_id {
  std::uint64_t high = 0;
  std::uint64_t low = 0;
  auto operator<=>(const trace_id&) const = default;
};

using span_id = base::number_id<struct span_tag>;

/// What one process passes to the next.
struct span_context {
  trace_id trace;
  span_id span;
  bool sampled = true;
  bool operator==(const span_context&) const = default;
};

/// @return 32 lower-case hexadecimal digits.
std::string FormatTraceId(trace_id id);

/// @return nothing unless @p text is 32 hexadecimal digits, not all zero.
std::optional<trace_id> ParseTraceId(std::string_view text);

/// @return 16 lower-case hexadecimal digits.
std::string FormatSpanId(span_id id);

/// Reads a traceparent header of version 00, or of a later version whose
/// beginning has the same form.
/// @return nothing when it is malformed; a new trace is to be started then.
std::optional<span_context> ParseTraceparent(std::string_view header);

std::string FormatTraceparent(const span_context& context);

/// @return the context of a first span.
span_context NewTrace(base::random_engine& random);

/// @return a context of the same trace with a span id of its own.
span_context NewChild(const span_context& parent, base::random_engine& random);

struct span_attribute {
  std::string name;
  std::string value;
  bool operator==(const span_attribute&) const = default;
};

enum class span_status { kUnset, kOk, kError };
enum class span_kind { kInternal, kServer, kClient };

/// One hop of one request, as recorded when it ended.
struct span {
  span_context context;
  span_id parent;  ///< Zero for the first span of a trace.
  base::request_id request;
  std::string name;
  span_kind kind = span_kind::kInternal;
  base::wall_time start;
  base::wall_time end;
  std::vector<span_attribute> attributes;
  span_status status = span_status::kUnset;
  std::string status_message;
  bool operator==(const span&) const = default;
};

}  // namespace flamingoshunt::telemetry

#endif  // FLAMINGOSHUNT_TELEMETRY_SPAN_H_
