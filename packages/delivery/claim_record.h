// Defines the platform object that records one Idempotency-Key: who claimed it,
// for which call, how that call ended, and its answer.
//
// claimed --> done      the call completed; its answer may be stored
//         --> unknown   the call may have run
//         --> refused   the call did not run and never will; the next call
//                       with this key may claim it again
#ifndef FLAMINGOSHUNT_DELIVERY_CLAIM_RECORD_H_
#define FLAMINGOSHUNT_DELIVERY_CLAIM_RECORD_H_

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/clock.h"
#include "caller/messages.h"
#include "delivery/answer_assembler.h"
#include "store/messages.h"

namespace flamingoshunt::delivery {

/// Claims are spread over this many object kinds, so that each list call to the
/// platform stays small.
inline constexpr int kClaimBuckets = 256;

enum class claim_state { kClaimed, kRefused, kDone, kUnknown };

struct claim_record {
  std::string token;      ///< Unique for each attempt to acquire the claim.
  std::string call_hash;  ///< SHA-256 of method, target and body.
  claim_state state = claim_state::kClaimed;
  base::wall_time created;
  base::wall_time expires;
  std::optional<stored_answer> answer;  ///< Only for kDone.
  bool operator==(const claim_record&) const = default;
};

/// @return the object kind of bucket @p bucket, such as "claim-3f".
std::string MakeClaimKind(int bucket);

/// @return the platform key of the claim for the request's workspace, entry and
/// Idempotency-Key.
store::object_key MakeClaimKey(const caller::request& request);

/// @return the hash by which a repeated call is recognised: SHA-256 of method,
/// target and body.
std::string HashCall(const caller::request& request);

/// @return the claim as JSON.
std::string EncodeClaim(const claim_record& record);

/// @return the claim, or nothing if @p text is not a valid one.
std::optional<claim_record> DecodeClaim(std::string_view text);

}  // namespace flamingoshunt::delivery

#endif  // FLAMINGOSHUNT_DELIVERY_CLAIM_RECORD_H_
