#include "delivery/engine_answer.h"

#include <algorithm>
#include <limits>

namespace flamingoshunt::delivery {
namespace {

constexpr std::size_t kMaxBoundaries = 256;  // of the most recent chunks
constexpr int kTooManyRequests = 429;        // HTTP status
constexpr int kRequestTimeout = 408;         // HTTP status

piece_result ClassifyStatus(int status) {
  if (status == 200)
    return piece_result::kProgress;
  const bool is_client_error = status >= 400 && status < 500 &&
                               status != kTooManyRequests &&
                               status != kRequestTimeout;
  return is_client_error ? piece_result::kRejected
                         : piece_result::kRetryElsewhere;
}

}  // namespace

engine_answer::engine_answer(bool stream, const answer_settings& settings)
    : stream_(stream), max_text_bytes_(settings.max_resume_text) {
  boundaries_.push_back({});
}

piece_result engine_answer::ApplyHead(const endpoint::answer_head& head,
                                      effects& out) {
  const piece_result result = ClassifyStatus(head.status);
  if (result != piece_result::kProgress || started_)
    return result;
  started_ = true;
  content_type_ = head.content_type;
  out.push_back(send_head{200, head.content_type, stream_});
  return result;
}

piece_result engine_answer::ApplyChunk(const endpoint::answer_chunk& chunk,
                                       effects& out) {
  if (chunk.token_count == 0)
    return chunk.data.empty() ? piece_result::kDuplicate
                              : piece_result::kMalformed;
  constexpr auto kMax = std::numeric_limits<std::uint64_t>::max();
  if (!started_ || chunk.offset > tokens_ ||
      chunk.token_count > kMax - chunk.offset)
    return piece_result::kMalformed;
  const std::uint64_t end = chunk.offset + chunk.token_count;
  if (end <= tokens_)
    return piece_result::kDuplicate;
  const auto new_text = TrimOverlap(chunk.offset, chunk.data);
  if (!new_text)
    return piece_result::kMalformed;
  out.push_back(send_chunk{tokens_, end - tokens_, std::string(*new_text)});
  Append(end, *new_text);
  return piece_result::kProgress;
}

// Removes the text that the caller already has. This is possible if the chunk
// begins at the end of an earlier chunk and repeats the same text from there.
std::optional<std::string_view> engine_answer::TrimOverlap(
    std::uint64_t offset,
    std::string_view data) const {
  if (offset == tokens_)
    return data;
  const auto start = std::find_if(
      boundaries_.begin(), boundaries_.end(),
      [&](const boundary& candidate) { return candidate.token == offset; });
  if (start == boundaries_.end() || !text_is_complete_)
    return std::nullopt;
  const std::string_view sent_text =
      std::string_view(text_).substr(start->byte);
  if (data.substr(0, sent_text.size()) != sent_text)
    return std::nullopt;
  return data.substr(sent_text.size());
}

void engine_answer::Append(std::uint64_t end, std::string_view data) {
  tokens_ = end;
  if (!text_is_complete_)
    return;
  if (text_.size() + data.size() > max_text_bytes_) {
    text_is_complete_ = false;
    text_ = std::string();
    boundaries_.clear();
    return;
  }
  text_ += data;
  boundaries_.push_back({tokens_, text_.size()});
  if (boundaries_.size() > kMaxBoundaries)
    boundaries_.pop_front();
}

piece_result engine_answer::ApplyEnd(const endpoint::answer_end& end,
                                     effects& out) {
  if (end.total != tokens_ || !started_)
    return piece_result::kMalformed;
  finish_reason_ = end.finish_reason;
  out.push_back(send_end{tokens_, finish_reason_});
  return piece_result::kProgress;
}

std::optional<endpoint::resume_point> engine_answer::PrepareAttempt() {
  if (tokens_ == 0)
    return std::nullopt;
  return endpoint::resume_point{tokens_, text_};
}

std::optional<stored_answer> engine_answer::MakeStoredAnswer(
    std::size_t limit) const {
  if (!text_is_complete_ || text_.size() > limit)
    return std::nullopt;
  return stored_answer{200, content_type_, text_, tokens_, finish_reason_};
}

}  // namespace flamingoshunt::delivery
