// What the control service is told at start: the operators' file as values of its own, checked beyond the
// schema where one key goes with another.
#pragma once

#include <asio.hpp>
#include <string>
#include <vector>

#include "control/offer.hpp"
#include "control/roster.hpp"
#include "control/streams.hpp"
#include "links/log.hpp"
#include "links/placement.hpp"
#include "operators/file.hpp"

namespace reedspindle::control {

struct Tls {
  std::string certificate, key, proxies;  // files; proxies empty: no certificate is demanded
};

struct Charge {
  std::string name, listen, keep;
  links::Placement placement;  // as far as links to discovery and stores go by it
  std::vector<RoutedType> types;
  Roster::Bounds roster;
  Offering::Leases leases;
  Millis first_answer = 0, keepalive = 0;
  Streams::Bounds streams;
  std::optional<Tls> tls;
  links::LogManner log;
};

// Throws operators::Faulty.
Charge charge_in(const operators::File& file, const std::string& name);

}  // namespace reedspindle::control
