// Ids of incarnations: a back end that starts again under the name that it had gets another id.
//
// What is known by ids (keys, load, faults, connections) is so known by incarnation: one that
// starts again knows nothing of before, and nothing of before may be believed of it.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace ladderstream::catalog {

/// The id of the incarnation of `instance` that started at this Unix millisecond; 0 when it does
/// not tell. Different arguments give different ids, and an instance that tells no start and has no
/// such ending keeps its name as its id.
std::string IncarnationId(std::string_view instance, uint64_t started_at_ms);

/// What the back end calls itself on the wire. Points into `incarnation_id`.
std::string_view InstanceOf(std::string_view incarnation_id);

/// The Unix millisecond of its start; 0 when the back end does not tell.
uint64_t StartOf(std::string_view incarnation_id);

}  // namespace ladderstream::catalog
