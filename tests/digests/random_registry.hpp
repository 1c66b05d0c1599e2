// An endpoint registry that receives random endpoint lists, and random views of its servers as the router
// gives them.
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

class RandomRegistry {
 public:
  static constexpr int kGroups = 4;
  static constexpr int kServers = 20;

  RandomRegistry(RandomSource& random, Digest& digest) : random_(random), digest_(digest) {}

  // Replaces the registry by an empty one.
  void reset() { registry_.emplace(control::EndpointRegistry::Bounds{2000, 0.5, 10000}); }
  // Restores the registry from its persisted state, and adds to the digest whether it persists the same then.
  void restore(const std::string& text) {
    registry_->restore(control::registry_state_in(text));
    digest_.add(fmt::format("restored {}", text_of(registry_->persisted_state()) == text));
  }
  const control::EndpointRegistry& registry() const { return *registry_; }
  // Returns the highest revision of the lists so far.
  long long revision() const { return revision_; }

  // Applies a random list and adds the result to the digest.
  void apply_random_list(Millis now) {
    RegistryUpdate list;
    const int kind = random_.below(10);
    list.kind = static_cast<EndpointListKind>(kind < 4 ? 0 : kind < 8 ? 1 : kind - 6);
    if (random_.one_in(2)) revision_ += random_.below(3);
    list.revision = random_.one_in(12) ? revision_ - random_.below(10) : revision_;
    const int listed_tenths = random_.one_in(15)                       ? 0
                              : random_.one_in(8)                      ? 4
                              : list.kind == EndpointListKind::changes ? 2
                                                                       : 9;
    for (int number = 0; number < kServers; ++number)
      if (random_.below(10) < listed_tenths) list.members.push_back(random_entry(number, now));
    const auto leaving = registry_->apply_update(list, now);
    digest_.add(
        fmt::format("list {} {} of {}", static_cast<int>(list.kind), list.revision, list.members.size()));
    for (const ServerId& id : leaving) digest_.add("leaves " + id.address);
    add_state();
    const auto poll_at = registry_->poll_at();
    if (poll_at && *poll_at <= now) registry_->on_poll_sent(now);
  }
  // Adds the state of the registry to the digest.
  void add_state() {
    digest_.add(text_of(registry_->persisted_state()));
    digest_.add(fmt::format("{} {} {} {:.3f}", registry_->revision(), registry_->known(),
                            static_cast<int>(registry_->verdict()), registry_->poll_at().value_or(-1)));
    const EndpointListReceived list = registry_->endpoint_list();
    digest_.add(fmt::format("read {} {}", static_cast<int>(list.kind), list.servers.size()));
    for (const ServerEntry& member : list.servers)
      digest_.add(fmt::format("{} {} {} {} {} {:.3f} {:.3f} {}", member.id.address, member.zone.number,
                              member.kind, member.group.number, static_cast<int>(member.state),
                              member.relative_capacity, member.started_at, member.primary));
  }

  // Returns the last views, or new random ones.
  std::vector<ServerView> views(Millis now) {
    if (random_.one_in(3) || views_.size() != registry_->members().size()) randomize_views(now);
    return views_;
  }

 private:
  RegistryEntry random_entry(int number, Millis now) {
    RegistryEntry entry;
    entry.listed.id = {fmt::format("m{:02}", number)};
    entry.listed.zone = {number % 3};
    entry.listed.group = {number % kGroups};
    entry.listed.kind = number % 2;
    entry.listed.relative_capacity = 0.5 * random_.between(1, 3);
    const int state = random_.below(12);
    entry.listed.state = static_cast<ServerState>(state < 9 ? 0 : state == 9 ? 2 : 1);
    if (random_.one_in(5)) entry.listed.started_at = now - random_.below(20000);
    entry.listed.primary = number < kGroups;
    entry.endpoint = fmt::format("10.0.0.{}:{}", number, 6000 + random_.below(2));
    entry.zone = fmt::format("z{}", number % 3);
    return entry;
  }
  void randomize_views(Millis now) {
    views_.clear();
    const int primary_change = random_.below(6);
    for (const auto& [id, member] : registry_->members()) {
      ServerView view;
      view.entry = member.listed;
      view.primary = member.listed.primary != (primary_change == 0 && random_.one_in(8));
      const int unavailability = random_.below(30);
      view.unavailability = static_cast<Unavailability>(unavailability < 5 ? unavailability : 0);
      if (member.listed.state == ServerState::draining) view.unavailability = Unavailability::draining;
      view.slow_start_fraction = random_.one_in(4) ? 0.1 * random_.between(1, 10) : 1;
      if (!random_.one_in(10)) {
        view.sampled_at = now - random_.below(300);
        view.position = view.sampled_at - random_.below(600);
        for (const Millis bound : {1500.0, 2000.0}) view.fresh.push_back({bound, view.position + bound});
      }
      views_.push_back(view);
    }
  }

  RandomSource& random_;
  Digest& digest_;
  std::optional<control::EndpointRegistry> registry_;
  long long revision_ = 5;
  std::vector<ServerView> views_;
};

}  // namespace reedspindle::digests
