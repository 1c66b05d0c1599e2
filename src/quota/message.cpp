#include "quota/message.hpp"

#include <cmath>
#include <limits>
#include <nlohmann/json.hpp>

#include "membership/datagram_codec.hpp"

namespace reedspindle::quota {
namespace {

using Json = nlohmann::json;

constexpr char kLetter = 'S';
constexpr int kForm = 1;
constexpr std::size_t kElements = 12;
constexpr std::uint64_t kMaxAmount = kMaxSlots * kSlot;
constexpr Millis kLongestLeft = 3600000;

enum Flag { held = 1, yes = 2, young = 4, own = 8, need = 16 };

}  // namespace

std::string bytes_of(const Message& m) {
  const int flags = m.held * held | m.yes * yes | m.young * young | m.own * own | m.need * need;
  // The number stands first: of a datagram that comes back only the beginning is sure to.
  const Json json = {m.number, kForm,          static_cast<int>(m.kind),
                     m.of,     m.place.number, m.life.number,
                     m.terms,  flags,          m.wants,
                     m.lends,  m.amount,       m.left};
  return encode_datagram(kLetter, json);
}

std::optional<Message> message_in(std::string_view bytes) {
  const std::optional<Json> array = decode_datagram(kLetter, bytes, kElements);
  if (!array || (*array)[1] != kForm) {
    return std::nullopt;
  }
  const Json& json = *array;
  constexpr auto k32 = std::numeric_limits<std::uint32_t>::max();
  const auto number = decode_unsigned(json[0], k32);
  const auto kind = decode_unsigned(json[2], static_cast<int>(Kind::gone));
  const auto of = decode_unsigned(json[3], k32);
  const auto place = decode_unsigned(json[4], kMaxSlots - 1);
  const auto life = decode_unsigned(json[5], std::numeric_limits<std::uint64_t>::max() >> 1);
  const auto terms = decode_unsigned(json[6], k32);
  const auto flags = decode_unsigned(json[7], 31);
  const auto wants = decode_unsigned(json[8], kMaxAmount);
  const auto lends = decode_unsigned(json[9], kSlot);
  const auto amount = decode_unsigned(json[10], kMaxAmount);
  if (!number || !kind || !of || !place || !life || !terms || !flags || !wants || !lends || !amount) {
    return std::nullopt;
  }
  if (!json[11].is_number()) {
    return std::nullopt;
  }
  const auto left = json[11].get<double>();
  if (!std::isfinite(left) || left < 0 || left > kLongestLeft) {
    return std::nullopt;
  }
  Message m;
  m.kind = static_cast<Kind>(*kind), m.number = static_cast<std::uint32_t>(*number);
  m.of = static_cast<std::uint32_t>(*of), m.place = {static_cast<int>(*place)}, m.life = {*life};
  m.terms = static_cast<std::uint32_t>(*terms);
  m.held = *flags & held, m.yes = *flags & yes, m.young = *flags & young, m.own = *flags & own;
  m.need = *flags & need;
  m.wants = static_cast<int>(*wants), m.lends = static_cast<int>(*lends),
  m.amount = static_cast<int>(*amount);
  m.left = left;
  return m;
}

std::optional<std::uint32_t> question_in(std::string_view bytes) {
  // An array of twelve, then its number, as CBOR writes them.
  if (!is_quota_message(bytes) || bytes.size() < 2 || static_cast<unsigned char>(bytes[1]) != 0x8c) {
    return std::nullopt;
  }
  bytes.remove_prefix(2);
  if (bytes.empty()) {
    return std::nullopt;
  }
  const auto head = static_cast<unsigned char>(bytes[0]);
  const std::size_t more = head < 24 ? 0 : head == 24 ? 1 : head == 25 ? 2 : head == 26 ? 4 : 99;
  if (more + 3 > bytes.size()) {
    return std::nullopt;
  }
  std::uint32_t number = more == 0 ? head : 0;
  for (std::size_t at = 1; at <= more; ++at) {
    number = number << 8 | static_cast<unsigned char>(bytes[at]);
  }
  const bool question = bytes[more + 1] == kForm && bytes[more + 2] == static_cast<char>(Kind::question);
  return question ? std::optional(number) : std::nullopt;
}

bool is_quota_message(std::string_view bytes) { return !bytes.empty() && bytes[0] == kLetter; }

}  // namespace reedspindle::quota
