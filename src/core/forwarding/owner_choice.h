// Selection of the back end for a request of a sharded service: the owner of its key.
#pragma once

#include <memory>
#include <string>

#include "core/forwarding/backend_choice.h"
#include "core/ownership/ownership_map.h"

namespace ladderstream::forwarding {

/// The latest ownership map and the time until which it may be used.
class OwnershipView {
 public:
  /// Ignores maps older than the one in force. Null means that no map is known any more.
  void SetMap(std::shared_ptr<const ownership::OwnershipMap> map);
  void SetConfirmed(Time until) { confirmed_until_ = until; }

  bool Confirmed(Time now) const { return map_ != nullptr && now < confirmed_until_; }
  /// Returns null when the map does not contain the service, or there is no map.
  const ownership::ServiceOwnership* Find(const std::string& service) const;
  /// Returns null when there is no map.
  const ownership::OwnershipMap* map() const { return map_.get(); }

 private:
  std::shared_ptr<const ownership::OwnershipMap> map_;
  Time confirmed_until_ = absl::InfinitePast();
};

/// Chooses the owner according to the map in force. There is no alternative: a key has one owner.
class OwnerChoice : public BackendChoice {
 public:
  /// All arguments must outlive the choice.
  OwnerChoice(const OwnershipView& ownership, const ServiceTable& services,
              const allowance::ColdSenders& cold_senders, const allowance::SharedRates& rates,
              bool limit_owners)
      : ownership_(ownership),
        services_(services),
        cold_senders_(cold_senders),
        rates_(rates),
        limit_owners_(limit_owners) {}

  Choice Choose(const ChoiceContext& context) override;

 private:
  Choice ChooseOwner(const ownership::Assignment& assignment, const ChoiceContext& context) const;

  const OwnershipView& ownership_;
  const ServiceTable& services_;
  const allowance::ColdSenders& cold_senders_;
  const allowance::SharedRates& rates_;
  const bool limit_owners_;
};

}  // namespace ladderstream::forwarding
