// A crash-safe store of one small state: numbered generations, of which the newest complete one is loaded
// whatever happened to the writer or to the disk in between. Format and order of writing: snapshot_store.cpp;
// rationale: docs/design-control.md.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

namespace reedspindle::snapshot {

// A file operation failed; the message names it, with the system's reason.
struct DiskError : std::runtime_error {
  using std::runtime_error::runtime_error;
};

// The files of one directory. Names hold no slashes. Every call throws DiskError where the system reports an
// error.
class Disk {
 public:
  virtual ~Disk() = default;
  virtual std::vector<std::string> names() = 0;
  // The file's content; none where it is longer than max_bytes.
  virtual std::optional<std::string> read(const std::string& name, std::size_t max_bytes) = 0;
  // Replaces the file's content; not durable before it has been synced.
  virtual void write(const std::string& name, std::string_view bytes) = 0;
  virtual void sync(const std::string& name) = 0;
  virtual void rename(const std::string& from, const std::string& to) = 0;
  // Makes renames and removals so far durable.
  virtual void sync_directory() = 0;
  virtual void remove(const std::string& name) = 0;
};

// A directory of the file system; created, with rights for its owner alone, where it is missing.
class DirectoryDisk final : public Disk {
 public:
  explicit DirectoryDisk(std::string folder);
  std::vector<std::string> names() override;
  std::optional<std::string> read(const std::string& name, std::size_t max_bytes) override;
  void write(const std::string& name, std::string_view bytes) override;
  void sync(const std::string& name) override;
  void rename(const std::string& from, const std::string& to) override;
  void sync_directory() override;
  void remove(const std::string& name) override;

 private:
  [[nodiscard]] std::string path(const std::string& name) const { return folder_ + "/" + name; }
  std::string folder_;
};

// A file that was ignored, and why.
struct DamagedFile {
  std::string name, why;
};

struct LoadResult {
  std::uint64_t generation = 0;
  std::optional<std::string> state;  // none: there is no complete generation
  std::vector<DamagedFile>
      damaged;  // newest first; not empty without a state: something was there and is lost
};

class SnapshotStore {
 public:
  static constexpr std::size_t kMaxStateBytes = 16 << 20;  // bytes of one state

  explicit SnapshotStore(Disk& disk) : disk_(disk) {}

  // Loads the newest complete generation. To be called once, before the first save.
  LoadResult load();
  // Saves the state and returns its generation. After a DiskError the earlier generations are as they were,
  // and it may be called again.
  std::uint64_t save(std::string_view state);

 private:
  Disk& disk_;
  std::uint64_t last_ = 0;
};

}  // namespace reedspindle::snapshot
