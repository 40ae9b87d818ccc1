#include "core/membership/member_table.h"

#include <algorithm>
#include <utility>

namespace ladderstream::membership {
namespace {

/// Versions of lists within one epoch; more than one a microsecond for an hour.
constexpr unsigned kVersionBitsPerEpoch = 32;

/// Reports that may be missing before a member leaves, when they come rarely.
constexpr double kReportsPerLifetime = 3.5;

}  // namespace

MemberTable::MemberTable(PeerIdentity self, Duration lifetime, Duration publish_interval_per_member)
    : self_(std::move(self)),
      lifetime_(lifetime),
      publish_interval_per_member_(publish_interval_per_member) {
  Publish();
}

void MemberTable::OnReport(const PeerIdentity& member, uint64_t connection, Time now) {
  if (member.incarnation == self_.incarnation) {
    return;
  }
  const auto known = others_.find(member.incarnation);
  if (known != others_.end() && known->second.identity == member) {
    known->second.connection = connection;
    known->second.last_report = now;
    return;
  }
  std::erase_if(others_, [&member](const auto& entry) {
    return entry.second.identity.address == member.address;
  });
  others_.insert_or_assign(member.incarnation, Member{member, connection, now});
  changed_ = true;
}

bool MemberTable::Adopt(const std::vector<PeerIdentity>& members, uint64_t version, Time now) {
  if (version <= version_ || members.empty()) {
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
  version_ = version;
  changed_ = false;
  Publish();
  return true;
}

void MemberTable::TakeOver(uint64_t epoch, Time now) {
  for (auto& [incarnation, member] : others_) {
    member.last_report = now;
  }
  version_ = std::max(version_ + 1, epoch << kVersionBitsPerEpoch);
  changed_ = false;
  last_publish_ = now;
  Publish();
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
  ++version_;
  Publish();
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

void MemberTable::Publish() {
  published_.clear();
  published_.reserve(others_.size() + 1);
  published_.push_back(self_);
  for (const auto& [incarnation, member] : others_) {
    published_.push_back(member.identity);
  }
}

}  // namespace ladderstream::membership
