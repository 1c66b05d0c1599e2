#include "snapshot/snapshot_store.hpp"

#include <fmt/format.h>
#include <xxhash.h>

#include <algorithm>
#include <bit>
#include <cstring>
#include <type_traits>

// Each generation is stored in one file, "state.<generation as 20 decimal digits>". Its layout, with sizes in
// bytes and integers in little-endian order:
//   magic "RSKEEP\r\n" (8; the line ending reveals a copy made in text mode), format version (8),
//   generation (8), length of the state (8), the state, XXH3 checksum of everything before it (8).
// The file is written under a temporary name, synced and renamed; then the directory is synced. A crash
// leaves either no file under the new name or a complete one. The checksum and the earlier generations
// protect against disks that report a sync as done before the data is durable.
namespace reedspindle::snapshot {
namespace {

static_assert(std::endian::native == std::endian::little,
              "integers are written in their in-memory representation");

constexpr std::string_view kMagic = "RSKEEP\r\n";
constexpr std::uint64_t kFormat = 1;
constexpr std::size_t kHeaderBytes = 32, kChecksumBytes = 8;
constexpr std::string_view kPrefix = "state.", kTemporaryName = "new";
constexpr std::size_t kKeptGenerations =
    3;  // one may be damaged by the disk and another by a crash of its writer

std::string file_name(std::uint64_t generation) { return fmt::format("{}{:020}", kPrefix, generation); }

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

// Returns why the bytes are not a valid file of this generation, or an empty string if they are.
std::string find_damage(std::string_view bytes, std::uint64_t generation) {
  if (bytes.size() < kHeaderBytes + kChecksumBytes) {
    return "it is cut short";
  }
  if (!bytes.starts_with(kMagic)) {
    return "it does not start with the snapshot signature";
  }
  if (const std::uint64_t format = read_number(bytes, 8); format != kFormat) {
    return fmt::format("its format is {}, this program reads {}", format, kFormat);
  }
  if (read_number(bytes, 24) != bytes.size() - kHeaderBytes - kChecksumBytes) {
    return "its length is not the one it states";
  }
  if (read_number(bytes, bytes.size() - kChecksumBytes) !=
      XXH3_64bits(bytes.data(), bytes.size() - kChecksumBytes)) {
    return "its checksum does not match";
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
  // Damaged files are included, so that a generation number is never reused.
  if (!generations.empty()) {
    last_generation_ = generations.front();
  }
  for (const std::uint64_t generation : generations) {
    const std::string name = file_name(generation);
    std::string why;
    try {
      std::optional<std::string> bytes = disk_.read(name, kMaxStateBytes + kHeaderBytes + kChecksumBytes);
      why = bytes ? find_damage(*bytes, generation) : "it is longer than any valid snapshot";
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
    throw DiskError("the state is longer than 16 MiB and can't be saved");
  }
  const std::uint64_t generation = last_generation_ + 1;
  std::string bytes(kMagic);
  append_number(bytes, kFormat);
  append_number(bytes, generation);
  append_number(bytes, state.size());
  bytes += state;
  append_number(bytes, XXH3_64bits(bytes.data(), bytes.size()));
  const std::string name = file_name(generation);
  disk_.write(std::string(kTemporaryName), bytes);
  disk_.sync(std::string(kTemporaryName));
  // Set before the rename: even if that fails, the number counts as used.
  last_generation_ = generation;
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
      // Files that could not be removed are removed by a later save.
    }
  }
  return generation;
}

}  // namespace reedspindle::snapshot
