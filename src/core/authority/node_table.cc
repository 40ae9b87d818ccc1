#include "core/authority/node_table.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace ladderstream::authority {
namespace {

/// Loads reported longer ago than this say nothing any more.
constexpr Duration kLoadAge = absl::Seconds(3);

}  // namespace

NodeTable::NodeTable(NodeDescriptor self) : self_(std::move(self)) {}

void NodeTable::AddHints(const std::vector<NodeDescriptor>& peers) {
  for (const NodeDescriptor& peer : peers) {
    if (peer.peer != self_.peer && peer.id != self_.id) {
      hints_.insert_or_assign(peer.peer, peer);
    }
  }
}

void NodeTable::NoteListing(const std::vector<NodeDescriptor>& peers, Time now) {
  AddHints(peers);
  std::set<NodeId> listed;
  for (const NodeDescriptor& peer : peers) {
    if (peer.id != NodeId()) {
      listed.insert(peer.id);
    }
  }
  // An empty list says that the list is broken, not that no machine lives.
  if (!listed.empty()) {
    listed_ = std::move(listed);
    listed_at_ = now;
  }
}

bool NodeTable::IsReplaced(const NodeDescriptor& node) const {
  if (node.peer == self_.peer) {
    return node.id != self_.id;
  }
  const auto takes_its_place = [&node](const auto& item) {
    const NodeRecord& record = item.second;
    return record.report.has_value() && record.descriptor.peer == node.peer &&
           record.descriptor.id != node.id;
  };
  const NodeRecord* const record = Find(node.id);
  const Time last = record == nullptr ? absl::InfinitePast() : record->last_heard;
  const auto later = std::find_if(nodes_.begin(), nodes_.end(), takes_its_place);
  return later != nodes_.end() && later->second.last_heard > last;
}

bool NodeTable::IsUnlisted(const NodeDescriptor& node, Time since) const {
  return listed_at_ >= since && !listed_.contains(node.id);
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
  const bool has_load = !report.shards.empty() || !report.backends.empty();
  NodeReport kept = report;
  if (has_load) {
    record.last_load = now;
  } else if (record.report && now - record.last_load <= kLoadAge) {
    kept.shards = record.report->shards;
    kept.backends = record.report->backends;
  }
  record.report = std::move(kept);
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
