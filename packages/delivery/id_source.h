// Defines the generator of delivery's ids: attempts, platform calls and claim
// tokens. Each I/O thread of each process has its own with a unique prefix, so
// that ids are unique without coordination.
#ifndef FLAMINGOSHUNT_DELIVERY_ID_SOURCE_H_
#define FLAMINGOSHUNT_DELIVERY_ID_SOURCE_H_

#include <cstdint>
#include <string>

#include "base/ids.h"
#include "store/messages.h"

namespace flamingoshunt::delivery {

class id_source {
 public:
  /// @param unique_prefix unique for each thread and each process start: node
  ///        id, random number drawn at startup, thread number.
  explicit id_source(std::string unique_prefix);

  base::attempt_id NextAttemptId();
  /// @return an id whose owner is delivery, see store/call_ids.h.
  store::call_id NextCallId();

  /// @return a unique token for one attempt to acquire a claim.
  std::string NextClaimToken();

 private:
  std::string prefix_;
  std::uint64_t last_attempt_ = 0;
  std::uint64_t last_call_ = 0;
  std::uint64_t claim_token_count_ = 0;
};

}  // namespace flamingoshunt::delivery

#endif  // FLAMINGOSHUNT_DELIVERY_ID_SOURCE_H_
