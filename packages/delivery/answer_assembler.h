// Defines how one answer is assembled from the pieces of one or more attempts.
// There is one strategy for each kind of entry: an engine's token stream can be
// resumed by a further attempt, while a service's bytes count only once the
// answer is complete.
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
  kProgress,        ///< New data, or a valid head or end.
  kDuplicate,       ///< Contains nothing new.
  kMalformed,       ///< Inconsistent with the earlier pieces.
  kRetryElsewhere,  ///< The endpoint is overloaded, leaving or failing.
  kRejected         ///< The engine rejects the request itself.
};

/// A complete answer, as stored for repeats of the call.
struct stored_answer {
  int status = 200;
  std::string content_type;
  std::string data;
  std::uint64_t total = 0;  ///< Tokens, or bytes for services.
  std::string finish_reason;
  bool operator==(const stored_answer&) const = default;
};

/// Assembles one answer. The Apply functions append the effects that send
/// data to the caller to their last argument.
class answer_assembler {
 public:
  virtual ~answer_assembler() = default;

  virtual piece_result ApplyHead(const endpoint::answer_head& head,
                                 effects& out) = 0;
  virtual piece_result ApplyChunk(const endpoint::answer_chunk& chunk,
                                  effects& out) = 0;
  /// @return kProgress when the answer is complete and send_end was appended.
  virtual piece_result ApplyEnd(const endpoint::answer_end& end,
                                effects& out) = 0;

  /// @return whether a further attempt can complete the answer.
  virtual bool CanRetry() const = 0;

  /// Prepares for the next attempt.
  /// @return where it resumes, or nothing if it starts from the beginning.
  virtual std::optional<endpoint::resume_point> PrepareAttempt() = 0;

  /// @return tokens received so far, zero for services.
  virtual std::uint64_t tokens() const = 0;

  /// @return whether the answer has been started to the caller.
  virtual bool started() const = 0;

  /// @return the complete answer, or nothing if it exceeds @p limit bytes.
  virtual std::optional<stored_answer> MakeStoredAnswer(
      std::size_t limit) const = 0;
};

/// @return the assembler for the request's kind of entry.
std::unique_ptr<answer_assembler> MakeAnswerAssembler(
    const caller::request& request,
    const answer_settings& settings);

}  // namespace flamingoshunt::delivery

#endif  // FLAMINGOSHUNT_DELIVERY_ANSWER_ASSEMBLER_H_
