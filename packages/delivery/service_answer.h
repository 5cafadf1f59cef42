// Defines the assembly of a plain service's answer. It is buffered until it is
// complete, so that a truncated answer never reaches the caller as a complete
// one and a repeatable call can be retried. Answers above the buffer limit and
// event streams are passed through as they arrive and cannot be retried
// afterwards.
#ifndef FLAMINGOSHUNT_DELIVERY_SERVICE_ANSWER_H_
#define FLAMINGOSHUNT_DELIVERY_SERVICE_ANSWER_H_

#include <string>

#include "delivery/answer_assembler.h"

namespace flamingoshunt::delivery {

class service_answer final : public answer_assembler {
 public:
  service_answer(bool repeatable, const answer_settings& settings);

  piece_result ApplyHead(const endpoint::answer_head& head,
                         effects& out) override;
  piece_result ApplyChunk(const endpoint::answer_chunk& chunk,
                          effects& out) override;
  piece_result ApplyEnd(const endpoint::answer_end& end, effects& out) override;
  bool CanRetry() const override { return !passing_through_; }
  std::optional<endpoint::resume_point> PrepareAttempt() override;
  std::uint64_t tokens() const override { return 0; }
  bool started() const override { return passing_through_; }
  std::optional<stored_answer> MakeStoredAnswer(
      std::size_t limit) const override;

 private:
  void PassThrough(effects& out);

  const bool repeatable_;
  const std::size_t buffer_limit_;
  bool has_head_ = false;
  int status_ = 0;
  std::string content_type_;
  std::uint64_t received_bytes_ = 0;  // Received from the current attempt.
  std::string buffer_;                // Not yet sent to the caller.
  bool passing_through_ = false;
};

}  // namespace flamingoshunt::delivery

#endif  // FLAMINGOSHUNT_DELIVERY_SERVICE_ANSWER_H_
