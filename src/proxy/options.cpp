#include <algorithm>
#include <cmath>

#include "proxy/options.hpp"
#include "quota/usage.hpp"
#include "settings/settings.hpp"

namespace reedspindle::proxy {

ProxyOptions proxy_options_in(const operators::File& file, const std::string& path) {
  ProxyOptions orders;
  orders.log = logging::parse_log_options(file.values["log"]);
  orders.clock_offset = file.values["clock"]["offset"];
  if (!file.values.contains("fleet")) {
    return orders;
  }
  const nlohmann::json& told = file.values["fleet"];
  FleetOptions fleet;
  fleet.options.protocol_period = told["pace"], fleet.options.ack_timeout = told["time-out"];
  fleet.options.suspicion_multiplier = told["patience"], fleet.options.forget_after = told["forget"];
  fleet.options.max_peers = told["most"];
  if (fleet.options.ack_timeout >= fleet.options.protocol_period) {
    const auto line = file.lines.find("fleet.time-out");
    throw operators::InvalidFile({fmt::format("{}:{}: fleet.time-out: less than fleet.pace was expected",
                                              path, line == file.lines.end() ? 1 : line->second)});
  }
  if (told.contains("shares")) {
    const nlohmann::json& of = told["shares"];
    quota::Options& options = fleet.quota.emplace();
    options.slot_count = of["fleet"], options.lease = of["lease"], options.evidence_lifetime = of["evidence"];
    options.end_notice = of["notice"], options.max_drift = of["drift"];
    options.reserved = static_cast<int>(std::lround(of["kept"].get<double>() * quota::kSlot));
    fleet.connections = of["connections"];
    const auto faulty = [&](const char* key, const char* expected) {
      const auto line = file.lines.find(fmt::format("fleet.shares.{}", key));
      throw operators::InvalidFile({fmt::format("{}:{}: fleet.shares.{}: {} was expected", path,
                                                line == file.lines.end() ? 1 : line->second, key, expected)});
    };
    if (options.end_notice * 2 > options.lease) {
      faulty("notice", "at most half of fleet.shares.lease");
    }
    // A front that has just started would have none.
    if (quota::connections_of({options.reserved, options.reserved}, options, fleet.connections).open < 1) {
      faulty("connections", "enough that each front keeps one at least (connections x kept / fleet)");
    }
  }
  if (told.contains("accord")) {
    const nlohmann::json& of = told["accord"];
    consistency::Options& options = fleet.consistency.emplace();
    options.poll_interval = of["pace"], options.grace_period = of["grace"],
    options.isolation_timeout = of["silence"];
    options.admit_writes_for = of.value("writes-for", options.admit_writes_for);
    options.admit_reads_for = of.value("reads-for", options.admit_reads_for);
  }
  if (told.contains("resends")) {
    orders.values["resends.share"] = told["resends"]["share"].get<double>();
    orders.values["resends.burst"] = told["resends"]["burst"].get<double>();
  }
  if (told.contains("place")) {
    fleet.place = told["place"].get<int>();
  }
  fleet.status = told.value("status", "");
  orders.fleet = std::move(fleet);
  return orders;
}

membership::Options membership_options(const FleetOptions& fleet, const config::InstanceConfig& config) {
  membership::Options options = fleet.options;
  if (!membership::is_name(config.name)) {
    throw InvalidInput(
        "name: up to 32 letters, digits, dots, dashes or underlines were expected, for the fleet");
  }
  if (!config.peers_enabled) {
    throw InvalidInput("peer_listen: an address was expected, for the fleet");
  }
  options.name = config.name;
  options.slots = static_cast<int>(config.peers.size());
  const auto own = std::ranges::find(config.peers, config.peer_listen);
  options.slot = {fleet.place.value_or(static_cast<int>(own - config.peers.begin()))};
  if (options.slot.number >= options.slots) {
    throw InvalidInput("fleet.place: a place in peers was expected, or peer_listen among peers");
  }
  return options;
}

}  // namespace reedspindle::proxy
