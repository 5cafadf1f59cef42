// Defines the source of the ids that delivery hands out: attempts, platform
// calls and claim tokens. Each I/O thread of each process has its own, with a
// prefix that no other has, so that ids need no agreement.
#ifndef FLAMINGOSHUNT_DELIVERY_ID_SOURCE_H_
#define FLAMINGOSHUNT_DELIVERY_ID_SOURCE_H_

#include <cstdint>
#include <string>

#include "base/ids.h"
#include "store/messages.h"

namespace flamingoshunt::delivery {

class id_source {
 public:
  /// @param unique_prefix differs for each thread of each start of each
  ///        process: node id, random number drawn at the start, thread number.
  explicit id_source(std::string unique_prefix);

  base::attempt_id NextAttemptId();
  /// @return an id whose owner is delivery, see platform/call_ids.h.
  store::call_id NextCallId();

  /// @return a text that names one try to take one claim.
  std::string NextClaimToken();

 private:
  std::string prefix_;
  std::uint64_t last_attempt_ = 0;
  std::uint64_t last_call_ = 0;
  std::uint64_t claim_token_count_ = 0;
};

}  // namespace flamingoshunt::delivery

#endif  // FLAMINGOSHUNT_DELIVERY_ID_SOURCE_H_
