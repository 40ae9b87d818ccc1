// Between the operators' schema and the project's own types.
#pragma once

#include "core/catalog/catalog.h"
#include "core/ownership/ownership_map.h"
#include "generated/operators.pb.h"

namespace ladderstream::operator_service {

namespace proto = ladderstream::operators::v2;

/// Fills in the defaults of the schema. What is out of bounds is kept, for validation to find.
catalog::Service FromProto(const proto::Service& service);
catalog::Route FromProto(const proto::Route& route);
catalog::Limits FromProto(const proto::Limits& limits);

proto::Service ToProto(const catalog::Service& service);
proto::Route ToProto(const catalog::Route& route);
proto::Limits ToProto(const catalog::Limits& limits);
proto::Backend ToProto(const catalog::Backend& backend);
proto::Assignment ToProto(const std::string& service, const ownership::Assignment& assignment);
proto::GetConfigurationResponse ToProto(const catalog::Configuration& configuration);

}  // namespace ladderstream::operator_service
