// The encoding shared by all datagrams between instances: one letter that identifies the protocol, followed
// by one CBOR array. Anything else is rejected.
#pragma once

#include <cstddef>
#include <cstdint>
#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <string>
#include <string_view>

namespace reedspindle {

constexpr std::size_t kMaxDatagramBytes = 256;
constexpr std::uint64_t kMaxSlots = 1 << 16;  // exclusive upper bound of slot numbers in datagrams

// Returns the letter followed by the array as CBOR. Does not check the size.
std::string encode_datagram(char letter, const nlohmann::json& array);

// Returns the array of a datagram that begins with the letter, contains exactly one CBOR array with the given
// number of elements and has at most kMaxDatagramBytes; nullopt for any other datagram. Does not throw.
std::optional<nlohmann::json> decode_datagram(char letter, std::string_view bytes, std::size_t elements);

// Returns an unsigned integer from 0 to max; nullopt for any other value.
std::optional<std::uint64_t> decode_unsigned(const nlohmann::json& json, std::uint64_t max);

}  // namespace reedspindle
