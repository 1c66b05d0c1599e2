// The one buffer a connection reads into: it grows as it needs and is compacted in place.
#pragma once

#include <cstring>
#include <span>
#include <string_view>
#include <vector>

namespace reedspindle::front {

class Buffer {
 public:
  // What has been read and not yet consumed.
  std::string_view held() const { return {bytes_.data() + begin_, end_ - begin_}; }

  // Room for the next read: at least so many bytes.
  std::span<char> room(std::size_t least) {
    if (bytes_.size() - end_ < least && begin_ > 0) {
      std::memmove(bytes_.data(), bytes_.data() + begin_, end_ - begin_);
      end_ -= begin_, begin_ = 0;
    }
    if (bytes_.size() - end_ < least) bytes_.resize(std::max(2 * bytes_.size(), end_ + least));
    return {bytes_.data() + end_, bytes_.size() - end_};
  }
  void filled(std::size_t count) { end_ += count; }
  void consume(std::size_t count) {
    begin_ += count;
    if (begin_ == end_) begin_ = end_ = 0;
  }

 private:
  std::vector<char> bytes_;
  std::size_t begin_ = 0, end_ = 0;
};

}  // namespace reedspindle::front
