#include "bench/forwarding_deployment.h"

#include "settings/settings_reader.h"

namespace ladderstream::bench {
namespace {

using settings::DurationRange;
using settings::IntegerRange;
using settings::NumberRange;
using settings::Presence;

constexpr IntegerRange kCount{1, 100'000};
constexpr IntegerRange kFew{0, 1000};
constexpr DurationRange kTime{absl::Milliseconds(1), absl::Minutes(1)};
constexpr NumberRange kShare{0, 1};
constexpr NumberRange kFactor{0.01, 100};
constexpr NumberRange kLoad{0.01, 10};

}  // namespace

ForwardingDeployment LoadForwardingDeployment(const std::string& path) {
  constexpr Presence kOptional = Presence::kOptional;
  settings::SettingsReader reader(path, {});
  ForwardingDeployment read;
  reader.ReadText("name", Presence::kRequired, &read.name);
  reader.ReadInteger("nodes", kOptional, kCount, &read.nodes);
  reader.ReadInteger("backends.count", kOptional, kCount, &read.backends);
  reader.ReadBoolean("backends.sharded", kOptional, &read.sharded);
  reader.ReadInteger("backends.slots", kOptional, kCount, &read.slots);
  reader.ReadInteger("backends.queue", kOptional, kFew, &read.queue);
  reader.ReadBoolean("backends.tells_load", kOptional, &read.tells_load);
  reader.ReadNumber("backends.slowest", kOptional, kFactor, &read.slowest);
  reader.ReadNumber("backends.fastest", kOptional, kFactor, &read.fastest);
  reader.ReadNumber("backends.disturbed_share", kOptional, kShare, &read.disturbed_share);
  reader.ReadNumber("backends.disturbed_factor", kOptional, kFactor, &read.disturbed_factor);
  reader.ReadDuration("backends.disturbed_interval", kOptional, kTime, &read.disturbed_interval);
  reader.ReadNumber("backends.partition_error", kOptional, kShare, &read.partition_error);
  reader.ReadDuration("work.mean", kOptional, kTime, &read.work);
  reader.ReadNumber("work.spread", kOptional, kFactor, &read.work_spread);
  reader.ReadNumber("work.tail_share", kOptional, kShare, &read.tail_share);
  reader.ReadNumber("work.tail_factor", kOptional, kFactor, &read.tail_factor);
  reader.ReadBoolean("requests.repeatable", kOptional, &read.repeatable);
  reader.ReadDuration("requests.target", kOptional, kTime, &read.target);
  reader.ReadDuration("requests.deadline", kOptional, kTime, &read.deadline);
  reader.ReadNumber("requests.late_worth", kOptional, kShare, &read.late_worth);
  reader.ReadInteger("requests.caller_retries", kOptional, kFew, &read.caller_retries);
  reader.ReadInteger("requests.max_attempts", kOptional, kCount, &read.max_attempts);
  reader.ReadNumber("requests.load", kOptional, kLoad, &read.load);
  reader.ReadInteger("requests.keys", kOptional, kCount, &read.keys);
  reader.ReadNumber("requests.key_skew", kOptional, kShare, &read.key_skew);
  reader.ReadNumber("requests.hot_share", kOptional, kShare, &read.hot_share);
  reader.Finish();
  return read;
}

}  // namespace ladderstream::bench
