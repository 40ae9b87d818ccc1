// ladderstream_node: the server process that runs on every machine of a deployment.
//
// Exit codes: 0 after a planned stop or a settings check without errors; 1 if the node cannot
// start; 2 if the settings are invalid; 3 if a planned stop timed out.
#include <gflags/gflags.h>

#include <csignal>
#include <cstdlib>
#include <exception>
#include <iostream>
#include <string>
#include <vector>

#include "gateway/settings/node_settings.h"
#include "gateway/settings/settings_file.h"
#include "node/node.h"
#include "platform/adapter.h"
#include "settings/setting_fault.h"

DEFINE_string(settings, "", "path of the settings file (TOML)");
DEFINE_string(settings_from, "", "name of the environment variable that holds that path");
DEFINE_bool(check_settings, false, "only check the settings");

namespace ladderstream::node {
namespace {

enum ExitCode : int { kStopped = 0, kCannotStart = 1, kInvalidSettings = 2, kStopTimedOut = 3 };

std::string SettingsPath() {
  if (!FLAGS_settings_from.empty()) {
    const char* path = std::getenv(FLAGS_settings_from.c_str());
    return path == nullptr ? "" : path;
  }
  return FLAGS_settings;
}

int Run() {
  gateway::SettingsFile file(SettingsPath());
  const gateway::NodeSettings settings = file.Load();
  if (FLAGS_check_settings) {
    std::cout << "settings: no faults\n";
    return kStopped;
  }
  Node node(settings, platform::MakeAdapter(), &file);
  return node.Run() ? kStopped : kStopTimedOut;
}

int Main(int argc, char** argv) {
  gflags::SetUsageMessage("ladderstream_node --settings=FILE | --settings_from=VARIABLE");
  gflags::SetVersionString("0.2.0");
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  std::signal(SIGPIPE, SIG_IGN);
  try {
    return Run();
  } catch (const settings::SettingsError& error) {
    std::cerr << error.what() << '\n';
    return kInvalidSettings;
  } catch (const std::exception& error) {
    std::cerr << "ladderstream_node: " << error.what() << '\n';
    return kCannotStart;
  }
}

}  // namespace
}  // namespace ladderstream::node

int main(int argc, char** argv) { return ladderstream::node::Main(argc, argv); }
