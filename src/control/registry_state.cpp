#include "control/registry_state.hpp"

#include <nlohmann/json.hpp>

#include "settings/settings.hpp"

namespace reedspindle::control {
namespace {
using Json = nlohmann::json;
constexpr int kFormatVersion = 1;
}  // namespace

std::string text_of(const RegistryState& state) {
  Json members = Json::array();
  for (const RegistryEntry& entry : state.members) {
    const ServerEntry& server = entry.listed;
    members.push_back({{"id", server.id.address},
                       {"endpoint", entry.endpoint},
                       {"zone", entry.zone},
                       {"zone_number", server.zone.number},
                       {"group", server.group.number},
                       {"kind", server.kind},
                       {"draining", server.state == ServerState::draining},
                       {"size", server.relative_capacity},
                       {"up_since", server.started_at}});
  }
  return Json{{"form", kFormatVersion}, {"revision", state.revision}, {"members", std::move(members)}}.dump(
      -1, ' ', false, Json::error_handler_t::replace);
}

RegistryState registry_state_in(const std::string& text) {
  try {
    const Json json = Json::parse(text);
    if (json.at("form").get<int>() != kFormatVersion) {
      throw InvalidInput("format version " + json.at("form").dump() + " is not supported");
    }
    RegistryState state;
    state.revision = json.at("revision").get<long long>();
    for (const Json& member : json.at("members")) {
      RegistryEntry entry;
      entry.listed.id = {member.at("id").get<std::string>()};
      entry.endpoint = member.at("endpoint").get<std::string>();
      entry.zone = member.at("zone").get<std::string>();
      entry.listed.zone = {member.at("zone_number").get<int>()};
      entry.listed.group = {member.at("group").get<int>()};
      entry.listed.kind = member.at("kind").get<int>();
      entry.listed.state = member.at("draining").get<bool>() ? ServerState::draining : ServerState::ready;
      entry.listed.relative_capacity = member.at("size").get<double>();
      entry.listed.started_at = member.at("up_since").get<double>();
      state.members.push_back(std::move(entry));
    }
    return state;
  } catch (const Json::exception& error) {
    throw InvalidInput(error.what());
  }
}

}  // namespace reedspindle::control
