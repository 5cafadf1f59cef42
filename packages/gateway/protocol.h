// Defines how the gateway's messages look on the wire: an interface that the
// deployment's adapter fills in, and the decoded forms that the gateway works
// with. Bodies pass through untouched.
#ifndef FLAMINGOSHUNT_GATEWAY_PROTOCOL_H_
#define FLAMINGOSHUNT_GATEWAY_PROTOCOL_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "base/clock.h"
#include "base/ids.h"
#include "runtime/http_client.h"

namespace flamingoshunt::gateway {

/// What the head of a caller's request says.
struct caller_head {
  base::request_id id;
  std::optional<base::duration>
      time_budget;    ///< How long the caller will wait.
  std::string key;    ///< Empty without one.
  std::string model;  ///< Empty outside engines.
  std::int64_t prompt_tokens = 0;
  std::int64_t max_output_tokens = 0;
  std::int64_t expected_output_tokens = 0;    ///< 0 without an estimate.
  std::optional<std::uint64_t> resume_after;  ///< Last event the caller has.
};

/// What the gateway itself says to an endpoint about one attempt.
struct attempt_head {
  base::instance_id instance;  ///< Any other must not run it.
  base::workspace_id workspace;
  std::optional<base::duration> time_budget;
  std::optional<std::uint64_t> resume_after;
  std::optional<int> priority;  ///< 0 to 9, 0 is first.
};

/// What the head of an endpoint's answer says.
struct answer_head {
  int status = 0;
  std::string request_id;    ///< Empty when the endpoint doesn't echo it.
  bool not_run = false;      ///< The endpoint vouches that it did not run.
  bool signed_body = false;  ///< Carries the proof of a replica's own answer.
  bool content_encoded = false;  ///< Encoded, which no replica does.
};

class protocol {
 public:
  virtual ~protocol() = default;

  virtual caller_head ReadCaller(
      const runtime::http_request& request) const = 0;

  /// @return the caller's request as an endpoint is to get it: method, target
  ///         and body untouched, fields of one hop and secrets removed.
  virtual runtime::http_request WriteAttempt(
      const runtime::http_request& request,
      const attempt_head& attempt) const = 0;

  virtual answer_head ReadAnswer(
      const runtime::http_response_head& head) const = 0;

  /// @return the fields of the endpoint's answer that the caller gets.
  virtual runtime::http_fields ForwardedFields(
      const runtime::http_response_head& head) const = 0;

  /// @return fields for an answer of the gateway's own.
  virtual runtime::http_fields GatewayAnswerFields(
      const base::request_id& id,
      std::optional<base::duration> retry_after) const = 0;
};

}  // namespace flamingoshunt::gateway

#endif  // FLAMINGOSHUNT_GATEWAY_PROTOCOL_H_
