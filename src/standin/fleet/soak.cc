#include "standin/fleet/soak.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_format.h>

#include <cmath>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <functional>
#include <set>
#include <utility>
#include <vector>

#include "standin/fault_proxy/fault_proxy.h"
#include "standin/fleet/configuration_prober.h"
#include "standin/fleet/node_processes.h"
#include "standin/fleet/node_quota.h"
#include "standin/fleet/report.h"
#include "standin/fleet/soak_backends.h"
#include "standin/processes/ports.h"
#include "wire/result_code.h"

namespace ladderstream::fleet {
namespace {

constexpr Duration kStartLimit = absl::Seconds(20);
/// After the last fault everything is served again within this: the longest wait for a silent owner
/// (4.9 s), a takeover, and a back end's distrust of 3 s, with room for a busy machine.
constexpr Duration kRecoveryBound = absl::Seconds(20);
constexpr uint64_t kServedAfterwards = 200;
/// Requests that were refused with a promise not to run are watched for a run this long.
constexpr Duration kWatchedAfterwards = absl::Seconds(1);
constexpr Duration kLagInterval = absl::Milliseconds(50);
constexpr Duration kRestartDelay = absl::Milliseconds(300);
constexpr Duration kReviveInterval = absl::Milliseconds(200);
constexpr double kShare = 0.3;
constexpr double kSlowdown = 60;
constexpr Duration kLinkDelay = absl::Milliseconds(250);
constexpr double kHotShare = 0.35;
/// Watches hear nothing for this long before the store forgets its history.
constexpr Duration kCompaction = absl::Seconds(1);
/// A row that is no configuration is replaced after this.
constexpr Duration kDamageLasts = absl::Milliseconds(600);
/// Of the nodes, those that the store turns away.
constexpr size_t kRefusedOneIn = 3;
/// Of the nodes, those that lose the path to the back ends.
constexpr double kHalf = 0.5;
constexpr double kCutShares[] = {0.3, 0.6, 0.9};

class Soak {
 public:
  Soak(const SoakSettings& settings, std::ostream* out)
      : settings_(settings),
        out_(out),
        fleet_(settings.deployment.fleet),
        nodes_(&fleet_, settings.node_program, settings.nodes),
        quota_(&nodes_, settings.core_share,
               [this](size_t node) { return paused_.contains(node); }),
        prober_(&fleet_, settings.deployment.fleet.seed, settings.probe_plan),
        backend_faults_(
            &fleet_,
            [this](Duration delay, std::function<void()> step) { Later(delay, std::move(step)); }),
        away_until_(settings.nodes, absl::InfinitePast()) {
    for (size_t node = 0; node < nodes_.count(); ++node) {
      const standin::LinkSettings link = {.name = nodes_.nodes()[node].name,
                                          .listen = standin::FreeEndpoint(),
                                          .target = nodes_.nodes()[node].peers};
      nodes_.AdvertisePeers(node, proxy_.AddLink(link));
    }
  }

  SoakResult Run() {
    nodes_.StartAll();
    if (!nodes_.AwaitReady(kStartLimit)) {
      throw Error(ResultCode::kInternal, "the nodes did not come up");
    }
    for (const RequestClass& request_class : settings_.deployment.load) {
      fleet_.callers().Start(request_class);
    }
    if (settings_.probe_plan != nullptr) {
      prober_.Start();
    }
    if (settings_.core_share > 0) {
      fleet_.loop().Every(NodeQuota::kInterval, [this] { quota_.Enforce(EventLoop::Now()); });
    }
    fleet_.loop().Every(kReviveInterval, [this] { ReviveNodes(); });
    last_lag_check_ = EventLoop::Now();
    fleet_.loop().Every(kLagInterval, [this] { MeasureLag(); });
    for (const SoakFault& fault : settings_.schedule) {
      fleet_.loop().After(fault.at, [this, &fault] { Strike(fault); });
    }
    fleet_.loop().RunFor(settings_.length);
    Heal();
    SoakResult result;
    result.not_recovered = AwaitRecovery();
    Settle(&result);
    result.verdict = fleet_.Judge();
    if (!result.Passed()) {
      Keep(result);
    }
    return result;
  }

 private:
  /// Waits until everything that was asked for has its answer.
  void Settle(SoakResult* result) {
    prober_.Finish();
    fleet_.FinishCalls();
    fleet_.loop().RunFor(kWatchedAfterwards);
    for (size_t node = 0; node < nodes_.count(); ++node) {
      CheckMemory(node);
    }
    absl::StrAppend(&result->not_recovered, over_memory_, own_ends_);
    const size_t unfinished = CountUnfinished(fleet_.history());
    if (unfinished > 0) {
      absl::StrAppend(&result->not_recovered, unfinished, " requests had no end when judged");
    }
    *out_ << "the loop of callers and back ends was up to "
          << absl::FormatDuration(absl::Trunc(longest_lag_, absl::Milliseconds(1))) << " late"
          << std::endl;
    if (most_memory_ > 0) {
      *out_ << "nodes used up to " << most_memory_ << " MB" << std::endl;
    }
  }

  /// Notes the nodes that have used more memory than they may.
  void CheckMemory(size_t node) {
    const uint32_t limit = settings_.deployment.fleet.node_memory_mb;
    if (limit == 0 || !nodes_.IsRunning(node)) {
      return;
    }
    const uint64_t used = nodes_.group().ReadPeakMemoryMb(nodes_.nodes()[node].name);
    most_memory_ = std::max(most_memory_, used);
    if (used > limit) {
      absl::StrAppend(&over_memory_, "node ", node, " used ", used, " MB of ", limit, "; ");
    }
  }

  /// What callers and back ends note is late by as much as the loop that plays them.
  void MeasureLag() {
    const Time now = EventLoop::Now();
    longest_lag_ = std::max(longest_lag_, now - last_lag_check_ - kLagInterval);
    last_lag_check_ = now;
  }

  void Strike(const SoakFault& fault) {
    *out_ << absl::StrFormat("%6.1f s  %s for %.1f s, target %d",
                             absl::ToDoubleSeconds(EventLoop::Now() - started_),
                             std::string(NameOf(fault.kind)), absl::ToDoubleSeconds(fault.lasts),
                             fault.target)
          << std::endl;
    if (fault.kind == FaultKind::kRequestsEndBackends) {
      RepeatEndingRequest(fault, {});
    } else if (fault.kind == FaultKind::kCallersEndBackends) {
      RepeatEndingRequest(fault, DrawRepeats(fault.target));
    } else if (fault.kind == FaultKind::kAnswersEndless) {
      backend_faults_.Strike(fault);
    } else if (fault.kind >= FaultKind::kDrawnChange) {
      StrikeConfiguration(fault);
    } else if (fault.kind >= FaultKind::kNodesCutOff) {
      StrikePaths(fault);
    } else if (fault.kind >= FaultKind::kRouteChanges) {
      StrikeConfiguration(fault);
    } else if (fault.kind <= FaultKind::kNodeReloads) {
      StrikeNodes(fault);
    } else if (fault.kind <= FaultKind::kLinksOneWay) {
      StrikeLinks(fault);
    } else if (fault.kind <= FaultKind::kStoreConnectionsSilent) {
      StrikeStore(fault);
    } else if (fault.kind <= FaultKind::kAnswersDamaged) {
      backend_faults_.Strike(fault);
    } else {
      ChangeWhatIsAsked(fault);
    }
  }

  void StrikeNodes(const SoakFault& fault) {
    const size_t node = fault.target % nodes_.count();
    switch (fault.kind) {
      case FaultKind::kCoordinatorKilled:
        Kill(fleet_.store().last_conditional_writer().value_or(0) % nodes_.count(), fault.lasts);
        break;
      case FaultKind::kNodeReloads:
        SignalIfRunning(node, SIGHUP);
        break;
      case FaultKind::kNodePaused:
        fleet_.DisturbFor(fault.lasts, node);
        paused_.insert(node);
        SignalIfRunning(node, SIGSTOP);
        Later(fault.lasts, [this, node] {
          paused_.erase(paused_.find(node));
          SignalIfRunning(node, SIGCONT);
        });
        break;
      case FaultKind::kNodeStopped:
        fleet_.DisturbFor(absl::ZeroDuration(), node);
        SignalIfRunning(node, SIGTERM);
        told_to_end_.insert(node);
        away_until_[node] = EventLoop::Now() + fault.lasts;
        break;
      case FaultKind::kAllNodesKilled:
        for (size_t each = 0; each < nodes_.count(); ++each) {
          Kill(each, kRestartDelay);
        }
        break;
      default:
        Kill(node, fault.lasts);
    }
  }

  void Kill(size_t node, Duration away) {
    fleet_.DisturbFor(away + kReviveInterval, node);
    away_until_[node] = EventLoop::Now() + away;
    told_to_end_.insert(node);
    if (nodes_.IsRunning(node)) {
      CheckMemory(node);
      nodes_.Kill(node);
    }
  }

  void SignalIfRunning(size_t node, int signal) {
    if (nodes_.IsRunning(node)) {
      nodes_.Signal(node, signal);
    }
  }

  /// Starts nodes again that have ended, as the platform does.
  void ReviveNodes() {
    for (size_t node = 0; node < nodes_.count(); ++node) {
      if (EventLoop::Now() >= away_until_[node] && !nodes_.IsRunning(node)) {
        if (told_to_end_.erase(node) == 0) {
          absl::StrAppend(&own_ends_, "node ", node, " ended by itself; ");
        }
        fleet_.NoteStart(node);
        fleet_.DisturbFor(absl::ZeroDuration(), node);
        nodes_.Restart(node);
      }
    }
  }

  void StrikeLinks(const SoakFault& fault) {
    standin::LinkFaults faults;
    faults.delay = fault.kind == FaultKind::kLinksDelayed ? kLinkDelay : absl::ZeroDuration();
    faults.cut = fault.kind == FaultKind::kLinksCut;
    faults.half_open = fault.kind == FaultKind::kLinksSilent;
    faults.hold_backward = fault.kind == FaultKind::kLinksOneWay;
    fleet_.DisturbFor(fault.lasts, fault.target % nodes_.count());
    const std::string link = nodes_.nodes()[fault.target % nodes_.count()].name;
    proxy_.SetFaults(link, "", faults);
    Later(fault.lasts, [this, link] { proxy_.SetFaults(link, "", {}); });
  }

  /// Faults that strike while routes change, and these changes.
  void StrikeConfiguration(const SoakFault& fault) {
    switch (fault.kind) {
      case FaultKind::kStoreRefusesSome:
        RefuseSome(fault);
        break;
      case FaultKind::kStoreCompacts:
        fleet_.DisturbFor(kCompaction, std::nullopt, DisturbanceKind::kStoreUnstable);
        fleet_.store().Compact(kCompaction);
        break;
      case FaultKind::kConnectionsSilent:
        SilenceConnections();
        break;
      case FaultKind::kConfigurationDamaged:
        DamageConfiguration(fault.target);
        break;
      default:
        prober_.ChangeConfiguration(fault.target);
    }
  }

  void DamageConfiguration(uint64_t target) {
    constexpr auto kDamages = static_cast<uint64_t>(ConfigurationDamage::kCount);
    configuration_damaged_ = true;
    fleet_.operators().WriteDamaged(static_cast<ConfigurationDamage>(target % kDamages));
    Later(kDamageLasts, [this, target] { prober_.ChangeConfiguration(target); });
  }

  void StrikePaths(const SoakFault& fault) {
    constexpr CutMode kModes[] = {CutMode::kSilent, CutMode::kReset, CutMode::kNewConnections};
    const std::set<size_t> nodes = NodesToCut(fault);
    cut_mode_ = kModes[fault.target % std::size(kModes)];
    cut_nodes_.insert(nodes.begin(), nodes.end());
    ApplyCuts();
    Later(fault.lasts, [this, nodes] {
      for (const size_t node : nodes) {
        cut_nodes_.erase(cut_nodes_.find(node));
      }
      ApplyCuts();
    });
  }

  /// Who repeats a request, and how often.
  struct Repeats {
    double per_second = 3;
    /// See RequestClass.
    uint32_t addresses = 0;
  };
  static Repeats DrawRepeats(uint64_t target) {
    constexpr double kPerSecond[] = {3, 20, 0.8};
    constexpr uint32_t kAddresses[] = {200, 1, 3, 1000, 20};
    return {kPerSecond[target % std::size(kPerSecond)], kAddresses[target % std::size(kAddresses)]};
  }

  /// One request that ends whatever runs it is repeated at any node.
  void RepeatEndingRequest(const SoakFault& fault, const Repeats& repeats) {
    constexpr const char* kEnds[] = {"ends-refusing", "ends-silent", "ends-refusing",
                                     "ends-restarting"};
    const auto& load = settings_.deployment.load;
    RequestClass ending = load[fault.target % load.size()];
    ending.item =
        absl::StrCat(kEnds[fault.target / load.size() % std::size(kEnds)], "-", ending_.size());
    ending.item_key = static_cast<ownership::Key>(fault.target * 60 % (ownership::kLastKey + 1));
    ending.name = absl::StrCat(ending.name, " ", ending.item);
    ending.per_second = repeats.per_second;
    ending.addresses = repeats.addresses;
    ending.retries = 0;
    ending.fresh_connections = true;
    ending_.push_back(ending.name);
    fleet_.callers().Start(ending);
  }

  /// At least one node is spared.
  std::set<size_t> NodesToCut(const SoakFault& fault) {
    const size_t count = nodes_.count();
    std::set<size_t> nodes;
    if (fault.kind == FaultKind::kZoneCutOff) {
      const size_t zones = fleet_.settings().zones.size();
      for (size_t node = fault.target % zones; node < count; node += zones) {
        nodes.insert(node);
      }
      return nodes;
    }
    const bool with_coordinator = fault.kind == FaultKind::kCoordinatorCutOff;
    const size_t first = with_coordinator
                             ? fleet_.store().last_conditional_writer().value_or(0) % count
                             : fault.target % count;
    const double share =
        with_coordinator ? kHalf : kCutShares[fault.target % std::size(kCutShares)];
    const auto wanted = static_cast<size_t>(std::ceil(share * static_cast<double>(count)));
    for (size_t i = 0; i < std::min(wanted, count - 1); ++i) {
      nodes.insert((first + i) % count);
    }
    return nodes;
  }

  void ApplyCuts() { fleet_.CutOffFromBackends({cut_nodes_.begin(), cut_nodes_.end()}, cut_mode_); }

  void RefuseSome(const SoakFault& fault) {
    constexpr StoreOutage kOutages[] = {StoreOutage::kSilent, StoreOutage::kReset,
                                        StoreOutage::kUnavailable, StoreOutage::kThrottled};
    const StoreFaults faults = {.outage = kOutages[fault.target % std::size(kOutages)]};
    const size_t count = std::max<size_t>(1, nodes_.count() / kRefusedOneIn);
    for (size_t i = 0; i < count; ++i) {
      const size_t node = (fault.target + i * kRefusedOneIn) % nodes_.count();
      fleet_.DisturbFor(fault.lasts, node);
      fleet_.store().SetFaultsAt(node, faults);
      Later(fault.lasts, [this, node] { fleet_.store().SetFaultsAt(node, {}); });
    }
  }

  /// Open connections say nothing more; new ones work.
  void SilenceConnections() {
    fleet_.DisturbFor(absl::ZeroDuration(), std::nullopt);
    for (size_t node = 0; node < nodes_.count(); ++node) {
      fleet_.store().SilenceWatchesAt(node);
      proxy_.SilenceOpenSessions(nodes_.nodes()[node].name);
    }
  }

  void StrikeStore(const SoakFault& fault) {
    const size_t node = fault.target % nodes_.count();
    if (fault.kind == FaultKind::kStoreForgets) {
      fleet_.DisturbFor(absl::ZeroDuration(), std::nullopt, DisturbanceKind::kStoreUnstable);
      fleet_.store().ForgetHistory();
      return;
    }
    if (fault.kind == FaultKind::kStoreConnectionsSilent) {
      fleet_.DisturbFor(absl::ZeroDuration(), node);
      fleet_.store().SilenceWatchesAt(node);
      return;
    }
    StoreFaults faults;
    switch (fault.kind) {
      case FaultKind::kStoreUnavailable:
        faults.outage = StoreOutage::kUnavailable;
        break;
      case FaultKind::kStoreSlow:
        faults.slowdown = kSlowdown;
        break;
      case FaultKind::kStoreLosesAnswers:
        faults.lost_answers = kShare;
        break;
      case FaultKind::kStoreWritesLate:
        faults.late_writes = kShare;
        break;
      default:
        faults.outage = StoreOutage::kSilent;
    }
    if (fault.kind == FaultKind::kStoreSilentForOne) {
      fleet_.DisturbFor(fault.lasts, node);
      fleet_.store().SetFaultsAt(node, faults);
      Later(fault.lasts, [this, node] { fleet_.store().SetFaultsAt(node, {}); });
    } else {
      fleet_.DisturbFor(fault.lasts, std::nullopt, DisturbanceKind::kStoreFailing);
      fleet_.store().SetFaults(faults);
      Later(fault.lasts, [this] { fleet_.store().SetFaults({}); });
    }
  }

  void ChangeWhatIsAsked(const SoakFault& fault) {
    if (fault.kind == FaultKind::kOtherKeysHot) {
      const auto first = static_cast<ownership::Key>(fault.target * 60);
      fleet_.callers().SetKeyLoad({.hot_share = kHotShare, .hot_first = first});
      return;
    }
    catalog::Configuration next = fleet_.operators().newest();
    next.routes.front().timeout *= fault.target % 2 == 0 ? 0.9 : 1.1;
    fleet_.operators().Write(next);
  }

  void Later(Duration delay, std::function<void()> step) {
    fleet_.loop().After(delay, [this, step = std::move(step)] {
      if (!healed_) {
        step();
      }
    });
  }

  /// Ends what still lasts.
  void Heal() {
    healed_ = true;
    proxy_.SetFaults("", "", {});
    cut_nodes_.clear();
    ApplyCuts();
    for (const std::string& ending : ending_) {
      fleet_.callers().Stop(ending);
    }
    fleet_.store().Heal();
    if (configuration_damaged_) {
      fleet_.operators().Write(fleet_.operators().newest());
    }
    paused_.clear();
    for (size_t node = 0; node < nodes_.count(); ++node) {
      away_until_[node] = absl::InfinitePast();
      SignalIfRunning(node, SIGCONT);
    }
    for (const ServiceSpec& service : fleet_.settings().services) {
      for (Backend* const backend : fleet_.backends(service.name)) {
        backend->SetFaults({});
        backend->CutFromStore(false);
        backend->Thaw();
      }
    }
    fleet_.Calm();
  }

  std::string AwaitRecovery() {
    const Time healed = EventLoop::Now();
    const auto recovered = [this] {
      return fleet_.nodes().ready_count() == nodes_.count() && fleet_.AllKeysHeld();
    };
    if (!fleet_.loop().RunUntil(recovered, kRecoveryBound)) {
      return absl::StrCat("after ", absl::FormatDuration(kRecoveryBound), " ",
                          fleet_.nodes().ready_count(), " of ", nodes_.count(), " nodes are ready",
                          fleet_.AllKeysHeld() ? "" : ", and keys are without an owner");
    }
    const uint64_t enough = fleet_.callers().served() + kServedAfterwards;
    if (!fleet_.loop().RunUntil([&] { return fleet_.callers().served() >= enough; },
                                kRecoveryBound)) {
      return "calls are not served again";
    }
    *out_ << "recovered after "
          << absl::FormatDuration(absl::Trunc(EventLoop::Now() - healed, absl::Milliseconds(1)))
          << std::endl;
    return "";
  }

  void Keep(const SoakResult& result) {
    if (settings_.keep_in.empty()) {
      return;
    }
    const std::filesystem::path directory(settings_.keep_in);
    std::filesystem::create_directories(directory);
    std::filesystem::copy(nodes_.group().directory(), directory,
                          std::filesystem::copy_options::recursive |
                              std::filesystem::copy_options::overwrite_existing);
    std::ofstream(directory / "schedule.txt") << FormatSchedule(settings_.schedule);
    std::ofstream(directory / "verdict.txt")
        << VerdictTable(result.verdict) << ResultLine(result.verdict) << "\n"
        << result.not_recovered << "\n";
    *out_ << "kept in " << directory.string() << std::endl;
  }

  const SoakSettings& settings_;
  std::ostream* out_;
  standin::FaultProxy proxy_;
  Fleet fleet_;
  NodeProcesses nodes_;
  /// Nodes that stand still, once for each pause that has not ended.
  std::multiset<size_t> paused_;
  NodeQuota quota_;
  ConfigurationProber prober_;
  BackendFaultInjector backend_faults_;
  /// Nodes are not started again before.
  std::vector<Time> away_until_;
  /// Nodes without a path to back ends, once for each cut that has not ended.
  std::multiset<size_t> cut_nodes_;
  CutMode cut_mode_ = CutMode::kSilent;
  /// Classes of requests that end what runs them.
  std::vector<std::string> ending_;
  /// The store may hold a row that is no configuration.
  bool configuration_damaged_ = false;
  bool healed_ = false;
  Time started_ = EventLoop::Now();
  Time last_lag_check_ = EventLoop::Now();
  Duration longest_lag_;
  /// Of one node, in megabytes, where a limit is set.
  uint64_t most_memory_ = 0;
  std::string over_memory_;
  /// Nodes whose processes were killed or stopped and have not been started again.
  std::set<size_t> told_to_end_;
  std::string own_ends_;
};

}  // namespace

SoakResult RunSoak(const SoakSettings& settings, std::ostream* out) {
  return Soak(settings, out).Run();
}

std::vector<SoakFault> ShrinkSchedule(SoakSettings settings, size_t most_runs, std::ostream* out) {
  size_t runs = 0;
  for (size_t i = 0; i < settings.schedule.size() && runs < most_runs; ++runs) {
    const std::vector<SoakFault> before = settings.schedule;
    settings.schedule.erase(settings.schedule.begin() + static_cast<std::ptrdiff_t>(i));
    *out << "without " << NameOf(before[i].kind) << " at " << absl::FormatDuration(before[i].at)
         << std::endl;
    if (RunSoak(settings, out).Passed()) {
      settings.schedule = before;
      ++i;
    }
  }
  return settings.schedule;
}

}  // namespace ladderstream::fleet
