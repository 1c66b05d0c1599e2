// State shared by all parts of the routing decision module: the options, the time of the batch, the number of
// live instances and the random number generator.
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

// Owned by the router, which alone modifies it; the other parts hold references to it.
struct RouterContext {
  RouterContext(const Settings& settings, std::uint64_t seed)
      : options(parse_router_options(settings)),
        instances(options.instances),
        random(static_cast<std::minstd_rand::result_type>(seed)) {}

  const RouterOptions options;
  Millis now = 0;              // of the current batch
  Millis started_at = kNever;  // of the first batch
  double instances;            // number of live instances, among which fleet-wide limits are divided

  std::optional<FleetViewChanged> fleet_view;  // none: the fleet reports nothing about the other instances

  std::minstd_rand random;  // used by draw() only

  // Returns a uniformly distributed random number from 0 to 1.
  double draw() {
    const auto drawn = static_cast<double>(random() - 1);
    return drawn / static_cast<double>(std::minstd_rand::max());
  }

  // Returns the request class with an id.
  [[nodiscard]] const RequestClass& class_of(RequestClassId id) const {
    return options.request_classes.at(static_cast<std::size_t>(id.number));
  }
};

}  // namespace reedspindle::routing
