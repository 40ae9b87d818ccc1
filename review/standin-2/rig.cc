#include "rig.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_format.h>
#include <absl/strings/str_join.h>

#include <cstdlib>
#include <iostream>

#include "standin/processes/ports.h"

namespace review {

using ladderstream::FormatEndpoint;

void Record::Say(const std::string& what) { SayAt(fleet::EventLoop::Now(), what); }

void Record::SayAt(Time at, const std::string& what) {
  file_ << absl::StrFormat("%8.3f s  ", absl::ToDoubleSeconds(at - started_)) << what << std::endl;
}

fleet::Deployment ForNodes(fleet::Deployment deployment, size_t nodes) {
  deployment.fleet.store.entrances =
      std::vector<Endpoint>(nodes, Endpoint{"127.0.0.1", 0});
  return deployment;
}

Rig::Rig(const Options& options, const fleet::Deployment& deployment, size_t nodes)
    : options_(options),
      deployment_(ForNodes(deployment, nodes)),
      record_(options.record),
      platform_(deployment_.fleet) {
  for (size_t node = 0; node < nodes; ++node) {
    names_.push_back(absl::StrCat("node-", node));
    fronts_.push_back(ladderstream::standin::FreeEndpoint());
    readiness_.push_back(ladderstream::standin::FreeEndpoint());
    peers_.push_back(ladderstream::standin::FreeEndpoint());
  }
}

std::string Rig::SettingsOf(size_t node) const {
  const auto quoted = [](const std::string& text) { return absl::StrCat("\"", text, "\""); };
  const fleet::FleetSettings& settings = platform_.settings();
  std::vector<std::string> seeds;
  for (const Endpoint& peer : peers_) {
    seeds.push_back(quoted(FormatEndpoint(peer)));
  }
  return absl::StrCat(
      "[node]\nname = ", quoted(names_[node]),
      "\nzone = ", quoted(settings.zones[node % settings.zones.size()]),
      "\n\n[listen]\ncallers = ", quoted(FormatEndpoint(fronts_[node])),
      "\nreadiness = ", quoted(FormatEndpoint(readiness_[node])),
      "\npeers = ", quoted(FormatEndpoint(peers_[node])), "\n\n[membership]\nseeds = [",
      absl::StrJoin(seeds, ", "), "]\n\n[limits]\nmemory_mb = 260\ndescriptors = 4100\n",
      "\n[store]\naddress = ",
      quoted(FormatEndpoint(const_cast<fleet::Fleet&>(platform_).store().endpoint(node))),
      "\nwrites_per_second = 400\nreads_per_second = 2000\n",
      "\n[bounds]\ndrain_time = \"2s\"\nconfiguration_time = \"2s\"\nstop_grace = \"6s\"\n",
      "maximum_hold = \"10s\"\nretry_budget_ratio = 0.2\nretry_budget_slack = 62\n",
      "retry_budget_window = \"10s\"\n");
}

void Rig::Restart(size_t node) {
  setenv("LADDERSTREAM_BOOT", files_[node].c_str(), 1);
  group_.Restart(names_[node]);
}

bool Rig::Start() {
  std::vector<fleet::NodeAddress> addresses;
  for (size_t node = 0; node < names_.size(); ++node) {
    files_.push_back(group_.WriteFile(names_[node] + ".toml", SettingsOf(node)).string());
    // The process takes over this variable, as the deploy file's command wants it.
    setenv("LADDERSTREAM_BOOT", files_[node].c_str(), 1);
    group_.Start({names_[node], options_.node_program, {"--settings_from=LADDERSTREAM_BOOT"}});
    addresses.push_back({fronts_[node], readiness_[node]});
  }
  platform_.nodes().SetNodes(addresses);
  const bool ready = platform_.loop().RunUntil(
      [this] {
        return platform_.nodes().ready_count() == names_.size() && platform_.AllKeysHeld();
      },
      absl::Seconds(25));
  record_.Say(ready ? "all nodes are ready, all keys are held" : "the nodes did not come up");
  if (ready) {
    for (const fleet::RequestClass& request_class : deployment_.load) {
      platform_.callers().Start(request_class);
    }
  }
  return ready;
}

void Rig::WriteHolds(const std::string& service, ladderstream::ownership::Key key) {
  for (const fleet::HoldEvent& event : platform_.history().holds) {
    if (event.service != service || !event.range.Contains(key)) {
      continue;
    }
    const char* what = event.kind == fleet::HoldEvent::Kind::kGrant     ? "takes a grant of "
                       : event.kind == fleet::HoldEvent::Kind::kRelease ? "releases "
                                                                        : "ends, with ";
    record_.SayAt(event.at,
                  absl::StrCat(event.backend, " ", what, event.range.first, "-", event.range.last,
                               ", fence ", event.fence, ", until ",
                               absl::ToInt64Milliseconds(event.until - event.at), " ms later"));
  }
}

Result Rig::Conclude(const fleet::Verdict& verdict,
                     const std::vector<const fleet::Violations*>& broken) {
  record_.Say(absl::StrCat("calls ", verdict.calls, ", served ", verdict.served, ", attempts ",
                           verdict.attempts, ", refused ", verdict.refused, ", failed ",
                           verdict.failed));
  uint64_t count = 0;
  for (const fleet::Violations* one : broken) {
    count += one->count;
    for (const std::string& example : one->examples) {
      record_.Say("broken: " + example);
      std::cout << "broken: " << example << "\n";
    }
  }
  record_.Say(count > 0 ? absl::StrCat("the rule was broken ", count, " times") : "the rule held");
  std::cout << options_.name << ": " << (count > 0 ? "broken" : "held") << ", " << count
            << " times; calls " << verdict.calls << ", served " << verdict.served << "\n";
  return count > 0 ? kBroken : kHeld;
}

}  // namespace review
