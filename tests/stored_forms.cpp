// Reads what version 58f40b9 has written, the control service's snapshot and an operators' file, and prints
// what comes of it: later versions have to read both alike and to write the same bytes for the same state.
//   stored_forms FIXTURES
//   stored_forms write FOLDER      writes the snapshot
#include <fmt/format.h>
#include <unistd.h>

#include <filesystem>
#include <fstream>
#include <iostream>
#include <iterator>
#include <map>
#include <string>

#include "control/registry_state.hpp"
#include "operators/file.hpp"
#include "snapshot/snapshot_store.hpp"

namespace {
using namespace reedspindle;

std::map<std::string, std::string> files_of(const std::filesystem::path& folder) {
  std::map<std::string, std::string> files;
  for (const auto& file : std::filesystem::directory_iterator(folder)) {
    std::ifstream bytes(file.path(), std::ios::binary);
    files[file.path().filename().string()] = {std::istreambuf_iterator<char>(bytes), {}};
  }
  return files;
}

std::string hex(const std::string& bytes) {
  std::string text;
  for (const char byte : bytes) {
    text += fmt::format("{:02x}", static_cast<unsigned char>(byte));
  }
  return text;
}

control::RegistryState state() {
  control::RegistryState kept;
  kept.revision = 4711;
  for (int number = 0; number < 6; ++number) {
    control::RegistryEntry entry;
    entry.listed.id = {fmt::format("store-{}", number)};
    entry.listed.zone = {number % 3};
    entry.listed.kind = number % 2;
    entry.listed.group = {number / 3};
    entry.listed.state = number == 4 ? ServerState::draining : ServerState::ready;
    entry.listed.relative_capacity = 0.5 + 0.25 * number;
    entry.listed.started_at = number == 2 ? 1767225600125.5 : 0;
    entry.endpoint = number == 5 ? "[2001:db8::5]:6432" : fmt::format("10.1.0.{}:6432", number);
    entry.zone = number == 3 ? "zone \"\xc3\xa9\"" : fmt::format("zone-{}", number % 3);
    kept.members.push_back(entry);
  }
  return kept;
}

// One generation, as the control service writes it.
void write(const std::string& folder, const std::string& text) {
  snapshot::DirectoryDisk disk(folder);
  snapshot::SnapshotStore store(disk);
  store.load();
  store.save(text);
}

void check_snapshot(const std::filesystem::path& fixture, const std::filesystem::path& scratch) {
  // Read from a copy: a store may tidy its folder up.
  const auto copy = scratch / "copy";
  std::filesystem::copy(fixture, copy);
  snapshot::DirectoryDisk disk(copy.string());
  snapshot::SnapshotStore store(disk);
  const snapshot::LoadResult loaded = store.load();
  std::cout << fmt::format("snapshot: generation {}, whole {}, damaged {}\n", loaded.generation,
                           loaded.state.has_value(), loaded.damaged.size());
  if (!loaded.state) {
    return;
  }
  const control::RegistryState kept = control::registry_state_in(*loaded.state);
  std::cout << fmt::format("revision {}\n", kept.revision);
  for (const control::RegistryEntry& one : kept.members) {
    std::cout << fmt::format("{} {} {} zone {} group {} kind {} state {} size {:.3f} up since {:.3f}\n",
                             one.listed.id.address, one.endpoint, one.zone, one.listed.zone.number,
                             one.listed.group.number, one.listed.kind, static_cast<int>(one.listed.state),
                             one.listed.relative_capacity, one.listed.started_at);
  }
  std::cout << fmt::format("the same text: {}\n", control::text_of(kept) == *loaded.state);
  std::cout << fmt::format("the text of the state: {}\n", control::text_of(state()) == *loaded.state);
  const auto again = scratch / "again";
  write(again.string(), control::text_of(kept));
  const auto written = files_of(again);
  std::cout << fmt::format("the same files: {}\n", written == files_of(fixture));
  for (const auto& [name, bytes] : written) {
    std::cout << fmt::format("{} {}\n", name, hex(bytes));
  }
}

void operators_file(const std::filesystem::path& fixture) {
  try {
    for (const std::string& line : operators::show(operators::read_file(fixture.string()))) {
      std::cout << line << '\n';
    }
  } catch (const operators::InvalidFile& faulty) {
    for (const std::string& line : faulty.lines) {
      std::cout << "faulty: " << line << '\n';
    }
  }
}

}  // namespace

int main(int count, char** words) {
  if (count > 2) {
    write(words[2], control::text_of(state()));
    return 0;
  }
  const std::filesystem::path fixtures = words[1];
  std::string name = (std::filesystem::temp_directory_path() / "stored_forms-XXXXXX").string();
  if (!mkdtemp(name.data())) {
    return 1;
  }
  const std::filesystem::path scratch = name;
  check_snapshot(fixtures / "snapshot-58f40b9", scratch);
  std::filesystem::remove_all(scratch);
  operators_file(fixtures / "operators-58f40b9.sexp");
  return 0;
}
