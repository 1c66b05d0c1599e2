#include "front/orders.hpp"

#include <algorithm>
#include <cmath>

#include "shares/use.hpp"
#include "values.hpp"

namespace reedspindle::front {

Orders orders_in(const operators::File& file, const std::string& path) {
  Orders orders;
  orders.log = links::log_manner_in(file.values["log"]);
  orders.clock_offset = file.values["clock"]["offset"];
  if (!file.values.contains("fleet")) return orders;
  const nlohmann::json& told = file.values["fleet"];
  Fleet fleet;
  fleet.charge.pace = told["pace"], fleet.charge.time_out = told["time-out"];
  fleet.charge.patience = told["patience"], fleet.charge.forget = told["forget"];
  fleet.charge.most = told["most"];
  if (fleet.charge.time_out >= fleet.charge.pace) {
    const auto line = file.lines.find("fleet.time-out");
    throw operators::Faulty({fmt::format("{}:{}: fleet.time-out: less than fleet.pace was expected", path,
                                         line == file.lines.end() ? 1 : line->second)});
  }
  if (told.contains("shares")) {
    const nlohmann::json& of = told["shares"];
    shares::Charge& charge = fleet.shares.emplace();
    charge.fleet = of["fleet"], charge.lease = of["lease"], charge.evidence = of["evidence"];
    charge.notice = of["notice"], charge.drift = of["drift"];
    charge.kept = static_cast<int>(std::lround(of["kept"].get<double>() * shares::kSlot));
    fleet.connections = of["connections"];
    const auto faulty = [&](const char* key, const char* expected) {
      const auto line = file.lines.find(fmt::format("fleet.shares.{}", key));
      throw operators::Faulty({fmt::format("{}:{}: fleet.shares.{}: {} was expected", path,
                                           line == file.lines.end() ? 1 : line->second, key, expected)});
    };
    if (charge.notice * 2 > charge.lease) faulty("notice", "at most half of fleet.shares.lease");
    // A front that has just started would have none.
    if (shares::connections_of({charge.kept, charge.kept}, charge, fleet.connections).open < 1)
      faulty("connections", "enough that each front keeps one at least (connections x kept / fleet)");
  }
  if (told.contains("accord")) {
    const nlohmann::json& of = told["accord"];
    accord::Charge& charge = fleet.accord.emplace();
    charge.pace = of["pace"], charge.grace = of["grace"], charge.silence = of["silence"];
    charge.writes_for = of.value("writes-for", charge.writes_for);
    charge.reads_for = of.value("reads-for", charge.reads_for);
  }
  if (told.contains("resends")) {
    orders.values["resends.share"] = told["resends"]["share"].get<double>();
    orders.values["resends.burst"] = told["resends"]["burst"].get<double>();
  }
  if (told.contains("place")) fleet.place = told["place"].get<int>();
  fleet.status = told.value("status", "");
  orders.fleet = std::move(fleet);
  return orders;
}

membership::Charge charge_of(const Fleet& fleet, const links::Placement& placement) {
  membership::Charge charge = fleet.charge;
  if (!membership::is_name(placement.name))
    throw Malformed(
        "name: up to 32 letters, digits, dots, dashes or underlines were expected, for the fleet");
  if (!placement.hears_peers) throw Malformed("peer_listen: an address was expected, for the fleet");
  charge.name = placement.name;
  charge.places = static_cast<int>(placement.peers.size());
  const auto own = std::ranges::find(placement.peers, placement.peer_listen);
  charge.place = {fleet.place.value_or(static_cast<int>(own - placement.peers.begin()))};
  if (charge.place.number >= charge.places)
    throw Malformed("fleet.place: a place in peers was expected, or peer_listen among peers");
  return charge;
}

}  // namespace reedspindle::front
