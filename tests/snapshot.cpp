// Tests SnapshotStore against crashes and disk damage. A simulated disk crashes before any of its operations,
// keeps the synced data and an arbitrary part of the rest, runs out of space, or has truncated files and
// flipped bits. Real writer processes are killed as well. Prints one line for each kind of fault with the
// outcomes, so that a store that loses or misreads a state changes the output.
#include <fmt/format.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <filesystem>
#include <iostream>
#include <map>
#include <random>

#include "snapshot/snapshot_store.hpp"

namespace {
using namespace reedspindle::snapshot;

struct Crash {};

// A simulated disk. A crash keeps synced content and synced names; an unsynced write is truncated at an
// arbitrary byte, and unsynced renames and removals either all took effect or none did.
class ScriptedDisk final : public Disk {
 public:
  struct File {
    std::string current, durable;
  };
  std::map<std::string, std::shared_ptr<File>> files_, durable_;
  long steps_left = 1'000'000;
  std::size_t free_bytes = 1 << 20;
  std::minstd_rand random{1};

  std::vector<std::string> names() override {
    std::vector<std::string> all;
    for (const auto& [name, file] : files_) {
      all.push_back(name);
    }
    return all;
  }
  std::optional<std::string> read(const std::string& name, std::size_t /*max_bytes*/) override {
    return files_.at(name)->current;
  }
  void write(const std::string& name, std::string_view bytes) override {
    auto& file = files_[name];
    if (!file) {
      file = std::make_shared<File>();
    }
    file->current = bytes.substr(0, free_bytes);
    step();
    if (bytes.size() > free_bytes) {
      throw DiskError("write: no space left");
    }
  }
  void sync(const std::string& name) override {
    step();
    files_.at(name)->durable = files_.at(name)->current;
  }
  void rename(const std::string& from, const std::string& to) override {
    step();
    files_[to] = files_.at(from);
    files_.erase(from);
  }
  void sync_directory() override {
    step();
    durable_ = files_;
  }
  void remove(const std::string& name) override {
    step();
    files_.erase(name);
  }
  // Restarts the machine: durable data is kept, and an arbitrary part of the rest.
  void restart() {
    if (random() % 2) {
      durable_ = files_;
    }
    files_ = durable_;
    for (auto& [name, file] : files_) {
      if (file->current != file->durable) {
        file->current = file->current.substr(0, random() % (file->current.size() + 1));
      }
      file->durable = file->current;
    }
    steps_left = 1'000'000;
  }

 private:
  void step() {
    if (steps_left-- <= 0) {
      throw Crash{};
    }
  }
};

std::string state_of(int number) { return fmt::format("state {} {}", number, std::string(number * 7, 'x')); }

// Crashes before each disk operation of the third save. The state loaded afterwards must be the second or the
// third, and the next save must succeed.
void crashes() {
  int second = 0;
  int third = 0;
  int wrong = 0;
  for (long steps = 0; steps < 6; ++steps) {
    for (unsigned seed = 1; seed <= 200; ++seed) {
      ScriptedDisk disk;
      disk.random.seed(seed);
      SnapshotStore writer(disk);
      writer.load();
      writer.save(state_of(1));
      writer.save(state_of(2));
      disk.steps_left = steps;
      try {
        writer.save(state_of(3));
      } catch (const Crash&) {
      }
      disk.restart();
      SnapshotStore reader(disk);
      const LoadResult loaded = reader.load();
      second += loaded.state == state_of(2);
      third += loaded.state == state_of(3);
      wrong += loaded.state != state_of(2) && loaded.state != state_of(3);
      // A save takes four operations. With that many allowed it completes, and its state must be loaded.
      wrong += steps >= 4 && loaded.state != state_of(3);
      reader.save(state_of(4));
      wrong += SnapshotStore(disk).load().state != state_of(4);
    }
  }
  std::cout << "crashes at each step: some kept the state before " << (second > 0 ? "yes" : "no")
            << ", some the new one " << (third > 0 ? "yes" : "no") << ", wrong " << wrong << '\n';
}

// Truncates the newest file at every byte and flips each of its bits. Each time the previous generation must
// be loaded and the damaged file reported.
void damage() {
  ScriptedDisk disk;
  SnapshotStore writer(disk);
  writer.load();
  writer.save(state_of(1));
  writer.save(state_of(2));
  const std::string newest = disk.names().back();
  const std::string whole = disk.files_.at(newest)->current;
  int cut = 0;
  int flipped = 0;
  for (std::size_t at = 0; at < whole.size(); ++at) {
    disk.files_.at(newest)->current = whole.substr(0, at);
    const LoadResult loaded = SnapshotStore(disk).load();
    cut += loaded.state == state_of(1) && loaded.damaged.size() == 1;
    for (int bit = 0; bit < 8; ++bit) {
      disk.files_.at(newest)->current = whole;
      disk.files_.at(newest)->current[at] = static_cast<char>(whole[at] ^ (1 << bit));
      const LoadResult again = SnapshotStore(disk).load();
      flipped += again.state == state_of(1) && again.damaged.size() == 1;
    }
  }
  const int bytes = static_cast<int>(whole.size());
  std::cout << "cut at every byte: all found " << (cut == bytes ? "yes" : "no")
            << ", every bit flipped: all found " << (flipped == 8 * bytes ? "yes" : "no") << '\n';
  std::string other_format = whole;
  other_format[8] = 0;
  disk.files_.at(newest)->current = other_format;
  std::cout << "older format: " << SnapshotStore(disk).load().damaged.front().why << '\n';
  disk.files_.at(newest)->current = disk.files_.begin()->second->current;
  std::cout << "copied over: " << SnapshotStore(disk).load().damaged.front().why << '\n';
  for (auto& [name, file] : disk.files_) {
    file->current = "";
  }
  const LoadResult lost = SnapshotStore(disk).load();
  std::cout << "all damaged: state " << (lost.state ? "found" : "none") << ", said of " << lost.damaged.size()
            << "; then save " <<
      [&] {
        SnapshotStore store(disk);
        store.load();
        return store.save("again");
      }() << '\n';
}

// Fails a save for lack of space. The previous state must stay loadable, and a save must succeed once there
// is space again.
void full_disk() {
  ScriptedDisk disk;
  SnapshotStore store(disk);
  store.load();
  store.save(state_of(1));
  disk.free_bytes = 20;
  try {
    store.save(state_of(2));
    std::cout << "full disk: not noticed\n";
  } catch (const DiskError& fault) {
    std::cout << "full disk: " << fault.what();
  }
  std::cout << ", found "
            << (SnapshotStore(disk).load().state == state_of(1) ? "the state before" : "another");
  disk.free_bytes = 1 << 20;
  store.save(state_of(2));
  std::cout << ", with room again "
            << (SnapshotStore(disk).load().state == state_of(2) ? "the new one" : "another") << '\n';
}

// Kills a real process at an arbitrary moment while it saves to a real directory. The generation loaded
// afterwards must be the last one that the process reported as saved, or the one after it.
void kills(const std::string& folder) {
  int wrong = 0;
  for (int round = 0; round < 20; ++round) {
    int reported[2];
    if (pipe(reported) != 0) {
      std::exit(1);
    }
    const pid_t child = fork();
    if (child == 0) {
      DirectoryDisk disk(folder);
      SnapshotStore store(disk);
      store.load();
      for (;;) {
        const std::uint64_t next = store.save(fmt::format("of {}", round));
        if (write(reported[1], &next, sizeof next) != sizeof next) {
          _exit(1);
        }
      }
    }
    close(reported[1]);
    std::uint64_t last = 0;
    std::uint64_t generation = 0;
    const int min_saves = 1 + round;  // minimum number of saves before the kill
    for (int count = 0;
         count < min_saves && read(reported[0], &generation, sizeof generation) == sizeof generation;
         ++count) {
      last = generation;
    }
    kill(child, SIGKILL);
    waitpid(child, nullptr, 0);
    while (read(reported[0], &generation, sizeof generation) == sizeof generation) {
      last = generation;
    }
    close(reported[0]);
    DirectoryDisk disk(folder);
    const LoadResult loaded = SnapshotStore(disk).load();
    wrong +=
        !loaded.state || loaded.generation < last || loaded.generation > last + 1 || !loaded.damaged.empty();
  }
  DirectoryDisk disk(folder);
  std::cout << "killed writers: wrong " << wrong << ", files left "
            << (disk.names().size() <= 5 ? "few" : "many") << '\n';
}

}  // namespace

int main() {
  char folder[] = "/tmp/reedspindle-keep-XXXXXX";
  if (!mkdtemp(folder)) {
    return 1;
  }
  std::cout << "first start: "
            << (SnapshotStore(*std::make_unique<ScriptedDisk>()).load().state ? "a state" : "none") << '\n';
  crashes();
  damage();
  full_disk();
  kills(folder);
  std::filesystem::remove_all(folder);
}
