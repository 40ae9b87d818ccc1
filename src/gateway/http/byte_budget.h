// A bound on the bytes of bodies that the process holds at one time.
//
// An answer may take no more than it leaves free, so that one without an end leaves room for the
// others.
#pragma once

#include <cstddef>
#include <memory>
#include <utility>

namespace ladderstream::gateway {

/// Whose body it is. A part of the budget is kept for answers: what they answer has already run.
enum class ByteUse { kRequest, kAnswer };

class ByteBudget {
 public:
  explicit ByteBudget(size_t limit) : limit_(limit) {}

  size_t used() const { return used_; }
  /// Whether a body of `held` bytes may grow by `bytes`.
  bool Fits(ByteUse use, size_t held, size_t bytes) const {
    if (use == ByteUse::kRequest) {
      return used_ + bytes <= limit_ / kShareParts * kRequestParts;
    }
    return used_ + bytes <= limit_ && held + bytes <= limit_ - used_ - bytes;
  }

 private:
  friend class ByteReservation;

  /// Requests may use three quarters.
  static constexpr size_t kShareParts = 4;
  static constexpr size_t kRequestParts = 3;

  size_t limit_;
  size_t used_ = 0;
};
using ByteBudgetPtr = std::shared_ptr<ByteBudget>;

/// A part of the budget, given back when it goes.
class ByteReservation {
 public:
  ByteReservation() = default;
  ByteReservation(ByteBudgetPtr budget, ByteUse use) : budget_(std::move(budget)), use_(use) {}
  ByteReservation(ByteReservation&& other) noexcept
      : budget_(std::move(other.budget_)),
        use_(other.use_),
        bytes_(std::exchange(other.bytes_, 0)) {}
  ByteReservation& operator=(ByteReservation&& other) noexcept {
    if (this != &other) {
      Set(0);
      budget_ = std::move(other.budget_);
      use_ = other.use_;
      bytes_ = std::exchange(other.bytes_, 0);
    }
    return *this;
  }
  ByteReservation(const ByteReservation&) = delete;
  ByteReservation& operator=(const ByteReservation&) = delete;
  ~ByteReservation() { Set(0); }

  /// Makes this `bytes` large. False, and nothing changed, when a growth does not fit.
  bool Resize(size_t bytes) {
    if (bytes > bytes_ && budget_ != nullptr && !budget_->Fits(use_, bytes_, bytes - bytes_)) {
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

  ByteBudgetPtr budget_;
  ByteUse use_ = ByteUse::kRequest;
  size_t bytes_ = 0;
};

}  // namespace ladderstream::gateway
