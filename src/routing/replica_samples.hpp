// What instances tell one another about members, as text; its form is in docs/design.md, "What is told".
#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "core/types.hpp"

namespace reedspindle {

// A number for a member, the same at every instance: 24 bits of a hash of its address.
long hash_address(const ServerId& member);

struct GossipedSample {
  long address_hash = 0;
  ReplicaSample sample;  // with no role: it did not answer
};
struct SampleGossip {
  Millis sent_at = 0;  // the sender's clock, to the cautious side, and not beyond ours
  std::vector<GossipedSample> samples;
};

constexpr std::size_t kMaxSamplesPerMessage = 35;  // of one message, the protocol's limit being 256 bytes

// As many of the samples, first ones first, as one message holds.
std::string encode_samples(Millis now, const std::vector<GossipedSample>& samples);
// Peers may be of another version or faulty: none where the text as a whole is not valid, or is further from
// the future than clocks are apart; single samples that are not valid are left out.
std::optional<SampleGossip> decode_samples(std::string_view text, Millis now);

}  // namespace reedspindle
