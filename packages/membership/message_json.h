// Defines the JSON bodies of the peer messages: written compactly, read with
// every bound checked. Keys that this version does not know are ignored, so
// that nodes of two versions can work together during an upgrade.
#ifndef FLAMINGOSHUNT_MEMBERSHIP_MESSAGE_JSON_H_
#define FLAMINGOSHUNT_MEMBERSHIP_MESSAGE_JSON_H_

#include <string>
#include <string_view>

#include "base/errors.h"
#include "membership/wire.h"

namespace flamingoshunt::membership {

/// A peer message can't be read; the text says what is wrong with it.
class peer_message_error : public base::user_error {
 public:
  using base::user_error::user_error;
};

/// @return the JSON-RPC method that carries @p message.
const char* MethodOf(const request& message);

std::string RequestBody(const request& message);
std::string AnswerBody(const answer& message);

/// @throws peer_message_error naming each bad field.
request ParseRequest(std::string_view method, std::string_view body);

/// @throws peer_message_error naming each bad field.
answer ParseAnswer(std::string_view body);

}  // namespace flamingoshunt::membership

#endif  // FLAMINGOSHUNT_MEMBERSHIP_MESSAGE_JSON_H_
