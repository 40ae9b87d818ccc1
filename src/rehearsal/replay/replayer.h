// Replays a trace on simulated time, with the very code that decides on a node.
//
// Nodes are simulation::NodeProcess around authority::Authority, routes are looked up in
// routing::RouteTable, back ends are simulation::BackendProcess. Callers follow the rules of real
// ones. Nothing depends on the machine: the same trace gives the same evidence.
#pragma once

#include "rehearsal/judge.h"
#include "rehearsal/trace.h"

namespace ladderstream::rehearsal {

/// Throws simulation::InvariantViolation when the simulation itself finds a broken invariant.
Evidence Replay(const Trace& trace);

}  // namespace ladderstream::rehearsal
