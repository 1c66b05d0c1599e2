// The text format in which instances gossip samples of servers; docs/design.md describes it under "What is
// told".
#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "core/types.hpp"

namespace reedspindle {

// Returns a short number for a server, the same at every instance: a 24-bit hash of its address.
long hash_address(const ServerId& server);

// A sample of the server with a given address hash.
struct GossipedSample {
  long address_hash = 0;
  // Role::unknown if the server did not answer.
  ReplicaSample sample;
};
// A decoded gossip message.
struct SampleGossip {
  // The time of sending by the sender's clock, less 1 ms as a margin, and not later than the local clock.
  Millis sent_at = 0;
  std::vector<GossipedSample> samples;
};

// Per message: the protocol limits a message to 256 bytes.
constexpr std::size_t kMaxSamplesPerMessage = 35;

// Encodes the samples, from the first one on, as far as they fit into one message.
std::string encode_samples(Millis now, const std::vector<GossipedSample>& samples);
// Decodes a message. Peers may run another version or be faulty: returns nothing if the text as a whole is
// invalid or is dated further in the future than clocks may differ. Invalid single samples are skipped.
std::optional<SampleGossip> decode_samples(std::string_view text, Millis now);

}  // namespace reedspindle
