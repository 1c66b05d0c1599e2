// What the digest programs share: a sum over lines of text, and draws that are the same on every machine.
#pragma once

#include <fmt/format.h>

#include <cstdint>
#include <iostream>
#include <random>
#include <string>
#include <string_view>

namespace reedspindle::digests {

class Digest {
 public:
  // Also prints what it is made of: to find the first line in which two versions differ.
  explicit Digest(bool prints) : prints_(prints) {}
  void add(const std::string& text) {
    if (prints_) std::cout << text << '\n';
    for (const char letter : text) sum_ = (sum_ ^ static_cast<unsigned char>(letter)) * 1099511628211ull;
    ++count_;
  }
  void comment(const std::string& text) const {
    if (prints_) std::cout << "# " << text << '\n';
  }
  std::string text() const { return fmt::format("{:016x} of {}", sum_, count_); }

 private:
  std::uint64_t sum_ = 1469598103934665603ull;  // FNV-1a
  int count_ = 0;
  const bool prints_;
};

inline std::string hex(std::string_view bytes) {
  std::string text;
  for (const char byte : bytes) text += fmt::format("{:02x}", static_cast<unsigned char>(byte));
  return text;
}

// Whole numbers only. A caller must not draw twice in one call's arguments: their order is not defined.
class Draws {
 public:
  explicit Draws(unsigned seed) : random_(seed * 2654435761u % 2147483646u + 1) {}
  int below(int bound) { return static_cast<int>(random_() % static_cast<unsigned>(bound)); }
  int between(int first, int last) { return first + below(last - first + 1); }
  bool one_in(int number) { return below(number) == 0; }
  std::string bytes(int count) {
    std::string text;
    for (int i = 0; i < count; ++i) text += static_cast<char>(below(256));
    return text;
  }
  // The text with a byte changed, cut out, or put in, its end lost, or as it is.
  std::string mutated(std::string text) {
    const int times = between(0, 3);
    for (int i = 0; i < times && !text.empty(); ++i) {
      const auto at = static_cast<std::size_t>(below(static_cast<int>(text.size())));
      const int kind = below(5);
      if (kind == 0) text[at] = static_cast<char>(below(256));
      if (kind == 1) text[at] = static_cast<char>(text[at] ^ (1 << below(8)));
      if (kind == 2) text.erase(at, 1);
      if (kind == 3) text.insert(at, 1, static_cast<char>(below(256)));
      if (kind == 4) text.resize(at);
    }
    return text;
  }

 private:
  std::minstd_rand random_;
};

// PROGRAM [SEEDS]: a digest a seed. PROGRAM SEED lines: what that seed's digest is made of. The played
// sequence is a class with a constructor from seed and whether it prints, and with play().
template <typename Sequence>
void play_seeds(int count, char** words, unsigned seeds) {
  const unsigned number = count > 1 ? static_cast<unsigned>(std::stoul(words[1])) : seeds;
  const bool prints = count > 2;
  for (unsigned seed = prints ? number : 1; seed <= number; ++seed) {
    Sequence sequence(seed, prints);
    std::cout << seed << ' ' << sequence.play() << '\n';
  }
}

}  // namespace reedspindle::digests
