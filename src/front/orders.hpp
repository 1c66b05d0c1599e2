// What a front is told by the operators' file, beyond its placement. Without a file all of it is as it stands
// here, and nothing of the fleet is on.
#pragma once

#include <optional>
#include <string>

#include "accord/accord.hpp"
#include "links/log.hpp"
#include "links/placement.hpp"
#include "membership/membership.hpp"
#include "operators/file.hpp"
#include "shares/shares.hpp"

namespace reedspindle::front {

struct Fleet {
  membership::Charge charge;  // its name, place and number of places come from the placement
  std::optional<int> place;
  std::string status;                    // a file; empty: none
  std::optional<shares::Charge> shares;  // its place comes with the membership's
  int connections = 0;                   // that one store takes from all fronts together
  std::optional<accord::Charge> accord;  // its place comes with the membership's
};
struct Orders {
  links::LogManner log;
  Millis clock_offset = 0;
  std::optional<Fleet> fleet;
  Values values;  // for the module, beside the placement's
};

// Throws operators::Faulty.
Orders orders_in(const operators::File& file, const std::string& path);

// Who this front is in the tier, as placement and orders say together. Throws Malformed.
membership::Charge charge_of(const Fleet& fleet, const links::Placement& placement);

}  // namespace reedspindle::front
