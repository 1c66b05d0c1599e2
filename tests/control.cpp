// Plays a case file to the control service's modules that are free of I/O, the decision module among them:
// lists and probes go in, what streams are sent comes out. As in the other cases, lines starting with two
// blanks are what is expected and are skipped on reading.
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

const char* const kKindNames[] = {"clusters", "endpoints", "listeners", "routes"};
ResourceType parse_resource_type(const std::string& word) {
  for (int kind = 0; kind < 4; ++kind) {
    if (word == kKindNames[kind]) {
      return static_cast<ResourceType>(kind);
    }
  }
  throw std::runtime_error("unknown kind " + word);
}

Settings values() {
  Settings values{{"instances", 1.0},
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
  return values;
}

class Play {
 public:
  void line(const std::string& text) {
    std::istringstream words(text);
    std::string word;
    words >> word;
    if (word.empty() || word == "#") {
      return;
    }
    if (word == "at") {
      words >> now_;
      settle();
    } else if (word == "update") {
      list(words);
    } else if (word == "probe-ok") {
      ProbeCompleted ended;
      std::string role;
      words >> ended.server.address >> role >> ended.sample.position;
      ended.answered = true, ended.latency = 1;
      ended.sample.role = role == "primary" ? Role::primary : Role::replica;
      router_->enqueue(ended);
    } else if (word == "probe-failed") {
      ProbeCompleted ended;
      words >> ended.server.address;
      router_->enqueue(ended);
    } else if (word == "open-stream") {
      open(words);
    } else if (word == "close-stream") {
      StreamId id;
      words >> id.number;
      subscriptions_->close_stream(id);
      last_.erase(id);
    } else if (word == "subscribe" || word == "ack" || word == "nack" || word == "unsubscribe") {
      hear(word, words);
    } else if (word == "sent") {  // the transport of that stream takes the next response
      StreamId id;
      words >> id.number;
      subscriptions_->on_response_sent(id);
    } else if (word == "restart") {  // another service, with what the store held, or without
      std::string service = "b";
      std::string with;
      words >> service >> with;
      const std::string text = text_of(registry_->persisted_state());
      last_.clear();
      start(service);
      if (with == "restored") {
        registry_->restore(registry_state_in(text));
        router_->enqueue(registry_->endpoint_list());
      }
    } else if (word == "sent-all") {
      for (auto& [id, kinds] : last_) {
        subscriptions_->on_response_sent(id);
      }
    } else {
      throw std::runtime_error("unknown line " + text);
    }
  }

  Play() { start("a"); }

 private:
  void start(const std::string& service) {
    router_ = make_router(values(), 7);
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

  // "update 7 complete a:ready:0 b:draining:0": revision, kind, then id, state and group of each.
  void list(std::istream& words) {
    RegistryUpdate list;
    std::string text;
    std::string part;
    words >> list.revision >> text;
    list.kind = text == "changes" ? EndpointListKind::changes : EndpointListKind::complete;
    while (words >> text) {
      std::istringstream parts(text);
      RegistryEntry entry;
      std::getline(parts, entry.listed.id.address, ':');
      std::getline(parts, part, ':');
      entry.listed.state = part == "ready"      ? ServerState::ready
                           : part == "draining" ? ServerState::draining
                                                : ServerState::gone;
      parts >> entry.listed.group.number;
      if (std::string rest; std::getline(parts, rest, ':') && std::getline(parts, rest, ':')) {
        entry.listed.started_at = std::stod(rest);
      }
      entry.endpoint = entry.listed.id.address + ":1";
      list.members.push_back(entry);
    }
    const auto out = registry_->apply_update(list, now_);
    for (const ServerId& id : out) {
      std::cout << "  withdrawn: " << id.address << '\n';
    }
    const char* const doubts[] = {"", "empty", "loss", "older-revision"};
    if (registry_->verdict() != UpdateVerdict::accepted) {
      std::cout << "  suspect: " << doubts[static_cast<int>(registry_->verdict())] << '\n';
    }
    if (!std::exchange(poll_at_, registry_->poll_at()) && registry_->poll_at()) {
      std::cout << "  requests complete list at " << *registry_->poll_at() << '\n';
    }
    router_->enqueue(registry_->endpoint_list());
  }

  void open(
      std::istream& words) {  // "open-stream 1 sotw|incremental [ttl|valid-until] [weights] [session-tokens]"
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
    last_[id];
    whole_[id] = variant == ProtocolVariant::state_of_the_world;
  }

  // "subscribe 1 endpoints [name ...] [last=version] [nonce=n] [name=version ...]", "unsubscribe 1 endpoints
  // name ...", "ack 1 endpoints", "nack 1 endpoints reason".
  void hear(const std::string& word, std::istream& words) {
    StreamId id;
    std::string text;
    SubscriptionRequest request;
    words >> id.number >> text;
    request.type = parse_resource_type(text);
    Last& last = last_[id][request.type];
    if (word == "subscribe" || word == "unsubscribe") {
      while (words >> text) {
        if (text.starts_with("last=")) {
          request.version = text.substr(5);
        } else if (text.starts_with("nonce=")) {
          request.nonce = text.substr(6);
        } else if (const auto sign = text.find('='); sign != std::string::npos) {
          request.known_versions[text.substr(0, sign)] = text.substr(sign + 1);
        } else if (text.starts_with("x*")) {  // many names, or a long one
          for (int i = 0; i < 20; ++i) {
            request.names.push_back(fmt::format("n{}", i));
          }
        } else {
          (word == "subscribe" ? request.names : request.unsubscribed).push_back(text);
        }
      }
      last.names = request.names;
    } else {
      request.nonce = last.nonce;
      request.version = last.version;
      if (whole_[id]) {
        request.names = last.names;
      }
      if (word == "nack") {
        std::getline(words >> std::ws, text);
        request.rejection_reason = text;
      }
    }
    subscriptions_->on_request(id, request, now_);
  }

  void settle() {
    for (const Decision& decision : router_->process(now_)) {
      if (const auto* forget = std::get_if<ForgetServer>(&decision)) {
        std::cout << "  forget " << forget->server.address << '\n';
      }
    }
    for (int turn = 0; turn < 2; ++turn) {  // once more where abilities have changed
      subscriptions_->update_snapshots(
          snapshot_builder_->build(router_->view(), *registry_, subscriptions_->capabilities(), now_));
      for (const StreamAction& act : subscriptions_->collect_actions(now_)) {
        std::visit([this](const auto& a) { print(a); }, act);
      }
    }
  }

  void print(const ResponseToSend& response) {
    Last& last = last_[response.stream][response.type];
    last.nonce = response.nonce, last.version = response.version;
    std::cout << fmt::format("  {} {} {} {}{}\n", response.stream.number,
                             kKindNames[static_cast<int>(response.type)], response.nonce, response.version,
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
    for (const std::string& other : cluster.fallback_clusters) {
      std::cout << " > " << other;
    }
  }
  static void print(const Assignment& assignment) {
    for (const Endpoint& e : assignment.endpoints) {
      std::cout << fmt::format(" {}{}/{}", e.primary ? "*" : "", e.server.address, e.rank);
      if (e.weight != 100) {
        std::cout << fmt::format("x{}", e.weight);
      }
      if (e.health_status != HealthStatus::healthy) {
        std::cout << (e.health_status == HealthStatus::draining ? " draining" : " unhealthy");
      }
      if (e.valid_until >= 0) {
        std::cout << fmt::format(" valid-until {}", e.valid_until);
      }
      if (e.position >= 0) {
        std::cout << fmt::format(" position {}", e.position);
      }
    }
  }
  static void print(const Listener& listener) { std::cout << " routes " << listener.routes; }
  static void print(const Routes& routes) {
    for (const Route& route : routes.routes) {
      std::cout << fmt::format("\n      {} {} to {}", route.group.number, route.request_class, route.cluster);
    }
  }
  void print(const StreamToClose& end) {
    std::cout << fmt::format("  {} closed: {}\n", end.stream.number, end.why);
  }
  void print(const OperatorNotice& notice) {
    std::cout << fmt::format("  {} {}: {}\n", notice.stream.number, notice.event, notice.detail);
  }

  struct Last {
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
  std::map<StreamId, std::map<ResourceType, Last>> last_;
  std::map<StreamId, bool> whole_;
};
}  // namespace

int main(int /*unused*/, char** argv) {
  std::ifstream file(argv[1]);
  Play play;
  for (std::string text; std::getline(file, text);) {
    if (text.starts_with("  ")) {
      continue;
    }
    std::cout << text << '\n';
    play.line(text);
  }
}
