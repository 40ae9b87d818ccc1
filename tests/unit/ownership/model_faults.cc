// Faults of the model, and back ends that start and end.
#include <absl/strings/str_cat.h>

#include <algorithm>

#include "model_world.h"

namespace ladderstream::ownership {
namespace {

/// Time from a back end's last write until its registration expires.
constexpr Duration kExpiry = absl::Seconds(4);
/// How long a draining back end goes on serving.
constexpr Duration kDrainTime = absl::Milliseconds(2500);
/// Long enough for a successor to take over and for the back end's holds to expire.
constexpr Duration kIsolation = absl::Seconds(13);
constexpr Duration kLastGrants = absl::Milliseconds(1500);
constexpr size_t kMinBackends = 2;
constexpr const char* kZones[] = {"east", "west"};
/// Length of the cold phase after a start; back ends that start with the model are warm.
constexpr Duration kCold = absl::Seconds(3);
const Time kWarmStart = absl::UnixEpoch() + absl::Seconds(1);

}  // namespace

void ModelWorld::StartBackend(const std::string& service, uint16_t port) {
  auto backend = std::make_unique<ModelBackend>();
  backend->id = absl::StrCat(service, "-", ++last_backend_);
  backend->service = service;
  backend->address = {"backend", port};
  backend->work = DrawMs(0, 120);
  backend->zone = kZones[last_backend_ % std::size(kZones)];
  backend->cold_until = now_ < kWarmStart ? now_ : now_ + kCold;
  backend->accepts_old_releases = Chance(50);
  backend->keeps_longest_hold = Chance(50);
  Trace(absl::StrCat("back end ", backend->id, " starts at port ", port));
  backends_.push_back(std::move(backend));
  PublishCatalogToAll();
}

void ModelWorld::EndBackend(const std::string& id, bool orderly) {
  ModelBackend* backend = BackendWithId(id);
  if (backend == nullptr) {
    return;
  }
  Trace(absl::StrCat("back end ", id, " ends"));
  backend->up = false;
  const auto deregister = [this, backend] {
    backend->listed = false;
    PublishCatalogToAll();
  };
  if (orderly) {
    deregister();
  } else {
    After(kExpiry, deregister);
  }
  // A successor at the same or another address, or none.
  const bool must = CountUp(backend->service) < kMinBackends;
  if (must || Chance(80)) {
    const bool same = Chance(60);
    const uint16_t port = same ? backend->address.port : TakePort();
    if (!same) {
      freed_ports_.push_back(backend->address.port);
    }
    After(DrawMs(100, 3000), [this, port, service = backend->service] {
      if (BackendAt({"backend", port}) == nullptr) {
        StartBackend(service, port);
      }
    });
  }
}

uint16_t ModelWorld::TakePort() {
  if (freed_ports_.empty() || Chance(40)) {
    return ++last_port_;
  }
  const size_t index = Draw(freed_ports_.size());
  const uint16_t port = freed_ports_[index];
  freed_ports_.erase(freed_ports_.begin() + static_cast<ptrdiff_t>(index));
  return port;
}

size_t ModelWorld::CountUp(const std::string& service) const {
  return static_cast<size_t>(
      std::count_if(backends_.begin(), backends_.end(), [&service](const auto& backend) {
        return backend->up && backend->listed && !backend->draining && backend->service == service;
      }));
}

std::string ModelWorld::RandomBackend() {
  std::vector<std::string> ids;
  for (const auto& backend : backends_) {
    if (backend->up) {
      ids.push_back(backend->id);
    }
  }
  return ids.empty() ? "" : ids[Draw(ids.size())];
}

void ModelWorld::FaultLoop() {
  if (now_ >= faults_end_) {
    return;
  }
  if (options_.relays_orders && (options_.only_path_cuts || Chance(30))) {
    PathFault();
    After(DrawMs(0, 3000), [this] { FaultLoop(); });
    return;
  }
  if (options_.stray_rows && Chance(40)) {
    StrayRowFault();
    After(DrawMs(0, 2000), [this] { FaultLoop(); });
    return;
  }
  switch (Draw(9)) {
    case 0:
    case 1:
      NodeFault();
      break;
    case 2:
    case 3:
    case 4:
      BackendFault();
      break;
    case 5:
      ReportFalseEnd();
      break;
    case 6:
      EvacuateZone();
      break;
    default:
      StoreFault();
  }
  After(DrawMs(0, 3000), [this] { FaultLoop(); });
}

void ModelWorld::StrayRowFault() {
  const std::string id = RandomBackend();
  const ModelBackend* running = BackendWithId(id);
  if (running == nullptr) {
    return;
  }
  catalog::Backend stray;
  stray.id = absl::StrCat("stray-", ++last_stray_);
  stray.service = Chance(50) ? running->service : "a service that is not listed";
  stray.address = running->address;
  // A late write of an earlier process at this address, if there was one.
  for (const auto& earlier : backends_) {
    if (!earlier->up && !earlier->listed && earlier->address == running->address && Chance(70)) {
      stray.id = earlier->id;
      stray.service = earlier->service;
    }
  }
  const bool is_registered =
      std::any_of(stray_rows_.begin(), stray_rows_.end(),
                  [&stray](const catalog::Backend& other) { return other.id == stray.id; });
  if (is_registered) {
    return;
  }
  Trace(absl::StrCat("stray registration of ", stray.id, " at the address of ", id));
  stray_rows_.push_back(stray);
  PublishCatalogToAll();
  At(std::min(faults_end_, now_ + DrawMs(100, 5000)), [this, stray_id = stray.id] {
    std::erase_if(stray_rows_,
                  [&stray_id](const catalog::Backend& row) { return row.id == stray_id; });
    PublishCatalogToAll();
  });
}

void ModelWorld::ReportFalseEnd() {
  for (const ModelNode& holder : nodes_) {
    if (!holder.coordinator || !holder.coordinator->Holds(now_)) {
      continue;
    }
    const size_t index = Draw(nodes_.size());
    Trace(absl::StrCat("node ", index, " receives a false report that node ", holder.index,
                       " has ended"));
    ToNode(index, nodes_[index].incarnation, [this, index, ended = holder.incarnation] {
      nodes_[index].coordinator->OnCoordinatorEnded(ended, now_);
    });
    return;
  }
}

void ModelWorld::EvacuateZone() {
  const std::string zone = kZones[Draw(std::size(kZones))];
  const Time until = std::min(faults_end_, now_ + DrawMs(100, 8000));
  Trace(absl::StrCat("zone ", zone, " is evacuated until ",
                     absl::ToInt64Milliseconds(until - absl::UnixEpoch())));
  evacuated_.insert(zone);
  PublishCatalogToAll();
  At(until, [this, zone] {
    evacuated_.erase(zone);
    for (const auto& backend : backends_) {
      if (backend->zone == zone) {
        backend->cold_until = now_ + kCold;
      }
    }
    PublishCatalogToAll();
  });
}

void ModelWorld::NodeFault() {
  // The lease holder is chosen more often.
  size_t index = Draw(nodes_.size());
  for (const ModelNode& node : nodes_) {
    if (node.coordinator && node.coordinator->Holds(now_) && Chance(60)) {
      index = node.index;
    }
  }
  ModelNode& node = nodes_[index];
  const Time until = std::min(faults_end_, now_ + DrawMs(300, 7000));
  Trace(absl::StrCat("fault at node ", index, " until ",
                     absl::ToInt64Milliseconds(until - absl::UnixEpoch())));
  switch (Draw(8)) {
    case 0:
      KillNode(index);
      break;
    case 1:
      StopNode(index);
      break;
    case 2:
      for (size_t i = 0; i < nodes_.size(); ++i) {
        KillNode(i);
      }
      break;
    case 3:
      node.store_cut_until = until;
      break;
    case 4:
      node.peers_cut_until = until;
      break;
    case 5:
      node.store_cut_until = Chance(70) ? until : node.store_cut_until;
      node.peers_cut_until = until;
      node.backends_cut_until = until;
      break;
    case 6:
      Isolate(node);
      break;
    default:
      node.frozen_until = until;
      At(until, [this, index] { Resume(index); });
  }
}

void ModelWorld::Isolate(ModelNode& node) {
  const Time until = std::min(faults_end_, now_ + kIsolation);
  node.store_cut_until = until;
  node.peers_cut_until = until;
  ModelBackend* backend = BackendWithId(RandomBackend());
  if (backend == nullptr) {
    return;
  }
  Trace(absl::StrCat("only node ", node.index, " reaches ", backend->id));
  for (size_t i = 0; i < nodes_.size(); ++i) {
    backend->cut_from_until[i] = i == node.index ? now_ : until;
  }
}

void ModelWorld::BackendFault() {
  const std::string id = RandomBackend();
  ModelBackend* backend = BackendWithId(id);
  if (backend == nullptr) {
    return;
  }
  const Time until = std::min(faults_end_, now_ + DrawMs(500, 9000));
  const uint64_t fault = Draw(9);
  Trace(absl::StrCat("fault ", fault, " at back end ", id, " until ",
                     absl::ToInt64Milliseconds(until - absl::UnixEpoch())));
  switch (fault) {
    case 0:
      EndBackend(id, false);
      break;
    case 1:
      if (CountUp(backend->service) > kMinBackends) {
        backend->draining = true;
        PublishCatalogToAll();
        After(kDrainTime, [this, id] { EndBackend(id, true); });
      }
      break;
    case 2:
      // Disconnected from the platform only: the registration expires while the back end still
      // serves.
      if (CountUp(backend->service) > kMinBackends) {
        backend->listed = false;
        PublishCatalogToAll();
        At(until, [this, id] {
          if (ModelBackend* returned = BackendWithId(id)) {
            returned->listed = true;
            PublishCatalogToAll();
          }
        });
      }
      break;
    case 3:
      backend->late_until = until;
      break;
    case 4:
      backend->cut_until = until;
      if (options_.links_hold_orders) {
        At(until + DrawMs(20, 600), [this, id] {
          if (ModelBackend* again = BackendWithId(id)) {
            again->cut_until = std::min(faults_end_, now_ + DrawMs(1000, 9000));
          }
        });
      }
      break;
    case 5:
      backend->answers_lost_until = until;
      break;
    case 6:
      // Its last grants arrive when another back end owns its keys and some node uses an old map.
      backend->late_until = now_ + kLastGrants;
      At(backend->late_until, [this, id] {
        if (ModelBackend* late = BackendWithId(id)) {
          late->cut_until = std::min(faults_end_, now_ + kIsolation);
        }
      });
      nodes_[Draw(nodes_.size())].peers_cut_until = std::min(faults_end_, now_ + kIsolation);
      break;
    case 7:
      // Unreachable from all nodes but one, which may be the lease holder or its successor.
      for (size_t i = 0; i < nodes_.size(); ++i) {
        backend->cut_from_until[i] = until;
      }
      backend->cut_from_until[Draw(nodes_.size())] = now_;
      break;
    default:
      backend->frozen_until = until;
  }
}

void ModelWorld::StoreFault() {
  const uint64_t fault = Draw(6);
  const uint64_t longest_ms = fault <= 2 ? 8000 : 12000;
  const Time until = std::min(faults_end_, now_ + DrawMs(300, longest_ms));
  Trace(absl::StrCat("fault ", fault, " at the store until ",
                     absl::ToInt64Milliseconds(until - absl::UnixEpoch())));
  switch (fault) {
    case 0:
      store_down_until_ = until;
      break;
    case 1:
      store_slow_until_ = until;
      break;
    case 3:
      // Unreachable for all nodes. Calls sent meanwhile may be executed afterwards.
      store_down_until_ = until;
      store_executes_late_until_ = until;
      break;
    case 4:
      for (ModelNode& node : nodes_) {
        node.store_cut_until = Chance(50) ? until : node.store_cut_until;
      }
      break;
    case 5:
      // Unreachable for all nodes, and the lease holder ends before the store returns.
      store_down_until_ = until;
      for (const ModelNode& node : nodes_) {
        if (node.coordinator && node.coordinator->Holds(now_)) {
          At(std::min(until, now_ + DrawMs(0, 8000)),
             [this, index = node.index] { KillNode(index); });
        }
      }
      break;
    default:
      store_loses_calls_until_ = until;
  }
}

}  // namespace ladderstream::ownership
