// Defines the platform's protocol as pure functions: calls, replies and watch
// events to and from HTTP messages. The client and the platform stand-in share
// it; sockets are elsewhere. docs/interfaces/platform.md gives every message.
#ifndef FLAMINGOSHUNT_STORE_HTTP_CODEC_H_
#define FLAMINGOSHUNT_STORE_HTTP_CODEC_H_

#include <string>
#include <string_view>
#include <vector>

#include "base/errors.h"
#include "store/messages.h"

namespace flamingoshunt::store {

struct http_header {
  std::string name;  ///< In the spelling of the constants below.
  std::string value;
};

struct http_request {
  std::string method;
  std::string target;
  std::vector<http_header> headers;
  std::string body;
};

struct http_response {
  int status = 0;
  std::vector<http_header> headers;
  std::string body;
};

/// The other side sent something that is not of the protocol.
class malformed_message : public base::user_error {
 public:
  using base::user_error::user_error;
};

inline constexpr std::string_view kIfMatch = "If-Match";
inline constexpr std::string_view kIfNoneMatch = "If-None-Match";
inline constexpr std::string_view kETag = "ETag";
inline constexpr std::string_view kStoreRevision = "X-Store-Revision";

/// @return the value of header @p name, compared without regard to case;
///         empty when it is missing.
std::string_view HeaderValue(const std::vector<http_header>& headers,
                             std::string_view name);

http_request EncodeCall(const call& request);

/// @return the call without id, priority and timeout, which don't travel.
/// @throws malformed_message naming the offending part.
call DecodeCall(const http_request& message);

http_response EncodeReply(const call& request, const reply& answer);

/// Never throws: a response that is not of the protocol becomes kUnknown for a
/// write and kUnavailable for a read.
reply DecodeReply(const call& request, const http_response& message);

/// @return what a call without any response means: kUnknown for a write whose
///         bytes may have left, else kUnavailable.
reply ReplyWithoutResponse(const call& request, bool bytes_may_have_left);

http_request EncodeWatch(const watch_request& request);
bool IsWatch(const http_request& message);

/// @throws malformed_message
watch_request DecodeWatch(const http_request& message);

/// @return one line of JSON without the line break.
std::string EncodeWatchEvent(const watch_event& event);

/// @throws malformed_message
watch_event DecodeWatchEvent(const watch_request& request,
                             std::string_view line);

}  // namespace flamingoshunt::store

#endif  // FLAMINGOSHUNT_STORE_HTTP_CODEC_H_
