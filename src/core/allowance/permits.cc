#include "core/allowance/permits.h"

#include <algorithm>
#include <cmath>

namespace ladderstream::allowance {
namespace {

/// An issuer saves one permit, and what its rate gives in this time: less would be lost between two
/// questions.
constexpr Duration kSavedTime = absl::Milliseconds(250);
/// A back end that takes nothing gets a request in some seconds all the same: nobody would hear of
/// the end of its limit.
constexpr double kLeastRate = 0.25;
/// An issuer that left a question unanswered, or does not act, is not asked for so long.
constexpr Duration kSilentPause = absl::Milliseconds(300);
constexpr Duration kLongestRetry = absl::Seconds(1);
/// Uses within this say how many permits are wanted at a time.
constexpr Duration kUseWindow = absl::Milliseconds(100);
constexpr Duration kIdle = absl::Minutes(1);

}  // namespace

PermitReply PermitIssuer::Answer(const PermitQuestion& question, double rate, Time now) {
  PermitReply reply{question.sequence, 0, kSilentPause};
  if (!nodes_.MayAct(question.backend, kIssuers, now)) {
    buckets_.erase(question.backend);
    ++denied_;
    return reply;
  }
  const size_t issuers = nodes_.Chosen(question.backend, kIssuers, now).size();
  const double share = std::max(rate, kLeastRate) / static_cast<double>(issuers);
  const auto [place, is_new] = buckets_.try_emplace(question.backend, Bucket{0, now});
  Bucket& bucket = place->second;
  const double most = 1 + share * absl::ToDoubleSeconds(kSavedTime);
  bucket.saved =
      std::min(most, bucket.saved + share * absl::ToDoubleSeconds(now - bucket.filled_at));
  bucket.filled_at = now;
  reply.granted = static_cast<uint32_t>(
      std::min(std::floor(bucket.saved), static_cast<double>(question.wanted)));
  bucket.saved -= reply.granted;
  reply.retry_in =
      std::clamp(absl::Seconds((1 - bucket.saved) / share), absl::ZeroDuration(), kLongestRetry);
  granted_ += reply.granted;
  denied_ += question.wanted - reply.granted;
  return reply;
}

void PermitIssuer::Forget(Time now) {
  absl::erase_if(buckets_,
                 [now](const auto& entry) { return now - entry.second.filled_at > kIdle; });
}

bool PermitHolder::Holds(const std::string& backend, Time now) const {
  const auto found = backends_.find(backend);
  return found != backends_.end() && !found->second.permits.empty() &&
         now < found->second.permits.back();
}

void PermitHolder::Use(const std::string& backend, Time now) {
  Backend& known = backends_[backend];
  while (!known.permits.empty() && known.permits.front() <= now) {
    known.permits.pop_front();
  }
  if (!known.permits.empty()) {
    known.permits.pop_front();
  }
  known.used.push_back(now);
  while (known.used.front() + kUseWindow < now) {
    known.used.pop_front();
  }
}

bool PermitHolder::IsOpen(const Backend& backend, Time now) {
  return backend.open != 0 && now < backend.asked_at + kPermitLife;
}

std::optional<PermitQuestion> PermitHolder::Ask(const std::string& backend, double rate, Time now) {
  Backend& known = backends_[backend];
  if (IsOpen(known, now)) {
    return std::nullopt;
  }
  if (known.open != 0) {
    known.issuers[known.asked_issuer].denied_until = now + kSilentPause;
    questions_.erase(known.open);
    known.open = 0;
  }
  const std::vector<uint64_t> chosen = nodes_.Chosen(backend, kIssuers, now);
  // Nodes begin with different issuers, so that both are asked alike.
  const size_t first = nodes_.self() % std::max<size_t>(chosen.size(), 1);
  for (size_t i = 0; i < chosen.size(); ++i) {
    const size_t index = (first + i) % chosen.size();
    if (now < known.issuers[index].denied_until) {
      continue;
    }
    known.open = ++last_sequence_;
    known.asked_issuer = index;
    known.asked_at = now;
    questions_.emplace(known.open, backend);
    const auto recent = std::count_if(known.used.begin(), known.used.end(),
                                      [now](Time at) { return at + kUseWindow >= now; });
    const auto wanted = std::min<uint32_t>(static_cast<uint32_t>(recent) + 1, kMostPermitsAsked);
    return PermitQuestion{chosen[index], known.open, backend, rate, wanted};
  }
  return std::nullopt;
}

bool PermitHolder::AwaitsReply(const std::string& backend, Time now) const {
  const auto found = backends_.find(backend);
  return found != backends_.end() && IsOpen(found->second, now);
}

Time PermitHolder::TryAgain(const std::string& backend, Time now) const {
  const auto found = backends_.find(backend);
  if (found == backends_.end()) {
    return now + kSilentPause;
  }
  const Backend& known = found->second;
  if (IsOpen(known, now)) {
    return known.asked_at + kPermitLife;
  }
  const size_t issuers = nodes_.Chosen(backend, kIssuers, now).size();
  if (issuers == 0) {
    return now + kSilentPause;
  }
  Time next = absl::InfiniteFuture();
  for (size_t i = 0; i < issuers; ++i) {
    next = std::min(next, known.issuers[i].denied_until);
  }
  return std::max(next, now);
}

std::string PermitHolder::OnReply(const PermitReply& reply, Time now) {
  const auto question = questions_.find(reply.sequence);
  if (question == questions_.end()) {
    return {};
  }
  std::string backend = std::move(question->second);
  questions_.erase(question);
  Backend& known = backends_[backend];
  if (known.open != reply.sequence) {
    return {};
  }
  known.open = 0;
  const Time ends = known.asked_at + kPermitLife;
  if (now >= ends) {
    // What a slow answer granted is over: its issuer gives others the same rate again.
    return backend;
  }
  for (uint32_t i = 0; i < std::min(reply.granted, kMostPermitsAsked); ++i) {
    known.permits.push_back(ends);
  }
  known.issuers[known.asked_issuer].denied_until =
      reply.granted > 0 ? absl::InfinitePast() : now + reply.retry_in;
  return backend;
}

void PermitHolder::Forget(Time now) {
  absl::erase_if(backends_, [&](const auto& entry) {
    const Backend& known = entry.second;
    const bool idle = now - known.asked_at > kIdle;
    if (idle && known.open != 0) {
      questions_.erase(known.open);
    }
    return idle;
  });
}

}  // namespace ladderstream::allowance
