// Attributes crashes of replicas to what the requests in flight had in common.
// Each crash names keys that may be its cause: fingerprints of a request, or of
// the parts of its prompt. Crashes are counted by key, and answers clear the
// keys of their requests, since what crashes every replica is never answered.
// Every node counts what it observed and what its peers report; a key that any
// node blames is refused on all nodes.
#ifndef FLAMINGOSHUNT_GATEWAY_CRASH_ATTRIBUTION_H_
#define FLAMINGOSHUNT_GATEWAY_CRASH_ATTRIBUTION_H_

#include <cstddef>
#include <optional>
#include <set>
#include <unordered_map>
#include <vector>

#include "base/clock.h"
#include "base/ids.h"

namespace flamingoshunt::gateway {

/// A request was in flight at a replica when that replica crashed.
struct crash_report {
  base::fingerprint request;
  base::instance_id replica;
  /// Of the prompt, if the connection closed before the first event: any of
  /// them may be the cause. Otherwise empty.
  std::vector<base::fingerprint> prompt_parts = {};
  base::duration attempt_duration{};  ///< From sending to the crash.
  base::duration age{};               ///< Since the crash.
  /// Distinguishes requests that share @c request; empty in reports of older
  /// nodes.
  std::optional<base::fingerprint> exact_request = {};
  bool operator==(const crash_report&) const = default;
};

/// An answer to a request with a key, or a crash under one.
struct key_sighting {
  base::fingerprint key;
  base::duration age{};  ///< Since the answer or the crash.
  bool operator==(const key_sighting&) const = default;
};

/// Of one set of keys.
struct attribution_options {
  std::size_t max_keys = 8192;
  /// Crashes that this node observed itself follow each other if the second
  /// attempt was sent after the first crash was known. Otherwise a report's
  /// delay is added, as for the peers' crashes.
  bool trusts_own_order = false;
  /// Whether an answer is reported again when no later one has come.
  bool repeats_answers = true;
  /// Crashes of a key before its answers are reported, unless a peer blames it.
  std::size_t min_reported_crashes = 0;
  /// Interval between two lists of answers, each of kMaxListedKeys.
  base::duration listing_period{};
};

/// Counts crashes by key. Uses no sockets and no clock.
class crash_attribution {
 public:
  /// Crashes after which a key is blamed on which no answer is known; more
  /// than an unrelated failure usually causes among requests with one key.
  static constexpr std::size_t kMinCrashes = 3;
  /// How many of these must have come one after the other: connections that are
  /// reset at the same time are one piece of evidence.
  static constexpr std::size_t kMinConsecutive = 2;
  /// The same since the last answer on a key. The deployment's rules limit the
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
  /// How long after a crash, or the end of a blame, answers on its keys are
  /// reported to the peers.
  static constexpr base::duration kVouchingTime = std::chrono::seconds(10);
  /// Interval between two such messages about one key.
  static constexpr base::duration kVouchingPeriod =
      std::chrono::milliseconds(500);
  /// How long after the last crash one request with a blamed key may run: a
  /// blame for failures with another cause would otherwise last until it
  /// expires, since a refused key gets no answer that clears it.
  static constexpr base::duration kTrialDelay = std::chrono::seconds(10);
  /// Crashes kept of one key; the oldest are dropped.
  static constexpr std::size_t kMaxCrashes = 16;
  /// Keys listed in one message.
  static constexpr std::size_t kMaxListedKeys = 64;

  explicit crash_attribution(attribution_options options = {})
      : options_(options) {}

  /// A peer received an answer to a request with this key.
  /// @return whether this lifted a blame.
  bool ApplyAnswer(const key_sighting& answer, base::time_point now);

  /// A peer blames this key for crashes, the last one @c age ago.
  /// @return whether this node didn't blame it before.
  bool ApplyBlame(const key_sighting& crash, base::time_point now);

  /// A request with this key was answered.
  /// @return whether this lifted a blame.
  bool RecordAnswer(base::fingerprint key, base::time_point now);

  /// @return the first of @p keys that is blamed.
  std::optional<base::fingerprint> FindBlamed(
      const std::vector<base::fingerprint>& keys,
      base::time_point now) const;

  /// @return the keys blamed, with the age of their last crash; those with the
  ///         newest crashes if there are more than kMaxListedKeys.
  std::vector<key_sighting> BlamedKeys(base::time_point now) const;

  /// @return the keys of recent crashes on which this node has received an
  ///         answer; repeatedly, since datagrams get lost.
  std::vector<key_sighting> TakeAnswersToReport(base::time_point now);

  std::size_t size() const { return histories_.size(); }

 protected:
  struct crash {
    base::instance_id replica;
    base::time_point sent_at{};
    base::time_point observed_at{};
    bool own = false;  ///< Observed by this node.
    std::vector<base::fingerprint> keys;
  };
  struct outcome {
    bool counted = false;  ///< The crash was unknown, and no answer is newer.
    std::size_t crashes = 0;                  ///< Of the key with most.
    std::optional<base::fingerprint> blamed;  ///< From now on.
  };

  static crash MakeCrash(const crash_report& report,
                         bool own,
                         base::time_point now);

  /// Counts a crash for each of its keys. Of several that could be the cause,
  /// the last one is blamed.
  outcome RecordCrash(const crash& newer, base::time_point now);

  /// @return whether a request with the blamed @p key may run after all: once
  ///         while it is blamed, on the node that observed the last crash.
  bool IsTrialDue(base::fingerprint key, base::time_point now) const;
  /// Records that such a request runs.
  void MarkTried(base::fingerprint key);

 private:
  struct history {
    std::optional<base::time_point> answered_at;  ///< At any node.
    std::optional<base::time_point> own_answer_at;
    std::optional<base::time_point> reported_at;
    base::time_point vouch_until{};
    /// Peers may blame it for a crash that own_answer_at followed.
    bool doubted = false;
    std::vector<crash> crashes;  ///< Since the last answer, by time.
    std::size_t crashes_seen = 0;
    std::optional<base::time_point> last_crash_at;  ///< At any time.
    bool last_crash_is_own = false;
    bool blamed = false;
    bool tried = false;  ///< Since it is blamed.
    base::time_point last_used_at{};
  };

  static bool IsBlamed(const history& of, base::time_point now);
  static bool IsRepeated(const history& of, const crash& newer);
  void NoteCrash(base::fingerprint key, base::time_point at, bool own);
  static bool OnAnswer(history& of, base::time_point answered_at);
  static bool AddCrash(history& of, const crash& newer, base::time_point now);
  bool IsBlamable(const history& of) const;
  std::size_t ConsecutiveCrashes(const history& of) const;
  history& FindOrCreate(base::fingerprint key, base::time_point now);
  std::optional<base::fingerprint> FindCulprit(
      const std::vector<base::fingerprint>& keys) const;
  void Blame(base::fingerprint key);
  void Evict(base::time_point now);

  attribution_options options_;
  std::unordered_map<base::fingerprint, history> histories_;
  /// Keys whose answers are reported to the peers; may hold others.
  std::set<base::fingerprint> vouched_;
  base::time_point next_listing_at_{};
  /// Keys that are or were blamed.
  std::set<base::fingerprint> blamed_;
};

}  // namespace flamingoshunt::gateway

#endif  // FLAMINGOSHUNT_GATEWAY_CRASH_ATTRIBUTION_H_
