// Runs a trace against the I/O-free modules of the control service, including the router: reads endpoint
// lists, probe results and the requests of clients, and prints the responses that the streams are sent. Lines
// that start with two spaces are expected output and are skipped on reading. The caller compares the output
// with the trace.
#include <fmt/format.h>

#include <fstream>
#include <iostream>
#include <map>
#include <sstream>
#include <utility>

#include "control/endpoint_registry.hpp"
#include "control/registry_state.hpp"
#include "control/resource_snapshot.hpp"
#include "control/subscriptions.hpp"

namespace {
using namespace reedspindle;
using namespace reedspindle::control;

const char* const kTypeNames[] = {"clusters", "endpoints", "listeners", "routes"};
ResourceType parse_resource_type(const std::string& word) {
  for (int type = 0; type < 4; ++type) {
    if (word == kTypeNames[type]) {
      return static_cast<ResourceType>(type);
    }
  }
  throw std::runtime_error("unknown resource type " + word);
}

Settings test_settings() {
  Settings settings{{"instances", 1.0},
                    {"tick", 5.0},
                    {"list", "push"},
                    {"allow.probes", 1.0},
                    {"op_types", 3.0},
                    {"rule.warm_within", 10000.0},
                    {"rule.cold_from", 0.2},
                    {"op_type.0.needs", "write"},
                    {"op_type.1.needs", "bounded"},
                    {"op_type.1.bound", 1500.0},
                    {"op_type.2.needs", "any"}};
  return settings;
}

class TracePlayer {
 public:
  void execute(const std::string& text) {
    std::istringstream words(text);
    std::string word;
    words >> word;
    if (word.empty() || word == "#") {
      return;
    }
    if (word == "at") {
      words >> now_;
      process_events();
    } else if (word == "update") {
      apply_update(words);
    } else if (word == "probe-ok") {
      ProbeCompleted probe;
      std::string role;
      words >> probe.server.address >> role >> probe.report.position;
      probe.answered = true, probe.latency = 1;
      probe.report.role = role == "primary" ? Role::primary : Role::replica;
      router_->enqueue(probe);
    } else if (word == "probe-failed") {
      ProbeCompleted probe;
      words >> probe.server.address;
      router_->enqueue(probe);
    } else if (word == "open-stream") {
      open_stream(words);
    } else if (word == "close-stream") {
      StreamId id;
      words >> id.number;
      subscriptions_->close_stream(id);
      last_responses_.erase(id);
    } else if (word == "subscribe" || word == "ack" || word == "nack" || word == "unsubscribe") {
      send_request(word, words);
    } else if (word == "sent") {  // the transport has written the response and can take the next one
      StreamId id;
      words >> id.number;
      subscriptions_->on_response_sent(id);
    } else if (word == "restart") {  // a new service, with or without the stored registry
      std::string service = "b";
      std::string option;
      words >> service >> option;
      const std::string text = text_of(registry_->persisted_state());
      last_responses_.clear();
      start(service);
      if (option == "restored") {
        registry_->restore(registry_state_in(text));
        router_->enqueue(registry_->endpoint_list());
      }
    } else if (word == "sent-all") {
      for (auto& [id, responses] : last_responses_) {
        subscriptions_->on_response_sent(id);
      }
    } else {
      throw std::runtime_error("unknown trace line " + text);
    }
  }

  TracePlayer() { start("a"); }

 private:
  void start(const std::string& service) {
    router_ = make_router(test_settings(), 7);
    registry_ = std::make_unique<EndpointRegistry>(EndpointRegistry::Bounds{2000, 0.5, 30000});
    snapshot_builder_ = std::make_unique<SnapshotBuilder>(
        std::vector<RoutedRequestClass>{{"save", RoutedRequestClass::Needs::primary, 0},
                                        {"browse", RoutedRequestClass::Needs::bounded, 1500},
                                        {"report", RoutedRequestClass::Needs::any, 0}},
        SnapshotBuilder::LeaseOptions{100, 10, 250}, 2000);
    Subscriptions::Bounds bounds;
    bounds.streams = 3, bounds.names = 8, bounds.name_length = 32;
    subscriptions_ = std::make_unique<Subscriptions>(bounds, service, ++epoch_);
  }

  // "update 7 complete|changes a:ready:0 b:draining:0 c:ready:0:9000": the revision and kind of the list,
  // then the id, state, group and, optionally, start time of each server.
  void apply_update(std::istream& words) {
    RegistryUpdate update;
    std::string text;
    std::string field_text;
    words >> update.revision >> text;
    update.kind = text == "changes" ? EndpointListKind::changes : EndpointListKind::complete;
    while (words >> text) {
      std::istringstream parts(text);
      RegistryEntry entry;
      std::getline(parts, entry.listed.id.address, ':');
      std::getline(parts, field_text, ':');
      entry.listed.state = field_text == "ready"      ? ServerState::ready
                           : field_text == "draining" ? ServerState::draining
                                                      : ServerState::gone;
      parts >> entry.listed.group.number;
      if (std::string field; std::getline(parts, field, ':') && std::getline(parts, field, ':')) {
        entry.listed.started_at = std::stod(field);
      }
      entry.endpoint = entry.listed.id.address + ":1";
      update.members.push_back(entry);
    }
    const auto withdrawn = registry_->apply_update(update, now_);
    for (const ServerId& id : withdrawn) {
      std::cout << "  withdrawn: " << id.address << '\n';
    }
    const char* const verdict_names[] = {"", "empty", "loss", "older-revision"};
    if (registry_->verdict() != UpdateVerdict::accepted) {
      std::cout << "  suspect: " << verdict_names[static_cast<int>(registry_->verdict())] << '\n';
    }
    if (!std::exchange(poll_at_, registry_->poll_at()) && registry_->poll_at()) {
      std::cout << "  requests complete list at " << *registry_->poll_at() << '\n';
    }
    router_->enqueue(registry_->endpoint_list());
  }

  // "open-stream 1 sotw|incremental [ttl|valid-until] [weights] [session-tokens]"
  void open_stream(std::istream& words) {
    StreamId id;
    std::string text;
    words >> id.number >> text;
    const ProtocolVariant variant =
        text == "sotw" ? ProtocolVariant::state_of_the_world : ProtocolVariant::incremental;
    ClientCapabilities capabilities;
    while (words >> text) {
      if (text == "ttl") {
        capabilities.expiry = Expiry::time_to_live;
      }
      if (text == "valid-until") {
        capabilities.expiry = Expiry::stated;
      }
      capabilities.uses_weights |= text == "weights",
          capabilities.checks_session_tokens |= text == "session-tokens";
    }
    if (!subscriptions_->open_stream(id, variant, capabilities, now_)) {
      std::cout << "  too many streams\n";
    }
    last_responses_[id];
    is_sotw_[id] = variant == ProtocolVariant::state_of_the_world;
  }

  // "subscribe 1 endpoints [name ...] [last=version] [nonce=n] [name=version ...]", "unsubscribe 1 endpoints
  // name ...", "ack 1 endpoints", "nack 1 endpoints reason".
  void send_request(const std::string& word, std::istream& words) {
    StreamId id;
    std::string text;
    SubscriptionRequest request;
    words >> id.number >> text;
    request.type = parse_resource_type(text);
    LastResponse& last_response = last_responses_[id][request.type];
    if (word == "subscribe" || word == "unsubscribe") {
      while (words >> text) {
        if (text.starts_with("last=")) {
          request.version = text.substr(5);
        } else if (text.starts_with("nonce=")) {
          request.nonce = text.substr(6);
        } else if (const auto separator = text.find('='); separator != std::string::npos) {
          request.known_versions[text.substr(0, separator)] = text.substr(separator + 1);
        } else if (text.starts_with("x*")) {  // 20 names, more than the limit
          for (int i = 0; i < 20; ++i) {
            request.names.push_back(fmt::format("n{}", i));
          }
        } else {
          (word == "subscribe" ? request.names : request.unsubscribed).push_back(text);
        }
      }
      last_response.names = request.names;
    } else {
      request.nonce = last_response.nonce;
      request.version = last_response.version;
      if (is_sotw_[id]) {
        request.names = last_response.names;
      }
      if (word == "nack") {
        std::getline(words >> std::ws, text);
        request.rejection_reason = text;
      }
    }
    subscriptions_->on_request(id, request, now_);
  }

  void process_events() {
    for (const Decision& decision : router_->process(now_)) {
      if (const auto* forgotten = std::get_if<ForgetServer>(&decision)) {
        std::cout << "  forget " << forgotten->server.address << '\n';
      }
    }
    // The second round uses the snapshots for capabilities that the first round has changed.
    for (int round = 0; round < 2; ++round) {
      subscriptions_->update_snapshots(
          snapshot_builder_->build(router_->view(), *registry_, subscriptions_->capabilities(), now_));
      for (const StreamAction& action : subscriptions_->collect_actions(now_)) {
        std::visit([this](const auto& value) { print(value); }, action);
      }
    }
  }

  void print(const ResponseToSend& response) {
    LastResponse& last_response = last_responses_[response.stream][response.type];
    last_response.nonce = response.nonce, last_response.version = response.version;
    std::cout << fmt::format("  {} {} {} {}{}\n", response.stream.number,
                             kTypeNames[static_cast<int>(response.type)], response.nonce, response.version,
                             response.urgent ? " urgent" : "");
    for (const ResponseToSend::Item& item : response.items) {
      std::cout << "    " << item.resource->name;
      if (item.time_to_live) {
        std::cout << fmt::format(" ttl {}", *item.time_to_live);
      }
      if (item.body) {
        std::visit([](const auto& body) { print(body); }, item.resource->body);
      } else {
        std::cout << " unchanged";
      }
      std::cout << '\n';
    }
    for (const std::string& name : response.removed) {
      std::cout << "    " << name << " removed\n";
    }
  }
  static void print(const Cluster& cluster) {
    for (const std::string& fallback : cluster.fallback_clusters) {
      std::cout << " > " << fallback;
    }
  }
  static void print(const Assignment& assignment) {
    for (const Endpoint& endpoint : assignment.endpoints) {
      std::cout << fmt::format(" {}{}/{}", endpoint.primary ? "*" : "", endpoint.server.address,
                               endpoint.rank);
      if (endpoint.weight != 100) {
        std::cout << fmt::format("x{}", endpoint.weight);
      }
      if (endpoint.health_status != HealthStatus::healthy) {
        std::cout << (endpoint.health_status == HealthStatus::draining ? " draining" : " unhealthy");
      }
      if (endpoint.valid_until >= 0) {
        std::cout << fmt::format(" valid-until {}", endpoint.valid_until);
      }
      if (endpoint.position >= 0) {
        std::cout << fmt::format(" position {}", endpoint.position);
      }
    }
  }
  static void print(const Listener& listener) { std::cout << " routes " << listener.routes; }
  static void print(const Routes& routes) {
    for (const Route& route : routes.routes) {
      std::cout << fmt::format("\n      {} {} to {}", route.group.number, route.request_class, route.cluster);
    }
  }
  void print(const StreamToClose& closure) {
    std::cout << fmt::format("  {} closed: {}\n", closure.stream.number, closure.why);
  }
  void print(const OperatorNotice& notice) {
    std::cout << fmt::format("  {} {}: {}\n", notice.stream.number, notice.event, notice.detail);
  }

  struct LastResponse {
    std::string nonce, version;
    std::vector<std::string> names;
  };
  Millis now_ = 0;
  std::uint64_t epoch_ = 0;
  std::optional<Millis> poll_at_;
  std::unique_ptr<Router> router_;
  std::unique_ptr<EndpointRegistry> registry_;
  std::unique_ptr<SnapshotBuilder> snapshot_builder_;
  std::unique_ptr<Subscriptions> subscriptions_;
  std::map<StreamId, std::map<ResourceType, LastResponse>> last_responses_;
  std::map<StreamId, bool> is_sotw_;
};
}  // namespace

int main(int /*unused*/, char** argv) {
  std::ifstream file(argv[1]);
  TracePlayer player;
  for (std::string text; std::getline(file, text);) {
    if (text.starts_with("  ")) {
      continue;
    }
    std::cout << text << '\n';
    player.execute(text);
  }
}
