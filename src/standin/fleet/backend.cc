#include "standin/fleet/backend.h"

#include <absl/strings/match.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_format.h>

#include <algorithm>
#include <utility>

#include "standin/fleet/store_codec.h"
#include "standin/fleet/wire_names.h"

namespace ladderstream::fleet {
namespace {

constexpr int kOk = 200;
constexpr int kBadRequest = 400;
constexpr int kMisdirected = 421;
constexpr int kInternalError = 500;
constexpr int kUnavailable = 503;
constexpr int kGatewayTimeout = 504;
constexpr Duration kHealthTime = absl::Milliseconds(2);
// What arrives this soon after a thaw was sent before it.
constexpr Duration kThawSlack = absl::Milliseconds(300);

std::optional<ownership::Key> KeyOf(const ReceivedRequest& request) {
  ownership::Key key = 0;
  const bool is_key =
      absl::SimpleAtoi(request.Header(wire::kShardKey), &key) && key <= ownership::kLastKey;
  return is_key ? std::make_optional(key) : std::nullopt;
}

std::optional<Duration> AnnouncedTime(const ReceivedRequest& request) {
  double milliseconds = 0;
  if (!absl::SimpleAtod(request.Header(wire::kDeadlineMs), &milliseconds)) {
    return std::nullopt;
  }
  return absl::Milliseconds(milliseconds);
}

/// How a back end ends under this request.
RequestedEnd RequestedEndOf(const ReceivedRequest& request) {
  if (!absl::StrContains(request.target, "ends-")) {
    return RequestedEnd::kNone;
  }
  if (absl::StrContains(request.target, "ends-silent")) {
    return RequestedEnd::kSilent;
  }
  return absl::StrContains(request.target, "ends-restarting") ? RequestedEnd::kRestarting
                                                              : RequestedEnd::kRefusing;
}

std::string DrawId(std::mt19937_64* random) {
  return absl::StrFormat("i-%08x", static_cast<uint32_t>((*random)()));
}

}  // namespace

Backend::Backend(const BackendContext& context, const ServiceSpec& spec, HandoverLedger* ledger,
                 const std::string& zone, const Endpoint& listen)
    : context_(context),
      spec_(spec),
      self_{.id = context.name.empty() ? DrawId(context.random) : context.name,
            .service = spec.name,
            .address = listen,
            .zone = zone,
            .slots = spec.slots,
            .draining = false,
            .cold_left = spec.cold},
      holdings_(self_.id, ledger, spec.warmup, context.clock_slowness),
      warm_at_(EventLoop::Now() + spec.cold),
      server_(context.loop, listen, [this](const ExchangePtr& exchange) { OnRequest(exchange); }) {
  self_.address = server_.endpoint();
  self_.started_at_ms = context.started_ms;
  server_.LimitConnections(spec.max_connections);
  server_.SetIdleTimeout(spec.idle_timeout);
  Beat();
}

void Backend::Beat() {
  if (state_ == State::kEnded) {
    return;
  }
  if (EventLoop::Now() >= warm_at_) {
    self_.cold_left = absl::ZeroDuration();
  }
  if (!frozen_ && !cut_from_store_) {
    context_.registry->Beat(self_);
  }
  context_.loop->After(context_.registry->heartbeat(), [this] { Beat(); });
}

void Backend::OnRequest(const ExchangePtr& exchange) {
  const std::string path = ParseTarget(exchange->request().target).path;
  const std::string& method = exchange->request().method;
  const bool is_grant = path == wire::kGrantPath && method == "POST";
  const bool is_release = path == wire::kReleasePath && method == "POST";
  if ((is_grant || is_release) && IsForAnother(exchange->request())) {
    Refuse(exchange, /*arrival=*/nullptr, kMisdirected);
  } else if (is_grant) {
    OnGrant(exchange);
  } else if (is_release) {
    OnRelease(exchange);
  } else if (path == spec_.health_path && method == "GET") {
    auto job = std::make_shared<Job>();
    job->exchange = exchange;
    Enqueue(job);
  } else {
    OnWork(exchange);
  }
}

void Backend::OnWork(const ExchangePtr& exchange) {
  const ReceivedRequest& request = exchange->request();
  auto job = std::make_shared<Job>();
  job->exchange = exchange;
  if (spec_.sharded) {
    job->key = KeyOf(request);
  }
  Arrival arrival;
  arrival.request_id = request.Header(wire::kRequestId);
  arrival.backend = self_.id;
  arrival.service = spec_.name;
  arrival.source = request.source;
  arrival.key = job->key;
  arrival.at = request.arrival;
  arrival.held_up = IsHeldUp(request.arrival);
  arrival.announced = AnnouncedTime(request);
  arrival.digest = DigestOf(request.method, request.target, request.body);
  if (arrival.announced) {
    job->deadline = request.arrival + *arrival.announced;
  }
  job->arrival = &context_.history->arrivals.emplace_back(std::move(arrival));
  if (const int refusal = RefusalOf(request, job->key); refusal != 0) {
    Refuse(exchange, job->arrival, refusal);
    return;
  }
  if (Chance(faults_.turned_away)) {
    Refuse(exchange, job->arrival, kUnavailable, faults_.rest);
    return;
  }
  Enqueue(job);
}

bool Backend::IsForAnother(const ReceivedRequest& request) const {
  const std::string expected = request.Header(wire::kExpectedInstance);
  return !expected.empty() && expected != self_.id;
}

int Backend::RefusalOf(const ReceivedRequest& request,
                       const std::optional<ownership::Key>& key) const {
  if (IsForAnother(request)) {
    return kMisdirected;
  }
  if (request.Header(wire::kRequestId).empty() || (spec_.sharded && !key)) {
    return kBadRequest;
  }
  if (key && !Holds(*key)) {
    return kMisdirected;
  }
  return 0;
}

void Backend::Enqueue(const JobPtr& job) {
  if (IsFull()) {
    if (spec_.resets_when_full) {
      job->exchange->Reset();
    } else {
      Refuse(job->exchange, job->arrival, kUnavailable);
    }
    return;
  }
  jobs_.push_back(job);
  job->exchange->OnPeerGone([this, job] { Remove(job); });
  StartNext();
}

bool Backend::IsFull() const { return jobs_.size() >= spec_.slots + spec_.queue; }

void Backend::StartNext() {
  while (!frozen_ && running_ < spec_.slots) {
    const auto next =
        std::find_if(jobs_.begin(), jobs_.end(), [](const JobPtr& job) { return !job->running; });
    if (next == jobs_.end()) {
      return;
    }
    Start(*next);
  }
}

void Backend::Start(const JobPtr& job) {
  const Time now = EventLoop::Now();
  if (now >= job->deadline || (job->key && !Holds(*job->key))) {
    jobs_.remove(job);
    Refuse(job->exchange, job->arrival, now >= job->deadline ? kUnavailable : kMisdirected);
    return;
  }
  job->running = true;
  ++running_;
  const Duration length = DrawServiceTime(job);
  const bool in_time = now + length <= job->deadline;
  if (job->arrival != nullptr) {
    ++runs_;
    job->arrival->begun = now;
    WatchHold(job);
    const RequestedEnd end = RequestedEndOf(job->exchange->request());
    if (end != RequestedEnd::kNone) {
      context_.loop->After(absl::ZeroDuration(), [this, job, end] { EndUnder(job, end); });
      return;
    }
  }
  context_.loop->After(in_time ? length : job->deadline - now,
                       [this, job, in_time] { Finish(job, in_time ? kOk : kGatewayTimeout); });
}

void Backend::EndUnder(const JobPtr& job, RequestedEnd end) {
  if (state_ == State::kEnded) {
    return;
  }
  context_.history->ended_by_requests.push_back(
      {.backend = self_.id, .at = EventLoop::Now(), .digest = job->arrival->digest});
  if (end == RequestedEnd::kSilent) {
    FallSilent();
  } else {
    Crash();
  }
  if (context_.on_ended) {
    context_.on_ended(*this, end);
  }
}

// Work ends with the hold of its key, unless the key was given up in order: then the release
// waits for it.
void Backend::WatchHold(const JobPtr& job) {
  if (!job->key) {
    return;
  }
  const Time until = holdings_.HeldUntil(*job->key);
  const Time now = EventLoop::Now();
  if (until > now) {
    context_.loop->After(until - now, [this, job] {
      if (job->running) {
        WatchHold(job);
      }
    });
  } else if (until > absl::InfinitePast()) {
    Finish(job, kInternalError);
  }
}

Duration Backend::DrawServiceTime(const JobPtr& job) const {
  if (job->arrival == nullptr) {
    return kHealthTime;
  }
  const Time now = EventLoop::Now();
  const double spread = std::uniform_real_distribution<double>(0.7, 1.3)(*context_.random);
  Duration length = spec_.service_time * spread * faults_.slowdown;
  const bool cold_key = job->key && holdings_.IsCold(*job->key, now);
  if (now < warm_at_ || cold_key) {
    length *= spec_.cold_slowdown;
  }
  return length;
}

void Backend::Finish(const JobPtr& job, int status) {
  if (!job->running) {
    return;
  }
  if (frozen_) {
    // It goes on when it is thawed.
    context_.loop->After(absl::Milliseconds(20), [this, job, status] { Finish(job, status); });
    return;
  }
  if (job->arrival != nullptr) {
    job->arrival->ended = EventLoop::Now();
    job->arrival->status = status;
    job->arrival->said_leaving = state_ == State::kDraining;
    job->arrival->named_limit = faults_.limit;
    AnswerRun(job);
  } else {
    const bool well = state_ == State::kServing;
    job->exchange->Respond(MakeAnswer(job->exchange, well ? kOk : kUnavailable));
  }
  Remove(job);
}

void Backend::Remove(const JobPtr& job) {
  const auto found = std::find(jobs_.begin(), jobs_.end(), job);
  if (found == jobs_.end()) {
    return;
  }
  jobs_.erase(found);
  if (std::exchange(job->running, false)) {
    --running_;
    if (job->arrival != nullptr && job->arrival->status == 0) {
      job->arrival->ended = EventLoop::Now();
    }
  }
  AnswerReleases();
  StartNext();
}

void Backend::Refuse(const ExchangePtr& exchange, Arrival* arrival, int status, Duration rest) {
  if (arrival != nullptr) {
    arrival->refused = status;
    arrival->rest = rest;
    arrival->said_leaving = state_ == State::kDraining;
    arrival->named_limit = faults_.limit;
    arrival->ended = EventLoop::Now();
  }
  Answer answer = MakeAnswer(exchange, status);
  if (rest > absl::ZeroDuration()) {
    answer.headers.emplace_back(wire::kRetryAfter,
                                absl::StrFormat("%.3f", absl::ToDoubleSeconds(rest)));
  }
  answer.headers.emplace_back(wire::kNotExecuted, "1");
  exchange->Respond(answer);
}

void Backend::Crash() {
  state_ = State::kEnded;
  End();
}

void Backend::FallSilent() {
  EndWork();
  server_.FallSilent();
}

void Backend::End() {
  EndWork();
  server_.Close();
}

void Backend::EndWork() {
  state_ = State::kEnded;
  const Time now = EventLoop::Now();
  for (const JobPtr& job : std::exchange(jobs_, {})) {
    if (std::exchange(job->running, false) && job->arrival != nullptr) {
      job->arrival->ended = now;
    }
  }
  running_ = 0;
  releases_.clear();
  GrantOrder all_keys;
  all_keys.range = {0, ownership::kLastKey};
  NoteHold(HoldEvent::Kind::kEnd, all_keys, now, /*late=*/false, /*source=*/"");
}

void Backend::Freeze() {
  frozen_ = true;
  server_.Pause();
}

void Backend::Thaw() {
  frozen_ = false;
  thawed_at_ = EventLoop::Now();
  server_.Resume();
  StartNext();
}

bool Backend::IsHeldUp(Time arrival) const {
  return arrival >= thawed_at_ && arrival < thawed_at_ + kThawSlack;
}

void Backend::Drain(Duration serve_on, bool announces) {
  if (state_ == State::kEnded) {
    return;
  }
  state_ = State::kDraining;
  self_.draining = true;
  const bool taken =
      announces ? context_.registry->Beat(self_) : context_.registry->Remove(self_.id);
  if (!taken) {
    context_.loop->After(context_.registry->heartbeat(),
                         [this, serve_on, announces] { Drain(serve_on, announces); });
    return;
  }
  cut_from_store_ = cut_from_store_ || !announces;
  context_.loop->After(serve_on, [this] {
    if (state_ == State::kEnded) {
      return;
    }
    if (!cut_from_store_) {
      context_.registry->Remove(self_.id);
    }
    End();
  });
}

bool Backend::HoldsAnyKey() const {
  constexpr ownership::Key kStep = 64;
  for (ownership::Key key = 0; key <= ownership::kLastKey; key += kStep) {
    if (Holds(key)) {
      return true;
    }
  }
  return false;
}

bool Backend::Chance(double share) const {
  return share > 0 && std::uniform_real_distribution<double>(0, 1)(*context_.random) < share;
}

}  // namespace ladderstream::fleet
