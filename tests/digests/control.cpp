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
      const std::set<Abilities> wanted = streams_->abilities();
      const auto offers = offering_->make(members_.views(now_), members_.roster(), wanted, now_);
      for (const auto& [abilities, offer] : offers) {
        add(abilities, *offer);
      }
      streams_->offer(offers);
      for (const Act& act : streams_->settle(now_)) {
        std::visit([this](const auto& one) { add(one); }, act);
      }
      digest_.add(fmt::format("due {:.3f} of {} {}", streams_->due(), streams_->size(), offering_->ready()));
    }
    members_.add();
    const Subscriptions::Counts& counts = streams_->counts();
    digest_.add(fmt::format("{} {} {} {} {} {}", counts.responses, counts.urgent, counts.taken,
                            counts.turned_down, counts.stale_nonces, counts.ended));
    return digest_.text();
  }

 private:
  struct Asked {
    Form form = Form::whole;
    std::map<Kind, std::string> version;
    std::map<Kind, std::vector<std::string>> names;
    std::deque<std::pair<Kind, std::string>> unanswered;
  };

  void start() {
    members_.start();
    offering_ = std::make_unique<SnapshotBuilder>(
        std::vector<RoutedRequestClass>{{"save", RoutedRequestClass::Needs::primary, 0},
                                        {"browse", RoutedRequestClass::Needs::bounded, 1500},
                                        {"own", RoutedRequestClass::Needs::session, 0},
                                        {"report", RoutedRequestClass::Needs::any, 0}},
        SnapshotBuilder::Leases{100, 10, 250}, 2000);
    Subscriptions::Bounds bounds;
    bounds.streams = kStreams - 1;
    bounds.names = 24;
    bounds.name_length = 40;
    streams_ = std::make_unique<Subscriptions>(bounds, fmt::format("service-{}", epoch_ % 2), epoch_);
    asked_.clear();
  }
  void restart() {
    const std::string text = text_of(members_.roster().kept());
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
      streams_->close(id);
      asked_.erase(found);
    } else if (kind < 14) {
      ask(id, found->second);
    } else if (kind < 30) {
      answer(id, found->second);
    } else {
      streams_->written(id);
    }
  }
  void open(StreamId id) {
    Abilities abilities;
    abilities.expiry = static_cast<Expiry>(draws_.below(3));
    abilities.weighs = draws_.one_in(2);
    abilities.tokens = draws_.one_in(3);
    abilities.elder = draws_.one_in(3);
    const Form form = static_cast<Form>(draws_.below(2));
    const bool opened = streams_->open(id, form, abilities, now_);
    digest_.add(fmt::format("open {} {} {}", id.number, static_cast<int>(form), opened));
    if (!opened) {
      return;
    }
    asked_[id] = Asked{form, {}, {}, {}};
  }
  void ask(StreamId id, Asked& asked) {
    SubscriptionRequest heard;
    heard.kind = static_cast<Kind>(draws_.below(static_cast<int>(kKinds)));
    const int names = draws_.below(5);
    for (int number = 0; number < names; ++number) {
      heard.names.push_back(name());
    }
    if (asked.form == Form::whole) {
      asked.names[heard.kind] = heard.names;
      heard.version = asked.version[heard.kind];
    } else {
      if (draws_.one_in(4)) {
        heard.no_more.push_back(name());
      }
      if (draws_.one_in(6)) {
        const std::string held = name();
        heard.holds[held] = text_of(version());
      }
    }
    streams_->hear(id, heard, now_);
  }
  Version version() {
    Version version;
    version.revision = members_.told() + draws_.between(-3, 1);
    version.epoch = static_cast<std::uint64_t>(draws_.below(4));
    version.change = static_cast<std::uint64_t>(draws_.below(400));
    version.service = fmt::format("service-{}", draws_.below(2));
    const std::string text = draws_.mutated(text_of(version));
    const auto read = version_in(text);
    digest_.add(fmt::format("{} reads {}", digests::hex(text), read ? text_of(*read) : "not"));
    return version;
  }
  void answer(StreamId id, Asked& asked) {
    if (asked.unanswered.empty()) {
      return;
    }
    SubscriptionRequest heard;
    heard.kind = asked.unanswered.front().first;
    heard.nonce = asked.unanswered.front().second;
    if (!draws_.one_in(12)) {
      asked.unanswered.pop_front();
    }
    if (asked.form == Form::whole) {
      heard.names = asked.names[heard.kind];
    }
    heard.version = asked.version[heard.kind];
    if (draws_.one_in(12)) {
      heard.turned_down = "no";
    }
    if (draws_.one_in(30)) {
      heard.nonce = "n0";
    }
    streams_->hear(id, heard, now_);
  }

  void add(const Abilities& abilities, const ResourceSnapshot& offer) {
    digest_.add(fmt::format("offer {} {} {} {}: {} {} {}", static_cast<int>(abilities.expiry),
                            abilities.weighs, abilities.tokens, abilities.elder, offer.ready, offer.revision,
                            offer.withheld.size()));
    for (const std::string& withheld : offer.withheld) {
      digest_.add("withheld " + withheld);
    }
    for (std::size_t kind = 0; kind < kKinds; ++kind) {
      digest_.add(fmt::format("kind {} {}", kind, offer.versions[kind]));
      for (const auto& [name, held] : offer.resources[kind]) {
        if (!known_.insert({epoch_, held->version}).second) {
          continue;
        }
        if (seen_.size() < 40 && std::ranges::find(seen_, name) == seen_.end()) {
          seen_.push_back(name);
        }
        digest_.add(fmt::format("{} {} {} {} {:.3f} {:.3f}", name, held->version, held->revoked,
                                held->revision, held->made, held->until));
        std::visit([this](const auto& body) { add(body); }, held->body);
      }
    }
  }
  void add(const Cluster& cluster) {
    digest_.add(fmt::format("of {}", cluster.group.number));
    for (const std::string& other : cluster.others) {
      digest_.add("then " + other);
    }
  }
  void add(const Assignment& assignment) {
    for (const Endpoint& one : assignment.endpoints) {
      digest_.add(fmt::format("{} {} {} {} {} {} {} {} {:.3f} {:.3f}", one.server.address, one.address,
                              one.zone, static_cast<int>(one.standing), static_cast<int>(one.unavailability),
                              one.primary, one.rank, one.weight, one.position, one.until));
    }
  }
  void add(const Listener& listener) { digest_.add("by " + listener.routes); }
  void add(const Routes& routes) {
    digest_.add(fmt::format("elder {}", routes.elder));
    for (const Route& one : routes.routes) {
      digest_.add(fmt::format("{} {} to {}", one.group.number, one.request_class, one.cluster));
    }
  }
  void add(const Write& write) {
    digest_.add(fmt::format("write {} {} {} {} {}", write.stream.number, static_cast<int>(write.kind),
                            write.nonce, write.version, write.urgent));
    for (const Write::Item& item : write.items) {
      digest_.add(fmt::format("item {} {} {:.3f} {}", item.resource->name, item.resource->version,
                              item.time_to_live, item.body));
    }
    for (const std::string& name : write.removed) {
      digest_.add("removed " + name);
    }
    Asked& asked = asked_[write.stream];
    asked.version[write.kind] = write.version;
    asked.unanswered.emplace_back(write.kind, write.nonce);
  }
  void add(const End& end) {
    digest_.add(fmt::format("end {} {}", end.stream.number, end.why.empty()));
    streams_->close(end.stream);
    asked_.erase(end.stream);
  }
  void add(const Notice& notice) { digest_.add(fmt::format("notice {}", notice.stream.number)); }

  digests::Draws draws_;
  digests::Digest digest_;
  Millis now_ = 1767225600000;
  std::uint64_t epoch_ = 1;
  DrawnMembers members_;
  std::unique_ptr<SnapshotBuilder> offering_;
  std::unique_ptr<Subscriptions> streams_;
  std::map<StreamId, Asked> asked_;
  std::set<std::pair<std::uint64_t, std::uint64_t>> known_;
  std::vector<std::string> seen_;
};

}  // namespace

int main(int count, char** words) { digests::play_seeds<Sequence>(count, words, 4); }
