#include "core/store/version_audit.h"

namespace ladderstream::store {
namespace {

/// Beyond this many, the lowest versions are dropped; only CompleteUpTo() explains them then.
constexpr size_t kMaxKnown = 4096;

}  // namespace

void VersionAudit::Add(RowVersion version) {
  if (version <= explained_) {
    return;
  }
  known_.insert(version);
  if (known_.size() > kMaxKnown) {
    known_.erase(known_.begin());
  }
  Advance();
}

void VersionAudit::CompleteUpTo(RowVersion version) {
  if (version <= explained_) {
    return;
  }
  explained_ = version;
  known_.erase(known_.begin(), known_.upper_bound(version));
  Advance();
}

void VersionAudit::Advance() {
  while (!known_.empty() && *known_.begin() == explained_ + 1) {
    ++explained_;
    known_.erase(known_.begin());
  }
}

}  // namespace ladderstream::store
