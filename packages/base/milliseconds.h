// Defines how durations become numbers of milliseconds and back, for estimates,
// logs and messages.
#ifndef FLAMINGOSHUNT_BASE_MILLISECONDS_H_
#define FLAMINGOSHUNT_BASE_MILLISECONDS_H_

#include <chrono>
#include <cstdint>

#include "base/clock.h"

namespace flamingoshunt::base {

/// @return @p length in milliseconds with its fraction, for estimates.
inline double Milliseconds(duration length) {
  return std::chrono::duration<double, std::milli>(length).count();
}

/// @return @p length in whole milliseconds, for logs and messages.
inline std::int64_t WholeMilliseconds(duration length) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(length).count();
}

/// @return the duration of @p ms milliseconds.
inline duration FromMilliseconds(double ms) {
  return std::chrono::duration_cast<duration>(
      std::chrono::duration<double, std::milli>(ms));
}

}  // namespace flamingoshunt::base

#endif  // FLAMINGOSHUNT_BASE_MILLISECONDS_H_
