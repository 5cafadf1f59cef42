// Defines access to the header fields of a caller's request. Their number and
// size are limited, lookup ignores case, and a field that the product reads may
// occur only once.
#ifndef FLAMINGOSHUNT_CALLER_HEADER_FIELDS_H_
#define FLAMINGOSHUNT_CALLER_HEADER_FIELDS_H_

#include <optional>
#include <string>
#include <string_view>

#include "base/clock.h"
#include "caller/parse_request.h"

namespace flamingoshunt::caller {

class header_fields {
 public:
  /// @throws request_error (431) if the number or size exceeds the limits.
  explicit header_fields(const std::vector<http_header>& headers);

  /// @return the value of the field @p name, or nothing if it is absent.
  /// @throws request_error (400) if it occurs more than once.
  std::optional<std::string_view> Find(std::string_view name) const;

  /// @return the key of "Authorization: Bearer <key>".
  /// @throws request_error (401) if there is none.
  std::string_view BearerKey() const;

  /// @return the deadline from X-Request-Deadline-Ms, or nothing.
  /// @throws request_error (400) if it isn't a number of milliseconds from 1 to
  ///         a day.
  std::optional<base::time_point> Deadline(base::time_point received) const;

  /// @return the Idempotency-Key, or an empty text.
  /// @throws request_error (400) if it is empty, too long or not printable.
  std::string IdempotencyKey() const;

  /// @return the caller's X-Request-Id if it is valid, otherwise an empty text.
  std::string EchoedId() const;

  /// @return a well-formed W3C traceparent, or an empty text.
  std::string Traceparent() const;

  /// @return whether X-Non-Idempotent is "true".
  bool IsNonIdempotent() const;

 private:
  const std::vector<http_header>& headers_;
};

}  // namespace flamingoshunt::caller

#endif  // FLAMINGOSHUNT_CALLER_HEADER_FIELDS_H_
