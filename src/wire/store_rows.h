// Keys of the rows that the project keeps in the table service. Values are msgpack bytes.
#pragma once

namespace ladderstream {

/// Holds the newest Configuration.
inline constexpr char kConfigurationRow[] = "configuration";
/// Followed by the operation id; holds a ChangeRecord.
inline constexpr char kOperationRowPrefix[] = "operation/";
/// Followed by the group id; holds the group's generation, founders and newest checkpoint.
inline constexpr char kGroupRowPrefix[] = "group/";

}  // namespace ladderstream
