#include "proxy/options.hpp"

#include <algorithm>
#include <cmath>

#include "quota/usage.hpp"
#include "settings/settings.hpp"

namespace reedspindle::proxy {

ProxyOptions proxy_options_in(const operators::File& file, const std::string& path) {
  ProxyOptions result;
  result.log = logging::parse_log_options(file.values["log"]);
  result.clock_offset = file.values["clock"]["offset"];
  if (!file.values.contains("fleet")) {
    return result;
  }
  const nlohmann::json& section = file.values["fleet"];
  FleetOptions fleet;
  fleet.membership.protocol_period = section["pace"], fleet.membership.ack_timeout = section["time-out"];
  fleet.membership.suspicion_multiplier = section["patience"],
  fleet.membership.forget_after = section["forget"];
  fleet.membership.max_peers = section["most"];
  if (fleet.membership.ack_timeout >= fleet.membership.protocol_period) {
    const auto line = file.lines.find("fleet.time-out");
    throw operators::InvalidFile({fmt::format("{}:{}: fleet.time-out: less than fleet.pace was expected",
                                              path, line == file.lines.end() ? 1 : line->second)});
  }
  if (section.contains("shares")) {
    const nlohmann::json& values = section["shares"];
    quota::Options& options = fleet.quota.emplace();
    options.slot_count = values["fleet"], options.lease = values["lease"],
    options.evidence_lifetime = values["evidence"];
    options.end_notice = values["notice"], options.max_drift = values["drift"];
    options.reserved = static_cast<int>(std::lround(values["kept"].get<double>() * quota::kSlot));
    fleet.connections_per_server = values["connections"];
    const auto invalid = [&](const char* key, const char* expected) {
      const auto line = file.lines.find(fmt::format("fleet.shares.{}", key));
      throw operators::InvalidFile({fmt::format("{}:{}: fleet.shares.{}: {} was expected", path,
                                                line == file.lines.end() ? 1 : line->second, key, expected)});
    };
    if (options.end_notice * 2 > options.lease) {
      invalid("notice", "at most half of fleet.shares.lease");
    }
    // Otherwise an instance that has just started could not open any connection.
    if (quota::connections_of({options.reserved, options.reserved}, options, fleet.connections_per_server)
            .open < 1) {
      invalid("connections", "enough for each instance to keep at least one (connections x kept / fleet)");
    }
  }
  if (section.contains("accord")) {
    const nlohmann::json& values = section["accord"];
    consistency::Options& options = fleet.consistency.emplace();
    options.poll_interval = values["pace"], options.grace_period = values["grace"],
    options.isolation_timeout = values["silence"];
    options.admit_writes_for = values.value("writes-for", options.admit_writes_for);
    options.admit_reads_for = values.value("reads-for", options.admit_reads_for);
  }
  if (section.contains("resends")) {
    result.values["resends.share"] = section["resends"]["share"].get<double>();
    result.values["resends.burst"] = section["resends"]["burst"].get<double>();
  }
  if (section.contains("place")) {
    fleet.slot = section["place"].get<int>();
  }
  fleet.status_path = section.value("status", "");
  result.fleet = std::move(fleet);
  return result;
}

membership::Options membership_options(const FleetOptions& fleet, const config::InstanceConfig& config) {
  membership::Options options = fleet.membership;
  if (!membership::is_name(config.name)) {
    throw InvalidInput(
        "name: up to 32 letters, digits, dots, dashes or underscores were expected, for the fleet");
  }
  if (!config.peers_enabled) {
    throw InvalidInput("peer_listen: an address was expected, for the fleet");
  }
  options.name = config.name;
  options.slots = static_cast<int>(config.peers.size());
  const auto own = std::ranges::find(config.peers, config.peer_listen);
  options.slot = {fleet.slot.value_or(static_cast<int>(own - config.peers.begin()))};
  if (options.slot.number >= options.slots) {
    throw InvalidInput("fleet.place: a position in peers was expected, or peer_listen among peers");
  }
  return options;
}

}  // namespace reedspindle::proxy
