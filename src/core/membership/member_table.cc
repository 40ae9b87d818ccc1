#include "core/membership/member_table.h"

#include <algorithm>
#include <utility>

namespace ladderstream::membership {
namespace {

/// List versions within one epoch: enough for more than one per microsecond for an hour.
constexpr unsigned kVersionBitsPerEpoch = 32;

/// Report intervals without a report before a member is removed, where reports are infrequent.
constexpr double kReportsPerLifetime = 3.5;

/// Number of newest changes kept; a node whose list they reach back to is sent changes only.
constexpr size_t kMaxKeptChanges = 64;

}  // namespace

MemberTable::MemberTable(PeerIdentity self, Duration lifetime, Duration publish_interval_per_member)
    : self_(std::move(self)),
      lifetime_(lifetime),
      publish_interval_per_member_(publish_interval_per_member) {
  Publish();
}

std::optional<PeerIdentity> MemberTable::OnReport(const PeerIdentity& member, uint64_t connection,
                                                  Time now) {
  if (member.incarnation == self_.incarnation) {
    return self_;
  }
  const auto known = others_.find(member.incarnation);
  if (known != others_.end() && (!member.IsComplete() || known->second.identity == member)) {
    known->second.connection = connection;
    known->second.last_report = now;
    return known->second.identity;
  }
  if (!member.IsComplete()) {
    return std::nullopt;
  }
  std::erase_if(others_, [&member](const auto& entry) {
    return entry.second.identity.address == member.address;
  });
  others_.insert_or_assign(member.incarnation, Member{member, connection, now});
  changed_ = true;
  return member;
}

bool MemberTable::Adopt(const Heartbeat& heartbeat, Time now) {
  if (heartbeat.members_version <= version_) {
    return false;
  }
  const bool taken = heartbeat.member_changes.empty()
                         ? Replace(heartbeat.members, now)
                         : Apply(heartbeat.member_changes.front(), now);
  if (!taken) {
    return false;
  }
  version_ = heartbeat.members_version;
  changed_ = false;
  history_.clear();
  Publish();
  return true;
}

bool MemberTable::Apply(const MemberChanges& changes, Time now) {
  if (changes.base != version_) {
    return false;
  }
  // Based on the published list: others_ may also hold nodes that reported only to this node.
  std::vector<PeerIdentity> members = published_;
  std::erase_if(members, [&changes](const PeerIdentity& member) {
    return std::find(changes.left.begin(), changes.left.end(), member.incarnation) !=
           changes.left.end();
  });
  members.insert(members.end(), changes.joined.begin(), changes.joined.end());
  return Replace(members, now);
}

bool MemberTable::Replace(const std::vector<PeerIdentity>& members, Time now) {
  if (members.empty()) {
    return false;
  }
  std::map<uint64_t, Member> adopted;
  for (const PeerIdentity& member : members) {
    if (member.incarnation == self_.incarnation) {
      continue;
    }
    const auto known = others_.find(member.incarnation);
    const uint64_t connection = known == others_.end() ? 0 : known->second.connection;
    adopted.insert_or_assign(member.incarnation, Member{member, connection, now});
  }
  others_ = std::move(adopted);
  return true;
}

void MemberTable::AddTo(uint64_t version, Heartbeat* heartbeat) const {
  if (version >= version_) {
    return;
  }
  std::optional<MemberChanges> changes = ChangesSince(version);
  if (changes.has_value()) {
    heartbeat->member_changes.push_back(std::move(*changes));
  } else {
    heartbeat->members = published_;
  }
}

std::optional<MemberChanges> MemberTable::ChangesSince(uint64_t version) const {
  const auto first =
      std::find_if(history_.begin(), history_.end(),
                   [version](const Change& change) { return change.changes.base == version; });
  // Every node starts with version 0, so lists of that version differ between nodes.
  if (version == 0 || first == history_.end()) {
    return std::nullopt;
  }
  MemberChanges all{version, {}, {}};
  for (auto change = first; change != history_.end(); ++change) {
    for (const uint64_t incarnation : change->changes.left) {
      std::erase_if(all.joined, [incarnation](const PeerIdentity& member) {
        return member.incarnation == incarnation;
      });
      all.left.push_back(incarnation);
    }
    all.joined.insert(all.joined.end(), change->changes.joined.begin(),
                      change->changes.joined.end());
  }
  return all;
}

void MemberTable::TakeOver(uint64_t epoch, Time now) {
  for (auto& [incarnation, member] : others_) {
    member.last_report = now;
  }
  history_.clear();
  changed_ = false;
  last_publish_ = now;
  PublishChange(std::max(version_ + 1, epoch << kVersionBitsPerEpoch));
}

bool MemberTable::Refresh(Time now, Duration report_interval) {
  const Duration lifetime = std::max(lifetime_, report_interval * kReportsPerLifetime);
  const size_t left = std::erase_if(others_, [now, lifetime](const auto& entry) {
    return now - entry.second.last_report > lifetime;
  });
  changed_ = changed_ || left > 0;
  const Duration interval = publish_interval_per_member_ * (others_.size() + 1);
  if (!changed_ || now < last_publish_ + interval) {
    return false;
  }
  changed_ = false;
  last_publish_ = now;
  PublishChange(version_ + 1);
  return true;
}

std::vector<Destination> MemberTable::Others() const {
  std::vector<Destination> destinations;
  destinations.reserve(others_.size());
  for (const auto& [incarnation, member] : others_) {
    destinations.push_back({member.identity.address, member.connection, ScopeOf(member.identity)});
  }
  return destinations;
}

std::vector<uint64_t> MemberTable::OtherIncarnations() const {
  std::vector<uint64_t> incarnations;
  incarnations.reserve(others_.size());
  for (const auto& [incarnation, member] : others_) {
    incarnations.push_back(incarnation);
  }
  return incarnations;
}

ZoneScope MemberTable::ScopeOf(const PeerIdentity& member) const {
  return member.zone == self_.zone ? ZoneScope::kOwn : ZoneScope::kOther;
}

Destination MemberTable::At(const Endpoint& address) const {
  const auto found =
      std::find_if(published_.begin(), published_.end(),
                   [&address](const PeerIdentity& member) { return member.address == address; });
  const ZoneScope scope = found == published_.end() ? ZoneScope::kUnknown : ScopeOf(*found);
  return {address, 0, scope};
}

void MemberTable::PublishChange(uint64_t version) {
  const std::vector<PeerIdentity> older = std::exchange(published_, {});
  Publish();
  MemberChanges changes{version_, {}, {}};
  for (const PeerIdentity& member : older) {
    if (member.incarnation != self_.incarnation && !others_.contains(member.incarnation)) {
      changes.left.push_back(member.incarnation);
    }
  }
  for (const PeerIdentity& member : published_) {
    if (std::find(older.begin(), older.end(), member) == older.end()) {
      changes.joined.push_back(member);
    }
  }
  version_ = version;
  history_.push_back({version, std::move(changes)});
  if (history_.size() > kMaxKeptChanges) {
    history_.pop_front();
  }
}

void MemberTable::Publish() {
  published_.clear();
  published_.reserve(others_.size() + 1);
  published_.push_back(self_);
  for (const auto& [incarnation, member] : others_) {
    published_.push_back(member.identity);
  }
}

}  // namespace ladderstream::membership
