// Defines the protocol of endpoint instances as pure functions without I/O,
// which encode and decode orders, reports and attempts as HTTP messages and the
// lines of a streamed answer. docs/interfaces/endpoint.md specifies every
// message.
//
// A streamed answer is server-sent events, one JSON object each:
//   data: {"offset":0,"tokens":2,"text":"Set room"}
//   data: {"offset":2,"tokens":1,"text":" 4"}
//   data: {"end":{"total":3,"finish_reason":"stop"}}
#ifndef FLAMINGOSHUNT_ENDPOINT_HTTP_CODEC_H_
#define FLAMINGOSHUNT_ENDPOINT_HTTP_CODEC_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

#include "base/errors.h"
#include "endpoint/messages.h"

namespace flamingoshunt::endpoint {

/// The peer sent a message that violates the protocol.
class malformed_message : public base::user_error {
 public:
  using base::user_error::user_error;
};

struct http_header {
  std::string name;
  std::string value;
};

struct http_request {
  std::string method;
  std::string target;
  std::vector<http_header> headers;
  std::string content_type;
  std::string body;
};

inline constexpr std::string_view kOrderTarget = "/instance/orders";
inline constexpr std::string_view kReportTarget = "/instance/report";
inline constexpr std::string_view kCancelTarget = "/instance/cancel";
inline constexpr std::string_view kReplicaHeader = "X-Replica";
inline constexpr std::string_view kEpochHeader = "X-Epoch";
inline constexpr std::string_view kRequestHeader = "X-Request-Id";
inline constexpr std::string_view kAttemptHeader = "X-Attempt-Id";
inline constexpr std::string_view kTraceHeader = "traceparent";
/// In an error answer: "true" if the endpoint is certain not to have run the
/// call.
inline constexpr std::string_view kNotRunHeader = "X-Not-Run";

/// The part of an attempt that is sent to an engine.
struct engine_call {
  std::string caller_body;  ///< JSON as sent by the caller.
  int priority = 0;
  std::optional<resume_point> resume;
};

http_request EncodeAttempt(const attempt& request);

/// @throws malformed_message
engine_call DecodeEngineCall(std::string_view body);

std::string EncodeOrder(const order& request);

/// @throws malformed_message
order DecodeOrder(std::string_view body);

/// @param sender the instance that answered; a report that names another is
///        malformed.
/// @throws malformed_message
report DecodeReport(std::string_view body, const base::instance_id& sender);
std::string EncodeReport(const report& state);

/// @return the outcome of an order that was answered with an HTTP status.
order_outcome ToOrderOutcome(int status);

std::string EncodeChunk(std::uint64_t offset,
                        std::uint64_t token_count,
                        std::string_view text);
std::string EncodeEnd(std::uint64_t total, std::string_view finish_reason);

using stream_event = std::variant<answer_chunk, answer_end>;

/// Parses a streamed answer into events, however its bytes are split.
class stream_parser {
 public:
  explicit stream_parser(base::attempt_id attempt) : attempt_(attempt) {}

  /// @return the events completed by @p bytes.
  /// @throws malformed_message for a line that violates the protocol or exceeds
  ///         the size limit.
  std::vector<stream_event> Parse(std::string_view bytes);

  /// @return whether the end event was parsed.
  bool ended() const { return ended_; }

 private:
  stream_event ParseData(std::string_view json);

  base::attempt_id attempt_;
  std::string buffer_;
  bool ended_ = false;
};

}  // namespace flamingoshunt::endpoint

#endif  // FLAMINGOSHUNT_ENDPOINT_HTTP_CODEC_H_
