// Defines how the slices of one node share the space of call ids, so that the
// platform client's replies find their way back: the top byte names the owner.
#ifndef FLAMINGOSHUNT_STORE_CALL_IDS_H_
#define FLAMINGOSHUNT_STORE_CALL_IDS_H_

#include <cstdint>

#include "store/messages.h"

namespace flamingoshunt::store {

enum class call_owner : std::uint8_t {
  kClient = 1,
  kCatalogue,
  kMembership,
  kReplica,
  kDelivery,
  kControl
};

inline constexpr int kOwnerShift = 56;  // bits

/// Hands out call ids that no other owner uses.
class call_id_source {
 public:
  explicit call_id_source(call_owner owner)
      : next_(static_cast<std::uint64_t>(owner) << kOwnerShift) {}

  call_id Next() { return call_id(++next_); }

 private:
  std::uint64_t next_;
};

/// @return whom a reply with @p id belongs to.
inline call_owner OwnerOf(call_id id) {
  return static_cast<call_owner>(id.value() >> kOwnerShift);
}

}  // namespace flamingoshunt::store

#endif  // FLAMINGOSHUNT_STORE_CALL_IDS_H_
