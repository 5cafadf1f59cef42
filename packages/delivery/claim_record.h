// Defines the object that stands in the platform for one Idempotency-Key: who
// claimed it, for which call, how that call ended, and its answer.
//
// claimed --> done      the call ran to its end; the answer may be stored
//         --> unknown   it may have run
//         --> refused   it surely did not run and never will; the next call
//                       with this key may claim it anew
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

/// Claims are spread over this many kinds, so that one list call of the
/// platform stays small.
inline constexpr int kClaimBuckets = 256;

enum class claim_state { kClaimed, kRefused, kDone, kUnknown };

struct claim_record {
  std::string token;      ///< Unique for each try to take the claim.
  std::string call_hash;  ///< SHA-256 of method, target and body.
  claim_state state = claim_state::kClaimed;
  base::wall_time created;
  base::wall_time expires;
  std::optional<stored_answer> answer;  ///< Only for kDone.
  bool operator==(const claim_record&) const = default;
};

/// @return the kind of bucket @p bucket, as in "claim-3f".
std::string MakeClaimKind(int bucket);

/// @return the name of the claim for the request's workspace, entry and key.
store::object_key MakeClaimKey(const caller::request& request);

/// @return what must be equal for two calls to be the same.
std::string HashCall(const caller::request& request);

std::string EncodeClaim(const claim_record& record);

/// @return nothing when @p text is not a claim.
std::optional<claim_record> DecodeClaim(std::string_view text);

}  // namespace flamingoshunt::delivery

#endif  // FLAMINGOSHUNT_DELIVERY_CLAIM_RECORD_H_
