#include "daemon/router/attempt_registry.h"

#include <absl/hash/hash.h>

#include <utility>

namespace ladderstream {

AttemptRegistry::Stripe& AttemptRegistry::StripeOf(const std::string& request_id) {
  return stripes_[absl::HashOf(request_id) % kStripes];
}

void AttemptRegistry::Add(const std::string& request_id, routing::CancellationPtr cancellation) {
  Stripe& stripe = StripeOf(request_id);
  const absl::MutexLock lock(&stripe.mutex);
  stripe.attempts.insert_or_assign(request_id, std::move(cancellation));
}

void AttemptRegistry::Remove(const std::string& request_id) {
  Stripe& stripe = StripeOf(request_id);
  const absl::MutexLock lock(&stripe.mutex);
  stripe.attempts.erase(request_id);
}

void AttemptRegistry::Cancel(const std::string& request_id) {
  routing::CancellationPtr cancellation;
  Stripe& stripe = StripeOf(request_id);
  {
    const absl::MutexLock lock(&stripe.mutex);
    const auto found = stripe.attempts.find(request_id);
    if (found == stripe.attempts.end()) {
      return;
    }
    cancellation = found->second;
  }
  cancellation->Cancel();
}

}  // namespace ladderstream
