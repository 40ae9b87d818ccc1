#include "bench/coordination_model.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <utility>
#include <variant>

#include "bench/processor_time.h"
#include "core/ownership/ownership_rows.h"

namespace ladderstream::bench {
namespace {

constexpr char kService[] = "scripts";
constexpr uint16_t kPort = 8000;
constexpr uint64_t kIncarnation = 1;
/// A third of all requests goes to this many keys next to each other, as in the hot times of the
/// deployments that were measured.
constexpr double kHotShare = 0.35;
constexpr ownership::Key kHotFirst = 5800;
constexpr uint32_t kHotKeys = 200;
constexpr Duration kServiceTime = absl::Milliseconds(150);

std::string NameOf(size_t backend) { return absl::StrCat("backend-", 100'000 + backend); }

catalog::Backend BackendOf(size_t number) {
  catalog::Backend backend;
  backend.id = NameOf(number);
  backend.service = kService;
  backend.address = {
      absl::StrCat("10.", number / 62'500, ".", number / 250 % 250, ".", number % 250), kPort};
  backend.slots = 2;
  return backend;
}

}  // namespace

/// Rows with versions; applies transactions whose conditions hold.
struct CoordinationModel::Store {
  std::map<store::RowKey, store::Row> rows;
  store::RowVersion version = 0;

  void Put(const store::RowKey& key, const std::string& value) {
    rows[key] = {key, value, version, false};
  }
  store::StoreReply Read(const store::ReadQuery& query) const {
    store::StoreReply reply{store::StoreStatus::kDone, {}, false, version, ""};
    for (const auto& [key, row] : rows) {
      if (key.table == query.table && key.key >= query.from_key) {
        reply.rows.push_back(row);
      }
    }
    return reply;
  }
  store::StoreReply Apply(const store::Transaction& transaction) {
    store::StoreReply reply{store::StoreStatus::kDone, {}, false, version, ""};
    for (const store::Transaction::Condition& condition : transaction.conditions) {
      const auto found = rows.find(condition.key);
      const store::RowVersion held = found == rows.end() ? 0 : found->second.version;
      if (held != condition.version) {
        reply.status = store::StoreStatus::kConflict;
      }
      if (found != rows.end()) {
        reply.rows.push_back(found->second);
      }
    }
    if (reply.status == store::StoreStatus::kDone) {
      reply.rows.clear();
      reply.version = ++version;
      for (const store::Transaction::Put& put : transaction.puts) {
        Put(put.key, put.value);
      }
    }
    return reply;
  }
};

CoordinationModel::CoordinationModel(const CoordinationSettings& settings)
    : settings_(settings),
      events_(absl::UnixEpoch() + absl::Hours(1)),
      free_at_(now()),
      random_(settings.seed),
      store_(std::make_unique<Store>()) {
  ownership::ServiceRow row;
  for (size_t i = 0; i < settings_.backends; ++i) {
    backends_.push_back(BackendOf(last_backend_++));
    row.addresses[backends_.back().id] = backends_.back().address;
  }
  const size_t keys = (ownership::kLastKey + 1) / settings_.ranges;
  for (size_t i = 0; i < settings_.ranges; ++i) {
    const auto first = static_cast<ownership::Key>(i * keys);
    const auto last = i + 1 == settings_.ranges ? ownership::Key{ownership::kLastKey}
                                                : static_cast<ownership::Key>((i + 1) * keys - 1);
    row.assignments.push_back({{first, last}, NameOf(i % settings_.backends), i + 1});
  }
  const ownership::CoordinatorSettings coordinator;
  ++store_->version;
  store_->Put({coordinator.table, coordinator.partition, ownership::ServiceRowKey(kService)},
              EncodeServiceRow(row));
  coordinator_ = std::make_unique<ownership::Coordinator>(
      coordinator, ownership::NodeIdentity{kIncarnation, "coordinator", {"10.200.0.1", kPort}});
  TellCatalog();
  Report();
}

CoordinationModel::~CoordinationModel() = default;

Duration CoordinationModel::RunUntilRenewed(Time since, Duration most) {
  const Time start = now();
  const auto all_renewed = [this, since] {
    return std::all_of(backends_.begin(), backends_.end(), [&](const catalog::Backend& backend) {
      const auto confirmed = confirmed_.find(backend.id);
      return confirmed != confirmed_.end() && confirmed->second >= since;
    });
  };
  while (!all_renewed() && now() - start < most) {
    Run(absl::Milliseconds(1));
  }
  return now() - start;
}

void CoordinationModel::Turn(std::function<void()> work, Duration sockets) {
  if (now() < free_at_) {
    events_.At(free_at_, [this, work = std::move(work), sockets] { Turn(work, sockets); });
    return;
  }
  const Duration before = ProcessorTime();
  work();
  coordinator_->OnTick(now());
  std::vector<ownership::Action> actions = coordinator_->TakeActions();
  const Duration measured = ProcessorTime() - before;
  for (const ownership::Action& action : actions) {
    const bool order = std::holds_alternative<ownership::GrantAction>(action) ||
                       std::holds_alternative<ownership::ReleaseAction>(action);
    sockets += order ? settings_.order_cost : absl::ZeroDuration();
  }
  const Duration taken = (measured + sockets) / settings_.cpu_share;
  free_at_ = now() + taken;
  costs_.busy += taken;
  costs_.longest_turn = std::max(costs_.longest_turn, taken);
  events_.At(free_at_, [this, actions = std::move(actions)] { Carry(actions); });
}

void CoordinationModel::Carry(const std::vector<ownership::Action>& actions) {
  for (const ownership::Action& action : actions) {
    if (const auto* commit = std::get_if<ownership::CommitAction>(&action)) {
      ++costs_.commits;
      AnswerFromStore(commit->call, store_->Apply(commit->transaction));
    } else if (const auto* read = std::get_if<ownership::ReadAction>(&action)) {
      AnswerFromStore(read->call, store_->Read(read->query));
    } else if (const auto* grant = std::get_if<ownership::GrantAction>(&action)) {
      ++costs_.grants;
      AnswerOrder(grant->backend, grant->call, true);
    } else if (const auto* release = std::get_if<ownership::ReleaseAction>(&action)) {
      ++costs_.releases;
      AnswerOrder(release->backend, release->call, false);
    } else if (const auto* publish = std::get_if<ownership::PublishAction>(&action)) {
      map_ = publish->map;
    }
  }
  const bool holds = coordinator_->Holds(now());
  costs_.leases_lost += holds_ && !holds ? 1 : 0;
  holds_ = holds;
  ArmWake();
}

void CoordinationModel::AnswerFromStore(ownership::CallId call, store::StoreReply reply) {
  events_.At(now() + settings_.store_round_trip, [this, call, reply = std::move(reply)] {
    Turn([this, call, reply] { coordinator_->OnStoreReply(call, reply, now()); },
         absl::ZeroDuration());
  });
}

void CoordinationModel::AnswerOrder(const std::string& backend, ownership::CallId call,
                                    bool grant) {
  if (silent_.contains(backend)) {
    return;
  }
  events_.At(now() + settings_.round_trip, [this, backend, call, grant] {
    if (grant) {
      confirmed_[backend] = now();
    }
    Turn(
        [this, call, grant] {
          coordinator_->OnOrderReply(call, {ownership::OrderStatus::kDone, grant ? "" : "handover"},
                                     now());
        },
        absl::ZeroDuration());
  });
}

void CoordinationModel::ArmWake() {
  const Time wake = std::max(coordinator_->NextWake(), now() + absl::Microseconds(100));
  if (wake >= wake_ || wake == absl::InfiniteFuture()) {
    return;
  }
  wake_ = wake;
  events_.At(wake, [this, wake] {
    if (wake_ == wake) {
      wake_ = absl::InfiniteFuture();
      Turn([] {}, absl::ZeroDuration());
    }
  });
}

void CoordinationModel::TellCatalog() {
  catalog::Service service;
  service.name = kService;
  service.sharded = true;
  events_.At(now(), [this, service, changes = registered_.Replace(backends_)] {
    Turn([this, service, changes] { coordinator_->OnCatalog({service}, changes, now()); },
         absl::ZeroDuration());
  });
}

ownership::Key CoordinationModel::DrawKey() {
  std::uniform_real_distribution<double> share(0, 1);
  if (share(random_) < kHotShare) {
    return kHotFirst + static_cast<ownership::Key>(random_() % kHotKeys);
  }
  return static_cast<ownership::Key>(random_() % (ownership::kLastKey + 1));
}

void CoordinationModel::Report() {
  const auto requests =
      static_cast<size_t>(settings_.requests_per_second / settings_.reports_per_second);
  std::vector<partition::KeyCount> counts;
  std::vector<partition::ServiceTimeSample> samples;
  for (size_t i = 0; i < requests; ++i) {
    counts.push_back({DrawKey(), 1});
    const catalog::Backend& backend = backends_[random_() % backends_.size()];
    samples.push_back({backend.id, 1, kServiceTime, false, 1});
  }
  Turn([this, counts, samples] { coordinator_->OnLoad(kService, counts, samples, now()); },
       settings_.report_cost);
  events_.At(now() + absl::Seconds(1 / settings_.reports_per_second), [this] { Report(); });
}

void CoordinationModel::Replace(size_t count) {
  for (size_t i = 0; i < count && next_to_leave_ < backends_.size(); ++i) {
    backends_[next_to_leave_++].draining = true;
    backends_.push_back(BackendOf(last_backend_++));
  }
  TellCatalog();
}

void CoordinationModel::Silence(size_t count) {
  for (size_t i = 0; i < count && next_to_leave_ < backends_.size(); ++i) {
    silent_.insert(backends_[next_to_leave_++].id);
  }
}

size_t CoordinationModel::CountRanges() const {
  const auto service = map_.services.find(kService);
  return service == map_.services.end() ? 0 : service->second.assignments.size();
}

size_t CoordinationModel::CountMoving() const {
  const auto service = map_.services.find(kService);
  return service == map_.services.end() ? 0 : service->second.moving.size();
}

}  // namespace ladderstream::bench
