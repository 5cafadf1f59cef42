// Defines an engine that streams a fixed text and fails as scripted: one script
// for each attempt, and no failure after the last one.
#ifndef FLAMINGOSHUNT_DELIVERY_TESTS_FAKES_SCRIPTED_ENGINE_H_
#define FLAMINGOSHUNT_DELIVERY_TESTS_FAKES_SCRIPTED_ENGINE_H_

#include <algorithm>
#include <ostream>
#include <string>
#include <vector>

#include "delivery/tests/fakes/simulation.h"

namespace flamingoshunt::delivery {

enum class engine_failure {
  kClosed,
  kStalled,
  kGap,             ///< Skips a token.
  kEarlyEnd,        ///< Sends the end event before all tokens.
  kOverstatedTotal  ///< Ends with a total above what it sent.
};
inline constexpr int kEngineFailures = 5;

struct attempt_script {
  std::uint64_t fails_at = 0;  ///< Token offset.
  engine_failure failure = engine_failure::kClosed;
  std::uint64_t overlap = 0;  ///< Tokens sent again from before the offset.
  std::uint64_t chunk = 1;    ///< Tokens in each chunk.
  bool duplicates_chunks = false;  ///< Sends every chunk twice.
  bool continues_later = false;    ///< Continues 5 s after its failure.
};

inline std::ostream& operator<<(std::ostream& out,
                                const attempt_script& script) {
  return out << "{at " << script.fails_at << ", failure "
             << static_cast<int>(script.failure) << ", overlap "
             << script.overlap << ", chunk " << script.chunk << ", doubles "
             << script.duplicates_chunks << ", later " << script.continues_later
             << "}";
}

class scripted_engine {
 public:
  explicit scripted_engine(std::vector<attempt_script> script)
      : script_(std::move(script)) {}

  static const std::vector<std::string>& Tokens() {
    static const std::vector<std::string> tokens = {
        "Set", " room", " 4", "", " to", " 18", "\xc2\xb0", "C", ",", " now"};
    return tokens;
  }

  static std::string Text(std::uint64_t from, std::uint64_t to) {
    std::string text;
    for (std::uint64_t i = from; i < to; ++i)
      text += Tokens()[i];
    return text;
  }

  static std::uint64_t TokenCount() { return Tokens().size(); }

  void Run(simulation& sim,
           const endpoint::attempt& attempt,
           simulated_call& call) {
    resumed_with_wrong_text |=
        attempt.resume &&
        attempt.resume->text != Text(0, attempt.resume->offset);
    const std::size_t number = attempts++;
    const attempt_script script =
        number < script_.size()
            ? script_[number]
            : attempt_script{
                  TokenCount() + 1, engine_failure::kClosed, 0, 1, 0, 0};
    Send(sim, endpoint::answer_head{attempt.id, 200, "text/event-stream"},
         call);
    const std::uint64_t offset = attempt.resume ? attempt.resume->offset : 0;
    const std::uint64_t start = offset - std::min(offset, script.overlap);
    const std::uint64_t end = std::min(script.fails_at, TokenCount());
    SendTokens(sim, attempt.id, start, end, script, call);
    if (script.fails_at > TokenCount())
      Send(sim, endpoint::answer_end{attempt.id, TokenCount(), "stop"}, call);
    else
      Fail(sim, attempt.id, std::max(offset, end), script, call);
  }

  std::size_t attempts = 0;
  bool resumed_with_wrong_text = false;

 private:
  static void Send(simulation& sim, const input& message, simulated_call& to) {
    sim.After(std::chrono::milliseconds(1),
              [&to, message] { to.HandleInput(message); });
  }

  static void SendTokens(simulation& sim,
                         base::attempt_id id,
                         std::uint64_t from,
                         std::uint64_t to,
                         const attempt_script& script,
                         simulated_call& call,
                         bool stale = false) {
    for (std::uint64_t offset = from; offset < to; offset += script.chunk) {
      const std::uint64_t next = std::min(to, offset + script.chunk);
      const endpoint::answer_chunk chunk{id, offset, next - offset,
                                         stale ? "stale" : Text(offset, next)};
      Send(sim, chunk, call);
      if (script.duplicates_chunks)
        Send(sim, chunk, call);
    }
  }

  static void Fail(simulation& sim,
                   base::attempt_id id,
                   std::uint64_t offset,
                   const attempt_script& script,
                   simulated_call& call) {
    if (script.failure == engine_failure::kClosed)
      Send(sim,
           endpoint::answer_broken{id, endpoint::break_kind::kClosed, true, ""},
           call);
    if (script.failure == engine_failure::kGap)
      Send(sim, endpoint::answer_chunk{id, offset + 1, 1, "lost"}, call);
    if (script.failure == engine_failure::kEarlyEnd && offset < TokenCount())
      Send(sim, endpoint::answer_end{id, TokenCount(), "stop"}, call);
    if (script.failure == engine_failure::kOverstatedTotal)
      Send(sim, endpoint::answer_end{id, offset + 7, "stop"}, call);
    if (script.continues_later)
      sim.After(std::chrono::seconds(5), [&sim, id, offset, script, &call] {
        // Messages of an attempt that has ended must be ignored.
        const bool stale = script.failure != engine_failure::kStalled;
        SendTokens(sim, id, offset, TokenCount(), script, call, stale);
        Send(sim, endpoint::answer_end{id, TokenCount(), "stop"}, call);
      });
  }

  std::vector<attempt_script> script_;
};

/// @return what is wrong with a draft served by an engine with this script, or
/// an empty text.
inline std::string FindStreamViolation(
    const std::vector<attempt_script>& script) {
  simulation sim;
  scripted_engine engine(script);
  sim.endpoint = [&](const auto& attempt, const auto&, auto& call) {
    engine.Run(sim, attempt, call);
  };
  const simulated_call& call = sim.StartCall(MakeDraft());
  sim.RunUntil(std::chrono::hours(1));
  if (engine.resumed_with_wrong_text)
    return "resumed with a wrong text";
  if (call.has_gap || call.tokens != scripted_engine::TokenCount())
    return "token offsets do not follow";
  if (call.data != scripted_engine::Text(0, scripted_engine::TokenCount()))
    return "the text differs: " + call.data;
  if (!call.complete || call.problem || !call.finished())
    return "did not end as a success";
  return call.held_slots == 0 ? "" : "kept its slot";
}

}  // namespace flamingoshunt::delivery

#endif  // FLAMINGOSHUNT_DELIVERY_TESTS_FAKES_SCRIPTED_ENGINE_H_
