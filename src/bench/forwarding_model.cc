#include "bench/forwarding_model.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <cmath>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <numeric>
#include <random>
#include <unordered_map>
#include <utility>

#include "bench/event_queue.h"

namespace ladderstream::bench {
namespace {

using forwarding::AttemptAnswer;
using forwarding::AttemptHandle;
using forwarding::Dispatcher;

/// One way between a node and a back end, and between a caller and a node.
constexpr Duration kHop = absl::Microseconds(1500);
constexpr char kService[] = "service";
constexpr char kHost[] = "host";
constexpr char kTarget[] = "/service/";
/// A caller that is told nothing comes back after this.
constexpr Duration kDefaultReturn = absl::Milliseconds(100);
constexpr int kUnavailable = 503;
constexpr int kOk = 200;

struct Caller {
  Time first;
  Time deadline;
  ownership::Key key = 0;
  /// On a back end of speed 1.
  Duration work;
  uint32_t retries_left = 0;
  uint32_t refusals = 0;
};

/// A request at a back end.
struct Job {
  size_t caller = 0;
  size_t node = 0;
  /// 0: of a baseline.
  AttemptHandle attempt = 0;
  uint64_t number = 0;
  /// While it runs: what was left of its work, at speed 1, when the machine was last disturbed or
  /// left alone.
  Duration left;
  Time since;
};

struct Server {
  double speed = 1;
  double slowdown = 1;
  std::map<uint64_t, Job> running;
  std::deque<Job> waiting;
  /// For the all-knowing reference: when each slot is free.
  std::vector<Time> free_at;
};

struct Router {
  std::unique_ptr<Dispatcher> dispatcher;
  std::unordered_map<forwarding::RequestHandle, size_t> callers;
  /// Sent, and neither answered nor cancelled: the back end and the number of the job.
  std::unordered_map<AttemptHandle, std::pair<size_t, uint64_t>> attempts;
  std::vector<uint32_t> in_flight;
  size_t turn = 0;
  Time tick_at = absl::InfiniteFuture();
};

std::string IdOf(size_t server) { return absl::StrCat("b-", 10000 + server); }

class Model {
 public:
  explicit Model(const ForwardingPlay& play);

  ForwardingOutcome Play();

 private:
  const ForwardingDeployment& spec() const { return play_.deployment; }
  Time now() const { return events_.now(); }
  double Uniform() { return std::uniform_real_distribution<double>(0, 1)(random_); }
  bool in_force() const { return play_.policy == ForwardingPolicy::kInForce; }

  void MakeServers();
  void MakePartition();
  void MakeRouters();
  double MeanSlowdown() const { return 1 + spec().disturbed_share * (spec().disturbed_factor - 1); }
  double Capacity(const Server& server) const {
    return spec().slots * server.speed / MeanSlowdown() / absl::ToDoubleSeconds(spec().work);
  }
  Duration DrawWork();
  ownership::Key DrawKey();
  size_t OwnerOf(ownership::Key key) const;

  void ScheduleArrival();
  void ScheduleDisturbance();
  void Try(size_t caller);
  void TryInForce(size_t caller, size_t router);
  void TryBaseline(size_t caller, size_t router);
  void TryAllKnowing(size_t caller);
  size_t PickServer(const Caller& caller, Router& router);

  void CarryDecisions(size_t router);
  void ArmTick(size_t router);
  void Cancel(Router& router, AttemptHandle attempt);
  void Arrive(size_t server, const Job& job);
  void Begin(size_t server, Job job);
  /// Work that runs there goes on at another pace.
  void SetSlowdown(size_t server, double slowdown);
  void ScheduleEnd(size_t server, const Job& job);
  /// Unless its pace has changed since.
  void Complete(size_t server, uint64_t number, Time since);
  void StartWaiting(size_t server);
  /// The back end's answer is on its way to the node.
  void Answer(size_t server, const Job& job, bool served);
  void Finish(size_t caller, bool answered);
  void Refuse(size_t caller, Duration retry_after);
  void CloseBooks();
  double Bound();

  const ForwardingPlay play_;
  std::mt19937_64 random_;
  EventQueue events_{absl::FromUnixSeconds(1000)};
  Time start_;
  Time end_;
  std::vector<Server> servers_;
  std::vector<Router> routers_;
  std::vector<Caller> callers_;
  /// The last key of each back end's range.
  std::vector<ownership::Key> last_keys_;
  std::vector<double> key_weights_;
  std::discrete_distribution<size_t> ranks_;
  double rate_ = 0;
  uint64_t last_job_ = 0;
  ForwardingOutcome outcome_;
};

Model::Model(const ForwardingPlay& play) : play_(play), random_(play.seed) {
  start_ = events_.now() + absl::Seconds(20);
  end_ = start_ + play.length;
  MakeServers();
  MakePartition();
  MakeRouters();
}

void Model::MakeServers() {
  double capacity = 0;
  for (uint32_t i = 0; i < spec().backends; ++i) {
    Server server;
    server.speed = spec().slowest + (spec().fastest - spec().slowest) * Uniform();
    server.free_at.assign(spec().slots, events_.now());
    capacity += Capacity(server);
    servers_.push_back(std::move(server));
  }
  rate_ = spec().load * capacity;
}

/// Cuts the key space so that each back end's load is in proportion to what it can do, but for the
/// error with which load is known.
void Model::MakePartition() {
  for (uint32_t rank = 0; rank < spec().keys; ++rank) {
    key_weights_.push_back(std::pow(rank + 1.0, -spec().key_skew));
  }
  ranks_ = std::discrete_distribution<size_t>(key_weights_.begin(), key_weights_.end());
  std::vector<double> wanted;
  double sum = 0;
  std::normal_distribution<double> error(1, spec().partition_error);
  for (const Server& server : servers_) {
    wanted.push_back(Capacity(server) * std::max(error(random_), 0.2));
    sum += wanted.back();
  }
  const double total = std::accumulate(key_weights_.begin(), key_weights_.end(), 0.0);
  double reached = 0;
  double goal = 0;
  size_t rank = 0;
  for (const double part : wanted) {
    goal += part / sum * total;
    for (; rank < key_weights_.size() && reached < goal; ++rank) {
      reached += key_weights_[rank];
    }
    const double share = static_cast<double>(rank) / static_cast<double>(spec().keys);
    last_keys_.push_back(static_cast<ownership::Key>(share * ownership::kLastKey));
  }
  last_keys_.back() = ownership::kLastKey;
}

size_t Model::OwnerOf(ownership::Key key) const {
  const auto owner = std::lower_bound(last_keys_.begin(), last_keys_.end(), key);
  return static_cast<size_t>(owner - last_keys_.begin());
}

ownership::Key Model::DrawKey() {
  const bool hot_now = now() > start_ + play_.length / 3 && now() < start_ + play_.length * 2 / 3;
  const size_t rank = hot_now && Uniform() < spec().hot_share ? spec().keys / 2 : ranks_(random_);
  const double place = (static_cast<double>(rank) + 0.5) / spec().keys;
  return static_cast<ownership::Key>(place * ownership::kLastKey);
}

void Model::MakeRouters() {
  auto configuration = std::make_shared<catalog::Configuration>();
  configuration->version = 1;
  catalog::Route route;
  route.name = kService;
  route.host = kHost;
  route.path_prefix = kTarget;
  route.repeatability =
      spec().repeatable ? catalog::Repeatability::kRepeatable : catalog::Repeatability::kAtMostOnce;
  route.timeout = spec().deadline;
  route.target_latency = spec().target;
  route.max_attempts = spec().max_attempts;
  route.targets = {{kService, 1}};
  configuration->routes = {route};
  configuration->services[kService].name = kService;
  configuration->services[kService].sharded = spec().sharded;
  std::vector<catalog::Backend> backends;
  auto map = std::make_shared<ownership::OwnershipMap>();
  map->version = {1, 1};
  ownership::Key first = 0;
  for (size_t i = 0; i < servers_.size(); ++i) {
    catalog::Backend backend;
    backend.id = IdOf(i);
    backend.service = kService;
    backend.address = {"10.0.0.1", static_cast<uint16_t>(i + 1)};
    backend.slots = spec().slots;
    backends.push_back(backend);
    if (last_keys_[i] >= first) {
      map->services[kService].assignments.push_back({{first, last_keys_[i]}, backend.id, i + 1});
      first = last_keys_[i] + 1;
    }
  }
  for (uint32_t i = 0; i < spec().nodes; ++i) {
    Router router;
    router.in_flight.assign(servers_.size(), 0);
    router.turn = random_() % servers_.size();
    if (in_force()) {
      forwarding::DispatcherSettings settings = play_.dispatcher;
      settings.node_count = spec().nodes;
      settings.seed = random_();
      router.dispatcher = std::make_unique<Dispatcher>(settings);
      router.dispatcher->SetConfiguration(configuration, now());
      router.dispatcher->ChangeBackends({backends, {}}, {}, now());
      router.dispatcher->SetMapConfirmed(absl::InfiniteFuture());
      router.dispatcher->SetOwnership(map, now());
    }
    routers_.push_back(std::move(router));
  }
}

Duration Model::DrawWork() {
  const double variance = std::log(1 + spec().work_spread * spec().work_spread);
  std::lognormal_distribution<double> work(-variance / 2, std::sqrt(variance));
  const double factor = Uniform() < spec().tail_share ? spec().tail_factor : 1;
  return spec().work * (work(random_) * factor);
}

void Model::ScheduleArrival() {
  const Duration gap = absl::Seconds(std::exponential_distribution<double>(rate_)(random_));
  if (now() + gap >= end_) {
    return;
  }
  events_.At(now() + gap, [this] {
    Caller caller;
    caller.first = now();
    caller.deadline = now() + spec().deadline;
    caller.key = DrawKey();
    caller.work = DrawWork();
    caller.retries_left = spec().caller_retries;
    callers_.push_back(caller);
    ++outcome_.callers;
    Try(callers_.size() - 1);
    ScheduleArrival();
  });
}

void Model::ScheduleDisturbance() {
  for (size_t i = 0; i < servers_.size(); ++i) {
    SetSlowdown(i, Uniform() < spec().disturbed_share ? spec().disturbed_factor : 1);
  }
  events_.At(now() + spec().disturbed_interval, [this] { ScheduleDisturbance(); });
}

void Model::Try(size_t caller) {
  const size_t router = random_() % routers_.size();
  switch (play_.policy) {
    case ForwardingPolicy::kInForce:
      TryInForce(caller, router);
      break;
    case ForwardingPolicy::kAllKnowing:
    case ForwardingPolicy::kKnowsQueues:
      TryAllKnowing(caller);
      break;
    default:
      TryBaseline(caller, router);
  }
}

void Model::TryInForce(size_t caller, size_t router) {
  const Caller& asked = callers_[caller];
  const std::string id = absl::StrCat(caller);
  Router& node = routers_[router];
  const forwarding::RequestHandle handle =
      node.dispatcher->Start({id, kHost, kTarget, asked.key, now(), asked.deadline - kHop}, now());
  node.callers[handle] = caller;
  CarryDecisions(router);
}

size_t Model::PickServer(const Caller& caller, Router& router) {
  if (spec().sharded) {
    return OwnerOf(caller.key);
  }
  const size_t first = random_() % servers_.size();
  switch (play_.policy) {
    case ForwardingPolicy::kRoundRobin:
      return ++router.turn % servers_.size();
    case ForwardingPolicy::kLeastOfTwo: {
      const size_t second = random_() % servers_.size();
      return router.in_flight[first] <= router.in_flight[second] ? first : second;
    }
    default:
      return first;
  }
}

void Model::TryBaseline(size_t caller, size_t router) {
  const size_t server = PickServer(callers_[caller], routers_[router]);
  ++routers_[router].in_flight[server];
  const Job job{caller, router, 0, ++last_job_, {}, {}};
  events_.At(now() + kHop, [this, server, job] { Arrive(server, job); });
}

void Model::TryAllKnowing(size_t caller) {
  const Caller& asked = callers_[caller];
  Server* best = nullptr;
  Time best_end = absl::InfiniteFuture();
  const size_t owner = OwnerOf(asked.key);
  for (size_t i = 0; i < servers_.size(); ++i) {
    if (spec().sharded && i != owner) {
      continue;
    }
    Server& server = servers_[i];
    const Time free = *std::min_element(server.free_at.begin(), server.free_at.end());
    const Time ends = std::max(now() + kHop, free) + asked.work / server.speed * server.slowdown;
    if (ends < best_end) {
      best_end = ends;
      best = &server;
    }
  }
  const bool knows_work = play_.policy == ForwardingPolicy::kAllKnowing;
  const Duration late_by = best_end + 2 * kHop - asked.first - spec().target;
  const Duration usual = spec().work / best->speed * best->slowdown;
  const Duration own = asked.work / best->speed * best->slowdown;
  if (late_by + (knows_work ? absl::ZeroDuration() : usual - own) > absl::ZeroDuration()) {
    ++outcome_.refused;
    return;
  }
  *std::min_element(best->free_at.begin(), best->free_at.end()) = best_end;
  ++(late_by > absl::ZeroDuration() ? outcome_.late : outcome_.in_time);
}

void Model::CarryDecisions(size_t index) {
  Router& router = routers_[index];
  for (auto decisions = router.dispatcher->TakeDecisions(); !decisions.empty();
       decisions = router.dispatcher->TakeDecisions()) {
    for (const forwarding::RequestDecision& decided : decisions) {
      const size_t caller = router.callers[decided.request];
      if (const auto* send = std::get_if<forwarding::SendDecision>(&decided.decision)) {
        const size_t server = send->address.port - 1U;
        const Job job{caller, index, send->attempt, ++last_job_, {}, {}};
        router.attempts[send->attempt] = {server, job.number};
        router.dispatcher->OnSent(send->attempt, now());
        events_.At(now() + kHop, [this, server, job] { Arrive(server, job); });
      } else if (const auto* cancel = std::get_if<forwarding::CancelDecision>(&decided.decision)) {
        Cancel(router, cancel->attempt);
      } else if (const auto* answer = std::get_if<forwarding::AnswerDecision>(&decided.decision)) {
        router.callers.erase(decided.request);
        if (answer->status == kUnavailable) {
          Refuse(caller, answer->retry_after);
        } else {
          Finish(caller, false);
        }
      } else {
        router.callers.erase(decided.request);
        Finish(caller, true);
      }
    }
  }
  ArmTick(index);
}

void Model::ArmTick(size_t index) {
  Router& router = routers_[index];
  const Time wake = std::max(router.dispatcher->NextWake(), now());
  if (wake == absl::InfiniteFuture() || wake >= router.tick_at) {
    return;
  }
  router.tick_at = wake;
  events_.At(wake, [this, index, wake] {
    Router& due = routers_[index];
    if (due.tick_at == wake) {
      due.tick_at = absl::InfiniteFuture();
      due.dispatcher->OnTick(now());
      CarryDecisions(index);
    }
  });
}

void Model::Cancel(Router& router, AttemptHandle attempt) {
  const auto found = router.attempts.find(attempt);
  if (found == router.attempts.end()) {
    return;
  }
  const auto [index, number] = found->second;
  router.attempts.erase(found);
  Server& server = servers_[index];
  std::erase_if(server.waiting, [number = number](const Job& job) { return job.number == number; });
  if (server.running.erase(number) > 0) {
    StartWaiting(index);
  }
}

void Model::Arrive(size_t index, const Job& job) {
  Server& server = servers_[index];
  if (job.attempt != 0 && !routers_[job.node].attempts.contains(job.attempt)) {
    return;
  }
  if (server.running.size() < spec().slots) {
    Begin(index, job);
  } else if (server.waiting.size() < spec().queue) {
    server.waiting.push_back(job);
  } else {
    ++outcome_.turned_away;
    Answer(index, job, false);
  }
}

void Model::Begin(size_t index, Job job) {
  job.left = callers_[job.caller].work;
  job.since = now();
  servers_[index].running.emplace(job.number, job);
  ScheduleEnd(index, job);
}

void Model::SetSlowdown(size_t index, double slowdown) {
  Server& server = servers_[index];
  if (slowdown == server.slowdown) {
    return;
  }
  for (auto& [number, job] : server.running) {
    job.left -= (now() - job.since) * (server.speed / server.slowdown);
    job.since = now();
  }
  server.slowdown = slowdown;
  for (const auto& [number, job] : server.running) {
    ScheduleEnd(index, job);
  }
}

void Model::ScheduleEnd(size_t index, const Job& job) {
  const Server& server = servers_[index];
  const Duration takes = job.left / server.speed * server.slowdown;
  events_.At(now() + takes, [this, index, number = job.number, since = job.since] {
    Complete(index, number, since);
  });
}

void Model::Complete(size_t index, uint64_t number, Time since) {
  const auto running = servers_[index].running.find(number);
  if (running == servers_[index].running.end() || running->second.since != since) {
    return;
  }
  auto node = servers_[index].running.extract(running);
  Answer(index, node.mapped(), true);
  StartWaiting(index);
}

void Model::StartWaiting(size_t index) {
  Server& server = servers_[index];
  while (!server.waiting.empty() && server.running.size() < spec().slots) {
    const Job job = server.waiting.front();
    server.waiting.pop_front();
    if (now() >= callers_[job.caller].deadline) {
      Answer(index, job, false);
    } else {
      Begin(index, job);
    }
  }
}

void Model::Answer(size_t index, const Job& job, bool served) {
  const Server& server = servers_[index];
  AttemptAnswer answer;
  answer.status = served ? kOk : kUnavailable;
  answer.not_executed = !served;
  if (spec().tells_load) {
    answer.load.running = static_cast<uint32_t>(server.running.size()) + (served ? 1 : 0);
    answer.load.waiting = static_cast<uint32_t>(server.waiting.size());
    answer.load.slots = spec().slots;
    answer.load.slowdown = spec().disturbed_share > 0 ? server.slowdown : 0;
  }
  events_.At(now() + kHop, [this, index, job, served, answer] {
    Router& router = routers_[job.node];
    if (job.attempt == 0) {
      --router.in_flight[index];
      if (served) {
        Finish(job.caller, true);
      } else {
        Refuse(job.caller, kDefaultReturn);
      }
      return;
    }
    if (router.attempts.erase(job.attempt) > 0) {
      router.dispatcher->OnAttemptAnswer(job.attempt, answer, now());
      CarryDecisions(job.node);
    }
  });
}

void Model::Finish(size_t index, bool answered) {
  const Caller& caller = callers_[index];
  const Duration elapsed = now() + kHop - caller.first;
  if (!answered || now() + kHop > caller.deadline) {
    ++outcome_.failed;
  } else if (elapsed <= spec().target) {
    ++outcome_.in_time;
  } else {
    ++outcome_.late;
  }
}

void Model::Refuse(size_t index, Duration retry_after) {
  Caller& caller = callers_[index];
  outcome_.refused_again += caller.refusals++ > 0 ? 1 : 0;
  const Duration left = caller.deadline - now();
  const Duration wait =
      std::min(retry_after > absl::ZeroDuration() ? retry_after : kDefaultReturn, left / 3);
  if (caller.retries_left == 0 || left <= absl::ZeroDuration()) {
    ++outcome_.refused;
    return;
  }
  --caller.retries_left;
  events_.At(now() + wait + 2 * kHop, [this, index] { Try(index); });
}

void Model::CloseBooks() {
  outcome_.failed = outcome_.callers - outcome_.in_time - outcome_.late - outcome_.refused;
  const auto callers = static_cast<double>(std::max<uint64_t>(outcome_.callers, 1));
  outcome_.credit = (static_cast<double>(outcome_.in_time) +
                     spec().late_worth * static_cast<double>(outcome_.late)) /
                    callers;
  outcome_.bound = Bound();
}

/// What undisturbed slots could work off, the shortest work first, with every request of its length
/// in time wherever it runs.
double Model::Bound() {
  const double seconds = absl::ToDoubleSeconds(play_.length + spec().target);
  std::vector<double> room(spec().sharded ? servers_.size() : 1, 0);
  for (size_t i = 0; i < servers_.size(); ++i) {
    room[spec().sharded ? i : 0] += spec().slots * servers_[i].speed * seconds;
  }
  std::vector<const Caller*> shortest_first;
  for (const Caller& caller : callers_) {
    shortest_first.push_back(&caller);
  }
  std::sort(shortest_first.begin(), shortest_first.end(),
            [](const Caller* a, const Caller* b) { return a->work < b->work; });
  double credit = 0;
  for (const Caller* caller : shortest_first) {
    double& left = room[spec().sharded ? OwnerOf(caller->key) : 0];
    left -= absl::ToDoubleSeconds(caller->work);
    const double speed = spec().sharded ? servers_[OwnerOf(caller->key)].speed : spec().fastest;
    const bool in_time = caller->work / speed <= spec().target;
    credit += left < 0 ? 0 : (in_time ? 1 : spec().late_worth);
  }
  return credit / static_cast<double>(std::max<size_t>(callers_.size(), 1));
}

ForwardingOutcome Model::Play() {
  events_.Run(start_ - now());
  ScheduleDisturbance();
  ScheduleArrival();
  events_.Run(play_.length + spec().deadline + absl::Seconds(1));
  CloseBooks();
  return outcome_;
}

}  // namespace

ForwardingOutcome PlayForwarding(const ForwardingPlay& play) { return Model(play).Play(); }

}  // namespace ladderstream::bench
