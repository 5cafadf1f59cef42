// Defines the wire format of the gateway's messages: an interface that the
// deployment's adapter implements, and the decoded forms that the gateway uses.
// Bodies are forwarded unchanged.
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

/// The decoded head of a caller's request.
struct caller_head {
  base::request_id id;
  std::optional<base::duration> time_budget;  ///< How long the caller waits.
  std::string key;                            ///< Empty without one.
  std::string model;                          ///< Empty for plain services.
  std::int64_t prompt_tokens = 0;
  std::int64_t max_output_tokens = 0;
  std::int64_t expected_output_tokens = 0;  ///< 0 without an estimate.
  std::optional<std::uint64_t>
      resume_after;  ///< Id of the caller's last event.
  /// Parts of the prompt that other requests may share, in order; without the
  /// last one, which belongs to the request or its session.
  std::vector<base::fingerprint> shared_prompt_parts;
};

/// Fields that the gateway adds for an endpoint about one attempt.
struct attempt_head {
  base::instance_id instance;  ///< No other may execute it.
  base::workspace_id workspace;
  std::optional<base::duration> time_budget;
  std::optional<std::uint64_t> resume_after;
  std::optional<int> priority;  ///< 0 to 9; 0 is the most urgent.
};

/// The decoded head of an endpoint's answer.
struct answer_head {
  int status = 0;
  std::string request_id;        ///< Empty when the endpoint doesn't echo it.
  bool not_run = false;          ///< The endpoint confirms that it did not run.
  bool signed_body = false;      ///< Carries a replica's signature.
  bool content_encoded = false;  ///< No replica encodes its answers.
  bool leaving = false;          ///< The endpoint will exit; send it no more.
  /// For how long the endpoint wants no request from this node.
  std::optional<base::duration> pause;
  /// Requests a second that the replica accepts from all nodes together, until
  /// an answer names another rate or none.
  std::optional<double> rate_limit;
};

/// Encodes and decodes messages to callers and endpoints.
class protocol {
 public:
  virtual ~protocol() = default;

  virtual caller_head ReadCaller(
      const runtime::http_request& request) const = 0;

  /// @return the caller's request as forwarded to an endpoint: method, target
  ///         and body unchanged, hop-by-hop fields and secrets removed.
  virtual runtime::http_request WriteAttempt(
      const runtime::http_request& request,
      const attempt_head& attempt) const = 0;

  virtual answer_head ReadAnswer(
      const runtime::http_response_head& head) const = 0;

  /// @return the fields of the endpoint's answer to forward to the caller.
  virtual runtime::http_fields ForwardedFields(
      const runtime::http_response_head& head) const = 0;

  /// @return the fields of an answer that the gateway itself generates.
  virtual runtime::http_fields GatewayAnswerFields(
      const base::request_id& id,
      std::optional<base::duration> retry_after) const = 0;
};

}  // namespace flamingoshunt::gateway

#endif  // FLAMINGOSHUNT_GATEWAY_PROTOCOL_H_
