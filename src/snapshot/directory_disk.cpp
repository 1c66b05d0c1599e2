// Implements DirectoryDisk with POSIX system calls.
#include <fcntl.h>
#include <fmt/format.h>
#include <sys/stat.h>
#include <unistd.h>

#include <cerrno>
#include <cstring>
#include <filesystem>
#include <utility>

#include "snapshot/snapshot_store.hpp"

namespace reedspindle::snapshot {
namespace {

[[noreturn]] void throw_disk_error(const std::string& operation, const std::string& path) {
  throw DiskError(fmt::format("{} {}: {}", operation, path, std::strerror(errno)));
}

// Owns a file descriptor and closes it on destruction.
class OpenFile {
 public:
  OpenFile(const std::string& path, int flags)
      : path_(path), fd_(open(path.c_str(), flags | O_CLOEXEC, 0600)) {
    if (fd_ < 0) {
      throw_disk_error("open", path);
    }
  }
  ~OpenFile() { close(fd_); }
  OpenFile(const OpenFile&) = delete;
  [[nodiscard]] int fd() const { return fd_; }
  void sync() const {
    if (fsync(fd_) != 0) {
      throw_disk_error("sync", path_);
    }
  }

 private:
  const std::string path_;
  const int fd_;
};

}  // namespace

DirectoryDisk::DirectoryDisk(std::string directory) : directory_(std::move(directory)) {
  if (mkdir(directory_.c_str(), 0700) != 0 && errno != EEXIST) {
    throw_disk_error("create directory", directory_);
  }
}

std::vector<std::string> DirectoryDisk::names() {
  std::vector<std::string> names;
  std::error_code code;
  for (auto at = std::filesystem::directory_iterator(directory_, code);
       !code && at != std::filesystem::directory_iterator(); at.increment(code)) {
    names.push_back(at->path().filename().string());
  }
  if (code) {
    throw DiskError(fmt::format("list {}: {}", directory_, code.message()));
  }
  return names;
}

std::optional<std::string> DirectoryDisk::read(const std::string& name, std::size_t max_bytes) {
  const OpenFile file(path(name), O_RDONLY);
  std::string bytes;
  char buffer[65536];
  for (;;) {
    const ssize_t count = ::read(file.fd(), buffer, sizeof buffer);
    if (count < 0 && errno == EINTR) {
      continue;
    }
    if (count < 0) {
      throw_disk_error("read", path(name));
    }
    if (count == 0) {
      return bytes;
    }
    bytes.append(buffer, static_cast<std::size_t>(count));
    if (bytes.size() > max_bytes) {
      return std::nullopt;
    }
  }
}

void DirectoryDisk::write(const std::string& name, std::string_view bytes) {
  const OpenFile file(path(name), O_WRONLY | O_CREAT | O_TRUNC);
  while (!bytes.empty()) {
    const ssize_t count = ::write(file.fd(), bytes.data(), bytes.size());
    if (count < 0 && errno == EINTR) {
      continue;
    }
    if (count < 0) {
      throw_disk_error("write", path(name));
    }
    bytes.remove_prefix(static_cast<std::size_t>(count));
  }
}

void DirectoryDisk::sync(const std::string& name) { OpenFile(path(name), O_WRONLY).sync(); }
void DirectoryDisk::sync_directory() { OpenFile(directory_, O_RDONLY | O_DIRECTORY).sync(); }

void DirectoryDisk::rename(const std::string& from, const std::string& to) {
  if (::rename(path(from).c_str(), path(to).c_str()) != 0) {
    throw_disk_error("rename", path(to));
  }
}

void DirectoryDisk::remove(const std::string& name) {
  if (unlink(path(name).c_str()) != 0) {
    throw_disk_error("remove", path(name));
  }
}

}  // namespace reedspindle::snapshot
