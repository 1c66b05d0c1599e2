// The buffer that a connection reads into, and the bound on what all buffers of one kind use together.
#pragma once

#include <algorithm>
#include <cstring>
#include <span>
#include <string_view>
#include <vector>

namespace reedspindle::net {

// A number of bytes that several owners share. Each gives back what it has taken.
class MemoryBudget {
 public:
  explicit MemoryBudget(std::size_t bytes) : left_(bytes) {}
  // False: so many bytes are not left, and none are taken.
  [[nodiscard]] bool take(std::size_t bytes) {
    if (bytes > left_) {
      return false;
    }
    left_ -= bytes;
    return true;
  }
  void release(std::size_t bytes) { left_ += bytes; }

 private:
  std::size_t left_;
};

// Grows as needed, and is compacted in place. Its size is taken from the budget, which has to outlive it.
class Buffer {
 public:
  explicit Buffer(MemoryBudget& budget) : budget_(budget) {}
  ~Buffer() { budget_.release(bytes_.size()); }
  Buffer(const Buffer&) = delete;

  // The bytes that have been read and not yet consumed. Valid until the next call of prepare().
  [[nodiscard]] std::string_view data() const { return {bytes_.data() + begin_, end_ - begin_}; }

  // Space for the next read: at least so many bytes, or none where the budget is used up. Valid until the
  // next call. A buffer that has grown is released once it is empty.
  std::span<char> prepare(std::size_t least) {
    if (begin_ == end_) {
      begin_ = end_ = 0;
    }
    if (end_ == 0 && bytes_.size() > kUsualBytes) {
      budget_.release(bytes_.size());
      std::vector<char>().swap(bytes_);
    }
    if (bytes_.size() - end_ < least && begin_ > 0) {
      std::memmove(bytes_.data(), bytes_.data() + begin_, end_ - begin_);
      end_ -= begin_;
      begin_ = 0;
    }
    if (bytes_.size() - end_ < least) {
      const std::size_t wanted = std::max(2 * bytes_.size(), end_ + least);
      if (!budget_.take(wanted - bytes_.size())) {
        return {};
      }
      bytes_.resize(wanted);
    }
    return {bytes_.data() + end_, bytes_.size() - end_};
  }
  // So many bytes have been read into the space.
  void commit(std::size_t count) { end_ += count; }
  // So many of the first bytes are not needed any more.
  void consume(std::size_t count) { begin_ += count; }

 private:
  static constexpr std::size_t kUsualBytes = 8192;  // enough for nearly every message
  MemoryBudget& budget_;
  std::vector<char> bytes_;
  std::size_t begin_ = 0;
  std::size_t end_ = 0;
};

}  // namespace reedspindle::net
