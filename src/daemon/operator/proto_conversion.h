// Between the operators' schema and the project's own types.
#pragma once

#include "core/authority/authority.h"
#include "generated/operator.pb.h"
#include "wire/configuration.h"
#include "wire/ownership.h"

namespace ladderstream::daemon {

namespace proto = ladderstream::operators::v1;

/// Fills in the defaults of the schema. What is out of bounds is kept, for validation to find.
ServiceConfiguration FromProto(const proto::Service& service);
BackendConfiguration FromProto(const proto::Backend& backend);

proto::Service ToProto(const ServiceConfiguration& service);
proto::Backend ToProto(const BackendConfiguration& backend);
proto::Assignment ToProto(const Assignment& assignment);
proto::Node ToProto(const NodeDescriptor& node);
proto::GetStatusResponse ToProto(const authority::AuthorityStatus& status);

}  // namespace ladderstream::daemon
