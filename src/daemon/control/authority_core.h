// What the control loop needs of the Authority, so that tests can put a scripted one in its place.
#pragma once

#include <memory>
#include <vector>

#include "core/authority/authority.h"
#include "wire/time.h"

namespace ladderstream::control {

/// Not thread-safe: the control loop's thread alone calls it.
class AuthorityCore {
 public:
  virtual ~AuthorityCore() = default;

  virtual std::vector<authority::Action> Handle(const authority::Event& event, Time now) = 0;
  virtual std::vector<authority::Action> Tick(Time now) = 0;
  virtual Time NextTick() const = 0;
  virtual authority::RoutingState routing_state(Time now) const = 0;
  virtual Time confirmed_until() const = 0;
  virtual authority::AuthorityStatus status(Time now) const = 0;
};

/// The real one.
class RealAuthorityCore : public AuthorityCore {
 public:
  RealAuthorityCore(const authority::AuthoritySettings& settings, Time now)
      : authority_(settings, now) {}

  std::vector<authority::Action> Handle(const authority::Event& event, Time now) override {
    return authority_.Handle(event, now);
  }
  std::vector<authority::Action> Tick(Time now) override { return authority_.Tick(now); }
  Time NextTick() const override { return authority_.NextTick(); }
  authority::RoutingState routing_state(Time now) const override {
    return authority_.routing_state(now);
  }
  Time confirmed_until() const override { return authority_.confirmed_until(); }
  authority::AuthorityStatus status(Time now) const override { return authority_.status(now); }

 private:
  authority::Authority authority_;
};

}  // namespace ladderstream::control
