#include "core/forwarding/relay_peers.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace ladderstream::forwarding {
namespace {

/// Helpers that should be usable for a service.
constexpr size_t kUsableHelpers = 4;
/// Idle helpers beyond this many are dropped when they cannot help.
constexpr size_t kMaxHelpers = 12;
/// Peers considered in one refill.
constexpr size_t kDraws = 8;
constexpr Duration kNoPathPause = absl::Seconds(1);
constexpr Duration kUnavailablePause = absl::Milliseconds(250);
/// A peer in a third zone is used when the others have this many more requests in flight.
constexpr uint32_t kOtherZonePenalty = 4;

}  // namespace

bool RelayPeers::Helper::MayHelp(const std::string& service, Time now) const {
  const auto no_path = no_path_until.find(service);
  return now >= unavailable_until && (no_path == no_path_until.end() || now >= no_path->second);
}

template <typename Predicate>
void RelayPeers::EraseHelpers(Predicate predicate) {
  for (auto helper = helpers_.begin(); helper != helpers_.end();) {
    helper = predicate(helper->first, helper->second) ? helpers_.erase(helper) : std::next(helper);
  }
}

void RelayPeers::SetPeers(std::vector<RelayPeer> peers) {
  peers_ = std::move(peers);
  EraseHelpers([this](uint64_t incarnation, const Helper& /*helper*/) {
    return std::none_of(peers_.begin(), peers_.end(), [incarnation](const RelayPeer& peer) {
      return peer.incarnation == incarnation;
    });
  });
}

void RelayPeers::Refill(const std::string& service, Time now) {
  auto usable =
      static_cast<size_t>(std::count_if(helpers_.begin(), helpers_.end(), [&](const auto& entry) {
        return entry.second.MayHelp(service, now);
      }));
  for (size_t draw = 0; draw < kDraws && usable < kUsableHelpers && !peers_.empty(); ++draw) {
    const RelayPeer& peer = peers_[random_() % peers_.size()];
    const auto [place, is_new] = helpers_.try_emplace(peer.incarnation);
    place->second.zone = peer.zone;
    usable += is_new ? 1 : 0;
  }
  if (helpers_.size() > kMaxHelpers) {
    EraseHelpers([&](uint64_t /*incarnation*/, const Helper& helper) {
      return helper.in_flight == 0 && !helper.MayHelp(service, now);
    });
  }
}

uint64_t RelayPeers::Choose(const std::string& service, const std::string& backend_zone,
                            const std::vector<uint64_t>& declined, Time now) {
  Refill(service, now);
  uint64_t best = 0;
  uint32_t least = 0;
  for (const auto& [incarnation, helper] : helpers_) {
    const bool tried = std::find(declined.begin(), declined.end(), incarnation) != declined.end();
    if (tried || !helper.MayHelp(service, now)) {
      continue;
    }
    const bool near = helper.zone == zone_ || helper.zone == backend_zone;
    const uint32_t cost = helper.in_flight + (near ? 0 : kOtherZonePenalty);
    if (best == 0 || cost < least) {
      best = incarnation;
      least = cost;
    }
  }
  return best;
}

void RelayPeers::OnSent(uint64_t peer) {
  const auto helper = helpers_.find(peer);
  if (helper != helpers_.end()) {
    ++helper->second.in_flight;
  }
}

void RelayPeers::OnEnded(uint64_t peer) {
  const auto helper = helpers_.find(peer);
  if (helper != helpers_.end() && helper->second.in_flight > 0) {
    --helper->second.in_flight;
  }
}

void RelayPeers::OnNoPath(uint64_t peer, const std::string& service, Time now) {
  const auto helper = helpers_.find(peer);
  if (helper != helpers_.end()) {
    helper->second.no_path_until[service] = now + kNoPathPause;
  }
}

void RelayPeers::OnUnavailable(uint64_t peer, Time now) {
  const auto helper = helpers_.find(peer);
  if (helper != helpers_.end()) {
    helper->second.unavailable_until = now + kUnavailablePause;
  }
}

}  // namespace ladderstream::forwarding
