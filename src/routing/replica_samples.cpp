// The text format of gossiped samples.
#include "routing/replica_samples.hpp"

#include <algorithm>
#include <array>
#include <cmath>
#include <cstdint>

namespace reedspindle {
namespace {

// A message is "r1" and the sender's clock (5 digits, ms), followed for each server by its address hash (4
// digits), its replication lag in units of kLagUnit ms (2 digits), and one digit for role and load: role (0:
// it did not answer) + 4 * load (0: not known; otherwise 1 + utilization in 14ths). Digits are in base 64.
constexpr std::string_view kDigits = "0123456789ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz-_",
                           kFormatTag = "r1";
constexpr std::size_t kHeaderLength = 7, kEntryLength = 7, kMaxMessageLength = 256;
constexpr long kClockModulus = 1L << 30, kLagValues = 1L << 12, kLagUnit = 4;  // two digits of lag cover 16 s
// The tolerated lead of the sender's clock over the local clock, in milliseconds: half the maximum age of a
// sample.
constexpr Millis kMaxClockLead = 500;
static_assert(kMaxSamplesPerMessage == (kMaxMessageLength - kHeaderLength) / kEntryLength);

std::string encode_number(long number, int count) {
  return count == 0 ? ""
                    : encode_number(number / 64, count - 1) + kDigits[static_cast<std::size_t>(number % 64)];
}

// The value of each character as a digit; negative if it is not a digit.
constexpr std::array<int, 256> kDigitValues = [] {
  std::array<int, 256> values{};
  values.fill(-1);
  for (std::size_t at = 0; at < kDigits.size(); ++at) {
    values[static_cast<unsigned char>(kDigits[at])] = static_cast<int>(at);
  }
  return values;
}();

// Decodes a number; negative if the text is not a number.
long decode_number(std::string_view text) {
  long number = 0;
  for (const char digit : text) {
    const long value = kDigitValues[static_cast<unsigned char>(digit)];
    if (value < 0) {
      return -1;
    }
    number = number * 64 + value;
  }
  return number;
}

}  // namespace

// FNV-1a, folded to 24 bits.
long hash_address(const ServerId& server) {
  std::uint32_t hash = 2166136261U;
  for (const char letter : server.address) {
    hash = (hash ^ static_cast<unsigned char>(letter)) * 16777619U;
  }
  return static_cast<long>((hash ^ hash >> 24) & 0xffffff);
}

std::string encode_samples(Millis now, const std::vector<GossipedSample>& samples) {
  const double clock = std::floor(now);
  std::string text = std::string(kFormatTag) + encode_number(static_cast<long>(clock) % kClockModulus, 5);
  for (std::size_t at = 0; at < std::min(samples.size(), kMaxSamplesPerMessage); ++at) {
    const auto& [address_hash, sample] = samples[at];
    const double lag = sample.position < 0 ? kLagValues - 1
                                           : std::clamp(std::ceil((clock - sample.position) / kLagUnit), 0.0,
                                                        kLagValues - 1.0);
    const long load = sample.utilization >= 0 ? 1 + std::lround(14 * std::min(1.0, sample.utilization)) : 0;
    text += encode_number(address_hash, 4) + encode_number(static_cast<long>(lag), 2);
    text += encode_number(static_cast<long>(sample.role) + 4 * load, 1);
  }
  return text;
}

std::optional<SampleGossip> decode_samples(std::string_view text, Millis now) {
  if (text.size() > kMaxMessageLength || text.size() <= kHeaderLength ||
      (text.size() - kHeaderLength) % kEntryLength != 0) {
    return {};
  }
  const long clock = decode_number(text.substr(kFormatTag.size(), 5));
  if (!text.starts_with(kFormatTag) || clock < 0) {
    return {};
  }
  const auto wrap = static_cast<double>(kClockModulus);
  Millis age = std::fmod(now - static_cast<double>(clock) + wrap, wrap);
  if (age > wrap / 2) {
    age -= wrap;
  }
  if (age < -kMaxClockLead) {
    return {};
  }
  const Millis sent = now - age - 1;  // by the sender's clock
  SampleGossip gossip{std::min(sent, now), {}};
  for (std::size_t at = kHeaderLength; at < text.size(); at += kEntryLength) {
    const long address_hash = decode_number(text.substr(at, 4));
    const long lag = decode_number(text.substr(at + 4, 2));
    const long role_and_load = decode_number(text.substr(at + 6, 1));
    const long role = role_and_load % 4;
    const long load = role_and_load / 4;
    if (address_hash < 0 || lag < 0 || role_and_load < 0 || role > 2) {
      continue;
    }
    const Millis position = lag < kLagValues - 1 ? sent - static_cast<double>(lag * kLagUnit) : -1;
    gossip.samples.push_back(
        {address_hash,
         {static_cast<Role>(role), position, load > 0 ? static_cast<double>(load - 1) / 14.0 : -1}});
  }
  return gossip;
}

}  // namespace reedspindle
