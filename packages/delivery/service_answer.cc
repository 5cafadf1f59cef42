#include "delivery/service_answer.h"

#include <string_view>

#include "caller/render_stream.h"

namespace flamingoshunt::delivery {
namespace {

constexpr int kServiceUnavailable = 503;  // HTTP status

bool IsEventStream(std::string_view content_type) {
  return content_type.substr(0, caller::kEventStream.size()) ==
         caller::kEventStream;
}

}  // namespace

service_answer::service_answer(bool repeatable, const answer_settings& settings)
    : repeatable_(repeatable), buffer_limit_(settings.max_service_buffer) {}

piece_result service_answer::ApplyHead(const endpoint::answer_head& head,
                                       effects& out) {
  if (has_head_)
    return piece_result::kMalformed;
  if (repeatable_ && head.status == kServiceUnavailable)
    return piece_result::kRetryElsewhere;
  has_head_ = true;
  status_ = head.status;
  content_type_ = head.content_type;
  if (IsEventStream(content_type_))
    PassThrough(out);
  return piece_result::kProgress;
}

piece_result service_answer::ApplyChunk(const endpoint::answer_chunk& chunk,
                                        effects& out) {
  if (!has_head_ || chunk.offset != received_bytes_)
    return piece_result::kMalformed;
  if (chunk.data.empty())
    return piece_result::kDuplicate;
  received_bytes_ += chunk.data.size();
  if (passing_through_) {
    out.push_back(send_chunk{chunk.offset, 0, chunk.data});
    return piece_result::kProgress;
  }
  buffer_ += chunk.data;
  if (buffer_.size() > buffer_limit_)
    PassThrough(out);
  return piece_result::kProgress;
}

void service_answer::PassThrough(effects& out) {
  passing_through_ = true;
  out.push_back(send_head{status_, content_type_, true});
  if (buffer_.empty())
    return;
  out.push_back(send_chunk{0, 0, std::move(buffer_)});
  buffer_ = std::string();
}

piece_result service_answer::ApplyEnd(const endpoint::answer_end& end,
                                      effects& out) {
  if (!has_head_ || end.total != received_bytes_)
    return piece_result::kMalformed;
  if (!passing_through_) {
    out.push_back(send_head{status_, content_type_, false});
    if (!buffer_.empty())
      out.push_back(send_chunk{0, 0, buffer_});
  }
  out.push_back(send_end{received_bytes_, end.finish_reason});
  return piece_result::kProgress;
}

std::optional<endpoint::resume_point> service_answer::PrepareAttempt() {
  has_head_ = false;
  received_bytes_ = 0;
  buffer_.clear();
  return std::nullopt;
}

std::optional<stored_answer> service_answer::MakeStoredAnswer(
    std::size_t limit) const {
  if (passing_through_ || buffer_.size() > limit)
    return std::nullopt;
  return stored_answer{status_, content_type_, buffer_, received_bytes_, {}};
}

}  // namespace flamingoshunt::delivery
