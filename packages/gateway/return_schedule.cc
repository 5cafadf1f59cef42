#include "gateway/return_schedule.h"

#include <algorithm>

#include "base/milliseconds.h"

namespace flamingoshunt::gateway {
namespace {

base::duration Part(base::duration whole, double part) {
  return base::FromMilliseconds(base::Milliseconds(whole) * part);
}

}  // namespace

base::duration return_schedule::Reserve(base::duration earliest,
                                        base::duration spacing,
                                        base::duration longest,
                                        base::time_point now,
                                        base::random_engine& random) {
  const base::time_point at =
      std::max(now + earliest, last_reserved_ + spacing);
  // All moments that the caller accepts are taken: the later half is as good as
  // any, and demand has had time to fall.
  if (at > now + longest)
    return Part(longest, (1 + base::RandomUnit(random)) / 2);
  last_reserved_ = at;
  // Other nodes promise from the same forecast.
  const base::duration jitter = Part(spacing, base::RandomUnit(random));
  return std::min(at - now + jitter, longest);
}

}  // namespace flamingoshunt::gateway
