#include "accord/account.hpp"

#include <fmt/format.h>
#include <xxhash.h>

#include <string>

#include "samples.hpp"

namespace reedspindle::accord {
namespace {

std::uint32_t sum_of(const std::string& text) {
  return static_cast<std::uint32_t>(XXH3_64bits(text.data(), text.size()));
}

}  // namespace

void ListHeld::learn(ListKind kind, std::uint64_t revision, const std::vector<ListedMember>& members) {
  if (kind == ListKind::failed) return;
  if (kind != ListKind::changes) held_.clear();
  for (const ListedMember& entry : members) {
    if (entry.state == MemberState::gone)
      held_.erase(entry.member);
    else
      held_[entry.member] = entry;
  }
  revision_ = revision;
  std::string text;
  for (const auto& [member, entry] : held_)
    text += fmt::format("{} {} {} {}\n", member.address, entry.group.number,
                        entry.state == MemberState::draining, entry.up_since);
  sum_ = sum_of(text);
}

std::map<std::uint32_t, ListedMember> ListHeld::ready() const {
  std::map<std::uint32_t, ListedMember> ready;
  for (const auto& [member, entry] : held_)
    if (entry.state == MemberState::ready) ready[static_cast<std::uint32_t>(mark_of(member))] = entry;
  return ready;
}

std::uint32_t sum_of_primaries(const std::vector<MemberView>& members) {
  std::string text;
  for (const MemberView& member : members)
    if (member.primary)
      text += fmt::format("{} {}\n", member.entry.member.address, member.entry.group.number);
  return sum_of(text);
}

std::uint32_t sum_of_view(const std::set<Place>& there, Place self) {
  std::set<Place> all = there;
  all.insert(self);
  std::string text;
  for (const Place place : all) text += fmt::format("{}\n", place.number);
  return sum_of(text);
}

}  // namespace reedspindle::accord
