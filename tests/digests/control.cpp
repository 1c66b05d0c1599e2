// Plays drawn lists, views and streams of proxies to the control service's modules that are free of I/O, and
// prints a digest of what they decide. Reasons are left out: whether there is one is told.
#include <algorithm>
#include <deque>
#include <map>
#include <memory>
#include <variant>

#include "control/resource_snapshot.hpp"
#include "control/subscriptions.hpp"
#include "digest.hpp"
#include "drawn_members.hpp"

namespace {
using namespace reedspindle;
using namespace reedspindle::control;
using digests::DrawnMembers;

constexpr int kTurns = 800;
constexpr int kGroups = DrawnMembers::kGroups;
constexpr int kStreams = 6;

class Sequence {
 public:
  Sequence(unsigned seed, bool prints) : draws_(seed), digest_(prints), members_(draws_, digest_) { start(); }

  std::string play() {
    for (int turn = 0; turn < kTurns; ++turn) {
      now_ += draws_.below(draws_.one_in(100) ? 20000 : 400);
      digest_.comment(fmt::format("turn {} at {}", turn, now_));
      if (draws_.one_in(4)) {
        members_.list(now_);
      }
      if (draws_.one_in(400)) {
        restart();
      }
      const int events = draws_.below(4);
      for (int event = 0; event < events; ++event) {
        stream_event();
      }
      const std::set<ClientCapabilities> wanted = subscriptions_->capabilities();
      const auto snapshots =
          snapshot_builder_->build(members_.views(now_), members_.registry(), wanted, now_);
      for (const auto& [capabilities, snapshot] : snapshots) {
        add(capabilities, *snapshot);
      }
      subscriptions_->update_snapshots(snapshots);
      for (const StreamAction& act : subscriptions_->collect_actions(now_)) {
        std::visit([this](const auto& one) { add(one); }, act);
      }
      digest_.add(fmt::format("due {:.3f} of {} {}", subscriptions_->next_deadline().value_or(-1),
                              subscriptions_->size(), snapshot_builder_->ready()));
    }
    members_.add();
    const Subscriptions::Counts& counts = subscriptions_->counts();
    digest_.add(fmt::format("{} {} {} {} {} {}", counts.responses, counts.urgent, counts.acknowledged,
                            counts.rejected, counts.stale_nonces, counts.ended));
    return digest_.text();
  }

 private:
  struct Asked {
    ProtocolVariant variant = ProtocolVariant::state_of_the_world;
    std::map<ResourceType, std::string> version;
    std::map<ResourceType, std::vector<std::string>> names;
    std::deque<std::pair<ResourceType, std::string>> unanswered;
  };

  void start() {
    members_.start();
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
    asked_.clear();
  }
  void restart() {
    const std::string text = text_of(members_.registry().persisted_state());
    ++epoch_;
    start();
    if (!draws_.one_in(4)) {
      members_.restore(text);
    }
  }

  std::string name() {
    const char* const types[] = {"save", "browse", "own", "report"};
    const int kind = draws_.below(6);
    const int group = draws_.below(kGroups + 1);
    const int type = draws_.below(4);
    if (kind == 0) {
      return kRoutes;
    }
    if (kind == 1) {
      return "*";
    }
    if (kind == 2) {
      return fmt::format("absent-{}", group);
    }
    if (!seen_.empty() && kind < 5) {
      return seen_[static_cast<std::size_t>(draws_.below(static_cast<int>(seen_.size())))];
    }
    return draws_.one_in(60) ? std::string(50, 'x') : fmt::format("{}-{}", types[type], group);
  }
  void stream_event() {
    const StreamId id{static_cast<std::uint64_t>(draws_.between(1, kStreams))};
    const auto found = asked_.find(id);
    if (found == asked_.end()) {
      return open(id);
    }
    const int kind = draws_.below(40);
    if (kind == 0) {
      subscriptions_->close_stream(id);
      asked_.erase(found);
    } else if (kind < 14) {
      ask(id, found->second);
    } else if (kind < 30) {
      answer(id, found->second);
    } else {
      subscriptions_->on_response_sent(id);
    }
  }
  void open(StreamId id) {
    ClientCapabilities capabilities;
    capabilities.expiry = static_cast<Expiry>(draws_.below(3));
    capabilities.uses_weights = draws_.one_in(2);
    capabilities.checks_session_tokens = draws_.one_in(3);
    capabilities.legacy_matchers = draws_.one_in(3);
    const ProtocolVariant variant = static_cast<ProtocolVariant>(draws_.below(2));
    const bool opened = subscriptions_->open_stream(id, variant, capabilities, now_);
    digest_.add(fmt::format("open {} {} {}", id.number, static_cast<int>(variant), opened));
    if (!opened) {
      return;
    }
    asked_[id] = Asked{variant, {}, {}, {}};
  }
  void ask(StreamId id, Asked& asked) {
    SubscriptionRequest request;
    request.type = static_cast<ResourceType>(draws_.below(static_cast<int>(kResourceTypes)));
    const int names = draws_.below(5);
    for (int number = 0; number < names; ++number) {
      request.names.push_back(name());
    }
    if (asked.variant == ProtocolVariant::state_of_the_world) {
      asked.names[request.type] = request.names;
      request.version = asked.version[request.type];
    } else {
      if (draws_.one_in(4)) {
        request.unsubscribed.push_back(name());
      }
      if (draws_.one_in(6)) {
        const std::string held = name();
        request.known_versions[held] = text_of(version());
      }
    }
    subscriptions_->on_request(id, request, now_);
  }
  Version version() {
    Version version;
    version.revision = members_.told() + draws_.between(-3, 1);
    version.epoch = static_cast<std::uint64_t>(draws_.below(4));
    version.change = static_cast<std::uint64_t>(draws_.below(400));
    version.service = fmt::format("service-{}", draws_.below(2));
    const std::string text = draws_.mutated(text_of(version));
    const auto read = parse_version(text);
    digest_.add(fmt::format("{} reads {}", digests::hex(text), read ? text_of(*read) : "not"));
    return version;
  }
  void answer(StreamId id, Asked& asked) {
    if (asked.unanswered.empty()) {
      return;
    }
    SubscriptionRequest request;
    request.type = asked.unanswered.front().first;
    request.nonce = asked.unanswered.front().second;
    if (!draws_.one_in(12)) {
      asked.unanswered.pop_front();
    }
    if (asked.variant == ProtocolVariant::state_of_the_world) {
      request.names = asked.names[request.type];
    }
    request.version = asked.version[request.type];
    if (draws_.one_in(12)) {
      request.rejection_reason = "no";
    }
    if (draws_.one_in(30)) {
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
      for (const auto& [name, held] : snapshot.resources[kind]) {
        if (!known_.insert({epoch_, held->version}).second) {
          continue;
        }
        if (seen_.size() < 40 && std::ranges::find(seen_, name) == seen_.end()) {
          seen_.push_back(name);
        }
        digest_.add(fmt::format("{} {} {} {} {:.3f} {:.3f}", name, held->version, held->last_revocation,
                                held->revision, held->built_at, held->valid_until));
        std::visit([this](const auto& body) { add(body); }, held->body);
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
    Asked& asked = asked_[response.stream];
    asked.version[response.type] = response.version;
    asked.unanswered.emplace_back(response.type, response.nonce);
  }
  void add(const StreamToClose& end) {
    digest_.add(fmt::format("end {} {}", end.stream.number, end.why.empty()));
    subscriptions_->close_stream(end.stream);
    asked_.erase(end.stream);
  }
  void add(const OperatorNotice& notice) { digest_.add(fmt::format("notice {}", notice.stream.number)); }

  digests::Draws draws_;
  digests::Digest digest_;
  Millis now_ = 1767225600000;
  std::uint64_t epoch_ = 1;
  DrawnMembers members_;
  std::unique_ptr<SnapshotBuilder> snapshot_builder_;
  std::unique_ptr<Subscriptions> subscriptions_;
  std::map<StreamId, Asked> asked_;
  std::set<std::pair<std::uint64_t, std::uint64_t>> known_;
  std::vector<std::string> seen_;
};

}  // namespace

int main(int count, char** words) { digests::play_seeds<Sequence>(count, words, 4); }
