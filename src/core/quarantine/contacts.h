// Which back ends this node reaches, as far as a verdict on a lost one needs it.
#pragma once

#include <string>
#include <vector>

#include "wire/time.h"

namespace ladderstream::quarantine {

/// A back end that refuses or does not answer may have ended, or this node may be cut off from it.
/// What tells them apart are control connections: others that a cut would concern as well.
class Contacts {
 public:
  virtual ~Contacts() = default;

  /// Whether any other back end is registered that a cut of the path to `backend` would concern.
  virtual bool HasControls(const std::string& backend) const = 0;
  /// Whether new connections came up after `since` that a cut of the path to `backend` would have
  /// prevented, be it a cut of the service, of the zone, or of all back ends.
  virtual bool ReachesAround(const std::string& backend, Time since) const = 0;
  /// Whether a new connection to any other back end came up after `since`.
  virtual bool ReachesAny(const std::string& backend, Time since) const = 0;
  /// Back ends to connect to for ReachesAround, the next ones in turn.
  virtual std::vector<std::string> TakeControls(const std::string& backend) = 0;
};

}  // namespace ladderstream::quarantine
