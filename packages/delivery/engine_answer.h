// Defines the assembly of an engine's token stream. Offsets and totals count
// tokens from the start of the answer, whichever attempt sends them, so
// duplicates and overlaps are detected by offset:
//
//   has tokens 0..4, receives chunk 3..6   tokens 3 and 4 are dropped, 5 and 6
//                                          are sent to the caller
//   has tokens 0..4, receives chunk 7..8   a gap: the stream is malformed
#ifndef FLAMINGOSHUNT_DELIVERY_ENGINE_ANSWER_H_
#define FLAMINGOSHUNT_DELIVERY_ENGINE_ANSWER_H_

#include <deque>
#include <string>
#include <string_view>

#include "delivery/answer_assembler.h"

namespace flamingoshunt::delivery {

class engine_answer final : public answer_assembler {
 public:
  engine_answer(bool stream, const answer_settings& settings);

  piece_result ApplyHead(const endpoint::answer_head& head,
                         effects& out) override;
  piece_result ApplyChunk(const endpoint::answer_chunk& chunk,
                          effects& out) override;
  piece_result ApplyEnd(const endpoint::answer_end& end, effects& out) override;
  bool CanRetry() const override { return text_is_complete_; }
  std::optional<endpoint::resume_point> PrepareAttempt() override;
  std::uint64_t tokens() const override { return tokens_; }
  bool started() const override { return started_; }
  std::optional<stored_answer> MakeStoredAnswer(
      std::size_t limit) const override;

 private:
  // The end of a chunk, where an overlapping chunk may begin.
  struct boundary {
    std::uint64_t token = 0;
    std::size_t byte = 0;  // In text_.
  };

  std::optional<std::string_view> TrimOverlap(std::uint64_t offset,
                                              std::string_view data) const;
  void Append(std::uint64_t end, std::string_view data);

  const bool stream_;
  const std::size_t max_text_bytes_;
  std::uint64_t tokens_ = 0;
  std::string text_;
  bool text_is_complete_ = true;  // False once it exceeds the limit.
  std::deque<boundary> boundaries_;
  bool started_ = false;
  std::string content_type_;
  std::string finish_reason_;
};

}  // namespace flamingoshunt::delivery

#endif  // FLAMINGOSHUNT_DELIVERY_ENGINE_ANSWER_H_
