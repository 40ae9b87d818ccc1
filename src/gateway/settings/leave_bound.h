// How long after the store took that a back end leaves a node may still send requests there.
//
// The parts stand in a row, each of them set for reasons of its own: whoever changes one sees here
// whether all of them together still keep `bounds.drain_time`. What a node allows a leaving owner
// once it has heard is no part: it ends `drain_time` after the change, not after hearing of it
// (DispatcherSettings::drain_time).
#pragma once

#include "core/membership/table_relay.h"
#include "wire/time.h"

namespace ladderstream::gateway {

struct LeaveBound {
  /// The coordinator's word, which may have missed the change, counts for so long.
  Duration news;
  /// Then the node asks the store itself: the call, and a loop that is behind.
  Duration own_watch;
  /// A connection that was begun just before may come up and carry its request.
  Duration connect;
  /// The request's way to the back end.
  Duration way;

  Duration Total() const { return news + own_watch + connect + way; }
};

/// The bound with these settings of the relay and of connections.
LeaveBound LeaveBoundOf(const membership::RelaySettings& relay, Duration connect_timeout);

}  // namespace ladderstream::gateway
