// A store of one small state that survives crashes: numbered generations, of which the newest whole one is
// found whatever happened to the writer or to the disk in between. Format and order of writing: store.cpp;
// what was weighed: docs/design-control.md.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

namespace reedspindle::snapshot {

// The disk did not do what it was asked; the message says what, with the system's reason.
struct DiskFault : std::runtime_error {
  using std::runtime_error::runtime_error;
};

// One folder. Names hold no slashes. Every call throws DiskFault where the system reports a fault.
class Disk {
 public:
  virtual ~Disk() = default;
  virtual std::vector<std::string> names() = 0;
  // The file's bytes; none where it is longer than that many bytes.
  virtual std::optional<std::string> read(const std::string& name, std::size_t most) = 0;
  // Written anew from its start; nothing lasts until it has been synced.
  virtual void write(const std::string& name, std::string_view bytes) = 0;
  virtual void sync(const std::string& name) = 0;
  virtual void rename(const std::string& from, const std::string& to) = 0;
  // From here on names last: renames and removals so far.
  virtual void sync_folder() = 0;
  virtual void remove(const std::string& name) = 0;
};

// The real one. Makes the folder, with the right to it for its owner alone, where it is missing.
class FolderDisk final : public Disk {
 public:
  explicit FolderDisk(std::string folder);
  std::vector<std::string> names() override;
  std::optional<std::string> read(const std::string& name, std::size_t most) override;
  void write(const std::string& name, std::string_view bytes) override;
  void sync(const std::string& name) override;
  void rename(const std::string& from, const std::string& to) override;
  void sync_folder() override;
  void remove(const std::string& name) override;

 private:
  [[nodiscard]] std::string path(const std::string& name) const { return folder_ + "/" + name; }
  std::string folder_;
};

// A file that does not count, and why.
struct Damage {
  std::string name, why;
};

struct Loaded {
  std::uint64_t generation = 0;
  std::optional<std::string> state;  // none: nothing whole is there
  std::vector<Damage> damaged;  // newest first; not empty without a state: something was there and is lost
};

class Store {
 public:
  static constexpr std::size_t kLongest = 16 << 20;  // bytes of one state

  explicit Store(Disk& disk) : disk_(disk) {}

  // The newest whole generation. To be called once, before the first save.
  Loaded load();
  // Returns the generation under which the state lasts from now on. After a DiskFault the generations before
  // are as they were, and it may be called again.
  std::uint64_t save(std::string_view state);

 private:
  Disk& disk_;
  std::uint64_t last_ = 0;
};

}  // namespace reedspindle::snapshot
