// Services, routes and limits as an operator writes them down: in flags, or in a TOML or JSON file.
#pragma once

#include <string>

#include "generated/operators.pb.h"
#include "ladderctl/options.h"

namespace ladderstream::ladderctl {

namespace proto = ladderstream::operators::v2;

/// Lays the flags given over a message. Throws UsageError for one that cannot be read.
void ApplyOptions(const ServiceOptions& options, proto::Service* service);
void ApplyOptions(const RouteOptions& options, proto::Route* route);
void ApplyOptions(const LimitsOptions& options, proto::Limits* limits);

/// Reads a file of `services`, `routes` and `limits` in the schema's fields; TOML when its name
/// ends with ".toml", else JSON. Throws UsageError naming what is wrong.
proto::GetConfigurationResponse ReadDeclaration(const std::string& path);

/// Writes targets as flags give them: "scripts:90,cards:10".
std::string TargetsText(const proto::Route& route);

}  // namespace ladderstream::ladderctl
