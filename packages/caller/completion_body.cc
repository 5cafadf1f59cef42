#include "caller/completion_body.h"

#include <boost/json.hpp>

#include "base/checked_json.h"
#include "caller/errors.h"
#include "caller/parse_request.h"

namespace flamingoshunt::caller {
namespace {

constexpr std::size_t kBytesPerToken = 4;  // rough average

std::string_view ToStringView(const boost::json::string& text) {
  return {text.data(), text.size()};
}

bool IsIntegerArray(const boost::json::array& elements) {
  for (const auto& element : elements)
    if (!element.is_int64() && !element.is_uint64())
      return false;
  return !elements.empty();
}

// A prompt is a string, an array of one string, or an array of token ids.
void ReadPrompt(base::object_reader& reader, completion_body& body) {
  constexpr const char* kAllowed =
      "must be a string, an array of one string or an array of token numbers";
  const boost::json::value* prompt = reader.Child("prompt", true);
  if (!prompt)
    return;
  const boost::json::array* list = prompt->if_array();
  if (list && IsIntegerArray(*list)) {
    body.prompt = boost::json::serialize(*prompt);
    body.prompt_tokens = list->size();
    return;
  }
  if (list && list->size() == 1)
    prompt = &list->front();
  if (const auto* text = prompt->if_string())
    body.prompt = ToStringView(*text);
  else
    reader.Report("prompt", kAllowed);
}

void ReadMessage(const boost::json::value& message,
                 const std::string& path,
                 base::json_problems& problems,
                 completion_body& body) {
  base::object_reader reader(message, path, problems);
  body.prompt += reader.String("role");
  body.prompt += '\n';
  const boost::json::value* content = reader.Child("content");
  if (content && content->is_string())
    body.prompt += ToStringView(content->get_string());
  else if (content && content->is_array())
    body.prompt += boost::json::serialize(*content);
  else if (content && !content->is_null())
    reader.Report("content", "must be a string, an array or null");
  body.prompt += '\n';
}

void ReadMessages(base::object_reader& reader,
                  base::json_problems& problems,
                  completion_body& body) {
  std::size_t count = 0;
  reader.Each(
      "messages",
      [&](const boost::json::value& message, const std::string& path) {
        if (++count <= kMaxChatMessages)
          ReadMessage(message, path, problems, body);
      },
      true);
  if (reader.Has("messages") && (count == 0 || count > kMaxChatMessages))
    reader.Report(
        "messages",
        "must have 1 to " + std::to_string(kMaxChatMessages) + " elements");
}

// Clients may send null for an omitted option.
bool IsPresent(base::object_reader& reader, std::string_view key) {
  const boost::json::value* value = reader.Child(key);
  return value && !value->is_null();
}

void ReadOptions(base::object_reader& reader, completion_body& body) {
  for (const char* key : {"max_tokens", "max_completion_tokens"})
    if (IsPresent(reader, key))
      body.max_tokens =
          static_cast<std::uint64_t>(reader.Integer(key, 1, kMaxTokensLimit));
  for (const char* key : {"n", "best_of"})
    if (IsPresent(reader, key))
      reader.Integer(key, 1, 1);
  if (IsPresent(reader, "stream"))
    body.stream = reader.Boolean("stream", false);
}

[[noreturn]] void ThrowProblems(const base::json_problems& problems) {
  constexpr std::size_t kMaxListed = 8;  // problems
  std::string detail;
  for (std::size_t i = 0; i < problems.size() && i < kMaxListed; ++i)
    detail += (i ? "; " : "") + problems[i].Text();
  throw request_error(400, "body_invalid", detail);
}

}  // namespace

completion_body ParseCompletionBody(std::string_view text, call_shape shape) {
  base::json_problems problems;
  const auto json = base::ParseJson(text, problems);
  if (!json)
    ThrowProblems(problems);
  completion_body body;
  base::object_reader reader(*json, "", problems);
  body.entry = base::entry_name(reader.String("model"));
  if (shape == call_shape::kCompletion)
    ReadPrompt(reader, body);
  else
    ReadMessages(reader, problems, body);
  ReadOptions(reader, body);
  if (!problems.empty())
    ThrowProblems(problems);
  if (body.prompt.size() > kMaxPromptBytes)
    throw request_error(413, "prompt_too_large",
                        std::to_string(body.prompt.size()) +
                            " bytes of prompt; " +
                            std::to_string(kMaxPromptBytes) + " are taken");
  if (body.prompt_tokens == 0)
    body.prompt_tokens = body.prompt.size() / kBytesPerToken + 1;
  return body;
}

}  // namespace flamingoshunt::caller
