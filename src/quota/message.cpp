#include "quota/message.hpp"

#include <cmath>
#include <limits>
#include <nlohmann/json.hpp>

#include "membership/datagram_codec.hpp"

namespace reedspindle::quota {
namespace {

using Json = nlohmann::json;

constexpr char kProtocolLetter = 'S';
constexpr int kFormatVersion = 1;
constexpr std::size_t kElementCount = 12;
constexpr std::uint64_t kMaxAmount = kMaxSlots * kSlot;
constexpr Millis kMaxValidFor = 3600000;

enum Flag { kIsHolder = 1, kGranted = 2, kWarmingUp = 4, kRestoresSlot = 8, kShortage = 16 };

}  // namespace

std::string encode(const Message& m) {
  const int flags = m.is_holder * kIsHolder | m.granted * kGranted | m.warming_up * kWarmingUp |
                    m.restores_slot * kRestoresSlot | m.shortage * kShortage;
  // The number comes first because a returned datagram is only guaranteed to contain its beginning.
  const Json json = {m.number,       kFormatVersion, static_cast<int>(m.kind),
                     m.in_reply_to,  m.slot.number,  m.incarnation.number,
                     m.options_hash, flags,          m.wanted,
                     m.lent,         m.amount,       m.valid_for};
  return encode_datagram(kProtocolLetter, json);
}

std::optional<Message> decode(std::string_view bytes) {
  const std::optional<Json> array = decode_datagram(kProtocolLetter, bytes, kElementCount);
  if (!array || (*array)[1] != kFormatVersion) {
    return std::nullopt;
  }
  const Json& json = *array;
  constexpr auto k32 = std::numeric_limits<std::uint32_t>::max();
  const auto number = decode_unsigned(json[0], k32);
  const auto kind = decode_unsigned(json[2], static_cast<int>(Kind::released));
  const auto in_reply_to = decode_unsigned(json[3], k32);
  const auto slot = decode_unsigned(json[4], kMaxSlots - 1);
  const auto incarnation = decode_unsigned(json[5], std::numeric_limits<std::uint64_t>::max() >> 1);
  const auto options_hash = decode_unsigned(json[6], k32);
  const auto flags = decode_unsigned(json[7], 31);
  const auto wanted = decode_unsigned(json[8], kMaxAmount);
  const auto lent = decode_unsigned(json[9], kSlot);
  const auto amount = decode_unsigned(json[10], kMaxAmount);
  if (!number || !kind || !in_reply_to || !slot || !incarnation || !options_hash || !flags || !wanted ||
      !lent || !amount) {
    return std::nullopt;
  }
  if (!json[11].is_number()) {
    return std::nullopt;
  }
  const auto valid_for = json[11].get<double>();
  if (!std::isfinite(valid_for) || valid_for < 0 || valid_for > kMaxValidFor) {
    return std::nullopt;
  }
  Message m;
  m.kind = static_cast<Kind>(*kind), m.number = static_cast<std::uint32_t>(*number);
  m.in_reply_to = static_cast<std::uint32_t>(*in_reply_to), m.slot = {static_cast<int>(*slot)},
  m.incarnation = {*incarnation};
  m.options_hash = static_cast<std::uint32_t>(*options_hash);
  m.is_holder = *flags & kIsHolder, m.granted = *flags & kGranted, m.warming_up = *flags & kWarmingUp,
  m.restores_slot = *flags & kRestoresSlot;
  m.shortage = *flags & kShortage;
  m.wanted = static_cast<int>(*wanted), m.lent = static_cast<int>(*lent),
  m.amount = static_cast<int>(*amount);
  m.valid_for = valid_for;
  return m;
}

std::optional<std::uint32_t> decode_liveness_query(std::string_view bytes) {
  // The CBOR head of an array of twelve elements, followed by the number.
  if (!is_quota_message(bytes) || bytes.size() < 2 || static_cast<unsigned char>(bytes[1]) != 0x8c) {
    return std::nullopt;
  }
  bytes.remove_prefix(2);
  if (bytes.empty()) {
    return std::nullopt;
  }
  const auto head = static_cast<unsigned char>(bytes[0]);
  const std::size_t extra_bytes = head < 24 ? 0 : head == 24 ? 1 : head == 25 ? 2 : head == 26 ? 4 : 99;
  if (extra_bytes + 3 > bytes.size()) {
    return std::nullopt;
  }
  std::uint32_t number = extra_bytes == 0 ? head : 0;
  for (std::size_t at = 1; at <= extra_bytes; ++at) {
    number = number << 8 | static_cast<unsigned char>(bytes[at]);
  }
  const bool is_query = bytes[extra_bytes + 1] == kFormatVersion &&
                        bytes[extra_bytes + 2] == static_cast<char>(Kind::liveness_query);
  return is_query ? std::optional(number) : std::nullopt;
}

bool is_quota_message(std::string_view bytes) { return !bytes.empty() && bytes[0] == kProtocolLetter; }

}  // namespace reedspindle::quota
