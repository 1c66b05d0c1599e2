// A bounded window of the latest values of a measurement, and quantiles of such a window.
#pragma once

#include <algorithm>
#include <cstddef>
#include <deque>
#include <type_traits>

#include "core/types.hpp"

namespace reedspindle::routing {

// Appends a value and drops the oldest if there are more than `most`.
template <typename T>
void keep_last(std::deque<T>& values, const std::type_identity_t<T>& value, std::size_t most) {
  values.push_back(value);
  if (values.size() > most) {
    values.pop_front();
  }
}

// Returns the value below which the fraction `share` (0 to 1) of the values lie; `otherwise` if there are
// none.
[[nodiscard]] inline double quantile(std::deque<Millis> values, double share, double otherwise) {
  if (values.empty()) {
    return otherwise;
  }
  std::ranges::sort(values);
  return values[static_cast<std::size_t>(share * static_cast<double>(values.size() - 1))];
}

}  // namespace reedspindle::routing
