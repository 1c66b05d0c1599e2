// Limits on the memory that peers can make this process hold, and the charges against them.
#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace reedspindle::net {

// What one of several owners may hold of a budget, if it holds much: at most the `divisor`-th part of what is
// left, the reserve aside. The more of the budget is in use, the less one owner may hold: those that hold
// most are the first that get nothing, and the reserve is for those that hold little.
struct FairShare {
  std::size_t divisor = 1;
  std::size_t reserve_divisor = 1;  // the reserve is this part of the whole budget
};

// Limits the bytes that several owners hold together. Each owner releases what it has taken.
class MemoryBudget {
 public:
  explicit MemoryBudget(std::size_t bytes) : total_(bytes), left_(bytes) {}
  // Takes `bytes` from the budget. Returns false, and takes nothing, if fewer bytes are left.
  [[nodiscard]] bool take(std::size_t bytes) {
    if (bytes > left_) {
      return false;
    }
    left_ -= bytes;
    return true;
  }
  void release(std::size_t bytes) { left_ += bytes; }
  [[nodiscard]] std::size_t left() const { return left_; }
  // Returns whether an owner that holds much may hold `bytes`.
  [[nodiscard]] bool is_fair(std::size_t bytes, const FairShare& share) const {
    const std::size_t reserve = total_ / share.reserve_divisor;
    return left_ > reserve && bytes <= (left_ - reserve) / share.divisor;
  }

 private:
  const std::size_t total_;
  std::size_t left_;
};

// Bytes taken from a budget, which has to outlive the charge. They are released when it is destroyed.
class MemoryCharge {
 public:
  MemoryCharge() = default;
  // An empty charge against the budget.
  explicit MemoryCharge(MemoryBudget& budget) : budget_(&budget) {}
  ~MemoryCharge() { release(); }
  MemoryCharge(MemoryCharge&& other) noexcept
      : budget_(other.budget_), bytes_(std::exchange(other.bytes_, 0)) {}
  MemoryCharge& operator=(MemoryCharge&& other) noexcept {
    if (this != &other) {
      release();
      budget_ = other.budget_;
      bytes_ = std::exchange(other.bytes_, 0);
    }
    return *this;
  }

  // Takes `bytes` more. Returns false, and takes nothing, if the budget has fewer left.
  [[nodiscard]] bool take(std::size_t bytes) {
    if (!budget_ || !budget_->take(bytes)) {
      return false;
    }
    bytes_ += bytes;
    return true;
  }
  // Charges the same bytes to another budget. Returns false, and changes nothing, if that has fewer left.
  [[nodiscard]] bool move_to(MemoryBudget& budget) {
    if (!budget.take(bytes_)) {
      return false;
    }
    const std::size_t bytes = bytes_;
    release();
    budget_ = &budget;
    bytes_ = bytes;
    return true;
  }
  void release() {
    if (budget_) {
      budget_->release(std::exchange(bytes_, 0));
    }
  }
  [[nodiscard]] std::size_t bytes() const { return bytes_; }

 private:
  MemoryBudget* budget_ = nullptr;
  std::size_t bytes_ = 0;
};

// A text whose storage, not only its length, is charged to a budget for as long as it is held.
class ChargedText {
 public:
  // A text outside of any budget: the owner limits the number and the length of such texts.
  ChargedText() = default;
  explicit ChargedText(std::string text) : text_(std::move(text)) {}
  // An empty text that is charged to the budget.
  explicit ChargedText(MemoryBudget& budget) : charge_(budget) {}
  ChargedText(ChargedText&&) noexcept = default;
  ChargedText& operator=(ChargedText&&) noexcept = default;

  [[nodiscard]] const std::string& text() const { return text_; }

  // Appends `bytes`, and keeps space for `more` bytes that are appended later. Returns false, and changes
  // nothing, if the budget has too few bytes left.
  [[nodiscard]] bool append(std::string_view bytes, std::size_t more = 0) {
    const std::size_t needed = text_.size() + bytes.size();
    if (needed <= charge_.bytes()) {
      text_.append(bytes);
      return true;
    }
    if (!charge_.take(needed + more - charge_.bytes())) {
      return false;
    }
    std::string larger;
    larger.reserve(needed + more);
    larger.append(text_).append(bytes);
    text_ = std::move(larger);
    return true;
  }
  // Charges the text to another budget. Returns false, and changes nothing, if that has too few bytes left.
  [[nodiscard]] bool move_to(MemoryBudget& budget) { return charge_.move_to(budget); }

 private:
  std::string text_;
  MemoryCharge charge_;
};

}  // namespace reedspindle::net
