// The one buffer a connection reads into: it grows as it needs and is compacted in place. What all buffers of
// one kind of peer hold together is bounded.
#pragma once

#include <algorithm>
#include <cstring>
#include <span>
#include <string_view>
#include <vector>

namespace reedspindle::net {

// The bytes that one kind of peer may make the front hold.
class Allowance {
 public:
  explicit Allowance(std::size_t bytes) : left_(bytes) {}
  bool take(std::size_t bytes) {
    if (bytes > left_) {
      return false;
    }
    left_ -= bytes;
    return true;
  }
  void give(std::size_t bytes) { left_ += bytes; }

 private:
  std::size_t left_;
};

class Buffer {
 public:
  explicit Buffer(Allowance& allowance) : allowance_(allowance) {}
  ~Buffer() { allowance_.give(bytes_.size()); }
  Buffer(const Buffer&) = delete;

  // What has been read and not yet consumed.
  [[nodiscard]] std::string_view held() const { return {bytes_.data() + begin_, end_ - begin_}; }

  // Room for the next read: at least so many bytes, or none where the allowance is used up. It stays where it
  // is until the next call. What has grown is given back once it is empty.
  std::span<char> room(std::size_t least) {
    if (begin_ == end_) {
      begin_ = end_ = 0;
    }
    if (end_ == 0 && bytes_.size() > kUsual) {
      allowance_.give(bytes_.size());
      std::vector<char>().swap(bytes_);
    }
    if (bytes_.size() - end_ < least && begin_ > 0) {
      std::memmove(bytes_.data(), bytes_.data() + begin_, end_ - begin_);
      end_ -= begin_, begin_ = 0;
    }
    if (bytes_.size() - end_ < least) {
      const std::size_t wanted = std::max(2 * bytes_.size(), end_ + least);
      if (!allowance_.take(wanted - bytes_.size())) {
        return {};
      }
      bytes_.resize(wanted);
    }
    return {bytes_.data() + end_, bytes_.size() - end_};
  }
  void filled(std::size_t count) { end_ += count; }
  void consume(std::size_t count) { begin_ += count; }

 private:
  static constexpr std::size_t kUsual = 8192;  // holds nearly every message
  Allowance& allowance_;
  std::vector<char> bytes_;
  std::size_t begin_ = 0, end_ = 0;
};

}  // namespace reedspindle::net
