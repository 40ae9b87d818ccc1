// The thread that owns the Authority: feeds it events and time, and carries out its actions.
//
// Nothing on this thread blocks: messages, store transactions and grant pushes are handed to the
// ports, which do their work elsewhere.
#pragma once

#include <absl/base/thread_annotations.h>
#include <absl/synchronization/mutex.h>

#include <atomic>
#include <cstdint>
#include <deque>
#include <functional>
#include <future>
#include <memory>
#include <thread>
#include <variant>
#include <vector>

#include "daemon/control/authority_core.h"
#include "daemon/control/pending_answers.h"
#include "interfaces/control_plane.h"

namespace ladderstream::control {

using RoutingStatePtr = std::shared_ptr<const authority::RoutingState>;

/// Where the authority's actions go. None may block. Those marked optional may be empty.
struct Ports {
  std::function<void(const authority::SendMessage& message)> send;
  /// Runs the transaction elsewhere and posts StoreAnswered.
  std::function<void(const authority::RunStoreTransaction& transaction)> run_transaction;
  std::function<void(const authority::PushGrants& push)> push_grants;
  /// Optional: the data path's observations, taken once per load interval.
  std::function<authority::LoadObserved()> take_load;
  /// Optional: a back end's lease request has come to this node, straight or through another.
  std::function<void(const LeaseRequest& request, Time now)> on_lease_request;
  /// Optional: routes have changed. `leads`: this node leads its group.
  std::function<void(const authority::RoutingState& routing, bool leads)> on_routing_changed;
};

class ControlLoop : public ControlPlane {
 public:
  /// `time` must outlive the loop.
  ControlLoop(std::unique_ptr<AuthorityCore> core, const TimeSource& time, Duration load_interval);
  ~ControlLoop() override;

  ControlLoop(const ControlLoop&) = delete;
  ControlLoop& operator=(const ControlLoop&) = delete;

  /// Starts the thread. Called once.
  void Start(Ports ports);
  /// Ends the thread; questions under way run into their time-outs.
  void Stop();

  /// Thread-safe. Messages are dropped when too many events wait.
  void Post(authority::Event event);

  /// Whether the authority has said that the process may exit, waiting at most `timeout` for it.
  bool WaitUntilMayStop(Duration timeout);

  RoutingStatePtr Routing() const override;
  RoutingStatePtr WaitForRoutingChange(const RoutingStatePtr& known,
                                       Duration timeout) const override;
  ProposalResult Propose(const Command& command, Duration timeout) override;
  LeaseResponse RequestLease(const LeaseRequest& request, Duration timeout) override;
  authority::AuthorityStatus Status() const override;

  /// Processor time that the loop's thread has used.
  Duration ProcessorTime() const;
  /// Events dropped because too many waited, and events whose handling threw.
  uint64_t events_dropped() const { return events_dropped_.load(); }
  uint64_t events_failed() const { return events_failed_.load(); }

 private:
  using StatusPromise = std::shared_ptr<std::promise<authority::AuthorityStatus>>;
  using Item = std::variant<authority::Event, StatusPromise>;

  void Run();
  /// Waits for items or until `deadline`; gives what waits.
  std::deque<Item> TakeItems(Time deadline);
  void Process(const Item& item);
  void ProcessEvent(const authority::Event& event);
  void NoteLeaseRequest(const authority::Event& event, Time now);
  void TickIfDue();
  void TakeLoadIfDue();
  void CarryOut(const std::vector<authority::Action>& actions);
  void CarryOutOne(const authority::Action& action);
  void PublishRouting();
  void ReadProcessorTime();

  const std::unique_ptr<AuthorityCore> core_;
  const TimeSource& time_;
  const Duration load_interval_;
  Ports ports_;
  std::thread thread_;

  // Touched on the loop's thread alone.
  Time next_load_ = absl::InfinitePast();
  bool routing_changed_ = false;
  /// The `confirmed_until` of the routing state last published.
  Time published_until_ = absl::InfinitePast();

  mutable absl::Mutex queue_mutex_;
  mutable absl::CondVar queue_filled_;
  mutable std::deque<Item> queue_ ABSL_GUARDED_BY(queue_mutex_);
  bool stopping_ ABSL_GUARDED_BY(queue_mutex_) = false;

  mutable absl::Mutex state_mutex_;
  mutable absl::CondVar state_changed_;
  RoutingStatePtr routing_ ABSL_GUARDED_BY(state_mutex_);
  bool may_stop_ ABSL_GUARDED_BY(state_mutex_) = false;

  PendingAnswers<LeaseResponse> leases_;
  PendingAnswers<ProposalResult> proposals_;
  std::atomic<int64_t> processor_nanoseconds_{0};
  std::atomic<uint64_t> events_dropped_{0};
  std::atomic<uint64_t> events_failed_{0};
};

}  // namespace ladderstream::control
