#include "delivery/id_source.h"

#include <utility>

#include "base/hash.h"
#include "store/call_ids.h"

namespace flamingoshunt::delivery {
namespace {

// An attempt id consists of 32 bits of the prefix's hash and a 32-bit counter;
// a call id of the owner (8 bits), 16 bits of the hash and a 40-bit counter.
constexpr int kAttemptCounterBits = 32;
constexpr int kCallCounterBits = 40;
constexpr int kCallHashBits = 16;

std::uint64_t FirstCallId(std::uint64_t hash) {
  const auto owner = static_cast<std::uint64_t>(store::call_owner::kDelivery);
  const std::uint64_t thread_bits = hash >> (64 - kCallHashBits);
  return owner << store::kOwnerShift | thread_bits << kCallCounterBits;
}

}  // namespace

id_source::id_source(std::string unique_prefix)
    : prefix_(std::move(unique_prefix)) {
  const std::uint64_t hash = base::Hash64(prefix_);
  last_attempt_ = hash << kAttemptCounterBits;
  last_call_ = FirstCallId(hash);
}

base::attempt_id id_source::NextAttemptId() {
  return base::attempt_id(++last_attempt_);
}

store::call_id id_source::NextCallId() {
  return store::call_id(++last_call_);
}

std::string id_source::NextClaimToken() {
  return prefix_ + "-" + std::to_string(++claim_token_count_);
}

}  // namespace flamingoshunt::delivery
