// A fixture of one node's membership with its table followers, and access to its actions by kind.
#pragma once

#include <absl/strings/str_cat.h>

#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "core/membership/membership.h"

namespace ladderstream::membership {

inline const Time kStart = absl::UnixEpoch() + absl::Hours(1);
inline const Endpoint kSeed{"10.0.0.99", 7540};

inline PeerIdentity MakeIdentity(uint64_t number) {
  return {number, absl::StrCat("node-", number), "zone-a",
          Endpoint{absl::StrCat("10.0.0.", number), 7540}};
}

inline ownership::LeaseView MakeLease(uint64_t epoch, uint64_t number) {
  return {epoch, number, MakeIdentity(number).address, epoch * 100};
}

inline ownership::OwnershipMap MakeMap(uint64_t epoch, uint64_t sequence) {
  ownership::OwnershipMap map;
  map.version = {epoch, sequence};
  map.services["scripts"].assignments = {{{0, ownership::kLastKey}, "backend-1", epoch}};
  return map;
}

inline Heartbeat MakeMemberList(std::vector<PeerIdentity> members, uint64_t version) {
  Heartbeat heartbeat;
  heartbeat.members = std::move(members);
  heartbeat.members_version = version;
  return heartbeat;
}

inline store::StoreReply StoreAnswer(const std::string& table, const std::vector<SharedRow>& rows,
                                     store::RowVersion version) {
  store::StoreReply reply;
  reply.status = store::StoreStatus::kDone;
  reply.version = version;
  for (const SharedRow& row : rows) {
    reply.rows.push_back({{table, "", row.key}, row.value, row.version, false});
  }
  return reply;
}

/// The node with number `number`, which knows one seed.
struct Node {
  explicit Node(uint64_t number, const RelaySettings& relay = {},
                Duration members_lease_reserve = absl::ZeroDuration())
      : self(MakeIdentity(number)),
        configuration({.table = "configuration", .partition = "", .seed = number}),
        backends({.table = "backends", .partition = "", .seed = number}),
        membership({.seeds = {kSeed},
                    .members_lease_reserve = members_lease_reserve,
                    .relay = relay,
                    .seed = number},
                   self, &configuration, &backends) {}

  /// Takes all actions and returns those of one kind.
  template <typename Kind>
  std::vector<Kind> Take() {
    std::vector<Kind> taken;
    for (MembershipAction& action : membership.TakeActions()) {
      if (auto* wanted = std::get_if<Kind>(&action)) {
        taken.push_back(std::move(*wanted));
      }
    }
    return taken;
  }

  /// Takes all actions and returns the messages of one kind with their destinations.
  template <typename Kind>
  std::vector<std::pair<std::vector<Destination>, Kind>> TakeSent() {
    std::vector<std::pair<std::vector<Destination>, Kind>> sent;
    for (SendAction& action : Take<SendAction>()) {
      if (auto* wanted = std::get_if<Kind>(&action.message)) {
        sent.emplace_back(std::move(action.to), std::move(*wanted));
      }
    }
    return sent;
  }

  /// Answers the reads of both followers.
  void LoadTables(const std::vector<SharedRow>& configuration_rows,
                  const std::vector<SharedRow>& backend_rows, store::RowVersion version, Time now) {
    const auto read = configuration.Poll(now);
    configuration.OnReply(read->call, StoreAnswer("configuration", configuration_rows, version),
                          now);
    const auto other_read = backends.Poll(now);
    backends.OnReply(other_read->call, StoreAnswer("backends", backend_rows, version), now);
  }

  PeerIdentity self;
  store::TableFollower configuration;
  store::TableFollower backends;
  Membership membership;
};

}  // namespace ladderstream::membership
