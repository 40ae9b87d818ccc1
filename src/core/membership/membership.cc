#include "core/membership/membership.h"

#include <algorithm>
#include <optional>
#include <type_traits>
#include <utility>

#include "core/membership/load_sampling.h"

namespace ladderstream::membership {
namespace {

/// How often the coordinator checks for members that stopped reporting.
constexpr Duration kRefreshInterval = absl::Milliseconds(500);

/// Minimum pause after a report before a lost connection or an update triggers the next one.
constexpr Duration kShortestReportPause = absl::Milliseconds(50);

/// Report intervals are shortened by up to this share, so that nodes do not report in step.
constexpr double kReportJitter = 0.1;
constexpr uint64_t kJitterSteps = 1024;

/// In multiples of the shortest report interval. Where nodes report less often, the coordinator
/// sends keep-alive heartbeats in between.
constexpr double kLongestHeartbeatGap = 1.5;

}  // namespace

Membership::Membership(MembershipSettings settings, PeerIdentity self,
                       store::TableFollower* configuration, store::TableFollower* backends)
    : settings_(std::move(settings)),
      self_(std::move(self)),
      members_(self_, settings_.member_lifetime, settings_.members_interval_per_member),
      snapshots_(settings_.snapshot, configuration, backends, settings_.seed),
      relay_(settings_.relay, self_.incarnation, configuration, backends),
      random_(settings_.seed),
      seek_turn_(random_()) {}

void Membership::OnMessage(uint64_t connection, Message message, Time now) {
  const Destination from{{}, connection};
  std::visit([&](auto& body) { Handle(from, std::move(body), now); }, message);
}

void Membership::Handle(const Destination& from, Report report, Time now) {
  const std::optional<PeerIdentity> sender = members_.OnReport(report.sender, from.connection, now);
  ReceiveSuspects(report.suspects, /*are_all=*/false,
                  SentAt(report.sender.incarnation, report.sent_us, now));
  ReceiveLimits(report.limits, now);
  Heartbeat answer = NewHeartbeat(now);
  answer.answered_report = report.sequence;
  answer.identity_wanted = !sender.has_value();
  report.sender = sender.value_or(report.sender);
  const Destination back{report.sender.address, from.connection, members_.ScopeOf(report.sender)};
  if (IsCoordinator(now)) {
    relay_.AddToAnswer(report, now, &answer);
  }
  AddCopies(report, back, now, &answer);
  Send({back}, std::move(answer));
  snapshots_.OnVersionsReceived(back, {report.configuration_version, report.backends_version}, now);
  if (!report.loads.empty() || !report.refused_backends.empty()) {
    actions_.emplace_back(ReportReceivedAction{std::move(report.sender), std::move(report.loads),
                                               std::move(report.refused_backends)});
  }
}

void Membership::AddCopies(const Report& report, const Destination& back, Time now,
                           Heartbeat* answer) {
  const bool leads = IsCoordinator(now);
  const bool needs_full =
      members_.NeedsFull(report.members_version) || (leads && maps_.NeedsFull(report.map_version));
  // A node that does not coordinate always includes its list: it has no lease to lose by the cost.
  if (leads && needs_full && !full_copies_.Grant(back, now)) {
    return;
  }
  if (leads) {
    maps_.AddTo(report.map_version, answer);
  }
  members_.AddTo(report.members_version, answer);
}

void Membership::SendFullCopies(Time now) {
  if (!full_copies_.Due(now)) {
    return;
  }
  Heartbeat heartbeat = NewHeartbeat(now);
  maps_.AddTo({}, &heartbeat);
  members_.AddTo(0, &heartbeat);
  relay_.AddAsPushed(now, &heartbeat);
  Send(full_copies_.Take(now), std::move(heartbeat));
}

void Membership::Handle(const Destination& from, Heartbeat heartbeat, Time now) {
  const std::optional<SentReport> report = sent_reports_.Take(heartbeat.answered_report);
  ReceiveSuspects(heartbeat.suspects, heartbeat.suspects_known,
                  SentAt(heartbeat.sender, heartbeat.sent_us, now));
  ReceiveLimits(heartbeat.limits, now);
  if (relay_.TakeRows(heartbeat, now)) {
    actions_.emplace_back(TablesMergedAction{});
  }
  snapshots_.OnVersionsReceived(from, {heartbeat.configuration_version, heartbeat.backends_version},
                                now);
  if (report.has_value() && report->holder != 0 && report->holder != heartbeat.sender) {
    // Another process answers at the coordinator's address, so the coordinator's has ended.
    actions_.emplace_back(CoordinatorEndedAction{report->holder});
  }
  const bool own_lease = heartbeat.lease.incarnation == self_.incarnation;
  if (heartbeat.lease.epoch == 0 || own_lease || !UpdateHolder(heartbeat.lease, now)) {
    return;
  }
  if (report.has_value() && report->holder == heartbeat.sender) {
    identity_known_by_ = heartbeat.identity_wanted ? 0 : heartbeat.sender;
  }
  if (members_.Adopt(heartbeat, now)) {
    actions_.emplace_back(MembersChangedAction{static_cast<uint32_t>(members().size())});
  }
  if (heartbeat.sender != heartbeat.lease.incarnation || heartbeat.lease_left_ms == 0) {
    return;
  }
  HandleCoordinatorHeartbeat(heartbeat, report, now);
}

void Membership::HandleCoordinatorHeartbeat(Heartbeat& heartbeat,
                                            const std::optional<SentReport>& report, Time now) {
  last_heartbeat_ = now;
  actions_.emplace_back(HeartbeatReceivedAction{heartbeat.lease});
  if (maps_.TakeFrom(heartbeat)) {
    actions_.emplace_back(MapChangedAction{maps_.map()});
  }
  ConfirmBy(heartbeat, report, now);
  ConfirmMembersBy(heartbeat, report);
  const bool pushed = heartbeat.answered_report == 0;
  if (pushed || report.has_value()) {
    relay_.OnCoordinatorHeartbeat(heartbeat, pushed ? now : report->sent, !pushed, now);
  }
}

void Membership::Handle(const Destination& /*from*/, const Resignation& resignation, Time /*now*/) {
  if (holder_.has_value() && holder_->incarnation == resignation.incarnation) {
    actions_.emplace_back(CoordinatorEndedAction{resignation.incarnation});
  }
}

void Membership::Handle(const Destination& from, const SnapshotRequest& request, Time now) {
  Send({from}, snapshots_.Answer(request, now));
}

void Membership::Handle(const Destination& /*from*/, const Snapshot& snapshot, Time now) {
  if (snapshots_.OnSnapshot(snapshot, now)) {
    actions_.emplace_back(TablesMergedAction{});
  }
}

void Membership::OnConnectFailed(const Endpoint& address, bool refused, Time /*now*/) {
  const bool of_holder = holder_.has_value() && holder_->peer_address == address &&
                         holder_->incarnation != self_.incarnation;
  if (refused && of_holder) {
    actions_.emplace_back(CoordinatorEndedAction{holder_->incarnation});
  }
}

void Membership::ReportSoon(Time now) {
  next_report_ =
      std::min(next_report_, std::max(now, sent_reports_.last_sent() + kShortestReportPause));
}

void Membership::OnConnectionLost(const Endpoint& address, Time now) {
  const bool of_holder = holder_.has_value() && holder_->peer_address == address;
  if (of_holder) {
    // An immediate report shows whether a process still listens there.
    ReportSoon(now);
  }
}

void Membership::OnHolderKnown(const ownership::LeaseView& lease, Time now) {
  UpdateHolder(lease, now);
}

bool Membership::UpdateHolder(const ownership::LeaseView& lease, Time now) {
  if (holder_.has_value() && lease.epoch < holder_->epoch) {
    return false;
  }
  if (!holder_.has_value() || lease.epoch > holder_->epoch) {
    holder_ = lease;
    suspects_.OnNewHolder(now);
    // All nodes learn of the new holder at about the same time; spread their first reports.
    next_report_ = now + ReportSpread() * RandomShare();
    if (lease.incarnation != self_.incarnation) {
      EndLeading(now);
    }
    return true;
  }
  if (holder_->incarnation != lease.incarnation) {
    return false;
  }
  holder_->row_version = std::max(holder_->row_version, lease.row_version);
  return true;
}

void Membership::OnLeaseHeld(const ownership::LeaseView& lease, Time until, Time now) {
  const bool took_over = !IsCoordinator(now);
  if (!UpdateHolder(lease, now)) {
    return;
  }
  lease_until_ = until;
  actions_.emplace_back(MembersConfirmedAction{until - settings_.members_lease_reserve});
  // The same limit as on nodes whose map it confirms at the end of its lease.
  SetConfirmed(until + settings_.confirmation - settings_.confirmation_margin);
  if (took_over) {
    relay_.OnLeading(true, now);
    // The predecessor brought the other nodes to this list.
    pushed_members_ = members_.version();
    members_.TakeOver(lease.epoch, now);
    // A single node has no other occasion to publish its list, which is now the authoritative one.
    actions_.emplace_back(MembersChangedAction{static_cast<uint32_t>(members().size())});
    next_refresh_ = now + kRefreshInterval;
    next_keep_alive_ = now + LongestHeartbeatGap();
    PushHeartbeat(now);
  }
}

void Membership::EndLeading(Time now) {
  if (lease_until_ != absl::InfinitePast()) {
    lease_until_ = absl::InfinitePast();
    full_copies_.Clear();
    relay_.OnLeading(false, now);
  }
}

void Membership::OnLeaseLost(Time now) {
  EndLeading(now);
  push_wanted_ = false;
  next_report_ = now;
}

void Membership::OnResigned(Time now) {
  OnLeaseLost(now);
  Send(members_.Others(), Resignation{self_.incarnation});
}

void Membership::OnMap(const ownership::OwnershipMap& map, Time now) {
  if (!maps_.Take(std::make_shared<ownership::OwnershipMap>(map))) {
    return;
  }
  actions_.emplace_back(MapChangedAction{maps_.map()});
  if (!IsCoordinator(now)) {
    return;
  }
  push_wanted_ = true;
  if (now >= next_push_) {
    PushHeartbeat(now);
  }
}

void Membership::ConfirmBy(const Heartbeat& heartbeat, const std::optional<SentReport>& report,
                           Time now) {
  if (maps_.version() < heartbeat.map_version) {
    // A newer map exists but is not in this heartbeat. The confirmation of the held map is not
    // extended, and the map may be used until it ends: a coordinator that moves the keys of an
    // unresponsive owner waits for that (WaitOutEnd), and any other owner answers that it does not
    // hold the key. A lost push usually affects many nodes at once, so their reports are spread.
    next_report_ = std::min(next_report_, now + ReportSpread() * RandomShare());
    return;
  }
  if (maps_.version() != heartbeat.map_version) {
    return;
  }
  const bool pushed = heartbeat.answered_report == 0;
  if (!pushed && !report.has_value()) {
    return;
  }
  // An answer was created after its report was sent, however long it took to arrive.
  const Time made = pushed ? now : report->sent;
  const Duration span = pushed ? settings_.pushed_confirmation : settings_.confirmation;
  // This may extend beyond the end of the sender's lease: a successor moves the keys of an
  // unresponsive owner only when no map that was confirmed before that end is still in use
  // (WaitOutEnd).
  const Time until = made + span - settings_.confirmation_margin;
  if (until > confirmed_until_) {
    SetConfirmed(until);
  }
}

void Membership::SetConfirmed(Time until) {
  if (until == confirmed_until_) {
    return;
  }
  confirmed_until_ = until;
  actions_.emplace_back(MapConfirmedAction{until});
}

void Membership::ConfirmMembersBy(const Heartbeat& heartbeat,
                                  const std::optional<SentReport>& report) {
  // A push confirms nothing because its creation time is not known.
  const Duration lease_left = absl::Milliseconds(heartbeat.lease_left_ms);
  if (report.has_value() && heartbeat.members_version == members_.version() &&
      lease_left > settings_.members_lease_reserve) {
    actions_.emplace_back(MembersConfirmedAction{report->sent + settings_.members_confirmation -
                                                 settings_.confirmation_margin});
  }
}

Report Membership::NewReport(uint64_t holder, Time now) {
  Report report;
  report.sender = self_;
  if (holder != 0 && holder == identity_known_by_) {
    report.sender = {.incarnation = self_.incarnation, .name = {}, .zone = {}, .address = {}};
  }
  report.sequence = sent_reports_.Add(holder, now);
  report.map_version = maps_.version();
  report.members_version = members_.version();
  const HeldVersions held = snapshots_.Held();
  report.configuration_version = held.configuration;
  report.backends_version = held.backends;
  report.suspects = suspects_.ForReport(now);
  report.sent_us = TransitClock::Stamp(now);
  report.limits = limits_.ForReport(now);
  return report;
}

void Membership::SendReport(std::vector<LoadReport> loads,
                            std::vector<std::string> refused_backends, Time now) {
  if (!holder_.has_value() || holder_->incarnation == self_.incarnation) {
    return;
  }
  Report report = NewReport(holder_->incarnation, now);
  for (LoadReport& load : loads) {
    SampleLoad(MaxReportedCounts(), RandomShare(), &load);
  }
  report.loads = std::move(loads);
  report.refused_backends = std::move(refused_backends);
  Send({members_.At(holder_->peer_address)}, std::move(report));
}

size_t Membership::MaxReportedCounts() const {
  return std::max(settings_.min_reported_counts,
                  settings_.reported_counts / std::max<size_t>(1, members().size()));
}

void Membership::SeekCoordinator(Time now) {
  std::vector<Destination> others = OthersAndSeeds();
  if (holder_.has_value()) {
    std::erase_if(others, [this](const Destination& other) {
      return other.address == holder_->peer_address;
    });
  }
  if (others.empty()) {
    return;
  }
  Send({others[seek_turn_++ % others.size()]}, NewReport(0, now));
}

Heartbeat Membership::NewHeartbeat(Time now) const {
  Heartbeat heartbeat;
  heartbeat.sender = self_.incarnation;
  heartbeat.lease = holder_.value_or(ownership::LeaseView{});
  if (IsCoordinator(now)) {
    constexpr int64_t kLongestLeaseMs = 60'000;
    const int64_t left = absl::ToInt64Milliseconds(lease_until_ - now);
    heartbeat.lease_left_ms = static_cast<uint32_t>(std::min(left, kLongestLeaseMs));
    heartbeat.standbys = relay_.ChooseStandbys(members_.OtherIncarnations());
  }
  heartbeat.map_version = maps_.version();
  heartbeat.members_version = members_.version();
  const HeldVersions held = snapshots_.Held();
  heartbeat.configuration_version = held.configuration;
  heartbeat.backends_version = held.backends;
  heartbeat.suspects = suspects_.ForHeartbeat(now);
  heartbeat.sent_us = TransitClock::Stamp(now);
  heartbeat.suspects_known =
      suspects_.IsKnown() && heartbeat.suspects.size() < quarantine::CrashSuspects::kMostShared;
  heartbeat.limits = limits_.ForHeartbeat(now);
  return heartbeat;
}

void Membership::PushHeartbeat(Time now) {
  push_wanted_ = false;
  std::vector<Destination> others = members_.Others();
  next_push_ = now + settings_.push_interval_per_member * (others.size() + 1);
  Heartbeat heartbeat = NewHeartbeat(now);
  maps_.AddToPush(&heartbeat);
  relay_.AddToPush(now, &heartbeat);
  if (pushed_members_ != members_.version()) {
    members_.AddTo(pushed_members_, &heartbeat);
    pushed_members_ = members_.version();
  }
  Send(std::move(others), std::move(heartbeat));
}

void Membership::OnTick(Time now) {
  relay_.OnTick(now);
  if (relay_.TakeMissedChange()) {
    actions_.emplace_back(WatchesRestartedAction{});
  }
  RequestSnapshot(now);
  if (lease_until_ != absl::InfinitePast() && !IsCoordinator(now)) {
    OnLeaseLost(now);
  }
  if (IsCoordinator(now)) {
    push_wanted_ = push_wanted_ || relay_.HasUpdates();
    if (push_wanted_ && now >= next_push_) {
      PushHeartbeat(now);
    }
    SendFullCopies(now);
    if (now >= next_keep_alive_) {
      SendKeepAlive(now);
    }
    if (now >= next_refresh_) {
      next_refresh_ = now + kRefreshInterval;
      if (members_.Refresh(now, ReportInterval())) {
        actions_.emplace_back(MembersChangedAction{static_cast<uint32_t>(members().size())});
      }
    }
    return;
  }
  if (now < next_report_) {
    return;
  }
  next_report_ = now + ReportInterval() * (1 - kReportJitter * RandomShare());
  const bool other_holds = holder_.has_value() && holder_->incarnation != self_.incarnation;
  if (other_holds) {
    actions_.emplace_back(ReportDueAction{});
  }
  if (!other_holds || now - last_heartbeat_ > settings_.coordinator_timeout) {
    SeekCoordinator(now);
  }
}

Time Membership::NextWake() const {
  if (lease_until_ == absl::InfinitePast()) {
    return std::min(next_report_, snapshots_.NextWake());
  }
  const Time next_push = push_wanted_ ? next_push_ : absl::InfiniteFuture();
  return std::min({lease_until_, next_push, next_keep_alive_, next_refresh_,
                   full_copies_.NextWake(), snapshots_.NextWake(), relay_.NextWake()});
}

void Membership::SendKeepAlive(Time now) {
  next_keep_alive_ = now + LongestHeartbeatGap();
  if (ReportInterval() <= LongestHeartbeatGap()) {
    return;
  }
  if (push_wanted_) {
    // A heartbeat without the new map would name its version to all nodes, which then could not
    // confirm the map they hold.
    PushHeartbeat(now);
  } else {
    Heartbeat heartbeat = NewHeartbeat(now);
    relay_.AddToPush(now, &heartbeat);
    Send(members_.Others(), std::move(heartbeat));
  }
}

void Membership::RequestSnapshot(Time now) {
  if (now < snapshots_.NextWake()) {
    return;
  }
  const auto request = snapshots_.Poll(OthersAndSeeds(), now);
  if (request.has_value()) {
    Send({request->to}, request->request);
  }
}

std::vector<Destination> Membership::OthersAndSeeds() const {
  std::vector<Destination> others = members_.Others();
  for (const Endpoint& seed : settings_.seeds) {
    const bool known = std::any_of(others.begin(), others.end(), [&seed](const Destination& other) {
      return other.address == seed;
    });
    if (!known && seed != self_.address) {
      others.push_back({seed, 0});
    }
  }
  return others;
}

Duration Membership::SharedReportInterval() const {
  return absl::Seconds(static_cast<double>(members().size()) / settings_.reports_per_second);
}

Duration Membership::ReportSpread() const {
  return std::min(SharedReportInterval(), settings_.longest_report_interval);
}

Duration Membership::ReportInterval() const {
  return std::clamp(SharedReportInterval(), settings_.shortest_report_interval,
                    settings_.longest_report_interval);
}

Duration Membership::LongestHeartbeatGap() const {
  return settings_.shortest_report_interval * kLongestHeartbeatGap;
}

double Membership::RandomShare() {
  return static_cast<double>(random_() % kJitterSteps) / static_cast<double>(kJitterSteps);
}

void Membership::Send(std::vector<Destination> to, Message message) {
  if (!to.empty()) {
    actions_.emplace_back(SendAction{std::move(to), std::move(message)});
  }
}

std::vector<MembershipAction> Membership::TakeActions() { return std::exchange(actions_, {}); }

}  // namespace ladderstream::membership
