#include "control/registry_state.hpp"

#include <nlohmann/json.hpp>

#include "settings/settings.hpp"

namespace reedspindle::control {
namespace {
using Json = nlohmann::json;
constexpr int kForm = 1;
}  // namespace

std::string text_of(const RegistryState& state) {
  Json members = Json::array();
  for (const RegistryEntry& entry : state.members) {
    const ServerEntry& m = entry.listed;
    members.push_back({{"id", m.id.address},
                       {"endpoint", entry.endpoint},
                       {"zone", entry.zone},
                       {"zone_number", m.zone.number},
                       {"group", m.group.number},
                       {"kind", m.kind},
                       {"draining", m.state == ServerState::draining},
                       {"size", m.relative_capacity},
                       {"up_since", m.started_at}});
  }
  return Json{{"form", kForm}, {"revision", state.revision}, {"members", std::move(members)}}.dump(
      -1, ' ', false, Json::error_handler_t::replace);
}

RegistryState registry_state_in(const std::string& text) {
  try {
    const Json json = Json::parse(text);
    if (json.at("form").get<int>() != kForm) {
      throw InvalidInput("form " + json.at("form").dump() + " is unknown");
    }
    RegistryState state;
    state.revision = json.at("revision").get<long long>();
    for (const Json& row : json.at("members")) {
      RegistryEntry entry;
      entry.listed.id = {row.at("id").get<std::string>()};
      entry.endpoint = row.at("endpoint").get<std::string>();
      entry.zone = row.at("zone").get<std::string>();
      entry.listed.zone = {row.at("zone_number").get<int>()};
      entry.listed.group = {row.at("group").get<int>()};
      entry.listed.kind = row.at("kind").get<int>();
      entry.listed.state = row.at("draining").get<bool>() ? ServerState::draining : ServerState::ready;
      entry.listed.relative_capacity = row.at("size").get<double>();
      entry.listed.started_at = row.at("up_since").get<double>();
      state.members.push_back(std::move(entry));
    }
    return state;
  } catch (const Json::exception& fault) {
    throw InvalidInput(fault.what());
  }
}

}  // namespace reedspindle::control
