// A bound on the bytes of bodies that the process holds at one time.
#pragma once

#include <cstddef>
#include <utility>

namespace ladderstream::gateway {

class ByteBudget {
 public:
  explicit ByteBudget(size_t limit) : limit_(limit) {}

  size_t used() const { return used_; }
  bool Fits(size_t bytes) const { return used_ + bytes <= limit_; }

 private:
  friend class ByteReservation;

  size_t limit_;
  size_t used_ = 0;
};

/// A part of the budget, given back when it goes. The budget outlives it.
class ByteReservation {
 public:
  ByteReservation() = default;
  explicit ByteReservation(ByteBudget* budget) : budget_(budget) {}
  ByteReservation(ByteReservation&& other) noexcept
      : budget_(other.budget_), bytes_(std::exchange(other.bytes_, 0)) {}
  ByteReservation& operator=(ByteReservation&& other) noexcept {
    if (this != &other) {
      Set(0);
      budget_ = other.budget_;
      bytes_ = std::exchange(other.bytes_, 0);
    }
    return *this;
  }
  ByteReservation(const ByteReservation&) = delete;
  ByteReservation& operator=(const ByteReservation&) = delete;
  ~ByteReservation() { Set(0); }

  /// Makes this `bytes` large. False, and nothing changed, when a growth does not fit.
  bool Resize(size_t bytes) {
    if (bytes > bytes_ && budget_ != nullptr && !budget_->Fits(bytes - bytes_)) {
      return false;
    }
    Set(bytes);
    return true;
  }

 private:
  void Set(size_t bytes) {
    if (budget_ != nullptr) {
      budget_->used_ = budget_->used_ - bytes_ + bytes;
    }
    bytes_ = bytes;
  }

  ByteBudget* budget_ = nullptr;
  size_t bytes_ = 0;
};

}  // namespace ladderstream::gateway
