#include "standin/fleet/configuration_prober.h"

#include <absl/strings/ascii.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_format.h>

#include <utility>

#include "standin/fleet/wire_names.h"

namespace ladderstream::fleet {
namespace {

/// Gives other request ids than those of the callers, who draw from the same seed.
constexpr uint64_t kSeedPurpose = 0x70726f6265;
constexpr Duration kInterval = absl::Milliseconds(250);
/// Each node is asked for one place within this many intervals.
constexpr size_t kIntervalsPerTurn = 4;
/// After a version has to be in force.
constexpr Duration kMargins[] = {absl::Milliseconds(30), absl::Milliseconds(500),
                                 absl::Milliseconds(1500), absl::Milliseconds(3000)};
/// Requests go over all keys, far from each other.
constexpr uint64_t kKeys = ownership::kLastKey + uint64_t{1};
constexpr uint64_t kKeyStep = 9973;
constexpr Duration kConnectWithin = absl::Milliseconds(500);
constexpr Duration kDeadline = absl::Seconds(2);

/// The same host, written in one of the ways in which callers may write it.
std::string SpellAnew(const std::string& host, uint64_t choice) {
  constexpr uint64_t kSpellings = 5;
  switch (choice % kSpellings) {
    case 0:
      return absl::StrCat(host, ":8080");
    case 1:
      return absl::AsciiStrToUpper(host);
    case 2:
      return absl::StrCat(host, ".");
    default:
      return host;
  }
}

}  // namespace

ConfigurationProber::ConfigurationProber(Fleet* fleet, uint64_t seed, ProbePlanPtr plan)
    : fleet_(fleet), random_(seed ^ kSeedPurpose), plan_(std::move(plan)) {}

void ConfigurationProber::Start() {
  idle_.resize(fleet_->nodes().size());
  fleet_->loop().Every(kInterval, [this] { AskInTurn(); });
}

void ConfigurationProber::Finish() {
  stopped_ = true;
  fleet_->loop().RunUntil([this] { return pending_ == 0; }, kConnectWithin + kDeadline);
}

void ConfigurationProber::AskInTurn() {
  for (size_t node = turn_ % kIntervalsPerTurn; node < idle_.size(); node += kIntervalsPerTurn) {
    Ask(node, random_() % plan_->places().size());
  }
  ++turn_;
}

void ConfigurationProber::AskAll(const std::vector<size_t>& places) {
  for (size_t node = 0; node < idle_.size(); ++node) {
    for (const size_t place : places) {
      Ask(node, place);
    }
  }
}

void ConfigurationProber::ChangeConfiguration(uint64_t target) {
  catalog::Configuration next = fleet_->operators().newest();
  const std::vector<size_t> changed = plan_->Change(target, &random_, &next);
  if (!fleet_->operators().Write(next, plan_->NextEncoding(&random_))) {
    return;
  }
  for (const Duration margin : kMargins) {
    fleet_->loop().After(fleet_->settings().bounds.config_apply + margin,
                         [this, changed] { AskAll(changed); });
  }
}

void ConfigurationProber::Ask(size_t node, size_t place) {
  if (stopped_) {
    return;
  }
  const ProbePlace& asked = plan_->places()[place];
  interfaces::HttpRequest request;
  request.method = "GET";
  request.target = absl::StrCat(asked.path_prefix, ++requests_);
  request.headers = {{"Host", asked.spelled_anew ? SpellAnew(asked.host, requests_) : asked.host},
                     {wire::kRequestId, absl::StrFormat("%016x", random_())},
                     {wire::kDeadlineMs, absl::StrCat(absl::ToInt64Milliseconds(kDeadline))}};
  if (asked.keyed) {
    request.headers.emplace_back(wire::kShardKey, absl::StrCat(requests_ * kKeyStep % kKeys));
  }
  Attempt* attempt = &fleet_->history().attempts.emplace_back();
  attempt->request_class = "probe";
  attempt->request_id = FindHeader(request.headers, wire::kRequestId);
  attempt->host = asked.host;
  attempt->target = request.target;
  attempt->node = node;
  attempt->digest = DigestOf(request.method, request.target, request.body);
  attempt->sent = EventLoop::Now();
  attempt->deadline = kDeadline;
  ++pending_;
  const HttpClientConnectionPtr connection = TakeConnection(node);
  connection->Call(request, kConnectWithin, kDeadline,
                   [this, node, attempt, connection](const CallResult& result) {
                     --pending_;
                     RecordEnd(result, attempt);
                     if (result.reusable) {
                       idle_[node].push_back(connection);
                     }
                   });
}

HttpClientConnectionPtr ConfigurationProber::TakeConnection(size_t node) {
  std::vector<HttpClientConnectionPtr>& idle = idle_[node];
  while (!idle.empty()) {
    HttpClientConnectionPtr connection = idle.back();
    idle.pop_back();
    if (connection->open()) {
      return connection;
    }
  }
  return HttpClientConnection::Make(&fleet_->loop(), fleet_->nodes().node(node).front);
}

}  // namespace ladderstream::fleet
