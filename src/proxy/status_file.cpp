// The status file: this instance's view of the fleet, as JSON for operators. Its field names are a public
// interface.
#include <algorithm>
#include <cmath>
#include <cstdio>
#include <fstream>
#include <nlohmann/json.hpp>

#include "proxy/fleet_coordinator.hpp"

namespace reedspindle::proxy {
namespace {

// The longest interval between two writes of the file, in milliseconds. It is written even if nothing has
// changed, so that readers see that the process is running.
constexpr Millis kMaxWriteInterval = 5000;

}  // namespace

std::string FleetCoordinator::status_json() const {
  const membership::View view = membership_.core->view();
  nlohmann::json peers = nlohmann::json::array();
  for (const membership::PeerView& peer : view.peers) {
    peers.push_back({{"name", peer.name},
                     {"place", peer.slot.number},
                     {"standing", to_string(peer.state)},
                     {"incarnation", peer.incarnation.number},
                     {"since", std::llround(peer.since)}});
  }
  nlohmann::json quota;
  if (quota_.core) {
    const quota::View shared = quota_.core->view();
    quota = {{"open", shared.allocation.open},
             {"hold", shared.allocation.hold},
             {"connections", connection_limits_.hold},
             {"among", shared.allocation.sharing_instances},
             {"office", shared.holds_lease},
             {"holder", shared.holder.number},
             {"pool", shared.pool},
             {"given", shared.allocated},
             {"dropped", shared.dropped}};
  }
  nlohmann::json consistency;
  if (consistency_.core) {
    const consistency::View compared = consistency_.core->view();
    consistency = {{"contact", std::llround(compared.last_contact)},
                   {"cut_off", compared.isolated},
                   {"writes", compared.admission.writes},
                   {"reads", compared.admission.reads},
                   {"doubted", compared.suspect_servers.size()},
                   {"dropped", compared.dropped},
                   {"revision", endpoint_list_.revision()}};
    for (int kind = 0; kind < consistency::kDigestKinds; ++kind) {
      const consistency::Difference& difference = compared.differences[static_cast<std::size_t>(kind)];
      consistency[to_string(static_cast<consistency::DigestKind>(kind))] = {
          {"differ", difference.differ},
          {"compared", difference.compared},
          {"since", std::llround(difference.since)},
          {"first", difference.first.number},
          {"behind", difference.behind}};
    }
  }
  return nlohmann::json{{"name", membership_options_.name},
                        {"place", membership_options_.slot.number},
                        {"at", std::llround(clock_.now())},
                        {"version", view.version},
                        {"incarnation", view.incarnation.number},
                        {"health", view.health},
                        {"yielded", view.yielded},
                        {"fellows", std::move(peers)},
                        {"shares", std::move(quota)},
                        {"accord", std::move(consistency)},
                        {"dropped",
                         {{"unread", view.dropped.malformed},
                          {"strange", view.dropped.unexpected_sender},
                          {"flood", view.dropped.rate_limited},
                          {"late", view.dropped.stale_reply}}}}
      .dump();
}

// Writes to a temporary file and renames it, so that readers never see an incomplete file.
void FleetCoordinator::write_status() {
  if (status_path_.empty()) {
    return;
  }
  status_written_at_ = clock_.now();
  const std::string temporary = status_path_ + ".new";
  std::ofstream file(temporary, std::ios::trunc);
  file << status_json() << '\n';
  file.close();
  if (!file || std::rename(temporary.c_str(), status_path_.c_str()) != 0) {
    log_.warn("membership", "status file write failed", {{"path", status_path_}});
  }
  status_timer_ =
      timers_.set(status_written_at_ + kMaxWriteInterval, [this] { status_timer_.reset(), write_status(); });
}

}  // namespace reedspindle::proxy
