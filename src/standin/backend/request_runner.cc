#include "standin/backend/request_runner.h"

#include <absl/time/clock.h>

#include <algorithm>

#include "standin/support/boot_time.h"
#include "wire/result_code.h"

namespace ladderstream::standin {
namespace {

constexpr char kWrongGrant[] = "wrong-grant";
constexpr char kShed[] = "shed";
constexpr char kDraining[] = "draining";
constexpr char kExpired[] = "expired";
constexpr char kCancelled[] = "cancelled";
constexpr Duration kLoadHistory = absl::Seconds(30);

}  // namespace

RequestRunner::RequestRunner(const RunnerSettings& settings, EffectRecord* record)
    : settings_(settings),
      record_(record),
      started_at_(BootTimeNow()),
      grants_(settings.range_count),
      service_time_(settings.service_time),
      random_(settings.seed),
      last_arrival_(started_at_) {}

RunResult RequestRunner::Run(const RunRequest& request) {
  RunResult result;
  bool applied = false;
  {
    absl::MutexLock lock(&mutex_);
    const Time now = BootTimeNow();
    last_arrival_ = now;
    result.not_run = RefusalOnArrival(request, now);
    if (!result.not_run.empty()) {
      return result;
    }
    result = RunAdmitted(request);
    applied = grants_.UpdateApplied();
    NoteLoad(BootTimeNow());
    changed_.SignalAll();
  }
  if (applied && on_applied_) {
    on_applied_();
  }
  return result;
}

RunResult RequestRunner::RunAdmitted(const RunRequest& request) {
  const std::optional<GrantKey> grant = FindGrant(request.identity);
  if (grant.has_value()) {
    grants_.BeginWork(*grant);
  }
  RunResult result;
  result.not_run = WaitForSlot(request, grant);
  if (result.not_run.empty()) {
    result = RunInSlot(request);
  }
  if (grant.has_value()) {
    grants_.EndWork(*grant);
  }
  return result;
}

std::optional<GrantKey> RequestRunner::FindGrant(const RequestIdentity& identity) const {
  if (!settings_.needs_grants || identity.token.empty()) {
    return std::nullopt;
  }
  const Grant* grant =
      grants_.Find(ServiceName(identity.service), identity.key, ParseToken(identity.token));
  if (grant == nullptr) {
    return std::nullopt;
  }
  return GrantKey(grant->shard, grant->token);
}

std::string RequestRunner::RefusalOnArrival(const RunRequest& request, Time now) {
  if (refuse_new_) {
    return kDraining;
  }
  if (settings_.needs_grants &&
      (!FindGrant(request.identity).has_value() || !grants_.LeaseIsLive(now))) {
    return kWrongGrant;
  }
  if (now >= request.deadline) {
    return kExpired;
  }
  const bool must_wait = running_ >= settings_.slots || !waiters_.empty();
  return must_wait && waiters_.size() >= settings_.queue_limit ? kShed : "";
}

std::string RequestRunner::WaitForSlot(const RunRequest& request,
                                       const std::optional<GrantKey>& grant) {
  waiters_.push_back(Waiter{request.identity.request_id});
  const auto self = std::prev(waiters_.end());
  NoteLoad(BootTimeNow());
  std::string refusal;
  while (refusal.empty() && !(running_ < settings_.slots && self == waiters_.begin())) {
    const Duration remaining = request.deadline - BootTimeNow();
    changed_.WaitWithTimeout(&mutex_, std::max(remaining, absl::ZeroDuration()));
    if (self->cancelled) {
      refusal = kCancelled;
    } else if (grant.has_value() && !grants_.Holds(*grant)) {
      refusal = kWrongGrant;
    } else if (BootTimeNow() >= request.deadline) {
      refusal = kExpired;
    }
  }
  waiters_.erase(self);
  if (refusal.empty() && !MayTakeEffect(BootTimeNow())) {
    refusal = kWrongGrant;
  }
  return refusal;
}

RunResult RequestRunner::RunInSlot(const RunRequest& request) {
  const Time begin = BootTimeNow();
  ++running_;
  NoteLoad(begin);
  record_->Add("started", begin, request.identity);
  const Duration service_time = DrawServiceTime(begin);
  mutex_.Unlock();
  absl::SleepFor(service_time);
  mutex_.Lock();
  --running_;
  RunResult result;
  // The lease and the record are read off one reading of the clock: the effect is at that moment.
  const Time now = BootTimeNow();
  if (MayTakeEffect(now)) {
    result.sequence = record_->Add("finished", now, request.identity);
  } else {
    record_->Add(kCancelled, now, request.identity);
    result.not_run = kWrongGrant;
  }
  return result;
}

bool RequestRunner::MayTakeEffect(Time now) const {
  return !settings_.needs_grants || grants_.LeaseIsLive(now);
}

Duration RequestRunner::DrawServiceTime(Time now) {
  double factor = 1;
  if (settings_.distribution == ServiceTimeDistribution::kUniform) {
    factor = absl::Uniform(random_, 0.0, 2.0);
  } else if (settings_.distribution == ServiceTimeDistribution::kExponential) {
    factor = absl::Exponential<double>(random_);
  }
  const Duration age = now - started_at_;
  if (age < settings_.cold_duration) {
    const double warm = absl::FDivDuration(age, settings_.cold_duration);
    factor *= settings_.cold_factor + (1 - settings_.cold_factor) * warm;
  }
  return service_time_ * factor;
}

bool RequestRunner::Cancel(const std::string& request_id) {
  absl::MutexLock lock(&mutex_);
  for (Waiter& waiter : waiters_) {
    if (waiter.request_id == request_id) {
      waiter.cancelled = true;
      changed_.SignalAll();
      return true;
    }
  }
  return false;
}

bool RequestRunner::TakeLease(const LeaseResponse& response, Time sent) {
  bool applied = false;
  bool is_new = false;
  {
    absl::MutexLock lock(&mutex_);
    is_new = response.grants_included && grants_.Apply(response.grants);
    if (is_new) {
      record_->AddGrants(BootTimeNow(), response.grants);
      changed_.SignalAll();
    }
    const Time earlier_end = grants_.lease_end();
    grants_.RenewLease(response.grants.version, sent, response.lease);
    if (grants_.lease_end() != earlier_end) {
      record_->AddLease(BootTimeNow(), response.grants.version, grants_.lease_end());
    }
    applied = grants_.UpdateApplied();
  }
  if (applied && on_applied_) {
    on_applied_();
  }
  return is_new;
}

void RequestRunner::RefuseNew() {
  absl::MutexLock lock(&mutex_);
  refuse_new_ = true;
}

void RequestRunner::SetServiceTime(Duration mean) {
  absl::MutexLock lock(&mutex_);
  service_time_ = mean;
}

GrantSet RequestRunner::held() const {
  absl::MutexLock lock(&mutex_);
  return grants_.held();
}

GrantToken RequestRunner::applied_version() const {
  absl::MutexLock lock(&mutex_);
  return grants_.applied_version();
}

Time RequestRunner::lease_end() const {
  absl::MutexLock lock(&mutex_);
  return grants_.lease_end();
}

Time RequestRunner::last_arrival() const {
  absl::MutexLock lock(&mutex_);
  return last_arrival_;
}

void RequestRunner::NoteLoad(Time now) {
  load_.push_back(LoadSample{now, running_, static_cast<uint32_t>(waiters_.size())});
  while (load_.size() > 1 && load_.front().at + kLoadHistory < now) {
    load_.pop_front();
  }
}

LoadSample RequestRunner::Load(Duration age) const {
  absl::MutexLock lock(&mutex_);
  const Time wanted = BootTimeNow() - age;
  LoadSample found{wanted};
  for (auto sample = load_.rbegin(); sample != load_.rend(); ++sample) {
    if (sample->at <= wanted) {
      return *sample;
    }
  }
  return found;
}

}  // namespace ladderstream::standin
