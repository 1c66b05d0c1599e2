// Shared by the digest programs: a hash over lines of text, and random numbers that are the same on every
// machine.
#pragma once

#include <fmt/format.h>

#include <cstdint>
#include <iostream>
#include <random>
#include <string>
#include <string_view>

namespace reedspindle::digests {

// A hash over lines of text, and their number.
class Digest {
 public:
  // print_lines: also prints each line, to find the first one in which two versions differ.
  explicit Digest(bool print_lines) : print_lines_(print_lines) {}
  void add(const std::string& text) {
    if (print_lines_) std::cout << text << '\n';
    for (const char character : text)
      hash_ = (hash_ ^ static_cast<unsigned char>(character)) * 1099511628211ull;
    ++lines_;
  }
  // Prints a line that is not part of the digest.
  void comment(const std::string& text) const {
    if (print_lines_) std::cout << "# " << text << '\n';
  }
  std::string text() const { return fmt::format("{:016x} of {}", hash_, lines_); }

 private:
  std::uint64_t hash_ = 1469598103934665603ull;  // FNV-1a
  int lines_ = 0;
  const bool print_lines_;
};

inline std::string hex(std::string_view bytes) {
  std::string text;
  for (const char byte : bytes) text += fmt::format("{:02x}", static_cast<unsigned char>(byte));
  return text;
}

// Random integers and bytes by seed. Callers must not draw twice within the arguments of one call: the order
// in which arguments are evaluated is not defined.
class RandomSource {
 public:
  explicit RandomSource(unsigned seed) : engine_(seed * 2654435761u % 2147483646u + 1) {}
  int below(int bound) { return static_cast<int>(engine_() % static_cast<unsigned>(bound)); }
  int between(int first, int last) { return first + below(last - first + 1); }
  bool one_in(int number) { return below(number) == 0; }
  std::string bytes(int count) {
    std::string text;
    for (int i = 0; i < count; ++i) text += static_cast<char>(below(256));
    return text;
  }
  // Returns the text after up to three random changes: a byte replaced, inserted or removed, a bit flipped,
  // or the end cut off.
  std::string mutated(std::string text) {
    const int changes = between(0, 3);
    for (int i = 0; i < changes && !text.empty(); ++i) {
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
  std::minstd_rand engine_;
};

// Runs a digest program. "PROGRAM [SEEDS]" prints a digest for each seed from 1 to SEEDS, "PROGRAM SEED
// lines" the digest of that seed and the lines that it is made of. Sequence has a constructor from the seed
// and whether lines are printed, and play(), which returns the digest.
template <typename Sequence>
void run_seeds(int argument_count, char** arguments, unsigned default_seeds) {
  const unsigned number =
      argument_count > 1 ? static_cast<unsigned>(std::stoul(arguments[1])) : default_seeds;
  const bool print_lines = argument_count > 2;
  for (unsigned seed = print_lines ? number : 1; seed <= number; ++seed) {
    Sequence sequence(seed, print_lines);
    std::cout << seed << ' ' << sequence.play() << '\n';
  }
}

}  // namespace reedspindle::digests
