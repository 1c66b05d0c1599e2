#include "consistency/message.hpp"

#include <cmath>
#include <limits>
#include <nlohmann/json.hpp>

#include "membership/datagram_codec.hpp"

namespace reedspindle::consistency {
namespace {

using Json = nlohmann::json;

constexpr char kProtocolLetter = 'A';
constexpr int kFormatVersion = 1;
constexpr std::size_t kElementCount = 10;
constexpr std::uint64_t kMaxMark = (1 << 24) - 1;
constexpr Millis kMaxDiscoveryAge = 86400000;  // one day in ms; an older age is sent as unknown

}  // namespace

const char* to_string(DigestKind kind) {
  constexpr const char* words[] = {"list", "primaries", "view"};
  return words[static_cast<int>(kind)];
}

std::string encode(const Message& m) {
  const auto& sums = m.digest.sums;
  const double age = m.discovery_age <= kMaxDiscoveryAge ? m.discovery_age : -1;
  const Json json = {kFormatVersion,
                     static_cast<int>(m.kind),
                     m.number,
                     m.slot.number,
                     m.digest.revision,
                     sums[0],
                     sums[1],
                     sums[2],
                     age,
                     m.marks};
  return encode_datagram(kProtocolLetter, json);
}

std::optional<Message> decode(std::string_view bytes) {
  const std::optional<Json> array = decode_datagram(kProtocolLetter, bytes, kElementCount);
  if (!array || (*array)[0] != kFormatVersion || !(*array)[8].is_number()) {
    return std::nullopt;
  }
  const Json& json = *array;
  constexpr std::uint64_t k32 = std::numeric_limits<std::uint32_t>::max();
  const auto kind = decode_unsigned(json[1], static_cast<int>(Kind::removed));
  const auto number = decode_unsigned(json[2], k32);
  const auto slot = decode_unsigned(json[3], kMaxSlots - 1);
  const auto revision = decode_unsigned(json[4], std::numeric_limits<std::uint64_t>::max() >> 1);
  if (!kind || !number || !slot || !revision) {
    return std::nullopt;
  }
  Message m;
  for (std::size_t at = 0; at < kDigestKinds; ++at) {
    const auto sum = decode_unsigned(json[5 + at], k32);
    if (!sum) {
      return std::nullopt;
    }
    m.digest.sums[at] = static_cast<std::uint32_t>(*sum);
  }
  if (!json[9].is_array() || json[9].size() > kMaxMarks) {
    return std::nullopt;
  }
  for (const Json& element : json[9]) {
    const auto mark = decode_unsigned(element, kMaxMark);
    if (!mark) {
      return std::nullopt;
    }
    m.marks.push_back(static_cast<std::uint32_t>(*mark));
  }
  m.discovery_age = json[8].get<double>();
  if (!std::isfinite(m.discovery_age) || m.discovery_age > kMaxDiscoveryAge ||
      (m.discovery_age < 0 && m.discovery_age != -1)) {
    return std::nullopt;
  }
  m.kind = static_cast<Kind>(*kind), m.number = static_cast<std::uint32_t>(*number);
  m.slot = {static_cast<int>(*slot)}, m.digest.revision = *revision;
  return m;
}

bool is_consistency_message(std::string_view bytes) { return !bytes.empty() && bytes[0] == kProtocolLetter; }

}  // namespace reedspindle::consistency
