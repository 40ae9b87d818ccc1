#include "support/load.h"

#include <absl/time/clock.h>

#include <algorithm>
#include <boost/test/unit_test.hpp>

namespace ladderstream::integration {
namespace {

using rehearsal::RequestKind;

RequestKind Kind(const char* service, const char* request, bool repeatable, const char* keys,
                 absl::Duration deadline) {
  RequestKind kind;
  kind.service = service;
  kind.request = request;
  kind.repeatable = repeatable;
  kind.key_prefix = keys;
  kind.key_count = 200;
  kind.zipf_exponent = 0.5;
  kind.deadline = deadline;
  return kind;
}

rehearsal::LoadSettings Settings(const Cluster& cluster, const LoadOptions& options) {
  rehearsal::LoadSettings settings;
  for (const NodePlace& node : cluster.nodes()) {
    const auto& chosen = options.nodes;
    if (chosen.empty() || std::find(chosen.begin(), chosen.end(), node.name) != chosen.end()) {
      settings.nodes.push_back(node.http);
    }
  }
  settings.kinds = {Kind(kScripts, kRead, true, kScriptKeys, options.deadline),
                    Kind(kScripts, kBook, false, kScriptKeys, options.deadline),
                    Kind(kCallbacks, kBook, false, kCallbackKeys, options.deadline)};
  settings.callers = options.callers;
  settings.rate = options.rate;
  for (const std::string& key : options.probed_keys) {
    settings.probes.push_back({kScripts, kRead, key});
  }
  return settings;
}

void CheckNone(const std::vector<rehearsal::Violation>& violations, const std::string& kind) {
  for (const rehearsal::Violation& violation : violations) {
    BOOST_TEST_ERROR(kind << ": " << violation.what);
  }
}

}  // namespace

Load::Load(Cluster& cluster, const LoadOptions& options)
    : cluster_(cluster), generator_(Settings(cluster, options)) {}

void Load::AwaitAnswers(uint64_t count) {
  uint64_t answered = 0;
  Await("answers to callers", [&] {
    answered += generator_.TakeProgress().answered;
    return answered >= count;
  });
}

rehearsal::Verdict Load::StopAndJudge() {
  calls_ = generator_.Stop();
  return cluster_.Judge(calls_);
}

void CheckClean(const rehearsal::Verdict& verdict) {
  CheckNone(verdict.wrong, "wrong");
  CheckNone(verdict.doubled, "doubled");
  CheckNone(verdict.lost, "lost");
  CheckNone(verdict.two_owners, "two owners");
  BOOST_TEST(verdict.answered > 0U);
  BOOST_TEST_MESSAGE("requests=" << verdict.requests << " answered=" << verdict.answered << " p99="
                                 << verdict.p99 << " unavailable=" << verdict.unavailable);
}

size_t CountCode(const rehearsal::CallerLog& calls, ResultCode code) {
  return static_cast<size_t>(std::count_if(calls.begin(), calls.end(), [code](const auto& call) {
    return call.code == static_cast<uint32_t>(code);
  }));
}

size_t CountUnknown(const rehearsal::CallerLog& calls) {
  return static_cast<size_t>(std::count_if(calls.begin(), calls.end(), [](const auto& call) {
    return call.outcome == Outcome::kUnknown;
  }));
}

}  // namespace ladderstream::integration
