// Plays random endpoint lists, views and xDS streams of proxies to the modules of the control service that
// are free of I/O, and prints a digest of their decisions. Of the reason for closing a stream the digest
// contains only whether it is empty.
#include <algorithm>
#include <deque>
#include <map>
#include <memory>
#include <variant>

#include "control/resource_snapshot.hpp"
#include "control/subscriptions.hpp"
#include "digest.hpp"
#include "random_registry.hpp"

namespace {
using namespace reedspindle;
using namespace reedspindle::control;
using digests::RandomRegistry;

constexpr int kSteps = 800;
constexpr int kGroups = RandomRegistry::kGroups;
constexpr int kStreams = 6;

class Sequence {
 public:
  Sequence(unsigned seed, bool print_lines)
      : random_(seed), digest_(print_lines), registry_(random_, digest_) {
    start();
  }

  std::string play() {
    for (int step = 0; step < kSteps; ++step) {
      now_ += random_.below(random_.one_in(100) ? 20000 : 400);
      digest_.comment(fmt::format("step {} at {}", step, now_));
      if (random_.one_in(4)) {
        registry_.apply_random_list(now_);
      }
      if (random_.one_in(400)) {
        restart();
      }
      const int events = random_.below(4);
      for (int event = 0; event < events; ++event) {
        add_random_stream_event();
      }
      const std::set<ClientCapabilities> requested_capabilities = subscriptions_->capabilities();
      const auto snapshots =
          snapshot_builder_->build(registry_.views(now_), registry_.registry(), requested_capabilities, now_);
      for (const auto& [capabilities, snapshot] : snapshots) {
        add(capabilities, *snapshot);
      }
      subscriptions_->update_snapshots(snapshots);
      for (const StreamAction& action : subscriptions_->collect_actions(now_)) {
        std::visit([this](const auto& one) { add(one); }, action);
      }
      digest_.add(fmt::format("due {:.3f} of {} {}", subscriptions_->next_deadline().value_or(-1),
                              subscriptions_->size(), snapshot_builder_->ready()));
    }
    registry_.add_state();
    const Subscriptions::Counts& counts = subscriptions_->counts();
    digest_.add(fmt::format("{} {} {} {} {} {}", counts.responses, counts.urgent, counts.acknowledged,
                            counts.rejected, counts.stale_nonces, counts.ended));
    return digest_.text();
  }

 private:
  // What the client of a stream has subscribed to, and the responses that it has yet to acknowledge.
  struct ClientState {
    ProtocolVariant variant = ProtocolVariant::state_of_the_world;
    std::map<ResourceType, std::string> version;
    std::map<ResourceType, std::vector<std::string>> names;
    std::deque<std::pair<ResourceType, std::string>> unacknowledged;
  };

  void start() {
    registry_.reset();
    snapshot_builder_ = std::make_unique<SnapshotBuilder>(
        std::vector<RoutedRequestClass>{{"save", RoutedRequestClass::Needs::primary, 0},
                                        {"browse", RoutedRequestClass::Needs::bounded, 1500},
                                        {"own", RoutedRequestClass::Needs::session, 0},
                                        {"report", RoutedRequestClass::Needs::any, 0}},
        SnapshotBuilder::LeaseOptions{100, 10, 250}, 2000);
    Subscriptions::Bounds bounds;
    bounds.streams = kStreams - 1;
    bounds.names = 24;
    bounds.name_length = 40;
    subscriptions_ = std::make_unique<Subscriptions>(bounds, fmt::format("service-{}", epoch_ % 2), epoch_);
    clients_.clear();
  }
  void restart() {
    const std::string text = text_of(registry_.registry().persisted_state());
    ++epoch_;
    start();
    if (!random_.one_in(4)) {
      registry_.restore(text);
    }
  }

  std::string random_name() {
    const char* const types[] = {"save", "browse", "own", "report"};
    const int kind = random_.below(6);
    const int group = random_.below(kGroups + 1);
    const int type = random_.below(4);
    if (kind == 0) {
      return kRoutes;
    }
    if (kind == 1) {
      return "*";
    }
    if (kind == 2) {
      return fmt::format("absent-{}", group);
    }
    if (!resource_names_.empty() && kind < 5) {
      return resource_names_[static_cast<std::size_t>(
          random_.below(static_cast<int>(resource_names_.size())))];
    }
    return random_.one_in(60) ? std::string(50, 'x') : fmt::format("{}-{}", types[type], group);
  }
  void add_random_stream_event() {
    const StreamId id{static_cast<std::uint64_t>(random_.between(1, kStreams))};
    const auto found = clients_.find(id);
    if (found == clients_.end()) {
      return open_stream(id);
    }
    const int kind = random_.below(40);
    if (kind == 0) {
      subscriptions_->close_stream(id);
      clients_.erase(found);
    } else if (kind < 14) {
      send_subscription(id, found->second);
    } else if (kind < 30) {
      send_acknowledgement(id, found->second);
    } else {
      subscriptions_->on_response_sent(id);
    }
  }
  void open_stream(StreamId id) {
    ClientCapabilities capabilities;
    capabilities.expiry = static_cast<Expiry>(random_.below(3));
    capabilities.uses_weights = random_.one_in(2);
    capabilities.checks_session_tokens = random_.one_in(3);
    capabilities.legacy_matchers = random_.one_in(3);
    const ProtocolVariant variant = static_cast<ProtocolVariant>(random_.below(2));
    const bool opened = subscriptions_->open_stream(id, variant, capabilities, now_);
    digest_.add(fmt::format("open {} {} {}", id.number, static_cast<int>(variant), opened));
    if (!opened) {
      return;
    }
    clients_[id] = ClientState{variant, {}, {}, {}};
  }
  void send_subscription(StreamId id, ClientState& client) {
    SubscriptionRequest request;
    request.type = static_cast<ResourceType>(random_.below(static_cast<int>(kResourceTypes)));
    const int names = random_.below(5);
    for (int number = 0; number < names; ++number) {
      request.names.push_back(random_name());
    }
    if (client.variant == ProtocolVariant::state_of_the_world) {
      client.names[request.type] = request.names;
      request.version = client.version[request.type];
    } else {
      if (random_.one_in(4)) {
        request.unsubscribed.push_back(random_name());
      }
      if (random_.one_in(6)) {
        const std::string known_name = random_name();
        request.known_versions[known_name] = text_of(random_version());
      }
    }
    subscriptions_->on_request(id, request, now_);
  }
  Version random_version() {
    Version version;
    version.revision = registry_.revision() + random_.between(-3, 1);
    version.epoch = static_cast<std::uint64_t>(random_.below(4));
    version.change = static_cast<std::uint64_t>(random_.below(400));
    version.service = fmt::format("service-{}", random_.below(2));
    const std::string text = random_.mutated(text_of(version));
    const auto read = parse_version(text);
    digest_.add(fmt::format("{} reads {}", digests::hex(text), read ? text_of(*read) : "not"));
    return version;
  }
  void send_acknowledgement(StreamId id, ClientState& client) {
    if (client.unacknowledged.empty()) {
      return;
    }
    SubscriptionRequest request;
    request.type = client.unacknowledged.front().first;
    request.nonce = client.unacknowledged.front().second;
    if (!random_.one_in(12)) {
      client.unacknowledged.pop_front();
    }
    if (client.variant == ProtocolVariant::state_of_the_world) {
      request.names = client.names[request.type];
    }
    request.version = client.version[request.type];
    if (random_.one_in(12)) {
      request.rejection_reason = "no";
    }
    if (random_.one_in(30)) {
      request.nonce = "n0";
    }
    subscriptions_->on_request(id, request, now_);
  }

  void add(const ClientCapabilities& capabilities, const ResourceSnapshot& snapshot) {
    digest_.add(fmt::format("offer {} {} {} {}: {} {} {}", static_cast<int>(capabilities.expiry),
                            capabilities.uses_weights, capabilities.checks_session_tokens,
                            capabilities.legacy_matchers, snapshot.ready, snapshot.revision,
                            snapshot.withheld.size()));
    for (const std::string& withheld : snapshot.withheld) {
      digest_.add("withheld " + withheld);
    }
    for (std::size_t kind = 0; kind < kResourceTypes; ++kind) {
      digest_.add(fmt::format("kind {} {}", kind, snapshot.versions[kind]));
      for (const auto& [name, resource] : snapshot.resources[kind]) {
        if (!added_versions_.insert({epoch_, resource->version}).second) {
          continue;
        }
        if (resource_names_.size() < 40 &&
            std::ranges::find(resource_names_, name) == resource_names_.end()) {
          resource_names_.push_back(name);
        }
        digest_.add(fmt::format("{} {} {} {} {:.3f} {:.3f}", name, resource->version,
                                resource->last_revocation, resource->revision, resource->built_at,
                                resource->valid_until));
        std::visit([this](const auto& body) { add(body); }, resource->body);
      }
    }
  }
  void add(const Cluster& cluster) {
    digest_.add(fmt::format("of {}", cluster.group.number));
    for (const std::string& other : cluster.fallback_clusters) {
      digest_.add("then " + other);
    }
  }
  void add(const Assignment& assignment) {
    for (const Endpoint& one : assignment.endpoints) {
      digest_.add(fmt::format("{} {} {} {} {} {} {} {} {:.3f} {:.3f}", one.server.address, one.address,
                              one.zone, static_cast<int>(one.health_status),
                              static_cast<int>(one.unavailability), one.primary, one.rank, one.weight,
                              one.position, one.valid_until));
    }
  }
  void add(const Listener& listener) { digest_.add("by " + listener.routes); }
  void add(const Routes& routes) {
    digest_.add(fmt::format("elder {}", routes.legacy_matchers));
    for (const Route& one : routes.routes) {
      digest_.add(fmt::format("{} {} to {}", one.group.number, one.request_class, one.cluster));
    }
  }
  void add(const ResponseToSend& response) {
    digest_.add(fmt::format("write {} {} {} {} {}", response.stream.number, static_cast<int>(response.type),
                            response.nonce, response.version, response.urgent));
    for (const ResponseToSend::Item& item : response.items) {
      digest_.add(fmt::format("item {} {} {:.3f} {}", item.resource->name, item.resource->version,
                              item.time_to_live.value_or(-1), item.body));
    }
    for (const std::string& name : response.removed) {
      digest_.add("removed " + name);
    }
    ClientState& client = clients_[response.stream];
    client.version[response.type] = response.version;
    client.unacknowledged.emplace_back(response.type, response.nonce);
  }
  void add(const StreamToClose& closure) {
    digest_.add(fmt::format("end {} {}", closure.stream.number, closure.why.empty()));
    subscriptions_->close_stream(closure.stream);
    clients_.erase(closure.stream);
  }
  void add(const OperatorNotice& notice) { digest_.add(fmt::format("notice {}", notice.stream.number)); }

  digests::RandomSource random_;
  digests::Digest digest_;
  Millis now_ = 1767225600000;
  std::uint64_t epoch_ = 1;
  RandomRegistry registry_;
  std::unique_ptr<SnapshotBuilder> snapshot_builder_;
  std::unique_ptr<Subscriptions> subscriptions_;
  std::map<StreamId, ClientState> clients_;
  std::set<std::pair<std::uint64_t, std::uint64_t>> added_versions_;
  std::vector<std::string> resource_names_;
};

}  // namespace

int main(int argument_count, char** arguments) { digests::run_seeds<Sequence>(argument_count, arguments, 4); }
