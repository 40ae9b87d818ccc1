// The names that the platform, its callers and its back ends use on the wire.
//
// Written down apart from the ones of the product's adapter, so that a name which is wrong in one
// of the two shows in the tests.
#pragma once

namespace ladderstream::fleet::wire {

inline constexpr char kRequestId[] = "X-Ladderstream-Request-Id";
inline constexpr char kDeadlineMs[] = "X-Ladderstream-Deadline-Ms";
inline constexpr char kServerStamp[] = "X-Ladderstream-Server-Stamp";
inline constexpr char kExpectedInstance[] = "X-Ladderstream-Expected-Instance";
inline constexpr char kInstanceId[] = "X-Ladderstream-Instance-Id";
inline constexpr char kNotExecuted[] = "X-Ladderstream-Not-Executed";
inline constexpr char kServerLoad[] = "X-Ladderstream-Server-Load";
inline constexpr char kShardKey[] = "X-Ladderstream-Shard-Key";
inline constexpr char kHandover[] = "X-Ladderstream-Handover";
inline constexpr char kRetryAfter[] = "Retry-After";
inline constexpr char kServerLeaving[] = "Server-Leaving";
inline constexpr char kServerLimit[] = "Server-Limit";
inline constexpr char kKeepAlive[] = "Keep-Alive";
inline constexpr char kConnection[] = "Connection";

inline constexpr char kReadyPath[] = "/ladderstream/ready";
inline constexpr char kGrantPath[] = "/ladderstream/grant";
inline constexpr char kReleasePath[] = "/ladderstream/release";
inline constexpr char kTransactionPath[] = "/ladderstream/rows-tx";
inline constexpr char kReadPath[] = "/ladderstream/rows-get";
inline constexpr char kFeedPath[] = "/ladderstream/rows-feed";

inline constexpr char kConfigurationTable[] = "op";
inline constexpr char kConfigurationKey[] = "config";
inline constexpr char kBackendTable[] = "servers";

}  // namespace ladderstream::fleet::wire
