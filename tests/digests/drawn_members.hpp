// Members that drawn lists tell a roster of, and drawn views of them as the decision module gives them.
#pragma once

#include <optional>
#include <set>
#include <string>
#include <vector>

#include "control/kept.hpp"
#include "control/roster.hpp"
#include "digest.hpp"

namespace reedspindle::digests {

using control::RosterEntry, control::RosterList;

class DrawnMembers {
 public:
  static constexpr int kGroups = 4;
  static constexpr int kMembers = 20;

  DrawnMembers(Draws& draws, Digest& digest) : draws_(draws), digest_(digest) {}

  void start() { roster_.emplace(control::Roster::Bounds{2000, 0.5, 10000}); }
  void restore(const std::string& text) {
    roster_->restore(control::kept_in(text));
    digest_.add(fmt::format("restored {}", text_of(roster_->kept()) == text));
  }
  const control::Roster& roster() const { return *roster_; }
  long long told() const { return revision_; }

  void list(Millis now) {
    RosterList list;
    const int kind = draws_.below(10);
    list.kind = static_cast<ListKind>(kind < 4 ? 0 : kind < 8 ? 1 : kind - 6);
    if (draws_.one_in(2)) revision_ += draws_.below(3);
    list.revision = draws_.one_in(12) ? revision_ - draws_.below(10) : revision_;
    const int share = draws_.one_in(15) ? 0 : draws_.one_in(8) ? 4 : list.kind == ListKind::changes ? 2 : 9;
    for (int number = 0; number < kMembers; ++number)
      if (draws_.below(10) < share) list.members.push_back(entry(number, now));
    const auto leaving = roster_->take(list, now);
    digest_.add(
        fmt::format("list {} {} of {}", static_cast<int>(list.kind), list.revision, list.members.size()));
    for (const MemberId& id : leaving) digest_.add("leaves " + id.address);
    add();
    const auto ask_at = roster_->ask_at();
    if (ask_at && *ask_at <= now) roster_->asked(now);
  }
  void add() {
    digest_.add(text_of(roster_->kept()));
    digest_.add(fmt::format("{} {} {} {:.3f}", roster_->revision(), roster_->known(),
                            static_cast<int>(roster_->doubt()), roster_->ask_at().value_or(-1)));
    const ListRead read = roster_->read();
    digest_.add(fmt::format("read {} {}", static_cast<int>(read.kind), read.members.size()));
    for (const ListedMember& one : read.members)
      digest_.add(fmt::format("{} {} {} {} {} {:.3f} {:.3f} {}", one.member.address, one.zone.number,
                              one.kind, one.group.number, static_cast<int>(one.state), one.size, one.up_since,
                              one.primary));
  }

  std::vector<MemberView> views(Millis now) {
    if (draws_.one_in(3) || views_.size() != roster_->members().size()) change_views(now);
    return views_;
  }

 private:
  RosterEntry entry(int number, Millis now) {
    RosterEntry entry;
    entry.listed.member = {fmt::format("m{:02}", number)};
    entry.listed.zone = {number % 3};
    entry.listed.group = {number % kGroups};
    entry.listed.kind = number % 2;
    entry.listed.size = 0.5 * draws_.between(1, 3);
    const int state = draws_.below(12);
    entry.listed.state = static_cast<MemberState>(state < 9 ? 0 : state == 9 ? 2 : 1);
    if (draws_.one_in(5)) entry.listed.up_since = now - draws_.below(20000);
    entry.listed.primary = number < kGroups;
    entry.endpoint = fmt::format("10.0.0.{}:{}", number, 6000 + draws_.below(2));
    entry.zone = fmt::format("z{}", number % 3);
    return entry;
  }
  void change_views(Millis now) {
    views_.clear();
    const int moved = draws_.below(6);
    for (const auto& [id, one] : roster_->members()) {
      MemberView view;
      view.entry = one.listed;
      view.primary = one.listed.primary != (moved == 0 && draws_.one_in(8));
      const int hindrance = draws_.below(30);
      view.hindrance = static_cast<Hindrance>(hindrance < 5 ? hindrance : 0);
      if (one.listed.state == MemberState::draining) view.hindrance = Hindrance::drains;
      view.warmth = draws_.one_in(4) ? 0.1 * draws_.between(1, 10) : 1;
      if (!draws_.one_in(10)) {
        view.sampled = now - draws_.below(300);
        view.position = view.sampled - draws_.below(600);
        for (const Millis bound : {1500.0, 2000.0}) view.fresh.push_back({bound, view.position + bound});
      }
      views_.push_back(view);
    }
  }

  Draws& draws_;
  Digest& digest_;
  std::optional<control::Roster> roster_;
  long long revision_ = 5;
  std::vector<MemberView> views_;
};

}  // namespace reedspindle::digests
