// The encoding that all datagrams between instances share: one letter that names the package, then one CBOR
// array. A datagram that is not exactly that is no message.
#pragma once

#include <cstddef>
#include <cstdint>
#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <string>
#include <string_view>

namespace reedspindle {

constexpr std::size_t kMaxDatagramBytes = 256;
constexpr std::uint64_t kMaxSlots = 1 << 16;  // slot numbers in datagrams are below it

// The letter, then the array as CBOR. Does not check the size.
std::string encode_datagram(char letter, const nlohmann::json& array);

// The array of a datagram that begins with the letter, holds one CBOR array of that many elements and is at
// most kMaxDatagramBytes long; nothing for all others. Does not throw on any input.
std::optional<nlohmann::json> decode_datagram(char letter, std::string_view bytes, std::size_t elements);

// An unsigned integer from 0 to max; nothing for any other value.
std::optional<std::uint64_t> decode_unsigned(const nlohmann::json& json, std::uint64_t max);

}  // namespace reedspindle
