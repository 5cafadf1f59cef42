// Defines reconciliation (anti-entropy): when a probe shows that two nodes know
// different things, they compare digests by bucket, then versions, and give
// each other what is newer.
#ifndef FLAMINGOSHUNT_MEMBERSHIP_RECONCILER_H_
#define FLAMINGOSHUNT_MEMBERSHIP_RECONCILER_H_

#include "membership/core.h"
#include "membership/learner.h"

namespace flamingoshunt::membership {

class reconciler {
 public:
  reconciler(core& shared, learner& learn);

  /// A probe brought @p peer_digest of @p from.
  void OnDigest(const base::node_id& from,
                std::uint64_t peer_digest,
                base::time_point now);

  sync_answer OnSync(const sync& asked) const;
  exchange_answer OnExchange(const exchange& given,
                             const base::node_id& from,
                             base::time_point now);

  void OnSyncAnswer(const base::node_id& from,
                    const sync_answer& given,
                    const sync_call& reason,
                    base::time_point now);
  void OnExchangeAnswer(const base::node_id& from,
                        const exchange_answer& given,
                        const exchange_call& reason,
                        base::time_point now);

 private:
  void StartSync(const base::node_id& with, int round, base::time_point now);

  core& core_;
  learner& learner_;
  base::time_point last_sync_;
  bool synced_ = false;
};

}  // namespace flamingoshunt::membership

#endif  // FLAMINGOSHUNT_MEMBERSHIP_RECONCILER_H_
