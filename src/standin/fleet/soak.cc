#include "standin/fleet/soak.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_format.h>

#include <csignal>
#include <filesystem>
#include <fstream>
#include <functional>
#include <set>
#include <utility>
#include <vector>

#include "standin/fault_proxy/fault_proxy.h"
#include "standin/fleet/configuration_prober.h"
#include "standin/fleet/node_findings.h"
#include "standin/fleet/node_processes.h"
#include "standin/fleet/node_quota.h"
#include "standin/fleet/report.h"
#include "standin/fleet/soak_backends.h"
#include "standin/fleet/soak_paths.h"
#include "standin/fleet/soak_registrations.h"
#include "standin/fleet/soak_store.h"
#include "standin/processes/ports.h"
#include "wire/result_code.h"

namespace ladderstream::fleet {
namespace {

constexpr Duration kStartLimit = absl::Seconds(20);
/// After the last fault everything is served again within this: the longest wait for a silent owner
/// (5.3 s), a takeover, and a back end's distrust of 3 s, with room for a busy machine.
constexpr Duration kRecoveryBound = absl::Seconds(20);
constexpr uint64_t kServedAfterwards = 200;
/// Requests that were refused with a promise not to run are watched for a run this long.
constexpr Duration kWatchedAfterwards = absl::Seconds(1);
constexpr Duration kLagInterval = absl::Milliseconds(50);
constexpr Duration kRestartDelay = absl::Milliseconds(300);
constexpr Duration kReviveInterval = absl::Milliseconds(200);
constexpr Duration kLinkDelay = absl::Milliseconds(250);
constexpr double kHotShare = 0.35;
/// A row that is no configuration is replaced after this.
constexpr Duration kDamageLasts = absl::Milliseconds(600);

class Soak {
 public:
  Soak(const SoakSettings& settings, std::ostream* out)
      : settings_(settings),
        out_(out),
        fleet_(settings.deployment.fleet),
        nodes_(&fleet_, settings.node_program, settings.nodes),
        quota_(&nodes_, settings.core_share,
               [this](size_t node) { return paused_.contains(node); }),
        findings_(&nodes_, settings.deployment.fleet.node_memory_mb),
        prober_(&fleet_, settings.deployment.fleet.seed, settings.probe_plan),
        backend_faults_(
            &fleet_,
            [this](Duration delay, std::function<void()> step) { Later(delay, std::move(step)); }),
        store_faults_(
            &fleet_, settings.nodes,
            [this](Duration delay, std::function<void()> step) { Later(delay, std::move(step)); }),
        registration_faults_(
            &fleet_,
            [this](Duration delay, std::function<void()> step) { Later(delay, std::move(step)); }),
        path_cuts_(
            &fleet_, settings.nodes,
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
      findings_.CheckMemory(node);
    }
    absl::StrAppend(&result->not_recovered, findings_.findings());
    const size_t unfinished = CountUnfinished(fleet_.history());
    if (unfinished > 0) {
      absl::StrAppend(&result->not_recovered, unfinished, " requests had no end when judged");
    }
    *out_ << "the loop of callers and back ends was up to "
          << absl::FormatDuration(absl::Trunc(longest_lag_, absl::Milliseconds(1))) << " late"
          << std::endl;
    if (findings_.most_memory_mb() > 0) {
      *out_ << "nodes used up to " << findings_.most_memory_mb() << " MB" << std::endl;
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
    } else if (fault.kind >= FaultKind::kLateRegistration) {
      registration_faults_.Strike(fault);
    } else if (StrikesBackends(fault.kind)) {
      backend_faults_.Strike(fault);
    } else if (StrikesConfiguration(fault.kind)) {
      StrikeConfiguration(fault);
    } else if (fault.kind >= FaultKind::kNodesCutOff) {
      path_cuts_.Strike(fault);
    } else if (fault.kind <= FaultKind::kNodeReloads) {
      StrikeNodes(fault);
    } else if (fault.kind <= FaultKind::kLinksOneWay) {
      StrikeLinks(fault);
    } else if (fault.kind <= FaultKind::kStoreConnectionsSilent) {
      store_faults_.Strike(fault);
    } else {
      ChangeWhatIsAsked(fault);
    }
  }

  static bool StrikesBackends(FaultKind kind) {
    return kind == FaultKind::kAnswersEndless ||
           (kind >= FaultKind::kBackendCrashes && kind <= FaultKind::kAnswersDamaged);
  }

  /// Changes of routes, and what is drawn beside them.
  static bool StrikesConfiguration(FaultKind kind) {
    return kind == FaultKind::kDrawnChange || kind == FaultKind::kConfigurationDamaged ||
           (kind >= FaultKind::kRouteChanges && kind < FaultKind::kNodesCutOff);
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
        findings_.OnToldToEnd(node);
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
    findings_.OnToldToEnd(node);
    if (nodes_.IsRunning(node)) {
      findings_.CheckMemory(node);
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
        findings_.OnRestart(node);
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
      case FaultKind::kStoreCompacts:
        store_faults_.Strike(fault);
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

  /// Open connections say nothing more; new ones work.
  void SilenceConnections() {
    fleet_.DisturbFor(absl::ZeroDuration(), std::nullopt);
    for (size_t node = 0; node < nodes_.count(); ++node) {
      fleet_.store().SilenceWatchesAt(node);
      proxy_.SilenceOpenSessions(nodes_.nodes()[node].name);
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
    path_cuts_.Heal();
    for (const std::string& ending : ending_) {
      fleet_.callers().Stop(ending);
    }
    fleet_.store().Heal();
    registration_faults_.Heal();
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
  NodeFindings findings_;
  ConfigurationProber prober_;
  BackendFaultInjector backend_faults_;
  StoreFaultInjector store_faults_;
  RegistrationFaultInjector registration_faults_;
  PathCutInjector path_cuts_;
  /// Nodes are not started again before.
  std::vector<Time> away_until_;
  /// Classes of requests that end what runs them.
  std::vector<std::string> ending_;
  /// The store may hold a row that is no configuration.
  bool configuration_damaged_ = false;
  bool healed_ = false;
  Time started_ = EventLoop::Now();
  Time last_lag_check_ = EventLoop::Now();
  Duration longest_lag_;
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
