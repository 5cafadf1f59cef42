// Defines how an engine's answer is rendered in the common completion API:
// server-sent events with one JSON chunk each, or one JSON answer. A successful
// stream ends with "data: [DONE]"; one that cannot be completed ends with
// "event: error" and the problem.
#ifndef FLAMINGOSHUNT_CALLER_RENDER_STREAM_H_
#define FLAMINGOSHUNT_CALLER_RENDER_STREAM_H_

#include <string>
#include <string_view>

#include "base/clock.h"
#include "caller/messages.h"
#include "caller/utf8.h"

namespace flamingoshunt::caller {

inline constexpr std::string_view kEventStream = "text/event-stream";

/// Renders one streamed answer; pass it every piece of text in order.
class stream_renderer {
 public:
  /// @param created time of day given in the answer.
  stream_renderer(const request& request, base::wall_time created);

  /// @return the event for @p text, or an empty text if no character is
  /// complete.
  std::string RenderChunk(std::string_view text);

  /// @return the last events: finish reason with usage, then [DONE].
  std::string RenderEnd(const std::string& finish_reason, std::uint64_t tokens);

  /// @return the event that ends a stream which cannot be completed.
  static std::string RenderError(const problem& problem);

 private:
  call_shape shape_;
  std::string id_;
  std::string model_;
  std::int64_t created_ = 0;  // seconds since 1970
  std::uint64_t prompt_tokens_ = 0;
  bool is_first_chunk_ = true;
  utf8_reassembler text_reassembler_;
};

/// @return the JSON body of a complete completion or chat completion.
std::string RenderCompleteAnswer(const request& request,
                                 base::wall_time created,
                                 std::string_view text,
                                 const std::string& finish_reason,
                                 std::uint64_t tokens);

}  // namespace flamingoshunt::caller

#endif  // FLAMINGOSHUNT_CALLER_RENDER_STREAM_H_
