#include "control/roster.hpp"

#include <algorithm>

namespace reedspindle::control {
namespace {

// Of two words on a member the one that takes more away.
MemberState worse(MemberState one, MemberState other) { return std::max(one, other); }
static_assert(MemberState::ready < MemberState::draining && MemberState::draining < MemberState::gone);

}  // namespace

void Roster::restore(const KeptRoster& kept) {
  revision_ = kept.revision;
  for (const RosterEntry& entry : kept.members) members_[entry.listed.member] = entry;
}

KeptRoster Roster::kept() const {
  KeptRoster kept{revision_, {}};
  for (const auto& [id, entry] : members_) kept.members.push_back(entry);
  return kept;
}

std::vector<MemberId> Roster::take(const RosterList& list, Millis now) {
  if (list.kind == ListKind::failed) return {};
  const std::map<MemberId, RosterEntry> before = members_;
  const Doubt doubt = judge(list, now);
  if (doubt == Doubt::none) {
    adopt(list);
  } else {
    // A doubtful list takes members' standing away one by one, as far as it names them, and nothing else.
    merge(list, doubt == Doubt::older);
    ask_at_ = now + bounds_.confirm;
  }
  if (doubt != doubt_) doubted_since_ = now;
  doubt_ = doubt;
  if (doubt_ == Doubt::none) ask_at_.reset();

  std::vector<MemberId> out;
  for (const auto& [id, entry] : before) {
    const auto found = members_.find(id);
    const MemberState state = found == members_.end() ? MemberState::gone : found->second.listed.state;
    if (entry.listed.state == MemberState::ready && state != MemberState::ready) out.push_back(id);
  }
  return out;
}

// Guards against a list that is wrong as a whole: discovery restarted empty or from an old copy, an agent
// that has lost its peers. A wrong list says the same to everybody at once, while a true one changes by
// steps. An empty list never counts; one that has lost much counts when it is told again after a while; one
// of an older revision counts when nothing newer has come for long. Harm: members that truly left at once,
// unstated, stay handed out until the list is told again (a stated "leaving" or "left" counts at once in
// every case).
Doubt Roster::judge(const RosterList& list, Millis now) {
  const auto stood = [&](Doubt doubt, Millis for_ms) {
    return doubt_ == doubt && now - doubted_since_ >= for_ms;
  };
  if (list.revision < revision_)
    return stood(Doubt::older, bounds_.older_list) && !list.members.empty() ? Doubt::none : Doubt::older;
  // Changes on top of lists that were not believed: only a whole list tells the rest.
  if (list.kind == ListKind::changes) return doubt_;
  if (list.members.empty()) return known() ? Doubt::empty : Doubt::none;
  const auto listed = [&list](const MemberId& id) {
    return std::ranges::any_of(list.members, [&id](const RosterEntry& e) { return e.listed.member == id; });
  };
  double ready = 0, lost = 0;
  for (const auto& [id, entry] : members_)
    if (entry.listed.state == MemberState::ready) ++ready, lost += !listed(id);
  if (lost > bounds_.largest_loss * ready && !stood(Doubt::loss, bounds_.confirm)) return Doubt::loss;
  return Doubt::none;
}

void Roster::adopt(const RosterList& list) {
  if (list.kind != ListKind::changes) members_.clear();
  for (const RosterEntry& entry : list.members) {
    if (entry.listed.state == MemberState::gone)
      members_.erase(entry.listed.member);
    else
      members_[entry.listed.member] = entry;
  }
  revision_ = list.revision;
}

void Roster::merge(const RosterList& list, bool only_worse) {
  for (const RosterEntry& entry : list.members) {
    const auto known = members_.find(entry.listed.member);
    if (known == members_.end()) {
      if (!only_worse && entry.listed.state != MemberState::gone) members_[entry.listed.member] = entry;
      continue;
    }
    const MemberState state =
        only_worse ? worse(known->second.listed.state, entry.listed.state) : entry.listed.state;
    if (!only_worse) known->second = entry;
    known->second.listed.state = state;
    if (state == MemberState::gone) members_.erase(known);
  }
  if (!only_worse) revision_ = std::max(revision_, list.revision);
}

ListRead Roster::read() const {
  ListRead read{ListKind::complete, {}};
  for (const auto& [id, entry] : members_) read.members.push_back(entry.listed);
  return read;
}

void Roster::asked(Millis now) {
  if (ask_at_) ask_at_ = now + std::max(bounds_.confirm, 100.0);
}

}  // namespace reedspindle::control
