#include "simulation/backend_process.h"

#include <algorithm>
#include <utility>

namespace ladderstream::simulation {
namespace {

constexpr Duration kAskInterval = absl::Milliseconds(230);
constexpr Duration kAnswerTimeout = absl::Milliseconds(120);
constexpr Duration kNoLeaderPause = absl::Milliseconds(20);
constexpr Duration kServiceTimeMin = absl::Milliseconds(1);
constexpr Duration kServiceTimeMax = absl::Milliseconds(20);

}  // namespace

BackendProcess::BackendProcess(Environment& environment, BackendPeers& peers, HostId host,
                               BackendId id)
    : environment_(environment),
      peers_(peers),
      host_(host),
      id_(std::move(id)),
      incarnation_(environment.DrawNumber() | 1) {}

void BackendProcess::Start() { Ask(); }

bool BackendProcess::HasLease() const { return environment_.LocalTime(host_) < lease_until_; }

GrantToken BackendProcess::AppliedVersion() const {
  for (const auto& request : running_) {
    const GrantToken& token = request.second;
    const bool is_held = std::any_of(held_.grants.begin(), held_.grants.end(),
                                     [&](const Grant& grant) { return grant.token == token; });
    if (!is_held) {
      return applied_;
    }
  }
  return held_.version;
}

void BackendProcess::AskAfter(Duration delay) {
  const uint64_t ask = ++ask_;
  environment_.AtHost(host_, delay, [this, ask] {
    if (ask == ask_) {
      Ask();
    }
  });
}

void BackendProcess::Ask() {
  node_choice_ += awaiting_ ? 1 : 0;
  awaiting_ = true;
  applied_ = AppliedVersion();
  const uint64_t attempt = ++attempt_;
  const Time sent = environment_.LocalTime(host_);
  const LeaseRequest request{id_, incarnation_, applied_, false};
  const auto answer = environment_.Guard<LeaseResponse>(
      host_, [this, attempt, sent](const auto& response) { OnAnswer(attempt, sent, response); });
  environment_.Conclude(
      host_, [this, request, answer] { peers_.AskForLease(host_, node_choice_, request, answer); });
  AskAfter(kAnswerTimeout);
}

void BackendProcess::OnAnswer(uint64_t attempt, Time sent, const LeaseResponse& response) {
  if (response.grants_included) {
    Apply(response.grants);
  }
  const bool answered = response.result == ResultCode::kOk;
  if (answered && held_.version >= response.grants.version) {
    lease_until_ = std::max(lease_until_, sent + response.lease);
  }
  if (attempt != attempt_) {
    return;
  }
  awaiting_ = !answered;
  const Duration interval = AppliedVersion() > applied_ ? absl::ZeroDuration() : kAskInterval;
  AskAfter(answered ? interval : kNoLeaderPause);
}

void BackendProcess::ReceivePush(const GrantSet& grants) { Apply(grants); }

void BackendProcess::Apply(const GrantSet& grants) {
  if (grants.version <= held_.version) {
    return;
  }
  held_ = grants;
  awaiting_ = false;
  AskAfter(absl::ZeroDuration());
}

const Grant* BackendProcess::FindGrant(const BackendRequest& request) const {
  const auto found =
      std::find_if(held_.grants.begin(), held_.grants.end(), [&](const Grant& grant) {
        return grant.token == request.token && grant.shard.service == request.service &&
               grant.shard.range == request.range &&
               (grant.shard.key.empty() || grant.shard.key == request.key);
      });
  return found == held_.grants.end() ? nullptr : &*found;
}

bool BackendProcess::Serve(const BackendRequest& request, std::function<void()> done) {
  if (!HasLease() || FindGrant(request) == nullptr) {
    return false;
  }
  peers_.NoteRun(request.id);
  running_.emplace(request.id, request.token);
  const Duration duration = environment_.DrawDuration(kServiceTimeMin, kServiceTimeMax);
  environment_.AtHost(host_, duration, [this, id = request.id, done = std::move(done)] {
    running_.erase(id);
    if (AppliedVersion() > applied_ && applied_ < held_.version) {
      AskAfter(absl::ZeroDuration());
    }
    done();
  });
  return true;
}

}  // namespace ladderstream::simulation
