// What fronts tell one another of what they act on, as datagrams: CBOR behind one letter of its own. What
// does not read as a whole is no message.
#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "core/types.hpp"
#include "membership/message.hpp"

namespace reedspindle::consistency {

// What fronts are compared by.
enum class Matter { list, primaries, view };
constexpr int kMatters = 3;
const char* word_of(Matter matter);

// What a front acts on now: a sum over the content of each, and which of two lists is the later one.
struct Account {
  std::array<std::uint32_t, kMatters> sums{};
  std::uint64_t revision = 0;  // of the list
  [[nodiscard]] std::uint32_t of(Matter matter) const { return sums[static_cast<std::size_t>(matter)]; }
  bool operator==(const Account&) const = default;
};

enum class Kind { asks, answers, checks, leave };

struct Message {
  Kind kind = Kind::asks;
  std::uint32_t number = 0;  // an answer has that of its question
  SlotId place;              // of the sender
  Account account;
  // How long ago, at most, discovery spoke to anybody that the sender hears of; below 0: it does not know.
  Millis word_age = -1;
  // checks: members that the sender holds ready; leave: those of them that the other's list does not.
  std::vector<std::uint32_t> marks;
};
constexpr std::size_t kMostMarks = 40;  // 24 bits each, so that a datagram holds them

std::string bytes_of(const Message& message);
std::optional<Message> message_in(std::string_view bytes);
bool is_consistency_message(std::string_view bytes);

}  // namespace reedspindle::consistency
