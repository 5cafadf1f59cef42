// Defines the validation of a caller's HTTP request: a pure function from its
// parts and the catalogue to a request for delivery, or to the problem for the
// caller. A request that fails here never reaches an endpoint.
#ifndef FLAMINGOSHUNT_CALLER_PARSE_REQUEST_H_
#define FLAMINGOSHUNT_CALLER_PARSE_REQUEST_H_

#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "base/clock.h"
#include "base/random.h"
#include "caller/messages.h"
#include "catalogue/entry.h"

namespace flamingoshunt::caller {

inline constexpr std::size_t kMaxBodyBytes = std::size_t{4} << 20;
inline constexpr std::size_t kMaxPromptBytes = std::size_t{1} << 20;
inline constexpr std::size_t kMaxHeaderFields = 64;
inline constexpr std::size_t kMaxHeaderBytes = std::size_t{16} << 10;  // total
inline constexpr std::size_t kMaxTargetBytes = std::size_t{4} << 10;
inline constexpr std::size_t kMaxIdempotencyKeyLength = 255;  // characters
inline constexpr std::size_t kMaxEchoedIdLength = 128;        // characters
inline constexpr std::int64_t kMaxTokensLimit = 1 << 20;      // of max_tokens
inline constexpr std::size_t kMaxChatMessages = 4096;
inline constexpr std::size_t kPrefixBlockBytes = 512;
inline constexpr std::size_t kMaxPrefixBlocks = 16;

struct http_header {
  std::string_view name;
  std::string_view value;
};

/// The parts of an HTTP request; views into the connection's buffer.
struct http_request {
  std::string_view method;
  std::string_view target;
  std::vector<http_header> headers;
  std::string_view body;
};

struct parsed_request {
  /// For X-Request-Id of the answer: the caller's, or a generated one.
  std::string echoed_id;
  std::variant<request, problem> result;
};

/// Validates one request.
/// @param received when its head arrived; relative deadlines start here.
/// @param random source of the generated request id.
/// @return the request, or the problem to answer; never throws for
///         invalid input.
parsed_request ParseRequest(const http_request& http,
                            const catalogue::snapshot& catalogue,
                            base::time_point received,
                            base::random_engine& random);

}  // namespace flamingoshunt::caller

#endif  // FLAMINGOSHUNT_CALLER_PARSE_REQUEST_H_
