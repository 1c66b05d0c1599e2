// Guards against exceptions from malformed datagrams: every decoder must reject datagrams whose CBOR heads
// claim more elements than follow, and must not throw.
#include <fmt/format.h>

#include <exception>
#include <string>
#include <string_view>

#include "consistency/message.hpp"
#include "membership/message.hpp"
#include "quota/message.hpp"

namespace {
using namespace reedspindle;

std::string from_hex(std::string_view hex) {
  std::string bytes;
  for (std::size_t at = 0; at + 1 < hex.size(); at += 2) {
    bytes.push_back(static_cast<char>(std::stoi(std::string(hex.substr(at, 2)), nullptr, 16)));
  }
  return bytes;
}

// Returns the number of failures.
template <typename Decode>
int expect_no_message(std::string_view protocol, Decode decode, std::string_view hex) {
  try {
    if (!decode(from_hex(hex))) {
      return 0;
    }
    fmt::print("{}: {} decodes to a message\n", protocol, hex);
  } catch (const std::exception& error) {
    fmt::print("{}: decoder throws on {}: {}\n", protocol, hex, error.what());
  }
  return 1;
}

// Checks an array and a map that claim 2^64 - 1 elements. Returns the number of failures.
int expect_no_message_of_huge_claims(std::string_view protocol, std::string_view letter, auto decode) {
  return expect_no_message(protocol, decode, std::string(letter) + "9bffffffffffffffff") +
         expect_no_message(protocol, decode, std::string(letter) + "bbffffffffffffffff");
}

}  // namespace

int main() {
  int failures = 0;
  failures += expect_no_message("consistency", consistency::decode,
                                "418a01010318531a6687d11abbdd74f21a3b1a1936fa4730ae0080");
  failures += expect_no_message("quota", quota::decode,
                                "538c00019b181d000b00064748461fe2401ac8813d4d02000000fa00000000");
  failures += expect_no_message_of_huge_claims("consistency", "41", consistency::decode);
  failures += expect_no_message_of_huge_claims("quota", "53", quota::decode);
  failures += expect_no_message_of_huge_claims("membership", "4d", membership::decode);
  return failures == 0 ? 0 : 1;
}
