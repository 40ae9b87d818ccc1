#include "core/authority/node_table.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace ladderstream::authority {

NodeTable::NodeTable(NodeDescriptor self) : self_(std::move(self)) {}

void NodeTable::AddHints(const std::vector<NodeDescriptor>& peers) {
  for (const NodeDescriptor& peer : peers) {
    if (peer.peer != self_.peer && peer.id != self_.id) {
      hints_.insert_or_assign(peer.peer, peer);
    }
  }
}

void NodeTable::NoteHeard(NodeId node, Time now) {
  const auto found = nodes_.find(node);
  if (found != nodes_.end()) {
    found->second.last_heard = now;
  }
}

void NodeTable::NoteReport(const NodeReport& report, Time now) {
  NoteDescriptor(report.node);
  NodeRecord& record = nodes_[report.node.id];
  record.report = report;
  record.last_report = now;
  record.last_heard = now;
}

void NodeTable::NoteDescriptor(const NodeDescriptor& node) {
  if (node.id != NodeId() && node.id != self_.id) {
    nodes_[node.id].descriptor = node;
  }
}

const NodeRecord* NodeTable::Find(NodeId node) const {
  const auto found = nodes_.find(node);
  return found == nodes_.end() ? nullptr : &found->second;
}

bool NodeTable::HeardSince(NodeId node, Time since) const {
  const NodeRecord* const record = Find(node);
  return record != nullptr && record->last_heard >= since;
}

std::vector<const NodeRecord*> NodeTable::ReportedSince(Time since) const {
  std::vector<const NodeRecord*> reported;
  for (const auto& [id, record] : nodes_) {
    if (record.last_report >= since && record.report.has_value()) {
      reported.push_back(&record);
    }
  }
  return reported;
}

std::vector<NodeReport> NodeTable::ReportsSince(Time since) const {
  std::vector<NodeReport> reports = {self_report_};
  for (const NodeRecord* record : ReportedSince(since)) {
    reports.push_back(*record->report);
  }
  return reports;
}

std::vector<NodeDescriptor> NodeTable::Sample(size_t count, std::mt19937_64& random) const {
  std::map<Endpoint, NodeDescriptor> known = hints_;
  for (const auto& [id, record] : nodes_) {
    known.insert_or_assign(record.descriptor.peer, record.descriptor);
  }
  std::vector<NodeDescriptor> all;
  all.reserve(known.size());
  for (const auto& [endpoint, node] : known) {
    all.push_back(node);
  }
  std::vector<NodeDescriptor> chosen;
  std::sample(all.begin(), all.end(), std::back_inserter(chosen), count, random);
  return chosen;
}

void NodeTable::ForgetBefore(Time since) {
  std::erase_if(nodes_, [since](const auto& item) { return item.second.last_heard < since; });
}

}  // namespace ladderstream::authority
