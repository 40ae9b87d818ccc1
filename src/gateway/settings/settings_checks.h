// Checks that concern several settings of a node.
#pragma once

#include "gateway/settings/node_settings.h"
#include "settings/settings_reader.h"

namespace ladderstream::gateway {

/// Adds a fault to `reader` for each rule that does not hold.
void CheckNodeSettings(const NodeSettings& settings, settings::SettingsReader* reader);

}  // namespace ladderstream::gateway
