// Turns what this node's dispatcher counted into the message for the coordinator, and a message
// back into what the coordinator takes.
#pragma once

#include <vector>

#include "core/catalog/catalog.h"
#include "core/forwarding/dispatcher.h"
#include "core/membership/messages.h"
#include "core/ownership/coordinator.h"
#include "wire/time.h"

namespace ladderstream::node {

/// The message form of those `loads` that the coordinator weighs: of the sharded services.
std::vector<membership::LoadReport> ToReports(const std::vector<load::ServiceLoad>& loads,
                                              const catalog::Configuration* configuration);

/// Tells `coordinator` what a node counted. Entries of unequal length are cut to the shortest.
void ReportToCoordinator(const std::vector<membership::LoadReport>& reports, Time now,
                         ownership::Coordinator* coordinator);

}  // namespace ladderstream::node
