// Converts the load counted by this node's dispatcher to reports for the coordinator, and received
// reports to the coordinator's input.
#pragma once

#include <vector>

#include "core/catalog/catalog.h"
#include "core/forwarding/dispatcher.h"
#include "core/membership/messages.h"
#include "core/ownership/coordinator.h"
#include "wire/time.h"

namespace ladderstream::node {

/// Returns reports of the `loads` of sharded services, the only ones that the coordinator uses.
/// Returns none if `configuration` is null.
std::vector<membership::LoadReport> ToReports(const std::vector<load::ServiceLoad>& loads,
                                              const catalog::Configuration* configuration);

/// Passes a node's reports to `coordinator`. Parallel lists of unequal length are truncated to the
/// shortest.
void ReportToCoordinator(const std::vector<membership::LoadReport>& reports, Time now,
                         ownership::Coordinator* coordinator);

}  // namespace ladderstream::node
