// The text form of gossiped samples.
#include "routing/replica_samples.hpp"

#include <algorithm>
#include <array>
#include <cmath>
#include <cstdint>

namespace reedspindle {
namespace {

// "r1", the sender's clock (5 digits, ms), then by member: address hash (4), lag in kLagUnit (2), and in one
// digit its role (0: it did not answer) and load: role + 4 * (0: not known, else 1 + 14ths of its
// processors).
constexpr std::string_view kDigits = "0123456789ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz-_",
                           kForm = "r1";
constexpr std::size_t kHeader = 7, kEntry = 7, kLongest = 256;
constexpr long kClock = 1L << 30, kLags = 1L << 12, kLagUnit = 4;  // two digits of lag span 16 s
// By which the sender's clock may be ahead of ours: half the age up to which samples count.
constexpr Millis kAhead = 500;
static_assert(kMaxSamplesPerMessage == (kLongest - kHeader) / kEntry);

std::string digits(long number, int count) {
  return count == 0 ? "" : digits(number / 64, count - 1) + kDigits[static_cast<std::size_t>(number % 64)];
}

// What each character stands for; below 0: it is no digit.
constexpr std::array<int, 256> kValues = [] {
  std::array<int, 256> values{};
  values.fill(-1);
  for (std::size_t at = 0; at < kDigits.size(); ++at) {
    values[static_cast<unsigned char>(kDigits[at])] = static_cast<int>(at);
  }
  return values;
}();

long number_in(std::string_view text) {  // below 0: no number
  long number = 0;
  for (const char digit : text) {
    const long value = kValues[static_cast<unsigned char>(digit)];
    if (value < 0) {
      return -1;
    }
    number = number * 64 + value;
  }
  return number;
}

}  // namespace

long hash_address(const ServerId& member) {  // FNV-1a
  std::uint32_t hash = 2166136261U;
  for (const char letter : member.address) {
    hash = (hash ^ static_cast<unsigned char>(letter)) * 16777619U;
  }
  return static_cast<long>((hash ^ hash >> 24) & 0xffffff);
}

std::string encode_samples(Millis now, const std::vector<GossipedSample>& samples) {
  const double clock = std::floor(now);
  std::string text = std::string(kForm) + digits(static_cast<long>(clock) % kClock, 5);
  for (std::size_t at = 0; at < std::min(samples.size(), kMaxSamplesPerMessage); ++at) {
    const auto& [address_hash, seen] = samples[at];
    const double lag = seen.position < 0
                           ? kLags - 1
                           : std::clamp(std::ceil((clock - seen.position) / kLagUnit), 0.0, kLags - 1.0);
    const long busy = seen.utilization >= 0 ? 1 + std::lround(14 * std::min(1.0, seen.utilization)) : 0;
    text += digits(address_hash, 4) + digits(static_cast<long>(lag), 2);
    text += digits(static_cast<long>(seen.role) + 4 * busy, 1);
  }
  return text;
}

std::optional<SampleGossip> decode_samples(std::string_view text, Millis now) {
  if (text.size() > kLongest || text.size() <= kHeader || (text.size() - kHeader) % kEntry != 0) {
    return {};
  }
  const long clock = number_in(text.substr(kForm.size(), 5));
  if (!text.starts_with(kForm) || clock < 0) {
    return {};
  }
  const auto wrap = static_cast<double>(kClock);
  Millis age = std::fmod(now - static_cast<double>(clock) + wrap, wrap);
  if (age > wrap / 2) {
    age -= wrap;
  }
  if (age < -kAhead) {
    return {};
  }
  const Millis sent = now - age - 1;  // by the sender's clock
  SampleGossip told{std::min(sent, now), {}};
  for (std::size_t at = kHeader; at < text.size(); at += kEntry) {
    const long address_hash = number_in(text.substr(at, 4));
    const long lag = number_in(text.substr(at + 4, 2));
    const long last = number_in(text.substr(at + 6, 1));
    const long role = last % 4;
    const long busy = last / 4;
    if (address_hash < 0 || lag < 0 || last < 0 || role > 2) {
      continue;
    }
    const Millis position = lag < kLags - 1 ? sent - static_cast<double>(lag * kLagUnit) : -1;
    told.samples.push_back(
        {address_hash,
         {static_cast<Role>(role), position, busy > 0 ? static_cast<double>(busy - 1) / 14.0 : -1}});
  }
  return told;
}

}  // namespace reedspindle
