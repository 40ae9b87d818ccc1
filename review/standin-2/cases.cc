// The cases of the second review. Usage: review_cases_2 CASE --trouble=0|1 --record=FILE
//
// Exit codes: 0 when the rule held, 1 when it was broken, 2 when the case could not run.
#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>

#include <csignal>
#include <exception>
#include <iostream>
#include <nlohmann/json.hpp>

#include "rig.h"

namespace review {
namespace {

constexpr char kScripts[] = "scripts";
constexpr ladderstream::ownership::Key kHotKey = 20100;

/// Every back end has started under a name and tells when it was born.
void TellBirths(fleet::Fleet* platform) {
  for (const fleet::ServiceSpec& service : platform->settings().services) {
    for (fleet::Backend* backend : platform->backends(service.name)) {
      backend->Crash();
      platform->Restart(*backend);
    }
  }
}

/// Another writer's entry shows the address of a back end that serves, and a service that no
/// configuration names.
Result ForeignEntry(const Options& options) {
  fleet::Deployment deployment = fleet::SmallDeployment();
  deployment.fleet.services.front().backends_per_zone = 2;
  Rig rig(options, deployment, 3);
  fleet::Fleet& platform = rig.platform();
  TellBirths(&platform);
  if (!rig.Start()) {
    return kCannotRun;
  }
  platform.loop().RunFor(absl::Seconds(6));
  const fleet::Backend* owner = platform.OwnerOf(kScripts, kHotKey);
  if (owner == nullptr) {
    return kCannotRun;
  }
  rig.record().Say(absl::StrCat(owner->id(), " at ", FormatEndpoint(owner->address()),
                                " holds key ", kHotKey, " and serves"));
  if (options.trouble) {
    const nlohmann::json entry = {{"service", "probes"},
                                  {"address", FormatEndpoint(owner->address())},
                                  {"zone", owner->zone()},
                                  {"version", "v1"},
                                  {"slots", 1},
                                  {"state", "ready"},
                                  {"cold_left_s", 0},
                                  {"seq", 1}};
    ladderstream::store::Transaction transaction;
    transaction.puts.push_back({{"servers", "", "probe-1"}, entry.dump()});
    fleet::TransactionResult result;
    if (!platform.store().Transact(transaction, &result) || !result.applied) {
      return kCannotRun;
    }
    rig.record().Say(absl::StrCat("another writer puts servers/probe-1: ", entry.dump()));
  }
  platform.loop().RunFor(absl::Seconds(12));
  rig.record().Say(absl::StrCat(owner->id(), owner->ended() ? " has ended" : " is still up"));
  platform.FinishCalls();
  rig.WriteHolds(kScripts, kHotKey);
  const fleet::Verdict verdict = platform.Judge();
  return rig.Conclude(verdict, {&verdict.two_owners, &verdict.fences});
}

/// Stops a node as planned and starts it again; false when it does not come back.
bool StopAndStart(Rig* rig, size_t node) {
  fleet::EventLoop& loop = rig->platform().loop();
  rig->processes().Signal(rig->name(node), SIGTERM);
  rig->record().Say(absl::StrCat(rig->name(node), " gets SIGTERM"));
  if (!loop.RunUntil([&] { return !rig->processes().IsRunning(rig->name(node)); },
                     absl::Seconds(7))) {
    return false;
  }
  rig->Restart(node);
  rig->record().Say(absl::StrCat(rig->name(node), " starts again"));
  return loop.RunUntil([&] { return rig->platform().nodes().IsReady(node); }, absl::Seconds(10));
}

/// The row of a back end as its heartbeat writes it.
std::string RowOf(const fleet::Backend& backend) {
  return nlohmann::json({{"service", backend.service()},
                         {"address", FormatEndpoint(backend.address())},
                         {"zone", backend.zone()},
                         {"version", "v1"},
                         {"slots", 2},
                         {"state", "ready"},
                         {"cold_left_s", 0},
                         {"seq", 20}})
      .dump();
}

/// Writes a row of the table of back ends, or removes it when `value` is empty.
void PutRow(fleet::Fleet* platform, const std::string& id, const std::string& value) {
  ladderstream::store::Transaction transaction;
  if (value.empty()) {
    transaction.removals.push_back({"servers", "", id});
  } else {
    transaction.puts.push_back({{"servers", "", id}, value});
  }
  fleet::TransactionResult ignored;
  platform->store().Transact(transaction, &ignored);
}

/// A back end is cut off from the store, crashes, and starts again at its address, while the nodes
/// are stopped and started in turn. After the cut, a heartbeat from before it reaches the store.
Result RebornBehindACut(const Options& options) {
  fleet::Deployment deployment = fleet::SmallDeployment();
  deployment.fleet.services.front().backends_per_zone = 2;
  // Enough that a back end that comes gets keys.
  deployment.load.front().per_second = 600;
  Rig rig(options, deployment, 3);
  fleet::Fleet& platform = rig.platform();
  if (!rig.Start()) {
    return kCannotRun;
  }
  platform.loop().RunFor(absl::Seconds(3));
  fleet::Backend* before = platform.OwnerOf(kScripts, kHotKey);
  if (before == nullptr) {
    return kCannotRun;
  }
  fleet::Backend* after = nullptr;
  bool held_keys = false;
  if (options.trouble) {
    before->CutFromStore(true);
    before->Crash();
    rig.record().Say(absl::StrCat(before->id(), " at ", FormatEndpoint(before->address()),
                                  " is cut off from the store, and crashes"));
    platform.loop().After(absl::Seconds(10), [&] {
      after = &platform.Replace(*before, kScripts);
      rig.record().Say(absl::StrCat(after->id(), " has started there, and the cut is over"));
    });
    platform.loop().After(absl::Seconds(13.5), [&] {
      held_keys = after->HoldsAnyKey();
      PutRow(&platform, before->id(), RowOf(*before));
      rig.record().Say(absl::StrCat("a heartbeat of ", before->id(), " reaches the store: ",
                                    RowOf(*before)));
    });
    // Its entry goes after three heartbeats of silence.
    platform.loop().After(absl::Seconds(15), [&] { PutRow(&platform, before->id(), ""); });
  }
  platform.loop().RunFor(absl::Seconds(6));
  for (size_t node = 0; node < 3; ++node) {
    if (!StopAndStart(&rig, node)) {
      return kCannotRun;
    }
  }
  platform.loop().RunFor(absl::Seconds(8));
  platform.FinishCalls();
  if (options.trouble && !held_keys) {
    // Nothing can be given away twice.
    return kCannotRun;
  }
  for (const fleet::Backend* backend : platform.backends(kScripts)) {
    rig.record().Say(absl::StrCat(backend->id(), " is up at ", FormatEndpoint(backend->address())));
  }
  rig.WriteHolds(kScripts, kHotKey);
  const fleet::Verdict verdict = platform.Judge();
  return rig.Conclude(verdict, {&verdict.two_owners, &verdict.fences});
}

Result Run(const Options& options) {
  if (options.name == "reborn_behind_a_cut") {
    return RebornBehindACut(options);
  }
  if (options.name == "foreign_entry") {
    return ForeignEntry(options);
  }
  std::cerr << "no case " << options.name << "\n";
  return kCannotRun;
}

}  // namespace
}  // namespace review

int main(int argc, char** argv) {
  std::signal(SIGPIPE, SIG_IGN);
  review::Options options;
  for (int i = 1; i < argc; ++i) {
    const std::string argument = argv[i];
    if (absl::StartsWith(argument, "--trouble=")) {
      options.trouble = argument.substr(10) != "0";
    } else if (absl::StartsWith(argument, "--record=")) {
      options.record = argument.substr(9);
    } else if (absl::StartsWith(argument, "--node=")) {
      options.node_program = argument.substr(7);
    } else {
      options.name = argument;
    }
  }
  try {
    return review::Run(options);
  } catch (const std::exception& error) {
    std::cerr << "the case could not run: " << error.what() << "\n";
    return review::kCannotRun;
  }
}
