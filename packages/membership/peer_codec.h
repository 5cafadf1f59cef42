// Defines the whole way between typed peer messages and the bodies of POST
// /peer: JSON body, MAC and counter, JSON-RPC envelope.
#ifndef FLAMINGOSHUNT_MEMBERSHIP_PEER_CODEC_H_
#define FLAMINGOSHUNT_MEMBERSHIP_PEER_CODEC_H_

#include <string>
#include <string_view>
#include <vector>

#include "membership/authenticator.h"
#include "membership/json_rpc_codec.h"
#include "membership/message_json.h"
#include "membership/wire.h"

namespace flamingoshunt::membership {

/// A message is not from a holder of the cluster key, or not meant for us.
class peer_authentication_error : public peer_message_error {
 public:
  using peer_message_error::peer_message_error;
};

/// A message was received before.
class peer_replay_error : public peer_authentication_error {
 public:
  using peer_authentication_error::peer_authentication_error;
};

/// A request that no answer was given to yet.
struct request_origin {
  base::node_id from;
  std::uint64_t counter = 0;
};

struct encoded_request {
  std::string body;
  std::uint64_t counter = 0;  ///< DecodeAnswer() needs it.
};

struct decoded_request {
  request_origin origin;
  request message;
};

/// One node's end. Not thread-safe.
class peer_codec {
 public:
  /// @param first_counter must exceed every counter of an earlier run of this
  ///        node; where it does not, peers tell and it is raised.
  peer_codec(base::node_id self,
             authenticator signer,
             std::uint64_t first_counter);

  encoded_request EncodeRequest(const base::node_id& to,
                                const request& message);

  /// @throws peer_authentication_error, peer_replay_error, peer_message_error
  decoded_request DecodeRequest(const std::string& body);

  std::string EncodeAnswer(const request_origin& to, const answer& message);

  /// @return the body that answers a request that DecodeRequest() threw @p
  ///         error for. A replay gets a signed counter_behind, so that a node
  ///         whose counter fell back can go on; all others an error in clear.
  std::string EncodeRefusal(const peer_message_error& error);

  /// Takes a counter_behind into account, then returns it like any other.
  /// @throws peer_authentication_error, peer_message_error
  answer DecodeAnswer(const request_origin& request, const std::string& body);

 private:
  void VerifyRequest(const rpc_request& call, std::uint64_t counter);

  base::node_id self_;
  authenticator signer_;
  replay_guard seen_;
  json_rpc_codec rpc_;
  std::uint64_t counter_;
  request_origin replayed_;  // whom a refusal of a replay goes to
  std::string error_text_;   // JSON-RPC error for the request refused last
};

}  // namespace flamingoshunt::membership

#endif  // FLAMINGOSHUNT_MEMBERSHIP_PEER_CODEC_H_
