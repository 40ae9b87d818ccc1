// Services and back ends as an operator writes them down: in flags, or in a TOML or JSON file.
#pragma once

#include <string>

#include "generated/operator.pb.h"
#include "operator_cli/options.h"

namespace ladderstream::operator_cli {

namespace proto = ladderstream::operators::v1;

/// Lays the flags given over `service`. Throws UsageError for one that cannot be read.
void ApplyOptions(const ServiceOptions& options, proto::Service* service);
void ApplyOptions(const BackendOptions& options, proto::Backend* backend);

/// Everything that a file declares.
struct Declaration {
  std::vector<proto::Service> services;
  std::vector<proto::Backend> backends;
};

/// Reads a file of `services` and `backends` in the schema's fields; TOML when its name ends with
/// ".toml", else JSON. Throws UsageError naming what is wrong.
Declaration ReadDeclaration(const std::string& path);

/// Writes enumerated values the short way: "by-key", "critical".
std::string RoutingText(proto::RoutingKind routing);
std::string PriorityText(proto::Priority priority);

}  // namespace ladderstream::operator_cli
