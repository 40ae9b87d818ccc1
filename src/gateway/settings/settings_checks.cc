#include "gateway/settings/settings_checks.h"

#include <absl/strings/str_cat.h>

#include <string>
#include <utility>
#include <vector>

namespace ladderstream::gateway {
namespace {

using settings::SettingsReader;

/// Below this, logs, listeners, peers and the store leave nothing for callers.
constexpr uint32_t kMinDescriptors = 256;

std::string Show(Duration duration) { return absl::FormatDuration(duration); }

void CheckAddresses(const ListenAddresses& listen, SettingsReader* reader) {
  std::vector<std::pair<std::string, Endpoint>> addresses = {{"listen.callers", listen.callers},
                                                             {"listen.readiness", listen.readiness},
                                                             {"listen.peers", listen.peers}};
  if (listen.metrics.has_value()) {
    addresses.emplace_back("listen.metrics", *listen.metrics);
  }
  for (size_t left = 0; left < addresses.size(); ++left) {
    for (size_t right = left + 1; right < addresses.size(); ++right) {
      const Endpoint& address = addresses[left].second;
      if (address.port != 0 && address == addresses[right].second) {
        reader->AddInconsistency(absl::StrCat(addresses[left].first, ", ", addresses[right].first,
                                              " = \"", FormatEndpoint(address), "\""),
                                 "a different address for each");
      }
    }
  }
}

/// A coordinator is not challenged for one renewal without an answer, and by a successor before its
/// lease ends.
void CheckLease(const ownership::CoordinatorSettings& ownership, SettingsReader* reader) {
  const std::string patience =
      absl::StrCat("ownership.unrenewed_patience = ", Show(ownership.unrenewed_timeout));
  const Duration needed = ownership.lease_renewal + 2 * ownership.store_timeout;
  if (ownership.unrenewed_timeout < needed) {
    reader->AddInconsistency(
        patience, absl::StrCat("at least lease_renewal + 2 x store_timeout = ", Show(needed)));
  }
  if (ownership.unrenewed_timeout > ownership.lease) {
    reader->AddInconsistency(patience, absl::StrCat("at most lease = ", Show(ownership.lease)));
  }
  if (ownership.heartbeat_timeout >= ownership.unrenewed_timeout) {
    reader->AddInconsistency(
        absl::StrCat("ownership.heartbeat_timeout = ", Show(ownership.heartbeat_timeout)),
        absl::StrCat("less than unrenewed_patience = ", Show(ownership.unrenewed_timeout)));
  }
}

/// A hold survives the loss of the coordinator: the last renewal before it may be as old as one
/// renewal interval; then it is challenged, at the latest as one that is heard of but does not
/// renew its lease, on the slower clock; a successor takes it with one call of the store, and
/// renews.
void CheckHold(const NodeSettings& settings, SettingsReader* reader) {
  const ownership::CoordinatorSettings& ownership = settings.ownership;
  const Duration needed = ownership.hold_renewal +
                          ownership.unrenewed_timeout * (1 + ownership.clock_drift) +
                          ownership.store_timeout;
  if (ownership.hold <= needed) {
    reader->AddInconsistency(
        absl::StrCat("ownership.hold = ", Show(ownership.hold)),
        absl::StrCat(
            "more than hold_renewal + unrenewed_patience with clock_drift + store_timeout = ",
            Show(needed)));
  }
  const Duration two_tries = 2 * ownership.hold_renewal + ownership.order_timeout;
  if (ownership.hold <= two_tries) {
    reader->AddInconsistency(
        absl::StrCat("ownership.hold = ", Show(ownership.hold)),
        absl::StrCat("more than 2 x hold_renewal + order_timeout = ", Show(two_tries)));
  }
  if (ownership.hold > settings.bounds.maximum_hold) {
    reader->AddInconsistency(
        absl::StrCat("ownership.hold = ", Show(ownership.hold)),
        absl::StrCat("at most bounds.maximum_hold = ", Show(settings.bounds.maximum_hold)));
  }
}

/// One lost report makes no node go missing, nor does one lost heartbeat end a coordinator, nor
/// does the map go unconfirmed between two reports.
void CheckMembership(const NodeSettings& settings, SettingsReader* reader) {
  const membership::MembershipSettings& membership = settings.membership;
  const Duration longest = membership.longest_report_interval;
  if (membership.shortest_report_interval > longest) {
    reader->AddInconsistency(absl::StrCat("membership.shortest_report_interval = ",
                                          Show(membership.shortest_report_interval)),
                             absl::StrCat("at most longest_report_interval = ", Show(longest)));
  }
  if (membership.member_lifetime < 2 * longest) {
    reader->AddInconsistency(
        absl::StrCat("membership.member_lifetime = ", Show(membership.member_lifetime)),
        absl::StrCat("at least 2 x longest_report_interval = ", Show(2 * longest)));
  }
  if (membership.confirmation - membership.confirmation_margin <= longest) {
    reader->AddInconsistency(
        absl::StrCat("membership.confirmation = ", Show(membership.confirmation)),
        absl::StrCat("more than longest_report_interval + ", Show(membership.confirmation_margin),
                     " = ", Show(longest + membership.confirmation_margin)));
  }
  // A silent owner's keys move once maps confirmed before are out of use.
  if (membership.confirmation > settings.ownership.map_confirmation) {
    reader->AddInconsistency(
        absl::StrCat("membership.confirmation = ", Show(membership.confirmation)),
        absl::StrCat("at most ", Show(settings.ownership.map_confirmation),
                     ", after which the coordinator takes older maps as out of use"));
  }
  const Duration two_reports = 2 * membership.shortest_report_interval;
  if (settings.ownership.heartbeat_timeout <= two_reports) {
    reader->AddInconsistency(
        absl::StrCat("ownership.heartbeat_timeout = ", Show(settings.ownership.heartbeat_timeout)),
        absl::StrCat("more than 2 x membership.shortest_report_interval = ", Show(two_reports)));
  }
}

void CheckMachine(const NodeSettings& settings, SettingsReader* reader) {
  if (settings.limits.descriptors < kMinDescriptors) {
    reader->AddInconsistency(
        absl::StrCat("limits.descriptors = ", settings.limits.descriptors),
        absl::StrCat("at least ", kMinDescriptors, ", for listeners, peers, store and callers"));
  }
  if (settings.store.transaction_time >= settings.ownership.store_timeout) {
    reader->AddInconsistency(
        absl::StrCat("store.transaction_time = ", Show(settings.store.transaction_time)),
        absl::StrCat("less than ownership.store_timeout = ",
                     Show(settings.ownership.store_timeout)));
  }
}

}  // namespace

void CheckNodeSettings(const NodeSettings& settings, SettingsReader* reader) {
  CheckAddresses(settings.listen, reader);
  CheckLease(settings.ownership, reader);
  CheckHold(settings, reader);
  CheckMembership(settings, reader);
  CheckMachine(settings, reader);
}

}  // namespace ladderstream::gateway
