#include "bench/cold_start_model.h"

#include <algorithm>
#include <map>
#include <utility>

namespace ladderstream::bench {
namespace {

using allowance::ColdSenders;

constexpr Duration kStep = absl::Milliseconds(5);
/// Before the back end turns cold, lists have been the same for this long.
constexpr Duration kSettled = absl::Seconds(5);
constexpr Duration kEventDelay = absl::Milliseconds(500);
/// Nodes report so often, at most 200 of them a second together, within bounds.
constexpr Duration kShortestReport = absl::Milliseconds(300);
constexpr Duration kLongestReport = absl::Milliseconds(1500);
constexpr double kReportsPerSecond = 200;
/// A silent member leaves the list after this, or after 3.5 reports.
constexpr Duration kMemberLifetime = absl::Seconds(3);
constexpr double kReportsPerLifetime = 3.5;
/// The list is published at most so often for each member.
constexpr Duration kPublishPerMember = absl::Milliseconds(10);
/// While nodes come and go, one does in this time, for a fleet of 100.
constexpr Duration kChurnOfHundred = absl::Milliseconds(200);
const char kBackend[] = "cold-back-end";

struct Node {
  uint64_t id = 0;
  bool runs = true;
  bool cut_off = false;
  Time next_report;
  Time last_report;
  Time next_demand;
  Time next_send = absl::InfinitePast();
  size_t known_members = 0;
  std::unique_ptr<allowance::ChosenNodes> chosen;
  std::unique_ptr<allowance::ColdSenders> senders;
};

class Fleet {
 public:
  explicit Fleet(const ColdStart& start) : start_(start), random_(start.seed) {
    for (uint32_t i = 0; i < start.nodes; ++i) {
      AddNode();
    }
  }

  ColdStartOutcome Play();

 private:
  void AddNode();
  void Strike();
  void Churn();
  void Publish();
  void Report(Node& node);
  void Demand(Node& node);
  bool MaySend(const Node& node) const;
  Duration Interval(const Node& node) const;
  Duration ReportInterval() const;
  double Random() { return std::uniform_real_distribution<double>(0, 1)(random_); }

  const ColdStart start_;
  std::mt19937_64 random_;
  std::vector<Node> nodes_;
  Time now_ = absl::FromUnixSeconds(1000);
  Time cold_from_;
  /// At the coordinator, the first node: the list in force and its members' last reports.
  std::vector<uint64_t> published_;
  uint64_t version_ = 0;
  std::map<uint64_t, uint64_t> held_versions_;
  Time next_publish_ = absl::InfinitePast();
  Time next_churn_ = absl::InfiniteFuture();
  std::vector<Time> sends_;
};

Duration Fleet::ReportInterval() const {
  return std::clamp(absl::Seconds(static_cast<double>(nodes_.size()) / kReportsPerSecond),
                    kShortestReport, kLongestReport);
}

void Fleet::AddNode() {
  Node node;
  node.id = random_() | 1U;
  node.next_report = now_ + ReportInterval() * Random();
  node.last_report = absl::InfinitePast();
  node.next_demand = now_ + start_.demand * Random();
  node.chosen = std::make_unique<allowance::ChosenNodes>(node.id);
  node.senders =
      std::make_unique<allowance::ColdSenders>(*node.chosen, start_.overshoot, start_.slack);
  nodes_.push_back(std::move(node));
}

void Fleet::Strike() {
  const size_t half = nodes_.size() / 2;
  switch (start_.event) {
    case ColdEvent::kHalfJoin:
      for (size_t i = 0, before = nodes_.size(); i < before; ++i) {
        AddNode();
      }
      break;
    case ColdEvent::kHalfVanish:
      for (size_t i = half + 1; i < nodes_.size(); ++i) {
        nodes_[i].runs = false;
      }
      break;
    case ColdEvent::kHalfCutOff:
      for (size_t i = half + 1; i < nodes_.size(); ++i) {
        nodes_[i].cut_off = true;
      }
      break;
    case ColdEvent::kChurn:
      next_churn_ = now_;
      break;
    case ColdEvent::kCalm:
    case ColdEvent::kAllStart:
      break;
  }
}

void Fleet::Churn() {
  if (now_ < next_churn_) {
    return;
  }
  next_churn_ = now_ + kChurnOfHundred * 100.0 / static_cast<double>(nodes_.size());
  if (Random() < 0.5) {
    AddNode();
  } else if (nodes_.size() > 1) {
    nodes_[1 + random_() % (nodes_.size() - 1)].runs = false;
  }
}

void Fleet::Publish() {
  if (now_ < next_publish_) {
    return;
  }
  const Duration lifetime = std::max(kMemberLifetime, ReportInterval() * kReportsPerLifetime);
  std::vector<uint64_t> members;
  for (const Node& node : nodes_) {
    if (&node == &nodes_.front() || now_ - node.last_report < lifetime) {
      members.push_back(node.id);
    }
  }
  if (members != published_) {
    published_ = std::move(members);
    ++version_;
    next_publish_ = now_ + kPublishPerMember * static_cast<double>(published_.size());
  }
  Report(nodes_.front());
}

/// The node reports, and the coordinator's answer confirms the list.
void Fleet::Report(Node& node) {
  node.next_report = now_ + ReportInterval() * (1 - 0.1 * Random());
  if (!node.runs || node.cut_off) {
    return;
  }
  node.last_report = now_;
  if (held_versions_[node.id] != version_) {
    held_versions_[node.id] = version_;
    node.known_members = published_.size();
    node.chosen->SetMembers(published_, now_);
  }
  node.chosen->SetConfirmed(now_ + allowance::ChosenNodes::kListLifetime);
}

bool Fleet::MaySend(const Node& node) const {
  switch (start_.policy) {
    case ColdPolicy::kSenders:
      return node.senders->IsSender(kBackend, now_);
    case ColdPolicy::kEqualShare:
      return node.known_members > 0;
    case ColdPolicy::kEachAlone:
      return true;
  }
  return false;
}

Duration Fleet::Interval(const Node& node) const {
  if (start_.policy == ColdPolicy::kSenders) {
    return node.senders->Interval(start_.rate);
  }
  const bool alone = start_.policy == ColdPolicy::kEachAlone;
  return absl::Seconds((alone ? 1.0 : static_cast<double>(node.known_members)) / start_.rate);
}

void Fleet::Demand(Node& node) {
  node.next_demand = now_ + start_.demand * (0.5 + Random());
  if (node.runs && now_ >= cold_from_ && now_ >= node.next_send && MaySend(node)) {
    sends_.push_back(now_);
    node.next_send = now_ + Interval(node);
  }
}

ColdStartOutcome Fleet::Play() {
  const bool starts = start_.event == ColdEvent::kAllStart;
  cold_from_ = starts ? now_ : now_ + kSettled;
  const Time strike = cold_from_ + kEventDelay;
  bool struck = false;
  const Time end = cold_from_ + start_.cold;
  for (; now_ < end; now_ += kStep) {
    if (!struck && now_ >= strike) {
      struck = true;
      Strike();
    }
    Churn();
    Publish();
    for (Node& node : nodes_) {
      if (now_ >= node.next_report) {
        Report(node);
      }
      if (now_ >= node.next_demand) {
        Demand(node);
      }
    }
  }
  ColdStartOutcome outcome;
  outcome.requests = static_cast<uint32_t>(sends_.size());
  for (auto first = sends_.begin(); first != sends_.end(); ++first) {
    const auto beyond = std::lower_bound(first, sends_.end(), *first + absl::Seconds(1));
    outcome.most_in_a_second =
        std::max(outcome.most_in_a_second, static_cast<uint32_t>(beyond - first));
  }
  outcome.used_share =
      static_cast<double>(sends_.size()) / (start_.rate * absl::ToDoubleSeconds(start_.cold));
  return outcome;
}

}  // namespace

ColdStartOutcome PlayColdStart(const ColdStart& start) { return Fleet(start).Play(); }

}  // namespace ladderstream::bench
