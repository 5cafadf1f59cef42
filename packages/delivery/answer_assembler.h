// Defines the putting together of one answer from the pieces that one or more
// attempts bring. A strategy for each kind of entry: engines answer with a
// stream of tokens that a further attempt can continue, services with bytes
// that only count once they are whole.
#ifndef FLAMINGOSHUNT_DELIVERY_ANSWER_ASSEMBLER_H_
#define FLAMINGOSHUNT_DELIVERY_ANSWER_ASSEMBLER_H_

#include <memory>
#include <optional>
#include <string>

#include "caller/messages.h"
#include "delivery/messages.h"
#include "delivery/settings.h"
#include "endpoint/messages.h"

namespace flamingoshunt::delivery {

enum class piece_result {
  kProgress,        ///< Something new.
  kDuplicate,       ///< A duplicate.
  kMalformed,       ///< Does not fit what came before.
  kRetryElsewhere,  ///< The endpoint is overloaded, leaving or failing.
  kRejected         ///< The engine refuses the request itself.
};

/// A complete answer as it is stored for repeats of the call.
struct stored_answer {
  int status = 200;
  std::string content_type;
  std::string data;
  std::uint64_t total = 0;  ///< Tokens, or bytes for services.
  std::string finish_reason;
  bool operator==(const stored_answer&) const = default;
};

class answer_assembler {
 public:
  virtual ~answer_assembler() = default;

  virtual piece_result ApplyHead(const endpoint::answer_head& head,
                                 effects& out) = 0;
  virtual piece_result ApplyChunk(const endpoint::answer_chunk& chunk,
                                  effects& out) = 0;
  /// kProgress means that the answer is whole and send_end was emitted.
  virtual piece_result ApplyEnd(const endpoint::answer_end& end,
                                effects& out) = 0;

  /// @return whether a further attempt can complete the answer.
  virtual bool CanRetry() const = 0;

  /// Prepares for a further attempt.
  /// @return where it shall go on, nothing when from the start.
  virtual std::optional<endpoint::resume_point> PrepareAttempt() = 0;

  /// @return tokens taken so far, zero for services.
  virtual std::uint64_t tokens() const = 0;

  /// @return whether the caller has been sent anything.
  virtual bool started() const = 0;

  /// @return the complete answer unless it is above @p limit bytes.
  virtual std::optional<stored_answer> MakeStoredAnswer(
      std::size_t limit) const = 0;
};

std::unique_ptr<answer_assembler> MakeAnswerAssembler(
    const caller::request& request,
    const answer_settings& settings);

}  // namespace flamingoshunt::delivery

#endif  // FLAMINGOSHUNT_DELIVERY_ANSWER_ASSEMBLER_H_
