// The read buffer of a connection.
#pragma once

#include <algorithm>
#include <bit>
#include <cstring>
#include <optional>
#include <span>
#include <string_view>
#include <vector>

#include "net/memory_budget.hpp"

namespace reedspindle::net {

// A contiguous buffer that grows as needed and is compacted in place. Its size is taken from the budget,
// which has to outlive it. While its peer sends nothing, a buffer should hold no more of the budget than its
// data needs: the owner calls release_unused() before each wait for the peer.
class Buffer {
 public:
  explicit Buffer(MemoryBudget& budget) : budget_(budget) {}
  // Beyond a small size, the buffer may hold only a fair share of the budget.
  Buffer(MemoryBudget& budget, const FairShare& share) : budget_(budget), share_(share) {}
  ~Buffer() { budget_.release(bytes_.size()); }
  Buffer(const Buffer&) = delete;

  // Returns the bytes that have been read and not yet consumed. Valid until the next call of prepare(),
  // release_unused() or clear().
  [[nodiscard]] std::string_view data() const { return {bytes_.data() + begin_, end_ - begin_}; }

  // Returns space for the next read: at least `min_bytes` bytes, or none if the budget does not allow it.
  // Valid until the next call.
  std::span<char> prepare(std::size_t min_bytes) {
    if (begin_ == end_) {
      begin_ = end_ = 0;
    }
    if (bytes_.size() - end_ < min_bytes && begin_ > 0) {
      std::memmove(bytes_.data(), bytes_.data() + begin_, end_ - begin_);
      end_ -= begin_;
      begin_ = 0;
    }
    if (bytes_.size() - end_ < min_bytes) {
      const std::size_t new_size = std::bit_ceil(std::max(2 * bytes_.size(), end_ + min_bytes));
      if (!may_hold(new_size) || !budget_.take(new_size - bytes_.size())) {
        return {};
      }
      bytes_.resize(new_size);
    }
    return {bytes_.data() + end_, bytes_.size() - end_};
  }
  // Adds the first `count` bytes of the prepared space to the data.
  void commit(std::size_t count) { end_ += count; }
  // Removes the first `count` bytes of the data.
  void consume(std::size_t count) { begin_ += count; }
  // Returns the memory that the data does not need to the budget: all of it if there is no data, the excess
  // if the data takes up a small part.
  void release_unused() {
    const std::string_view left = data();
    if (!left.empty() && left.size() * kMinUseDivisor >= bytes_.size()) {
      return;
    }
    std::vector<char> kept(left.empty() ? 0 : std::bit_ceil(left.size()));
    std::ranges::copy(left, kept.begin());
    begin_ = 0;
    end_ = left.size();
    budget_.release(bytes_.size() - kept.size());
    bytes_.swap(kept);
  }
  // Removes all data and returns all memory to the budget.
  void clear() {
    begin_ = end_;
    release_unused();
  }

 private:
  [[nodiscard]] bool may_hold(std::size_t size) const {
    return !share_ || size <= kSmallSize || budget_.is_fair(size, *share_);
  }

  // Data that takes up less than this part of the memory is moved to a smaller part.
  static constexpr std::size_t kMinUseDivisor = 4;
  // A buffer up to this size, in bytes, is enough for short messages.
  static constexpr std::size_t kSmallSize = 4096;
  MemoryBudget& budget_;
  const std::optional<FairShare> share_;
  std::vector<char> bytes_;
  std::size_t begin_ = 0;
  std::size_t end_ = 0;
};

}  // namespace reedspindle::net
