// Crash-safe storage of one small state. Each save writes a new numbered generation; a load returns the
// newest intact one, even after a crash of the writer or damage to files on the disk. The file format and the
// order of writes are described in snapshot_store.cpp, the rationale in docs/design-control.md.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

namespace reedspindle::snapshot {

// Reports a failed file operation. The message names the operation and the system's error.
struct DiskError : std::runtime_error {
  using std::runtime_error::runtime_error;
};

// Accesses the files of one directory. File names must not contain slashes. Every call throws DiskError if
// the system reports an error.
class Disk {
 public:
  virtual ~Disk() = default;
  // Returns the names of all files in the directory.
  virtual std::vector<std::string> names() = 0;
  // Returns the file's content, or nullopt if it is longer than max_bytes.
  virtual std::optional<std::string> read(const std::string& name, std::size_t max_bytes) = 0;
  // Replaces the file's content. The change is durable only after sync().
  virtual void write(const std::string& name, std::string_view bytes) = 0;
  // Makes the file's content durable.
  virtual void sync(const std::string& name) = 0;
  virtual void rename(const std::string& from, const std::string& to) = 0;
  // Makes all earlier renames and removals durable.
  virtual void sync_directory() = 0;
  virtual void remove(const std::string& name) = 0;
};

// Accesses a directory of the file system. Creates it, accessible only to its owner, if it does not exist.
class DirectoryDisk final : public Disk {
 public:
  explicit DirectoryDisk(std::string directory);
  std::vector<std::string> names() override;
  std::optional<std::string> read(const std::string& name, std::size_t max_bytes) override;
  void write(const std::string& name, std::string_view bytes) override;
  void sync(const std::string& name) override;
  void rename(const std::string& from, const std::string& to) override;
  void sync_directory() override;
  void remove(const std::string& name) override;

 private:
  [[nodiscard]] std::string path(const std::string& name) const { return directory_ + "/" + name; }
  std::string directory_;
};

// A file that load() skipped, and the reason.
struct DamagedFile {
  std::string name, why;
};

struct LoadResult {
  std::uint64_t generation = 0;
  std::optional<std::string> state;  // nullopt if there is no intact generation
  // Newest first. If there is no state although this is not empty, a state had been saved and is lost.
  std::vector<DamagedFile> damaged;
};

// Saves and loads the generations of a state.
class SnapshotStore {
 public:
  static constexpr std::size_t kMaxStateBytes = 16 << 20;

  explicit SnapshotStore(Disk& disk) : disk_(disk) {}

  // Loads the newest intact generation. Must be called once, before the first save.
  LoadResult load();
  // Saves the state and returns its generation. If it throws DiskError, the earlier generations are unchanged
  // and it may be called again.
  std::uint64_t save(std::string_view state);

 private:
  Disk& disk_;
  std::uint64_t last_generation_ = 0;
};

}  // namespace reedspindle::snapshot
