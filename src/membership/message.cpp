#include "membership/message.hpp"

#include <algorithm>
#include <limits>
#include <nlohmann/json.hpp>

#include "membership/datagram_codec.hpp"

namespace reedspindle::membership {

using Json = nlohmann::json;

namespace {

constexpr char kProtocolLetter = 'M';
constexpr int kFormatVersion = 1;
constexpr std::size_t kElementCount = 10;

std::optional<SlotId> decode_slot(const Json& json) {
  const auto number = decode_unsigned(json, kMaxSlots - 1);
  if (!number) {
    return std::nullopt;
  }
  return SlotId{static_cast<int>(*number)};
}

std::optional<std::string> decode_name(const Json& json) {
  if (!json.is_string() || !is_name(json.get_ref<const std::string&>())) {
    return std::nullopt;
  }
  return json.get<std::string>();
}

Json encode_update(const GossipUpdate& update) {
  Json json = {update.name, update.slot.number, static_cast<int>(update.state), update.incarnation.number};
  if (update.suspected_by.number >= 0) {
    json.push_back(update.suspected_by.number);
  }
  return json;
}

std::optional<GossipUpdate> decode_update(const Json& json) {
  if (!json.is_array() || json.size() < 4 || json.size() > 5) {
    return std::nullopt;
  }
  const auto name = decode_name(json[0]);
  const auto slot = decode_slot(json[1]);
  const auto state = decode_unsigned(json[2], static_cast<int>(PeerState::left));
  const auto incarnation = decode_unsigned(json[3], std::numeric_limits<std::uint64_t>::max() >> 1);
  const auto suspected_by = json.size() == 5 ? decode_slot(json[4]) : std::optional<SlotId>(SlotId{});
  if (!name || !slot || !state || !incarnation || !suspected_by) {
    return std::nullopt;
  }
  return GossipUpdate{*name, *slot, static_cast<PeerState>(*state), {*incarnation}, *suspected_by};
}

// Encodes a range as [depth, prefix], for a digest message with the digests as a third element: a byte string
// of four bytes per digest, big-endian.
Json encode_range(const Message& message) {
  Json json = {message.range.depth, message.range.prefix};
  if (message.kind != Kind::digest) {
    return json;
  }
  std::vector<std::uint8_t> bytes;
  for (const std::uint32_t digest_value : message.digests) {
    for (const int shift : {24, 16, 8, 0}) {
      bytes.push_back(static_cast<std::uint8_t>(digest_value >> shift));
    }
  }
  json.push_back(Json::binary(std::move(bytes)));
  return json;
}

bool decode_range(const Json& json, Message& message) {
  const bool has_digests = message.kind == Kind::digest;
  if (!json.is_array() || json.size() != (has_digests ? 3 : 2)) {
    return false;
  }
  const auto depth = decode_unsigned(json[0], kMaxDigestDepth);
  const auto prefix = decode_unsigned(json[1], std::numeric_limits<std::uint64_t>::max());
  if (!depth || !prefix || (*prefix >> (4 * *depth)) != 0) {
    return false;
  }
  message.range = {static_cast<int>(*depth), *prefix};
  if (!has_digests) {
    return true;
  }
  if (!json[2].is_binary() || json[2].get_binary().size() != 4 * kDigestFanOut) {
    return false;
  }
  const auto& bytes = json[2].get_binary();
  for (std::size_t at = 0; at < bytes.size(); at += 4) {
    message.digests.push_back(std::uint32_t{bytes[at]} << 24 | std::uint32_t{bytes[at + 1]} << 16 |
                              std::uint32_t{bytes[at + 2]} << 8 | bytes[at + 3]);
  }
  return true;
}

bool has_range(Kind kind) { return kind == Kind::digest || kind == Kind::updates; }

}  // namespace

bool is_name(std::string_view text) {
  return !text.empty() && text.size() <= kMaxNameBytes &&
         text.find_first_not_of("ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789_.-") ==
             std::string_view::npos;
}

bool is_membership_message(std::string_view bytes) { return bytes.starts_with(kProtocolLetter); }

std::string encode(const Message& message, std::size_t& encoded_updates) {
  Json json = {kFormatVersion,      static_cast<int>(message.kind),
               message.sequence,    message.name,
               message.slot.number, message.incarnation.number,
               message.started_at,  (message.leaving ? 1 : 0) | (message.is_reply ? 2 : 0)};
  json.push_back(message.kind == Kind::ping_req ? Json(message.target.number)
                 : has_range(message.kind)      ? encode_range(message)
                                                : Json());
  json.push_back(Json::array());
  std::size_t size = 1 + Json::to_cbor(json).size();
  encoded_updates = 0;
  for (const GossipUpdate& update : message.updates) {
    Json element = encode_update(update);
    size += Json::to_cbor(element).size();
    if (size > kMaxDatagramBytes || encoded_updates == kMaxUpdates) {
      break;
    }
    json.back().push_back(std::move(element));
    ++encoded_updates;
  }
  return encode_datagram(kProtocolLetter, json);
}

std::optional<Message> decode(std::string_view bytes) {
  const std::optional<Json> array = decode_datagram(kProtocolLetter, bytes, kElementCount);
  if (!array || (*array)[0] != kFormatVersion || !(*array)[9].is_array()) {
    return std::nullopt;
  }
  const Json& head = *array;
  Message message;
  const auto kind = decode_unsigned(head[1], static_cast<int>(Kind::updates));
  const auto number = decode_unsigned(head[2], std::numeric_limits<std::uint32_t>::max());
  const auto name = decode_name(head[3]);
  const auto slot = decode_slot(head[4]);
  constexpr std::uint64_t kMaxNumber = std::numeric_limits<std::uint64_t>::max() >> 1;
  const auto incarnation = decode_unsigned(head[5], kMaxNumber);
  const auto started_at = decode_unsigned(head[6], kMaxNumber);
  const auto flags = decode_unsigned(head[7], 3);
  if (!kind || !number || !name || !slot || !incarnation || !started_at || !flags) {
    return std::nullopt;
  }
  message.kind = static_cast<Kind>(*kind);
  message.sequence = static_cast<std::uint32_t>(*number);
  message.name = *name, message.slot = *slot;
  message.incarnation = {*incarnation}, message.started_at = *started_at;
  message.leaving = *flags & 1, message.is_reply = *flags & 2;
  if (message.kind == Kind::ping_req) {
    const auto target = decode_slot(head[8]);
    if (!target) {
      return std::nullopt;
    }
    message.target = *target;
  } else if (has_range(message.kind) ? !decode_range(head[8], message) : !head[8].is_null()) {
    return std::nullopt;
  }
  for (const Json& element : head[9]) {
    const auto update = decode_update(element);
    if (!update) {
      return std::nullopt;
    }
    message.updates.push_back(*update);
  }
  return message;
}

}  // namespace reedspindle::membership
