// Defines access to the header fields of a caller's request: bounded in count
// and size, looked up without regard to case, and each of the fields that
// decide something present at most once.
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
  /// @throws request_error when count or size is over the bounds.
  explicit header_fields(const std::vector<http_header>& headers);

  /// @return the value of the only field called @p name, nothing without one.
  /// @throws request_error when it is given twice.
  std::optional<std::string_view> Find(std::string_view name) const;

  /// @return the key of "Authorization: Bearer <key>".
  /// @throws request_error (401) when there is none.
  std::string_view BearerKey() const;

  /// @return the moment until which the answer is wanted, from
  ///         X-Request-Deadline-Ms, or nothing.
  /// @throws request_error when it isn't a number of milliseconds from 1 to a
  ///         day.
  std::optional<base::time_point> Deadline(base::time_point received) const;

  /// @return the Idempotency-Key, empty without one.
  std::string IdempotencyKey() const;

  /// @return the caller's X-Request-Id when it is fit to be echoed, else empty.
  std::string EchoedId() const;

  /// @return a W3C traceparent of valid form, else empty.
  std::string Traceparent() const;

  /// @return whether X-Non-Idempotent says true.
  bool IsNonIdempotent() const;

 private:
  const std::vector<http_header>& headers_;
};

}  // namespace flamingoshunt::caller

#endif  // FLAMINGOSHUNT_CALLER_HEADER_FIELDS_H_
