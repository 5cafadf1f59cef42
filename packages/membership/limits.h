// Defines the bounds and timings of the membership slice.
#ifndef FLAMINGOSHUNT_MEMBERSHIP_LIMITS_H_
#define FLAMINGOSHUNT_MEMBERSHIP_LIMITS_H_

#include <cstddef>

#include "base/clock.h"

namespace flamingoshunt::membership {

inline constexpr std::size_t kMaxMembers = 4096;            // also gone ones
inline constexpr std::size_t kMaxItems = 16384;             // of all origins
inline constexpr std::size_t kMaxItemsPerOrigin = 512;      //
inline constexpr std::size_t kMaxItemValue = 4096;          // bytes
inline constexpr std::size_t kMaxItemBytes = 8 << 20;       // bytes, all values
inline constexpr std::size_t kMaxNameLength = 255;          // bytes
inline constexpr std::size_t kMaxPacketRecords = 16 << 10;  // bytes
inline constexpr std::size_t kMaxStamps = 256;              // of a sync answer
inline constexpr std::size_t kMaxWanted = 128;              // of an exchange
inline constexpr std::size_t kMaxBody = 128 << 10;  // bytes of a POST, escaped

/// Timings that tests and operators may change; the rest follows from them.
struct timing {
  base::duration probe_period_step = std::chrono::milliseconds(200);
  base::duration direct_timeout = std::chrono::milliseconds(400);
  base::duration cross_region_timeout = std::chrono::milliseconds(1000);
  base::duration indirect_timeout = std::chrono::milliseconds(1200);
  base::duration suspicion_step = std::chrono::milliseconds(2000);
  base::duration dead_retention = std::chrono::hours(1);
  base::duration orphan_retention = std::chrono::minutes(2);
  base::duration sweep_delay = std::chrono::minutes(10);
};

}  // namespace flamingoshunt::membership

#endif  // FLAMINGOSHUNT_MEMBERSHIP_LIMITS_H_
