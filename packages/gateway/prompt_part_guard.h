// Detects parts of prompts that crash the replicas which begin to write an
// answer on them. Requests that contain such a part need have nothing else in
// common, and share their other parts with requests that are served; so the
// crashes are counted by part, and answers vouch for the parts that they were
// written on. Every node counts what it observed and what its peers report; a
// part that any node blames is refused on all nodes.
#ifndef FLAMINGOSHUNT_GATEWAY_PROMPT_PART_GUARD_H_
#define FLAMINGOSHUNT_GATEWAY_PROMPT_PART_GUARD_H_

#include <cstddef>
#include <optional>
#include <set>
#include <unordered_map>
#include <vector>

#include "base/clock.h"
#include "base/ids.h"
#include "gateway/crash_guard.h"

namespace flamingoshunt::gateway {

/// Something known of a prompt part, as nodes tell each other.
struct part_sighting {
  base::fingerprint part;
  base::duration age{};  ///< Since the answer or the crash.
  bool operator==(const part_sighting&) const = default;
};

/// Attributes crashes to prompt parts. Uses no sockets and no clock.
class prompt_part_guard {
 public:
  /// Crashes after which a part is blamed on which no answer is known; more
  /// than an unrelated failure usually causes among requests of one prompt.
  static constexpr std::size_t kMinCrashes = 3;
  /// How many of these must have come one after the other: connections that are
  /// reset at the same time are one piece of evidence.
  static constexpr std::size_t kMinConsecutive = 2;
  /// The same since the last answer on a part. The deployment's rules limit the
  /// crashes that may follow the fifth.
  static constexpr std::size_t kMinCrashesAnswered = 5;
  static constexpr std::size_t kMinConsecutiveAnswered = 3;
  /// By how much the reports of failures at the same time may be apart.
  static constexpr base::duration kMaxReportDelay =
      std::chrono::milliseconds(100);
  /// Two failures of one replica count as two crashes if the second request was
  /// sent this long after the first failure: the replica has started again.
  static constexpr base::duration kMinRestartTime = std::chrono::seconds(1);
  /// How long crashes and a blame count. After that, a single crash renews the
  /// blame.
  static constexpr base::duration kEvidenceLifetime = std::chrono::minutes(5);
  /// How long after a crash the peers are told of answers on its parts.
  static constexpr base::duration kVouchingTime = std::chrono::seconds(10);
  /// Interval between two such messages about one part.
  static constexpr base::duration kVouchingPeriod =
      std::chrono::milliseconds(500);
  /// Parts tracked; beyond that those unused for longest are evicted.
  static constexpr std::size_t kMaxParts = 8192;
  /// Crashes kept of one part; the oldest are dropped.
  static constexpr std::size_t kMaxCrashes = 16;
  /// Parts listed in one message.
  static constexpr std::size_t kMaxListedParts = 64;

  /// Counts a crash.
  /// @return the part that is blamed from now on, if any.
  std::optional<base::fingerprint> RecordCrash(const crash_report& report,
                                               base::time_point now);

  /// An answer was written on a prompt with this part.
  /// @return whether this lifted a blame.
  bool RecordAnswer(base::fingerprint part, base::time_point now);

  /// A peer received an answer written on this part.
  /// @return whether this lifted a blame.
  bool ApplyAnswer(const part_sighting& answer, base::time_point now);

  /// A peer blames this part for crashes, the last one @c age ago.
  /// @return whether this node didn't blame it before.
  bool ApplyBlame(const part_sighting& crash, base::time_point now);

  /// @return the first of @p parts that is blamed.
  std::optional<base::fingerprint> FindBlamed(
      const std::vector<base::fingerprint>& parts,
      base::time_point now) const;

  /// @return the parts blamed, with the age of their last crash; those with the
  ///         newest crashes if there are more than kMaxListedParts.
  std::vector<part_sighting> BlamedParts(base::time_point now) const;

  /// @return the parts of recent crashes on which this node has received an
  ///         answer; repeatedly, since datagrams get lost.
  std::vector<part_sighting> TakeAnswersToReport(base::time_point now);

  std::size_t size() const { return histories_.size(); }

 private:
  struct crash {
    base::instance_id replica;
    base::time_point sent_at{};
    base::time_point observed_at{};
    std::vector<base::fingerprint> parts;  ///< Of the request.
  };
  struct history {
    std::optional<base::time_point> answered_at;  ///< At any node.
    std::optional<base::time_point> own_answer_at;
    std::optional<base::time_point> reported_at;
    std::vector<crash> crashes;  ///< Since the last answer, by time.
    std::optional<base::time_point> last_crash_at;  ///< At any time.
    bool blamed = false;
    base::time_point last_used_at{};
  };

  static bool IsBlamed(const history& of, base::time_point now);
  static bool IsRepeated(const history& of, const crash& newer);
  static bool IsBlamable(const history& of);
  static std::size_t ConsecutiveCrashes(const history& of);
  static void AddCrash(history& of, const crash& newer, base::time_point now);
  static bool OnAnswer(history& of, base::time_point answered_at);
  history& FindOrCreate(base::fingerprint part, base::time_point now);
  bool NoteCrash(const crash& newer, base::time_point now);
  std::optional<base::fingerprint> FindCulprit(
      const std::vector<base::fingerprint>& parts) const;
  void Blame(base::fingerprint part);
  void Evict(base::time_point now);

  std::unordered_map<base::fingerprint, history> histories_;
  /// Parts in a crash of the last kVouchingTime; may hold older ones.
  std::set<base::fingerprint> recently_crashed_;
  /// Parts that are or were blamed.
  std::set<base::fingerprint> blamed_;
};

}  // namespace flamingoshunt::gateway

#endif  // FLAMINGOSHUNT_GATEWAY_PROMPT_PART_GUARD_H_
