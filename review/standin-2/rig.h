// Nodes as processes, started as the deploy file says, against the project's stand-in platform.
#pragma once

#include <fstream>
#include <string>
#include <vector>

#include "standin/fleet/deployments.h"
#include "standin/fleet/fleet.h"
#include "standin/processes/process_group.h"

namespace review {

namespace fleet = ladderstream::fleet;
using ladderstream::Duration;
using ladderstream::Endpoint;
using ladderstream::Time;

struct Options {
  std::string name;
  bool trouble = true;
  std::string node_program = "target/bin/ladderstream_node";
  std::string record = "record.txt";
};

/// Exit codes of a case.
enum Result : int { kHeld = 0, kBroken = 1, kCannotRun = 2 };

class Record {
 public:
  explicit Record(const std::string& path) : file_(path, std::ios::trunc) {}
  void Say(const std::string& what);
  /// Like Say, of something that happened at `at`.
  void SayAt(Time at, const std::string& what);

 private:
  std::ofstream file_;
  Time started_ = fleet::EventLoop::Now();
};

class Rig {
 public:
  /// The fleet runs; `born`: every back end tells when it was born.
  Rig(const Options& options, const fleet::Deployment& deployment, size_t nodes);

  fleet::Fleet& platform() { return platform_; }
  Record& record() { return record_; }
  ladderstream::standin::ProcessGroup& processes() { return group_; }
  const std::string& name(size_t node) const { return names_[node]; }
  const Endpoint& front(size_t node) const { return fronts_[node]; }

  /// Starts a node that has ended again, as it was started first.
  void Restart(size_t node);
  /// Starts the nodes and the load; false when they do not come up.
  bool Start();
  /// All orders that back ends took, and what was judged.
  void WriteHolds(const std::string& service, ladderstream::ownership::Key key);
  Result Conclude(const fleet::Verdict& verdict,
                  const std::vector<const fleet::Violations*>& broken);

 private:
  std::string SettingsOf(size_t node) const;

  Options options_;
  fleet::Deployment deployment_;
  Record record_;
  fleet::Fleet platform_;
  ladderstream::standin::ProcessGroup group_;
  std::vector<std::string> names_;
  std::vector<Endpoint> fronts_;
  std::vector<Endpoint> readiness_;
  std::vector<Endpoint> peers_;
  /// Of the settings.
  std::vector<std::string> files_;
};

/// So many entrances of the store as nodes.
fleet::Deployment ForNodes(fleet::Deployment deployment, size_t nodes);

}  // namespace review
