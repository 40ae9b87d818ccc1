// State of the fleet model, and the times by which it plays.
#pragma once

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "core/membership/transit_clock.h"
#include "fleet_model.h"

namespace ladderstream::model {

inline constexpr Duration kTransit = absl::Milliseconds(1);
inline constexpr Duration kMessageTime = absl::Milliseconds(10);
inline constexpr Duration kConnectTimeout = absl::Milliseconds(150);
inline constexpr Duration kSuspectProbeTimeout = absl::Milliseconds(300);
inline constexpr Duration kReportInterval = absl::Milliseconds(300);
inline constexpr Duration kTakeover = absl::Milliseconds(2500);
inline constexpr Duration kNodeRestart = absl::Milliseconds(300);
inline constexpr Duration kHeartbeat = absl::Milliseconds(1300);
/// A registration goes after three heartbeats of silence.
inline constexpr Duration kRowLapse = absl::Milliseconds(3 * 1300);
/// The platform starts another back end in the place of one that has ended.
inline constexpr Duration kReplacement = absl::Seconds(2);
inline constexpr Duration kMoveTime = absl::Seconds(1);
inline constexpr Duration kPromise = absl::Seconds(3);
inline constexpr size_t kCrashesPromised = 3;
inline constexpr int kServed = 200;
inline constexpr int kTimeOver = 504;
inline constexpr uint32_t kMostRepeats = 2;
inline const char* const kZones[] = {"a", "b", "c"};
/// Of a release: from one back end to the next, and until one that leaves has ended.
inline constexpr Duration kReleaseGap = absl::Milliseconds(400);
inline constexpr Duration kDrainTime = absl::Milliseconds(2500);

/// Between two drawn faults.
inline constexpr Duration kShortestPause = absl::Milliseconds(200);
inline constexpr uint64_t kPauseSpreadMs = 2000;

struct FleetModel::Backend {
  std::string instance;
  catalog::Backend registration;
  bool up = true;
  /// Nothing comes back from its address.
  bool silent = false;
  bool registered = true;
  std::vector<ExchangePtr> at_work;
};

struct FleetModel::Request {
  /// Names the request to the judge.
  quarantine::Fingerprint fingerprint;
  bool guilty = false;
  bool by_key = false;
  bool poll = false;
  Duration deadline = absl::Milliseconds(1500);
  uint32_t repeats = 0;
  /// Of the service whose requests may not be repeated.
  bool once = false;
  /// What is asked, where the judge's name of it does not say so.
  std::string item = {};
  std::string caller = "10.1.0.1";
  std::string host = "h.example";
  /// Behind the item.
  std::string query = {};
  /// Lines of the head.
  std::string headers = {};
  std::string body = {};
};

struct FleetModel::Exchange {
  size_t node = 0;
  /// The node whose connection carries it.
  size_t carrier = 0;
  uint64_t carrier_incarnation = 0;
  forwarding::AttemptHandle attempt = 0;
  forwarding::RequestHandle request = 0;
  quarantine::Fingerprint fingerprint;
  /// By which nodes know it.
  std::optional<quarantine::RequestIdentity> known_as;
  bool guilty = false;
  std::string backend;
  Time answer_by;
  bool is_trial = false;
  /// By the carrier.
  Time sent_at = absl::InfiniteFuture();
  /// Neither end waits for it any more.
  bool over = false;
  bool at_peer() const { return node != carrier; }
};

struct FleetModel::Node {
  uint64_t incarnation = 0;
  std::unique_ptr<forwarding::Dispatcher> dispatcher;
  catalog::BackendSet known;
  membership::SuspectExchange news;
  membership::TransitClock transit;
  std::unique_ptr<quarantine::SuspectStore> store;
  bool store_call_open = false;
  bool alive = true;
  bool configured = false;
  Time frozen_until = absl::InfinitePast();
  Time woke_at = absl::InfinitePast();
  std::map<std::string, PathFault> cuts;
  std::set<std::string> idle;
  std::map<forwarding::RequestHandle, Request> requests;
  std::map<forwarding::AttemptHandle, ExchangePtr> exchanges;
  Time armed = absl::InfiniteFuture();
  bool pumping = false;
};

}  // namespace ladderstream::model
