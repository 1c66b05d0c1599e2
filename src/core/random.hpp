// The random number generator of all programs.
#pragma once

#include <cstdint>
#include <random>

namespace reedspindle {

// Returns a generator whose sequence follows from the seed. Any seed is valid.
inline std::minstd_rand make_random(std::uint64_t seed) {
  constexpr std::uint64_t kStates = std::minstd_rand::modulus - 1;
  return std::minstd_rand(static_cast<std::minstd_rand::result_type>(seed % kStates + 1));
}

}  // namespace reedspindle
