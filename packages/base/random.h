// Defines the generator that decision slices are given, so that a run can be
// repeated from its seed. Distributions come from Boost.Random, whose results
// are the same on every platform.
#ifndef FLAMINGOSHUNT_BASE_RANDOM_H_
#define FLAMINGOSHUNT_BASE_RANDOM_H_

#include <boost/random/mersenne_twister.hpp>
#include <boost/random/uniform_01.hpp>
#include <boost/random/uniform_int_distribution.hpp>

#include <cstddef>

namespace flamingoshunt::base {

using random_engine = boost::random::mt19937_64;

/// @return a uniform index in [0, @p count); @p count must not be zero.
inline std::size_t RandomIndex(random_engine& engine, std::size_t count) {
  return boost::random::uniform_int_distribution<std::size_t>(
      0, count - 1)(engine);
}

/// @return a uniform number in [0, 1).
inline double RandomUnit(random_engine& engine) {
  return boost::random::uniform_01<double>()(engine);
}

}  // namespace flamingoshunt::base

#endif  // FLAMINGOSHUNT_BASE_RANDOM_H_
