// The nodes that this node has heard of, and what they last reported. Not thread-safe.
#pragma once

#include <map>
#include <optional>
#include <random>
#include <set>
#include <utility>
#include <vector>

#include "wire/peer_message.h"
#include "wire/time.h"

namespace ladderstream::authority {

struct NodeRecord {
  NodeDescriptor descriptor;
  Time last_heard = absl::InfinitePast();
  /// The newest report, if the node sent one here. Keeps the loads of the last one that had any:
  /// nodes do not send them every time.
  std::optional<NodeReport> report;
  Time last_report = absl::InfinitePast();
  Time last_load = absl::InfinitePast();
};

class NodeTable {
 public:
  explicit NodeTable(NodeDescriptor self);

  /// Endpoints worth asking; ids may be zero when not known.
  void AddHints(const std::vector<NodeDescriptor>& peers);
  /// What the platform's machine list (nodes with ids) and the settings file (without) name now.
  void NoteListing(const std::vector<NodeDescriptor>& peers, Time now);
  /// A message came from `node`.
  void NoteHeard(NodeId node, Time now);
  void NoteReport(const NodeReport& report, Time now);
  void NoteDescriptor(const NodeDescriptor& node);

  /// What this node itself would report.
  void SetSelfReport(NodeReport report) { self_report_ = std::move(report); }
  const NodeReport& self_report() const { return self_report_; }

  const NodeRecord* Find(NodeId node) const;
  bool HeardSince(NodeId node, Time since) const;
  /// Whether another process answers at the node's address: the node has surely ended.
  bool IsReplaced(const NodeDescriptor& node) const;
  /// Whether the platform's machine list, read at `since` or later, does not name the node.
  bool IsUnlisted(const NodeDescriptor& node, Time since) const;
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
  std::set<NodeId> listed_;
  Time listed_at_ = absl::InfinitePast();
};

}  // namespace ladderstream::authority
