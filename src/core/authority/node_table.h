// The nodes that this node has heard of, and what they last reported. Not thread-safe.
#pragma once

#include <map>
#include <optional>
#include <random>
#include <utility>
#include <vector>

#include "wire/peer_message.h"
#include "wire/time.h"

namespace ladderstream::authority {

struct NodeRecord {
  NodeDescriptor descriptor;
  Time last_heard = absl::InfinitePast();
  /// The newest report, if the node sent one here.
  std::optional<NodeReport> report;
  Time last_report = absl::InfinitePast();
};

class NodeTable {
 public:
  explicit NodeTable(NodeDescriptor self);

  /// Endpoints worth asking; ids may be zero when not known.
  void AddHints(const std::vector<NodeDescriptor>& peers);
  /// A message came from `node`.
  void NoteHeard(NodeId node, Time now);
  void NoteReport(const NodeReport& report, Time now);
  void NoteDescriptor(const NodeDescriptor& node);

  /// What this node itself would report.
  void SetSelfReport(NodeReport report) { self_report_ = std::move(report); }
  const NodeReport& self_report() const { return self_report_; }

  const NodeRecord* Find(NodeId node) const;
  bool HeardSince(NodeId node, Time since) const;
  /// Nodes, this one excluded, whose report came at `since` or later.
  std::vector<const NodeRecord*> ReportedSince(Time since) const;
  /// The reports of those, and this node's own.
  std::vector<NodeReport> ReportsSince(Time since) const;
  /// Up to `count` different peers to ask for the group, chosen at random.
  std::vector<NodeDescriptor> Sample(size_t count, std::mt19937_64& random) const;
  /// Drops nodes not heard since `since`.
  void ForgetBefore(Time since);

 private:
  NodeDescriptor self_;
  NodeReport self_report_;
  std::map<NodeId, NodeRecord> nodes_;
  std::map<Endpoint, NodeDescriptor> hints_;
};

}  // namespace ladderstream::authority
