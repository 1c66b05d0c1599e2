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
// or a complete file under it. Disks that lie about this are covered by the checksum and earlier generations.
namespace reedspindle::snapshot {
namespace {

static_assert(std::endian::native == std::endian::little, "numbers are written as they stand in memory");

constexpr std::string_view kMagic = "RSKEEP\r\n";
constexpr std::uint64_t kFormat = 1;
constexpr std::size_t kHeaderBytes = 32, kChecksumBytes = 8;
constexpr std::string_view kPrefix = "state.", kTemporaryName = "new";
constexpr std::size_t kKeptGenerations =
    3;  // one may be damaged by the disk and one by the crash of its writer

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

void append_number(std::string& bytes, std::uint64_t number) {
  bytes.append(reinterpret_cast<const char*>(&number), sizeof number);
}
std::uint64_t read_number(std::string_view bytes, std::size_t at) {
  std::uint64_t number = 0;
  std::memcpy(&number, bytes.data() + at, sizeof number);
  return number;
}

// Why the bytes are no such generation; empty: they are.
std::string damage_in(std::string_view bytes, std::uint64_t generation) {
  if (bytes.size() < kHeaderBytes + kChecksumBytes) {
    return "it is cut short";
  }
  if (!bytes.starts_with(kMagic)) {
    return "it is no state of ours";
  }
  if (const std::uint64_t format = read_number(bytes, 8); format != kFormat) {
    return fmt::format("its format is {}, this program reads {}", format, kFormat);
  }
  if (read_number(bytes, 24) != bytes.size() - kHeaderBytes - kChecksumBytes) {
    return "its length is not the one it states";
  }
  if (read_number(bytes, bytes.size() - kChecksumBytes) !=
      XXH3_64bits(bytes.data(), bytes.size() - kChecksumBytes)) {
    return "its sum is wrong";
  }
  if (read_number(bytes, 16) != generation) {
    return "it is another generation under this name";
  }
  return "";
}

}  // namespace

LoadResult SnapshotStore::load() {
  std::vector<std::uint64_t> generations;
  for (const std::string& name : disk_.names()) {
    if (const auto generation = generation_of(name)) {
      generations.push_back(*generation);
    }
  }
  std::ranges::sort(generations, std::greater());
  LoadResult loaded;
  // Damaged ones count, too: no number is ever given twice.
  if (!generations.empty()) {
    last_ = generations.front();
  }
  for (const std::uint64_t generation : generations) {
    const std::string name = name_of(generation);
    std::string why;
    try {
      std::optional<std::string> bytes = disk_.read(name, kMaxStateBytes + kHeaderBytes + kChecksumBytes);
      why = bytes ? damage_in(*bytes, generation) : "it is too long";
      if (why.empty()) {
        loaded.generation = generation;
        loaded.state = bytes->substr(kHeaderBytes, bytes->size() - kHeaderBytes - kChecksumBytes);
        return loaded;
      }
    } catch (const DiskError& error) {
      why = error.what();
    }
    loaded.damaged.push_back({name, why});
  }
  return loaded;
}

std::uint64_t SnapshotStore::save(std::string_view state) {
  if (state.size() > kMaxStateBytes) {
    throw DiskError("the state is too long to be kept");
  }
  const std::uint64_t generation = last_ + 1;
  std::string bytes(kMagic);
  append_number(bytes, kFormat);
  append_number(bytes, generation);
  append_number(bytes, state.size());
  bytes += state;
  append_number(bytes, XXH3_64bits(bytes.data(), bytes.size()));
  const std::string name = name_of(generation);
  disk_.write(std::string(kTemporaryName), bytes);
  disk_.sync(std::string(kTemporaryName));
  // Whatever comes of the rename, the number has been used.
  last_ = generation;
  disk_.rename(std::string(kTemporaryName), name);
  disk_.sync_directory();
  if (generation > kKeptGenerations) {
    try {
      for (const std::string& old : disk_.names()) {
        if (const auto of = generation_of(old); of && *of <= generation - kKeptGenerations) {
          disk_.remove(old);
        }
      }
    } catch (const DiskError&) {
      // What can't be removed now is removed by a later save.
    }
  }
  return generation;
}

}  // namespace reedspindle::snapshot
