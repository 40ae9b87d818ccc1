// One coordinator over a simulated store, clock and back ends, on a machine that is a share of a
// core.
//
// Single-threaded. A turn of the coordinator takes as long as its processor time, measured, takes
// on that machine, and everything that arrives meanwhile waits: so work that grows faster than the
// number of ranges shows as a lease that runs out. Sockets are charged a constant for each order
// and each report.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "bench/event_queue.h"
#include "core/ownership/coordinator.h"
#include "wire/time.h"

namespace ladderstream::bench {

struct CoordinationSettings {
  size_t backends = 385;
  size_t ranges = 1182;
  /// Of a core, for the coordinator's process.
  double cpu_share = 0.5;
  double reports_per_second = 200;
  /// Of all nodes together, for keys.
  double requests_per_second = 2600;
  /// Processor time, of a whole core, for the sockets of one order with its answer and of one
  /// report with its answer. Assumed, not measured: some ten system calls each.
  Duration order_cost = absl::Microseconds(80);
  Duration report_cost = absl::Microseconds(50);
  Duration round_trip = absl::Milliseconds(2);
  Duration store_round_trip = absl::Milliseconds(8);
  uint64_t seed = 1;
};

/// What happened since the costs were last cleared.
struct CoordinationCosts {
  Duration busy;
  Duration longest_turn;
  uint64_t grants = 0;
  uint64_t releases = 0;
  uint64_t commits = 0;
  /// Times that the lease ran out or was given up.
  uint64_t leases_lost = 0;
};

class CoordinationModel {
 public:
  explicit CoordinationModel(const CoordinationSettings& settings);
  ~CoordinationModel();
  CoordinationModel(const CoordinationModel&) = delete;
  CoordinationModel& operator=(const CoordinationModel&) = delete;

  Time now() const { return events_.now(); }
  void Run(Duration duration) { events_.Run(duration); }
  /// Until every back end that owns keys has confirmed a grant since `since`; gives the time that
  /// took, or `most`.
  Duration RunUntilRenewed(Time since, Duration most);

  /// So many back ends say that they leave, and as many new ones come.
  void Replace(size_t count);
  /// So many back ends answer nothing any more.
  void Silence(size_t count);

  const CoordinationCosts& costs() const { return costs_; }
  void ClearCosts() { costs_ = {}; }
  size_t CountRanges() const;
  size_t CountMoving() const;

 private:
  struct Store;
  /// Runs `work` as a turn of the coordinator's process, once it is free.
  void Turn(std::function<void()> work, Duration sockets);
  void Carry(const std::vector<ownership::Action>& actions);
  void AnswerFromStore(ownership::CallId call, store::StoreReply reply);
  void AnswerOrder(const std::string& backend, ownership::CallId call, bool grant);
  void ArmWake();
  void TellCatalog();
  void Report();
  ownership::Key DrawKey();

  CoordinationSettings settings_;
  EventQueue events_;
  /// Until then the coordinator's process is busy with the last turn.
  Time free_at_;
  std::mt19937_64 random_;
  std::unique_ptr<Store> store_;
  std::unique_ptr<ownership::Coordinator> coordinator_;
  ownership::OwnershipMap map_;
  std::vector<catalog::Backend> backends_;
  /// What the coordinator was told.
  catalog::BackendSet registered_;
  std::set<std::string> silent_;
  std::map<std::string, Time> confirmed_;
  size_t last_backend_ = 0;
  size_t next_to_leave_ = 0;
  Time wake_ = absl::InfiniteFuture();
  bool holds_ = false;
  CoordinationCosts costs_;
};

}  // namespace ladderstream::bench
