// Defines how a node proves that a peer message is its own and new: an
// HMAC-SHA256 under the cluster key, cut to 128 bits, over method, sender,
// receiver, counter and body; and for each sender a window of counters already
// used, so that a recorded message can't be played back.
#ifndef FLAMINGOSHUNT_MEMBERSHIP_AUTHENTICATOR_H_
#define FLAMINGOSHUNT_MEMBERSHIP_AUTHENTICATOR_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "base/errors.h"
#include "base/ids.h"

namespace flamingoshunt::membership {

/// A setting of the membership slice is wrong.
class membership_settings_error : public base::user_error {
 public:
  using base::user_error::user_error;
};

inline constexpr std::size_t kMinClusterKey = 16;  // bytes
inline constexpr std::size_t kMaxClusterKeys = 4;  // while keys are changed
inline constexpr std::size_t kReplayWindow = 64;   // counters
inline constexpr std::size_t kMaxSenders = 8192;   // windows kept

/// What a MAC covers, besides the key.
struct signed_parts {
  std::string_view method;  ///< "answer" for answers.
  std::string_view sender;
  std::string_view receiver;
  std::uint64_t counter = 0;  ///< For answers that of the request.
  std::string_view body;
};

/// Signs with the first key and accepts every key, so that keys can be changed
/// one node after another.
class authenticator {
 public:
  /// @throws membership_settings_error for no, too many or too short keys; the
  ///         message gives lengths, never a key.
  explicit authenticator(std::vector<std::string> keys);

  /// @return 22 characters of base64url.
  std::string Sign(const signed_parts& parts) const;

  /// @return whether @p mac fits; compared in constant time.
  bool Verify(const signed_parts& parts, std::string_view mac) const;

 private:
  std::vector<std::string> keys_;
};

/// Remembers for each sender the highest counter and which of the last
/// kReplayWindow were used.
class replay_guard {
 public:
  /// @return whether @p counter is new; marks it used then.
  bool Accept(const base::node_id& sender, std::uint64_t counter);

  /// @return the highest counter accepted from @p sender; zero if none.
  std::uint64_t Highest(const base::node_id& sender) const;

 private:
  struct window {
    std::uint64_t highest = 0;
    std::uint64_t used = 0;  // bit n: highest - n was used
  };
  std::unordered_map<base::node_id, window> windows_;
};

}  // namespace flamingoshunt::membership

#endif  // FLAMINGOSHUNT_MEMBERSHIP_AUTHENTICATOR_H_
