#include "standin/fleet/demo.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_format.h>

#include <functional>
#include <utility>
#include <vector>

#include "standin/fleet/node_processes.h"
#include "standin/fleet/report.h"
#include "wire/result_code.h"

namespace ladderstream::fleet {
namespace {

constexpr Duration kStartLimit = absl::Seconds(20);
constexpr Duration kReportInterval = absl::Seconds(1);
constexpr Duration kRestartDelay = absl::Seconds(1);
constexpr ownership::Key kNextHotKey = 50000;
constexpr double kHotShare = 0.35;
// When the steps are taken, as shares of the run.
constexpr double kHotKeyAt = 0.15;
constexpr double kCrashAt = 0.3;
constexpr double kReplaceAt = 0.45;
constexpr double kDrainAt = 0.55;
constexpr double kKillAt = 0.7;
constexpr double kConfigurationAt = 0.85;

class Demo {
 public:
  Demo(const DemoSettings& settings, std::ostream* out)
      : settings_(settings),
        out_(out),
        fleet_(settings.deployment.fleet),
        nodes_(&fleet_, settings.node_program, settings.nodes) {}

  DemoResult Run() {
    nodes_.StartAll();
    if (!nodes_.AwaitReady(kStartLimit)) {
      throw Error(ResultCode::kInternal, "the nodes did not come up");
    }
    Say(absl::StrCat(nodes_.count(), " nodes are ready, all keys are held"));
    for (const RequestClass& request_class : settings_.deployment.load) {
      fleet_.callers().Start(request_class);
    }
    fleet_.loop().Every(kReportInterval, [this] { Report(); });
    Plan();
    fleet_.loop().RunFor(settings_.length);
    fleet_.FinishCalls();
    return {fleet_.Judge(), Measure(fleet_.history())};
  }

 private:
  void Plan() {
    At(kHotKeyAt, [this] {
      Say("other keys turn hot");
      fleet_.callers().SetKeyLoad({.hot_share = kHotShare, .hot_first = kNextHotKey});
    });
    At(kCrashAt, [this] { CrashOwner(); });
    At(kReplaceAt, [this] {
      Say(absl::StrCat(victim_->id(), " comes back as a new incarnation"));
      fleet_.Replace(*victim_, victim_->service());
    });
    At(kDrainAt, [this] { Drain(); });
    At(kKillAt, [this] { KillCoordinator(); });
    At(kConfigurationAt, [this] { ChangeConfiguration(); });
  }

  void At(double share, std::function<void()> step) {
    fleet_.loop().After(settings_.length * share, std::move(step));
  }

  void CrashOwner() {
    const std::string& service = settings_.deployment.fleet.services.front().name;
    victim_ = fleet_.OwnerOf(service, kNextHotKey);
    if (victim_ == nullptr) {
      victim_ = fleet_.backends(service).front();
    }
    Say(absl::StrCat(victim_->id(), " crashes, the owner of hot keys"));
    victim_->Crash();
  }

  void Drain() {
    Backend* leaving = fleet_.backends(settings_.deployment.fleet.services.front().name).front();
    Say(absl::StrCat(leaving->id(), " drains"));
    leaving->Drain(fleet_.settings().bounds.drain + absl::Seconds(1));
  }

  void KillCoordinator() {
    const size_t node = fleet_.store().last_conditional_writer().value_or(0);
    Say(absl::StrCat(nodes_.nodes()[node].name, " is killed, the coordinator"));
    fleet_.Disturb();
    nodes_.Kill(node);
    fleet_.loop().After(kRestartDelay, [this, node] {
      Say(absl::StrCat(nodes_.nodes()[node].name, " is started again"));
      nodes_.Restart(node);
      fleet_.Calm();
    });
  }

  void ChangeConfiguration() {
    Say("the configuration changes");
    catalog::Configuration next = fleet_.operators().newest();
    next.routes.front().timeout *= 0.9;
    fleet_.operators().Write(next);
  }

  void Say(const std::string& what) {
    *out_ << absl::StrFormat("%6.1f s  ", Elapsed()) << what << std::endl;
  }

  void Report() {
    const uint64_t calls = fleet_.history().calls.size();
    const uint64_t served = fleet_.callers().served();
    Say(absl::StrFormat("%5d calls/s %5d served/s %4d open, %d of %d nodes ready",
                        calls - std::exchange(last_calls_, calls),
                        served - std::exchange(last_served_, served), fleet_.callers().pending(),
                        fleet_.nodes().ready_count(), fleet_.nodes().size()));
  }

  double Elapsed() const { return absl::ToDoubleSeconds(EventLoop::Now() - started_); }

  const DemoSettings& settings_;
  std::ostream* out_;
  Fleet fleet_;
  NodeProcesses nodes_;
  Backend* victim_ = nullptr;
  Time started_ = EventLoop::Now();
  uint64_t last_calls_ = 0;
  uint64_t last_served_ = 0;
};

}  // namespace

DemoResult RunDemo(const DemoSettings& settings, std::ostream* out) {
  return Demo(settings, out).Run();
}

}  // namespace ladderstream::fleet
