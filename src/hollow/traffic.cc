#include "hollow/traffic.h"

#include <time.h>

#include <numeric>

namespace ladderstream::hollow {
namespace {

struct KindVisitor {
  TrafficKind operator()(const ReplicationMessage& /*body*/) const {
    return TrafficKind::kReplication;
  }
  TrafficKind operator()(const NodeReport& /*body*/) const { return TrafficKind::kReports; }
  TrafficKind operator()(const NodeReportAck& /*body*/) const { return TrafficKind::kReports; }
  TrafficKind operator()(const ForwardedLeaseRequest& /*body*/) const {
    return TrafficKind::kLeases;
  }
  TrafficKind operator()(const LeaseResponse& /*body*/) const { return TrafficKind::kLeases; }
  TrafficKind operator()(const StatePull& /*body*/) const { return TrafficKind::kPulls; }
  TrafficKind operator()(const StatePullResponse& /*body*/) const { return TrafficKind::kPulls; }
  TrafficKind operator()(const GrantsChanged& /*body*/) const { return TrafficKind::kGrants; }
  template <typename Other>
  TrafficKind operator()(const Other& /*body*/) const {
    return TrafficKind::kOther;
  }
};

uint64_t SumOfPeers(const std::array<uint64_t, kTrafficKinds>& bytes) {
  const uint64_t all = std::accumulate(bytes.begin(), bytes.end(), uint64_t{0});
  return all - bytes[static_cast<size_t>(TrafficKind::kStore)];
}

}  // namespace

std::string NameOf(TrafficKind kind) {
  static constexpr std::array<const char*, kTrafficKinds> kNames = {
      "replication", "reports", "leases", "pulls", "grants", "other", "store"};
  return kNames.at(static_cast<size_t>(kind));
}

TrafficKind KindOf(const PeerBody& body) { return std::visit(KindVisitor(), body); }

uint64_t Traffic::PeerBytesSent() const { return SumOfPeers(sent); }

uint64_t Traffic::PeerBytesReceived() const { return SumOfPeers(received); }

uint64_t Traffic::StoreBytes() const {
  constexpr auto kStore = static_cast<size_t>(TrafficKind::kStore);
  return sent[kStore] + received[kStore];
}

absl::Duration ThreadTime() {
  timespec time{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
  return absl::DurationFromTimespec(time);
}

}  // namespace ladderstream::hollow
