#include "snapshot/snapshot_store.hpp"

#include <fmt/format.h>
#include <xxhash.h>

#include <algorithm>
#include <bit>
#include <cstring>
#include <type_traits>

// A generation is one file, "state.<generation, 20 digits>":
//   8 bytes "RSKEEP\r\n" (line ends, so that a copy in text mode is found out), format (8), generation (8),
//   length of the state (8), the state, XXH3 of all before it (8). Numbers are little-endian.
// It is written under another name, synced, renamed, and the folder synced: a crash leaves either no new name
// or a whole file under it. Disks that lie about this are met by the sum and by the generations before.
namespace reedspindle::snapshot {
namespace {

static_assert(std::endian::native == std::endian::little, "numbers are written as they stand in memory");

constexpr std::string_view kMagic = "RSKEEP\r\n";
constexpr std::uint64_t kFormat = 1;
constexpr std::size_t kHead = 32, kSum = 8;
constexpr std::string_view kPrefix = "state.", kNew = "new";
constexpr std::size_t kKept = 3;  // one may be damaged by the disk and one by the crash of its writer

std::string name_of(std::uint64_t generation) { return fmt::format("{}{:020}", kPrefix, generation); }

std::optional<std::uint64_t> generation_of(std::string_view name) {
  if (!name.starts_with(kPrefix) || name.size() != kPrefix.size() + 20) {
    return std::nullopt;
  }
  std::uint64_t number = 0;
  for (const char digit : name.substr(kPrefix.size())) {
    if (digit < '0' || digit > '9') {
      return std::nullopt;
    }
    number = number * 10 + static_cast<std::uint64_t>(digit - '0');
  }
  return number;
}

void put(std::string& bytes, std::uint64_t number) {
  bytes.append(reinterpret_cast<const char*>(&number), sizeof number);
}
std::uint64_t number_at(std::string_view bytes, std::size_t at) {
  std::uint64_t number = 0;
  std::memcpy(&number, bytes.data() + at, sizeof number);
  return number;
}

// Why the bytes are no such generation; empty: they are.
std::string fault_in(std::string_view bytes, std::uint64_t generation) {
  if (bytes.size() < kHead + kSum) {
    return "it is cut short";
  }
  if (!bytes.starts_with(kMagic)) {
    return "it is no state of ours";
  }
  if (const std::uint64_t format = number_at(bytes, 8); format != kFormat) {
    return fmt::format("its format is {}, this program reads {}", format, kFormat);
  }
  if (number_at(bytes, 24) != bytes.size() - kHead - kSum) {
    return "its length is not the one it states";
  }
  if (number_at(bytes, bytes.size() - kSum) != XXH3_64bits(bytes.data(), bytes.size() - kSum)) {
    return "its sum is wrong";
  }
  if (number_at(bytes, 16) != generation) {
    return "it is another generation under this name";
  }
  return "";
}

}  // namespace

Loaded Store::load() {
  std::vector<std::uint64_t> generations;
  for (const std::string& name : disk_.names()) {
    if (const auto generation = generation_of(name)) {
      generations.push_back(*generation);
    }
  }
  std::ranges::sort(generations, std::greater());
  Loaded loaded;
  // Damaged ones count, too: no number is ever given twice.
  if (!generations.empty()) {
    last_ = generations.front();
  }
  for (const std::uint64_t generation : generations) {
    const std::string name = name_of(generation);
    std::string why;
    try {
      std::optional<std::string> bytes = disk_.read(name, kLongest + kHead + kSum);
      why = bytes ? fault_in(*bytes, generation) : "it is too long";
      if (why.empty()) {
        loaded.generation = generation;
        loaded.state = bytes->substr(kHead, bytes->size() - kHead - kSum);
        return loaded;
      }
    } catch (const DiskFault& fault) {
      why = fault.what();
    }
    loaded.damaged.push_back({name, why});
  }
  return loaded;
}

std::uint64_t Store::save(std::string_view state) {
  if (state.size() > kLongest) {
    throw DiskFault("the state is too long to be kept");
  }
  const std::uint64_t generation = last_ + 1;
  std::string bytes(kMagic);
  put(bytes, kFormat);
  put(bytes, generation);
  put(bytes, state.size());
  bytes += state;
  put(bytes, XXH3_64bits(bytes.data(), bytes.size()));
  const std::string name = name_of(generation);
  disk_.write(std::string(kNew), bytes);
  disk_.sync(std::string(kNew));
  // Whatever comes of the rename, the number has been used.
  last_ = generation;
  disk_.rename(std::string(kNew), name);
  disk_.sync_folder();
  if (generation > kKept) {
    try {
      for (const std::string& old : disk_.names()) {
        if (const auto of = generation_of(old); of && *of <= generation - kKept) {
          disk_.remove(old);
        }
      }
    } catch (const DiskFault&) {
      // What can't be removed now is removed by a later save.
    }
  }
  return generation;
}

}  // namespace reedspindle::snapshot
