// Nodes are killed, frozen, stopped and started again.
#include <absl/strings/str_replace.h>

#include <boost/test/unit_test.hpp>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <string>

#include "rig.h"

namespace ladderstream::fleet {
namespace {

std::string ReadAll(const std::filesystem::path& path) {
  std::ostringstream content;
  content << std::ifstream(path).rdbuf();
  return content.str();
}

void WriteAll(const std::filesystem::path& path, const std::string& content) {
  std::ofstream(path) << content;
}

std::string Replaced(const std::string& text, const std::string& from, const std::string& to) {
  return absl::StrReplaceAll(text, {{from, to}});
}

BOOST_AUTO_TEST_SUITE(nodes)

// Another node takes over before any hold ends.
BOOST_AUTO_TEST_CASE(coordinator_is_killed) {
  Rig rig;
  const size_t coordinator = rig.Coordinator();
  rig.fleet().Disturb();
  rig.nodes().Kill(coordinator);
  bool all_held = true;
  rig.Await("another coordinator", [&] {
    all_held = all_held && rig.fleet().AllKeysHeld();
    return rig.Coordinator() != coordinator;
  });
  rig.Serve(400);
  BOOST_TEST((all_held && rig.fleet().AllKeysHeld()));
  rig.nodes().Restart(coordinator);
  rig.Await("the node", [&] { return rig.fleet().nodes().ready_count() == rig.nodes().count(); });
  rig.Serve(100);
  rig.Finish(0.85);
}

BOOST_AUTO_TEST_CASE(coordinator_and_owner_are_killed_at_once) {
  Rig rig;
  const size_t coordinator = rig.Coordinator();
  Backend& owner = rig.OwnerOfHotKey();
  rig.fleet().Disturb();
  rig.nodes().Kill(coordinator);
  owner.Crash();
  rig.AwaitKeysLeave(owner);
  rig.nodes().Restart(coordinator);
  rig.Serve(300);
  rig.Finish(0.6);
}

// The successor does not know when its predecessor last renewed the hold of the silent owner.
BOOST_AUTO_TEST_CASE(coordinator_is_killed_while_an_owner_is_silent) {
  Rig rig;
  const size_t coordinator = rig.Coordinator();
  Backend& owner = rig.OwnerOfHotKey();
  rig.fleet().Disturb();
  owner.Freeze();
  rig.nodes().Kill(coordinator);
  rig.Await("a new owner", [&] {
    const Backend* now = rig.fleet().OwnerOf(kScripts, kHotKey);
    return now != nullptr && now != &owner;
  });
  rig.nodes().Restart(coordinator);
  owner.Thaw();
  rig.Serve(200);
  rig.Finish(0.5);
}

// The frozen one wakes past its lease and believes, for a moment, that it still coordinates.
BOOST_AUTO_TEST_CASE(coordinator_is_frozen_and_returns) {
  Rig rig;
  const size_t coordinator = rig.Coordinator();
  rig.fleet().Disturb();
  rig.nodes().Signal(coordinator, SIGSTOP);
  rig.AwaitCoordinatorOtherThan(coordinator);
  // The successor changes the ownership that the frozen one remembers.
  Backend& owner = rig.OwnerOfHotKey();
  owner.Crash();
  rig.AwaitKeysLeave(owner);
  rig.nodes().Signal(coordinator, SIGCONT);
  rig.Await("the node", [&] { return rig.fleet().nodes().ready_count() == rig.nodes().count(); });
  rig.Serve(300);
  rig.Finish(0.6);
}

BOOST_AUTO_TEST_CASE(stopped_node_cuts_nothing) {
  Rig rig;
  const size_t coordinator = rig.Coordinator();
  rig.nodes().Signal(coordinator, SIGTERM);
  rig.Await("its end", [&] { return !rig.nodes().IsRunning(coordinator); });
  const auto exit =
      rig.nodes().group().WaitForExit(rig.nodes().nodes()[coordinator].name, absl::ZeroDuration());
  BOOST_TEST((exit == standin::ExitStatus{.code = 0, .signal = 0}));
  rig.nodes().Restart(coordinator);
  rig.Await("the node", [&] { return rig.fleet().nodes().ready_count() == rig.nodes().count(); });
  rig.Serve(200);
  const Verdict verdict = rig.Finish(0.97);
  BOOST_TEST(verdict.cut_at_work == 0U);
}

// With and without a signal; a file at fault changes nothing.
BOOST_AUTO_TEST_CASE(changed_settings_are_taken_up) {
  Rig rig;
  const std::filesystem::path file = rig.nodes().group().directory() / "node-0.toml";
  const std::string before = ReadAll(file);
  WriteAll(file, Replaced(before, "name = \"node-0\"", "name = \"node-0\"\nlog_level = \"debug\""));
  rig.AwaitLog(0, "detail=\"in force: node.log_level\"");
  WriteAll(file, Replaced(before, "[store]", "[store]\nnothing = 1"));
  rig.nodes().Signal(0, SIGHUP);
  rig.AwaitLog(0, "event=settings_rejected");
  WriteAll(file, Replaced(before, "[bounds]", "[bounds]\nstop_grace = \"3s\""));
  rig.AwaitLog(0, "detail=\"in force: bounds.stop_grace, node.log_level\"");
  rig.Serve(100);
  rig.Finish(0.97);
}

BOOST_AUTO_TEST_CASE(all_nodes_are_killed_and_come_back) {
  Rig rig;
  rig.fleet().Disturb();
  for (size_t node = 0; node < rig.nodes().count(); ++node) {
    rig.nodes().Kill(node);
  }
  for (size_t node = 0; node < rig.nodes().count(); ++node) {
    rig.nodes().Restart(node);
  }
  rig.Await("the nodes", [&] {
    return rig.fleet().nodes().ready_count() == rig.nodes().count() && rig.fleet().AllKeysHeld();
  });
  const uint64_t before = rig.fleet().callers().served();
  rig.Serve(300);
  BOOST_TEST(rig.fleet().callers().served() >= before + 300);
  rig.Finish(0.3);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace ladderstream::fleet
