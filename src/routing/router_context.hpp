// What all parts of the decision module share: the options, the time of the batch, the share of the fleet and
// the source of random numbers.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <random>

#include "core/types.hpp"
#include "routing/replica_state.hpp"
#include "routing/router.hpp"
#include "routing/router_options.hpp"

namespace reedspindle::routing {

// Owned by the router, which alone changes it; the parts hold references to it.
struct RouterContext {
  RouterContext(const Settings& settings, std::uint64_t seed)
      : options(parse_router_options(settings)),
        instances(options.instances),
        random(static_cast<std::minstd_rand::result_type>(seed)) {}

  const RouterOptions options;
  Millis now = 0;              // of the batch
  Millis started_at = kNever;  // of the first batch
  double instances;            // live instances, among which limits for the whole fleet are divided

  std::optional<FleetViewChanged> fleet_view;  // none: the fleet says nothing of the other instances

  std::minstd_rand random;  // to be used by draw() alone

  // A random number, 0 to 1.
  double draw() {
    const auto drawn = static_cast<double>(random() - 1);
    return drawn / static_cast<double>(std::minstd_rand::max());
  }

  [[nodiscard]] const RequestClass& class_of(RequestClassId id) const {
    return options.request_classes.at(static_cast<std::size_t>(id.number));
  }
};

}  // namespace reedspindle::routing
