// One incarnation of a back end: slots and a queue, held keys, orders, and faults.
#pragma once

#include <list>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "core/catalog/catalog.h"
#include "standin/fleet/event_loop.h"
#include "standin/fleet/history.h"
#include "standin/fleet/http_server.h"
#include "standin/fleet/key_holdings.h"
#include "standin/fleet/registry.h"

namespace ladderstream::fleet {

/// What all back ends of one service have in common.
struct ServiceSpec {
  std::string name;
  bool sharded = false;
  /// Back ends in each zone.
  uint32_t backends_per_zone = 1;
  /// The same by the order of the zones, where zones differ; empty: they do not.
  std::vector<uint32_t> backends_by_zone = {};
  uint32_t slots = 2;
  uint32_t queue = 8;
  uint32_t max_connections = 130;
  Duration service_time = absl::Milliseconds(10);
  /// Bytes of an answer's body, on the average.
  size_t answer_bytes = 1500;
  /// How a full one refuses: 503, or a reset.
  bool resets_when_full = false;
  Duration cold = absl::Seconds(1);
  double cold_slowdown = 2;
  Duration warmup = absl::Seconds(1);
  Duration idle_timeout = absl::Seconds(10);
  std::string health_path = "/health";
};

/// Shares are of the requests that run, or of the orders that arrive.
struct BackendFaults {
  double slowdown = 1;
  /// It runs; no answer comes.
  double lost_answers = 0;
  /// Lost answers show as a reset.
  bool lost_by_reset = false;
  /// Of the requests that arrive: turned away at once, with the wish for `rest`.
  double turned_away = 0;
  Duration rest = absl::ZeroDuration();
  /// The requests a second from all nodes that its answers name; below zero: none.
  double limit = kNoLimit;
  /// The answer ends in its middle.
  double cut_answers = 0;
  /// Bytes that are no answer.
  double unframed_answers = 0;
  /// A second answer follows the whole one at once.
  double surplus_answers = 0;
  /// The answer before comes once more in the place of the next one on the connection.
  double late_answers = 0;
  /// Of the answers to requests and orders: one part of them, each time another one, does not end.
  double endless_answers = 0;
  /// Between the blocks of such an answer.
  Duration endless_pause = absl::ZeroDuration();
  /// Orders that are not answered and taken `late_by` later.
  double late_orders = 0;
  Duration late_by = absl::Seconds(2);
  /// Orders that are taken and not answered.
  double unanswered_orders = 0;
};

/// How a back end ends under a request whose target names one of these.
enum class RequestedEnd {
  kNone,
  /// Its connections are reset and its address refuses new ones: "ends-refusing".
  kRefusing,
  /// Nothing comes back from it any more: "ends-silent".
  kSilent,
  /// As kRefusing, and it is soon back under its name: "ends-restarting".
  kRestarting,
};

class Backend;

/// What the back ends of a fleet share.
struct BackendContext {
  EventLoop* loop = nullptr;
  Registry* registry = nullptr;
  History* history = nullptr;
  std::mt19937_64* random = nullptr;
  /// How much longer a back end's clock takes over a hold.
  double clock_slowness = 0.02;
  Duration longest_hold = absl::Seconds(10);
  /// Called, not from within, when a back end has ended under a request.
  std::function<void(const Backend& ended, RequestedEnd end)> on_ended = {};
  /// The name of a back end that is back, and when it started, in Unix milliseconds; a new name is
  /// drawn when this is empty.
  std::string name = {};
  uint64_t started_ms = 0;
};

class Backend {
 public:
  /// Listens and registers at once.
  Backend(const BackendContext& context, const ServiceSpec& spec, HandoverLedger* ledger,
          const std::string& zone, const Endpoint& listen);

  const std::string& id() const { return self_.id; }
  const std::string& service() const { return spec_.name; }
  const std::string& zone() const { return self_.zone; }
  const Endpoint& address() const { return self_.address; }
  /// Takes requests, as far as it knows.
  bool serving() const { return state_ == State::kServing; }
  bool ended() const { return state_ == State::kEnded; }
  uint64_t runs() const { return runs_; }
  bool HoldsAnyKey() const;
  bool Holds(ownership::Key key) const { return holdings_.Holds(key, EventLoop::Now()); }

  void SetFaults(const BackendFaults& faults) { faults_ = faults; }
  /// Ends without a word; its address refuses connections.
  void Crash();
  /// Ends without a word, and nothing comes back from its address either.
  void FallSilent();
  /// Stays silent on every connection, old and new; sends no heartbeat.
  void Freeze();
  void Thaw();
  /// Cuts off the clients at these addresses; see HttpServer::CutOff.
  void CutOff(const std::set<std::string>& sources, CutMode mode) { server_.CutOff(sources, mode); }
  /// Keeps serving, and its heartbeats do not reach the store.
  void CutFromStore(bool cut) { cut_from_store_ = cut; }
  /// Announces (or, if not, just signs off) that it leaves, serves on for `serve_on` after the
  /// store took that, and ends.
  void Drain(Duration serve_on, bool announces = true);

 private:
  enum class State { kServing, kDraining, kEnded };

  struct Job {
    ExchangePtr exchange;
    /// Null for a health check.
    Arrival* arrival = nullptr;
    std::optional<ownership::Key> key;
    Time deadline = absl::InfiniteFuture();
    bool running = false;
  };
  using JobPtr = std::shared_ptr<Job>;

  struct PendingRelease {
    ExchangePtr exchange;
    ownership::KeyRange range;
    std::string handover;
  };

  void Beat();
  void OnRequest(const ExchangePtr& exchange);
  void OnWork(const ExchangePtr& exchange);
  /// It names another incarnation that alone may do it.
  bool IsForAnother(const ReceivedRequest& request) const;
  /// The status with which it is refused at once; 0 to take it.
  int RefusalOf(const ReceivedRequest& request, const std::optional<ownership::Key>& key) const;
  void Enqueue(const JobPtr& job);
  void StartNext();
  void Start(const JobPtr& job);
  void EndUnder(const JobPtr& job, RequestedEnd end);
  void WatchHold(const JobPtr& job);
  void Finish(const JobPtr& job, int status);
  void Remove(const JobPtr& job);
  void Refuse(const ExchangePtr& exchange, Arrival* arrival, int status,
              Duration rest = absl::ZeroDuration());
  Duration DrawServiceTime(const JobPtr& job) const;
  bool IsFull() const;

  // Answers, in backend_answers.cc.
  Answer MakeAnswer(const ExchangePtr& exchange, int status) const;
  void AnswerRun(const JobPtr& job);
  /// Sends it with the faults that are switched on.
  void SendDamaged(const ExchangePtr& exchange, const Answer& answer);
  /// Sends the answer to an order, which may be without an end.
  void SendOrderAnswer(const ExchangePtr& exchange, const Answer& answer);
  void SendEndlessly(const ExchangePtr& exchange, const Answer& answer);

  // Orders, in backend_orders.cc.
  void OnGrant(const ExchangePtr& exchange);
  void TakeGrant(const ExchangePtr& exchange, const GrantOrder& order, bool late, bool answers);
  void OnRelease(const ExchangePtr& exchange);
  void AnswerReleases();
  bool IsAtWorkOn(const ownership::KeyRange& range) const;
  void NoteHold(HoldEvent::Kind kind, const GrantOrder& order, Time until, bool late,
                const std::string& source);

  /// Whether what is taken at this time lay here while this back end was frozen.
  bool IsHeldUp(Time arrival) const;
  /// Drops its work and its keys.
  void EndWork();
  void End();
  bool Chance(double share) const;

  BackendContext context_;
  ServiceSpec spec_;
  catalog::Backend self_;
  BackendFaults faults_;
  KeyHoldings holdings_;
  State state_ = State::kServing;
  bool frozen_ = false;
  bool cut_from_store_ = false;
  Time warm_at_;
  Time thawed_at_ = absl::InfinitePast();
  uint64_t runs_ = 0;
  uint32_t running_ = 0;
  /// The running ones first, then the queue.
  std::list<JobPtr> jobs_;
  std::list<PendingRelease> releases_;
  std::string last_answer_;
  HttpServer server_;
};

using BackendPtr = std::shared_ptr<Backend>;

}  // namespace ladderstream::fleet
