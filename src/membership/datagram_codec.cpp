#include "membership/datagram_codec.hpp"

#include <nlohmann/json.hpp>
#include <vector>

namespace reedspindle {

using Json = nlohmann::json;

std::string encode_datagram(char letter, const Json& array) {
  const std::vector<std::uint8_t> cbor = Json::to_cbor(array);
  return std::string(1, letter) + std::string(cbor.begin(), cbor.end());
}

std::optional<Json> decode_datagram(char letter, std::string_view bytes, std::size_t elements) try {
  if (!bytes.starts_with(letter) || bytes.size() > kMaxDatagramBytes) {
    return std::nullopt;
  }
  Json array = Json::from_cbor(bytes.begin() + 1, bytes.end(), true, false);
  if (!array.is_array() || array.size() != elements) {
    return std::nullopt;
  }
  return array;
} catch (const Json::exception&) {
  // Even with allow_exceptions = false, from_cbor throws out_of_range 408 if a CBOR head claims more elements
  // than a container can have.
  return std::nullopt;
}

std::optional<std::uint64_t> decode_unsigned(const Json& json, std::uint64_t max) {
  if (!json.is_number_unsigned() || json.get<std::uint64_t>() > max) {
    return std::nullopt;
  }
  return json.get<std::uint64_t>();
}

}  // namespace reedspindle
