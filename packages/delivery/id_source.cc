#include "delivery/id_source.h"

#include <utility>

#include "base/hash.h"
#include "store/call_ids.h"

namespace flamingoshunt::delivery {
namespace {

// An attempt id is 32 bits of the prefix's hash and a counter of 32 bits; a
// call id is the owner (8 bits), 16 bits of the hash and a counter of 40 bits.
constexpr int kAttemptCounterBits = 32;
constexpr int kCallCounterBits = 40;
constexpr int kCallHashBits = 16;

std::uint64_t FirstCall(std::uint64_t hash) {
  const auto owner = static_cast<std::uint64_t>(store::call_owner::kDelivery);
  const std::uint64_t thread = hash >> (64 - kCallHashBits);
  return owner << store::kOwnerShift | thread << kCallCounterBits;
}

}  // namespace

id_source::id_source(std::string unique_prefix)
    : prefix_(std::move(unique_prefix)) {
  const std::uint64_t hash = base::Hash64(prefix_);
  next_attempt_ = hash << kAttemptCounterBits;
  next_call_ = FirstCall(hash);
}

base::attempt_id id_source::NextAttempt() {
  return base::attempt_id(++next_attempt_);
}

store::call_id id_source::NextCall() {
  return store::call_id(++next_call_);
}

std::string id_source::NextClaimToken() {
  return prefix_ + "-" + std::to_string(++tokens_);
}

}  // namespace flamingoshunt::delivery
