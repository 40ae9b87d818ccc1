#include "node/load_exchange.h"

#include <algorithm>

namespace ladderstream::node {
namespace {

membership::LoadReport ToReport(const load::ServiceLoad& load) {
  membership::LoadReport report;
  report.service = load.service;
  report.keys.reserve(load.keys.size());
  report.counts.reserve(load.keys.size());
  report.backends.reserve(load.samples.size());
  report.answers.reserve(load.samples.size());
  report.busy_us.reserve(load.samples.size());
  report.includes_wait.reserve(load.samples.size());
  for (const partition::KeyCount& count : load.keys) {
    report.keys.push_back(count.key);
    report.counts.push_back(static_cast<float>(count.count));
  }
  for (const partition::ServiceTimeSample& sample : load.samples) {
    report.backends.push_back(sample.backend);
    report.answers.push_back(sample.answers);
    report.busy_us.push_back(static_cast<uint64_t>(absl::ToInt64Microseconds(sample.total)));
    report.includes_wait.push_back(sample.includes_wait ? 1 : 0);
  }
  if (load.not_owner_key) {
    report.rejected_keys.push_back(*load.not_owner_key);
  }
  for (const load::BackendDecline& declined : load.declined) {
    report.declined_by.push_back(declined.backend);
    report.backoff_ms.push_back(static_cast<uint32_t>(absl::ToInt64Milliseconds(declined.backoff)));
  }
  return report;
}

bool IsSharded(const catalog::Configuration& configuration, const std::string& name) {
  const auto service = configuration.services.find(name);
  return service != configuration.services.end() && service->second.sharded;
}

std::vector<partition::KeyCount> CountsOf(const membership::LoadReport& report) {
  std::vector<partition::KeyCount> counts;
  const size_t size = std::min(report.keys.size(), report.counts.size());
  counts.reserve(size);
  for (size_t i = 0; i < size; ++i) {
    counts.push_back({report.keys[i], report.counts[i]});
  }
  return counts;
}

std::vector<partition::ServiceTimeSample> SamplesOf(const membership::LoadReport& report) {
  std::vector<partition::ServiceTimeSample> samples;
  const size_t size = std::min({report.backends.size(), report.answers.size(),
                                report.busy_us.size(), report.includes_wait.size()});
  samples.reserve(size);
  for (size_t i = 0; i < size; ++i) {
    const Duration total = absl::Microseconds(static_cast<int64_t>(report.busy_us[i]));
    samples.push_back({report.backends[i], report.answers[i], total, report.includes_wait[i] != 0,
                       report.reported_share});
  }
  return samples;
}

}  // namespace

std::vector<membership::LoadReport> ToReports(const std::vector<load::ServiceLoad>& loads,
                                              const catalog::Configuration* configuration) {
  std::vector<membership::LoadReport> reports;
  for (const load::ServiceLoad& load : loads) {
    if (configuration != nullptr && IsSharded(*configuration, load.service)) {
      reports.push_back(ToReport(load));
    }
  }
  return reports;
}

void ReportToCoordinator(const std::vector<membership::LoadReport>& reports, Time now,
                         ownership::Coordinator* coordinator) {
  for (const membership::LoadReport& report : reports) {
    coordinator->OnLoad(report.service, CountsOf(report), SamplesOf(report), now);
    const size_t declined = std::min(report.declined_by.size(), report.backoff_ms.size());
    for (size_t i = 0; i < declined; ++i) {
      coordinator->OnOwnerDeclined(report.service, report.declined_by[i],
                                   absl::Milliseconds(report.backoff_ms[i]), now);
    }
    for (const uint32_t key : report.rejected_keys) {
      coordinator->OnNotOwner(report.service, key, now);
    }
  }
}

}  // namespace ladderstream::node
