// What moves cost, in late answers, the unit in which planning weighs everything.
#pragma once

namespace ladderstream::partition {

/// Moving all keys once costs this, times the churn weight.
constexpr double kKeySpacePrice = 200;
/// One more move: its commits and orders, and the renewals of one more range.
constexpr double kMovePrice = 2;
/// Seconds for which moved keys have no owner, times the share of the requests in this time that
/// come late for it.
constexpr double kUnavailablePrice = 0.05;
/// How long a hot slice and a calm load go on as they are, in seconds.
constexpr double kHotHorizon = 3;
constexpr double kCalmHorizon = 10;
/// There are at most this many ranges for each back end.
constexpr double kMaxFragmentsPerBackend = 6;

}  // namespace ladderstream::partition
