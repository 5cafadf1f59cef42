#include "caller/render_stream.h"

#include <boost/json.hpp>

#include "caller/render_problem.h"

namespace flamingoshunt::caller {
namespace {

namespace json = boost::json;

std::int64_t ToUnixSeconds(base::wall_time when) {
  return std::chrono::duration_cast<std::chrono::seconds>(
             when.time_since_epoch())
      .count();
}

std::string MakeAnswerId(const request& request) {
  const char* prefix =
      request.shape == call_shape::kChatCompletion ? "chatcmpl-" : "cmpl-";
  return prefix + request.id.str();
}

std::string RenderEvent(const json::value& value) {
  return "data: " + json::serialize(value) + "\n\n";
}

json::object MakeUsage(std::uint64_t prompt_tokens, std::uint64_t tokens) {
  json::object usage;
  usage["prompt_tokens"] = prompt_tokens;
  usage["completion_tokens"] = tokens;
  usage["total_tokens"] = prompt_tokens + tokens;
  return usage;
}

json::value FinishReasonOrNull(const std::string& finish_reason) {
  return finish_reason.empty() ? json::value(nullptr)
                               : json::value(ReplaceInvalidUtf8(finish_reason));
}

// One choice of a streamed chunk; the chat format wraps its text in a delta.
json::object MakeStreamedChoice(call_shape shape,
                                const std::string& text,
                                bool first,
                                const std::string& finish_reason) {
  json::object choice;
  choice["index"] = 0;
  if (shape == call_shape::kChatCompletion) {
    json::object delta;
    if (first)
      delta["role"] = "assistant";
    if (!text.empty())
      delta["content"] = text;
    choice["delta"] = std::move(delta);
  } else {
    choice["text"] = text;
  }
  choice["finish_reason"] = FinishReasonOrNull(finish_reason);
  return choice;
}

const char* ObjectTypeName(call_shape shape, bool stream) {
  if (shape != call_shape::kChatCompletion)
    return "text_completion";
  return stream ? "chat.completion.chunk" : "chat.completion";
}

json::object MakeEnvelope(const std::string& id,
                          const char* object,
                          std::int64_t created,
                          const std::string& model,
                          json::object choice) {
  json::object answer;
  answer["id"] = id;
  answer["object"] = object;
  answer["created"] = created;
  answer["model"] = model;
  answer["choices"] = json::array{std::move(choice)};
  return answer;
}

}  // namespace

stream_renderer::stream_renderer(const request& request,
                                 base::wall_time created)
    : shape_(request.shape),
      id_(MakeAnswerId(request)),
      model_(request.entry.str()),
      created_(ToUnixSeconds(created)),
      prompt_tokens_(request.prompt_tokens) {}

std::string stream_renderer::RenderChunk(std::string_view text) {
  const std::string complete_text = text_reassembler_.Append(text);
  if (complete_text.empty())
    return {};
  json::object choice =
      MakeStreamedChoice(shape_, complete_text, is_first_chunk_, "");
  is_first_chunk_ = false;
  return RenderEvent(MakeEnvelope(id_, ObjectTypeName(shape_, true), created_,
                                  model_, std::move(choice)));
}

std::string stream_renderer::RenderEnd(const std::string& finish_reason,
                                       std::uint64_t tokens) {
  json::object choice =
      MakeStreamedChoice(shape_, text_reassembler_.Flush(), is_first_chunk_,
                         finish_reason.empty() ? "stop" : finish_reason);
  json::object answer = MakeEnvelope(id_, ObjectTypeName(shape_, true),
                                     created_, model_, std::move(choice));
  answer["usage"] = MakeUsage(prompt_tokens_, tokens);
  return RenderEvent(answer) + "data: [DONE]\n\n";
}

std::string stream_renderer::RenderError(const problem& problem) {
  return "event: error\ndata: " + RenderProblemJson(problem) + "\n\n";
}

std::string RenderCompleteAnswer(const request& request,
                                 base::wall_time created,
                                 std::string_view text,
                                 const std::string& finish_reason,
                                 std::uint64_t tokens) {
  json::object choice;
  choice["index"] = 0;
  if (request.shape == call_shape::kChatCompletion) {
    json::object message;
    message["role"] = "assistant";
    message["content"] = ReplaceInvalidUtf8(text);
    choice["message"] = std::move(message);
  } else {
    choice["text"] = ReplaceInvalidUtf8(text);
  }
  choice["finish_reason"] =
      FinishReasonOrNull(finish_reason.empty() ? "stop" : finish_reason);
  json::object answer = MakeEnvelope(
      MakeAnswerId(request), ObjectTypeName(request.shape, false),
      ToUnixSeconds(created), request.entry.str(), std::move(choice));
  answer["usage"] = MakeUsage(request.prompt_tokens, tokens);
  return json::serialize(answer);
}

}  // namespace flamingoshunt::caller
