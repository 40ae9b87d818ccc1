#include "daemon/control/control_loop.h"

#include <absl/time/clock.h>

#include <algorithm>
#include <ctime>
#include <exception>
#include <optional>
#include <utility>

#include "logging/log.h"

namespace ladderstream::control {
namespace {

/// Messages that may wait for the loop; more are dropped, as the protocol allows.
constexpr size_t kMaxQueuedEvents = 65536;

/// The loop wakes at least this often, whatever the authority says.
constexpr Duration kLongestSleep = absl::Seconds(1);

/// A newer confirmation alone is published when it has moved on by this much.
constexpr Duration kConfirmationStep = absl::Milliseconds(250);

constexpr Duration kStatusTimeout = absl::Seconds(2);

bool MayBeDropped(const authority::Event& event) {
  return std::holds_alternative<authority::MessageArrived>(event);
}

}  // namespace

ControlLoop::ControlLoop(std::unique_ptr<AuthorityCore> core, const TimeSource& time,
                         Duration load_interval)
    : core_(std::move(core)),
      time_(time),
      load_interval_(load_interval),
      routing_(std::make_shared<const authority::RoutingState>(core_->routing_state(time.Now()))) {}

ControlLoop::~ControlLoop() { Stop(); }

void ControlLoop::Start(Ports ports) {
  ports_ = std::move(ports);
  thread_ = std::thread([this] { Run(); });
}

void ControlLoop::Stop() {
  {
    const absl::MutexLock lock(&queue_mutex_);
    stopping_ = true;
    queue_filled_.SignalAll();
  }
  if (thread_.joinable()) {
    thread_.join();
  }
}

void ControlLoop::Post(authority::Event event) {
  const absl::MutexLock lock(&queue_mutex_);
  if (queue_.size() >= kMaxQueuedEvents && MayBeDropped(event)) {
    events_dropped_.fetch_add(1);
    return;
  }
  queue_.emplace_back(std::move(event));
  queue_filled_.Signal();
}

bool ControlLoop::WaitUntilMayStop(Duration timeout) {
  const absl::Time deadline = absl::Now() + timeout;
  const absl::MutexLock lock(&state_mutex_);
  while (!may_stop_) {
    if (state_changed_.WaitWithDeadline(&state_mutex_, deadline)) {
      break;
    }
  }
  return may_stop_;
}

RoutingStatePtr ControlLoop::Routing() const {
  const absl::MutexLock lock(&state_mutex_);
  return routing_;
}

RoutingStatePtr ControlLoop::WaitForRoutingChange(const RoutingStatePtr& known,
                                                  Duration timeout) const {
  const absl::Time deadline = absl::Now() + timeout;
  const absl::MutexLock lock(&state_mutex_);
  while (routing_ == known) {
    if (state_changed_.WaitWithDeadline(&state_mutex_, deadline)) {
      break;
    }
  }
  return routing_;
}

ProposalResult ControlLoop::Propose(const Command& command, Duration timeout) {
  auto question = proposals_.Add();
  Post(authority::CommandProposed{question.correlation, command});
  ProposalResult unanswered;
  unanswered.result = ResultCode::kPeerTimeout;
  return proposals_.Wait(std::move(question), timeout).value_or(unanswered);
}

LeaseResponse ControlLoop::RequestLease(const LeaseRequest& request, Duration timeout) {
  auto question = leases_.Add();
  Post(authority::LeaseRequested{question.correlation, request});
  LeaseResponse unanswered;
  unanswered.result = ResultCode::kNoLeader;
  return leases_.Wait(std::move(question), timeout).value_or(unanswered);
}

authority::AuthorityStatus ControlLoop::Status() const {
  const auto promise = std::make_shared<std::promise<authority::AuthorityStatus>>();
  std::future<authority::AuthorityStatus> status = promise->get_future();
  {
    const absl::MutexLock lock(&queue_mutex_);
    queue_.emplace_back(promise);
    queue_filled_.Signal();
  }
  const auto answered = status.wait_for(absl::ToChronoMicroseconds(kStatusTimeout));
  return answered == std::future_status::ready ? status.get() : authority::AuthorityStatus{};
}

Duration ControlLoop::ProcessorTime() const {
  return absl::Nanoseconds(processor_nanoseconds_.load());
}

void ControlLoop::Run() {
  for (;;) {
    const Time now = time_.Now();
    Time wake = std::min(core_->NextTick(), now + kLongestSleep);
    if (ports_.take_load) {
      wake = std::min(wake, std::max(next_load_, now));
    }
    const std::deque<Item> items = TakeItems(wake);
    {
      const absl::MutexLock lock(&queue_mutex_);
      if (stopping_) {
        return;
      }
    }
    for (const Item& item : items) {
      Process(item);
      TickIfDue();
    }
    TakeLoadIfDue();
    TickIfDue();
    PublishRouting();
    ReadProcessorTime();
  }
}

std::deque<ControlLoop::Item> ControlLoop::TakeItems(Time deadline) {
  const absl::MutexLock lock(&queue_mutex_);
  while (queue_.empty() && !stopping_) {
    const Duration left = deadline - time_.Now();
    if (left <= absl::ZeroDuration()) {
      break;
    }
    queue_filled_.WaitWithTimeout(&queue_mutex_, left);
  }
  return std::exchange(queue_, {});
}

void ControlLoop::Process(const Item& item) {
  if (const auto* const promise = std::get_if<StatusPromise>(&item)) {
    (*promise)->set_value(core_->status(time_.Now()));
    return;
  }
  ProcessEvent(std::get<authority::Event>(item));
}

void ControlLoop::ProcessEvent(const authority::Event& event) {
  try {
    const Time now = time_.Now();
    NoteLeaseRequest(event, now);
    CarryOut(core_->Handle(event, now));
  } catch (const std::exception& error) {
    events_failed_.fetch_add(1);
    Log(Part::kControl, Severity::kError, "An event could not be handled.",
        {{"event", event.index()}, {"error", error.what()}});
  }
}

void ControlLoop::NoteLeaseRequest(const authority::Event& event, Time now) {
  if (!ports_.on_lease_request) {
    return;
  }
  if (const auto* const local = std::get_if<authority::LeaseRequested>(&event)) {
    ports_.on_lease_request(local->request, now);
  } else if (const auto* const message = std::get_if<authority::MessageArrived>(&event)) {
    if (const auto* const forwarded = std::get_if<ForwardedLeaseRequest>(&message->body)) {
      ports_.on_lease_request(forwarded->request, now);
    }
  }
}

void ControlLoop::TickIfDue() {
  const Time now = time_.Now();
  if (now < core_->NextTick()) {
    return;
  }
  CarryOut(core_->Tick(now));
}

void ControlLoop::TakeLoadIfDue() {
  const Time now = time_.Now();
  if (!ports_.take_load || now < next_load_) {
    return;
  }
  next_load_ = now + load_interval_;
  ProcessEvent(ports_.take_load());
}

void ControlLoop::CarryOut(const std::vector<authority::Action>& actions) {
  for (const authority::Action& action : actions) {
    CarryOutOne(action);
  }
}

void ControlLoop::CarryOutOne(const authority::Action& action) {
  if (const auto* const send = std::get_if<authority::SendMessage>(&action)) {
    ports_.send(*send);
  } else if (const auto* const lease = std::get_if<authority::AnswerLease>(&action)) {
    leases_.Fulfil(lease->correlation, lease->response);
  } else if (const auto* const command = std::get_if<authority::AnswerCommand>(&action)) {
    proposals_.Fulfil(command->correlation, command->result);
  } else if (const auto* const store = std::get_if<authority::RunStoreTransaction>(&action)) {
    ports_.run_transaction(*store);
  } else if (const auto* const push = std::get_if<authority::PushGrants>(&action)) {
    ports_.push_grants(*push);
  } else if (std::holds_alternative<authority::RoutingChanged>(action)) {
    routing_changed_ = true;
  } else if (std::holds_alternative<authority::MayStop>(action)) {
    const absl::MutexLock lock(&state_mutex_);
    may_stop_ = true;
    state_changed_.SignalAll();
  } else if (const auto* const notice = std::get_if<authority::Notice>(&action)) {
    Log(Part::kControl, Severity::kInfo, notice->text);
  }
}

void ControlLoop::PublishRouting() {
  const bool confirmed_anew = core_->confirmed_until() >= published_until_ + kConfirmationStep;
  if (!routing_changed_ && !confirmed_anew) {
    return;
  }
  const bool routes_changed = std::exchange(routing_changed_, false);
  const Time now = time_.Now();
  const auto routing = std::make_shared<const authority::RoutingState>(core_->routing_state(now));
  published_until_ = routing->confirmed_until;
  {
    const absl::MutexLock lock(&state_mutex_);
    routing_ = routing;
    state_changed_.SignalAll();
  }
  if (routes_changed && ports_.on_routing_changed) {
    const bool leads = core_->status(now).role == replication::Role::kLeader;
    ports_.on_routing_changed(*routing, leads);
  }
}

void ControlLoop::ReadProcessorTime() {
  timespec used{};
  if (::clock_gettime(CLOCK_THREAD_CPUTIME_ID, &used) == 0) {
    processor_nanoseconds_.store(absl::ToInt64Nanoseconds(absl::DurationFromTimespec(used)));
  }
}

}  // namespace ladderstream::control
