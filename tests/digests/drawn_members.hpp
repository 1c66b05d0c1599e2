// Members that drawn lists tell a roster of, and drawn views of them as the decision module gives them.
#pragma once

#include <optional>
#include <set>
#include <string>
#include <vector>

#include "control/endpoint_registry.hpp"
#include "control/registry_state.hpp"
#include "digest.hpp"

namespace reedspindle::digests {

using control::RegistryEntry, control::RegistryUpdate;

class DrawnMembers {
 public:
  static constexpr int kGroups = 4;
  static constexpr int kMembers = 20;

  DrawnMembers(Draws& draws, Digest& digest) : draws_(draws), digest_(digest) {}

  void start() { registry_.emplace(control::EndpointRegistry::Bounds{2000, 0.5, 10000}); }
  void restore(const std::string& text) {
    registry_->restore(control::registry_state_in(text));
    digest_.add(fmt::format("restored {}", text_of(registry_->persisted_state()) == text));
  }
  const control::EndpointRegistry& registry() const { return *registry_; }
  long long told() const { return revision_; }

  void list(Millis now) {
    RegistryUpdate list;
    const int kind = draws_.below(10);
    list.kind = static_cast<EndpointListKind>(kind < 4 ? 0 : kind < 8 ? 1 : kind - 6);
    if (draws_.one_in(2)) revision_ += draws_.below(3);
    list.revision = draws_.one_in(12) ? revision_ - draws_.below(10) : revision_;
    const int share = draws_.one_in(15)                        ? 0
                      : draws_.one_in(8)                       ? 4
                      : list.kind == EndpointListKind::changes ? 2
                                                               : 9;
    for (int number = 0; number < kMembers; ++number)
      if (draws_.below(10) < share) list.members.push_back(entry(number, now));
    const auto leaving = registry_->apply_update(list, now);
    digest_.add(
        fmt::format("list {} {} of {}", static_cast<int>(list.kind), list.revision, list.members.size()));
    for (const ServerId& id : leaving) digest_.add("leaves " + id.address);
    add();
    const auto poll_at = registry_->poll_at();
    if (poll_at && *poll_at <= now) registry_->on_poll_sent(now);
  }
  void add() {
    digest_.add(text_of(registry_->persisted_state()));
    digest_.add(fmt::format("{} {} {} {:.3f}", registry_->revision(), registry_->known(),
                            static_cast<int>(registry_->verdict()), registry_->poll_at().value_or(-1)));
    const EndpointListReceived read = registry_->endpoint_list();
    digest_.add(fmt::format("read {} {}", static_cast<int>(read.kind), read.servers.size()));
    for (const ServerEntry& one : read.servers)
      digest_.add(fmt::format("{} {} {} {} {} {:.3f} {:.3f} {}", one.id.address, one.zone.number, one.kind,
                              one.group.number, static_cast<int>(one.state), one.relative_capacity,
                              one.started_at, one.primary));
  }

  std::vector<ServerView> views(Millis now) {
    if (draws_.one_in(3) || views_.size() != registry_->members().size()) change_views(now);
    return views_;
  }

 private:
  RegistryEntry entry(int number, Millis now) {
    RegistryEntry entry;
    entry.listed.id = {fmt::format("m{:02}", number)};
    entry.listed.zone = {number % 3};
    entry.listed.group = {number % kGroups};
    entry.listed.kind = number % 2;
    entry.listed.relative_capacity = 0.5 * draws_.between(1, 3);
    const int state = draws_.below(12);
    entry.listed.state = static_cast<ServerState>(state < 9 ? 0 : state == 9 ? 2 : 1);
    if (draws_.one_in(5)) entry.listed.started_at = now - draws_.below(20000);
    entry.listed.primary = number < kGroups;
    entry.endpoint = fmt::format("10.0.0.{}:{}", number, 6000 + draws_.below(2));
    entry.zone = fmt::format("z{}", number % 3);
    return entry;
  }
  void change_views(Millis now) {
    views_.clear();
    const int moved = draws_.below(6);
    for (const auto& [id, one] : registry_->members()) {
      ServerView view;
      view.entry = one.listed;
      view.primary = one.listed.primary != (moved == 0 && draws_.one_in(8));
      const int hindrance = draws_.below(30);
      view.unavailability = static_cast<Unavailability>(hindrance < 5 ? hindrance : 0);
      if (one.listed.state == ServerState::draining) view.unavailability = Unavailability::draining;
      view.slow_start_fraction = draws_.one_in(4) ? 0.1 * draws_.between(1, 10) : 1;
      if (!draws_.one_in(10)) {
        view.sampled_at = now - draws_.below(300);
        view.position = view.sampled_at - draws_.below(600);
        for (const Millis bound : {1500.0, 2000.0}) view.fresh.push_back({bound, view.position + bound});
      }
      views_.push_back(view);
    }
  }

  Draws& draws_;
  Digest& digest_;
  std::optional<control::EndpointRegistry> registry_;
  long long revision_ = 5;
  std::vector<ServerView> views_;
};

}  // namespace reedspindle::digests
