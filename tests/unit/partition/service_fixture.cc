#include "service_fixture.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <boost/test/unit_test.hpp>

namespace ladderstream::partition {

ServiceFixture::ServiceFixture(uint32_t count, const PartitionWeights& weights)
    : partitioner(weights) {
  constexpr uint32_t kSlots = 2;
  for (uint32_t i = 0; i < count; ++i) {
    backends.push_back({absl::StrCat("b", 10 + i), "", kSlots, true, true, absl::ZeroDuration()});
  }
  for (const ProposedMove& move : partitioner.Initial(backends)) {
    Assign(move.range, move.to);
  }
}

void ServiceFixture::Report(const std::vector<Flow>& flows) {
  now += kInterval;
  std::map<Key, double> counts;
  for (const Flow& flow : flows) {
    std::poisson_distribution<int> arrivals(flow.rate * absl::ToDoubleSeconds(kInterval));
    std::uniform_int_distribution<Key> key(flow.range.first, flow.range.last);
    for (int left = arrivals(random_); left > 0; --left) {
      counts[key(random_)] += 1;
    }
  }
  std::vector<KeyCount> report;
  report.reserve(counts.size());
  for (const auto& [key, count] : counts) {
    report.push_back({key, count});
  }
  partitioner.AddLoad(report, now);
  if (!tells_service_times) {
    return;
  }
  constexpr uint32_t kAnswers = 4;
  std::vector<ServiceTimeSample> samples;
  for (const PartitionBackend& backend : backends) {
    const double factor = slowness.contains(backend.id) ? slowness.at(backend.id) : 1;
    samples.push_back({backend.id, kAnswers, kWork * (kAnswers * factor)});
  }
  partitioner.AddServiceTimes(samples, now);
}

std::vector<ProposedMove> ServiceFixture::Step() {
  std::vector<ProposedMove> moves = partitioner.Propose(assignments, busy, backends, now);
  std::vector<KeyRange> moved = busy;
  for (const ProposedMove& move : moves) {
    BOOST_REQUIRE(move.range.first <= move.range.last);
    BOOST_REQUIRE(move.range.last <= ownership::kLastKey);
    for (const KeyRange& other : moved) {
      BOOST_TEST((move.range.last < other.first || other.last < move.range.first));
    }
    moved.push_back(move.range);
    const auto target =
        std::find_if(backends.begin(), backends.end(),
                     [&](const PartitionBackend& backend) { return backend.id == move.to; });
    BOOST_REQUIRE((target != backends.end() && target->accepts && target->keeps));
    for (const ownership::Assignment& from : assignments) {
      const bool overlaps =
          from.range.first <= move.range.last && move.range.first <= from.range.last;
      BOOST_TEST((!overlaps || from.owner == OwnerOf(move.range.first)));
    }
    BOOST_TEST(OwnerOf(move.range.first) != move.to);
  }
  for (const ProposedMove& move : moves) {
    Assign(move.range, move.to);
  }
  return moves;
}

std::vector<ProposedMove> ServiceFixture::Run(const std::vector<Flow>& flows, Duration length) {
  std::vector<ProposedMove> all;
  const Time end = now + length;
  while (now < end) {
    Report(flows);
    const std::vector<ProposedMove> moves = Step();
    all.insert(all.end(), moves.begin(), moves.end());
  }
  return all;
}

std::string ServiceFixture::OwnerOf(Key key) const {
  for (const ownership::Assignment& assignment : assignments) {
    if (assignment.range.Contains(key)) {
      return assignment.owner;
    }
  }
  return "";
}

std::map<std::string, double> ServiceFixture::Loads(const std::vector<Flow>& flows) const {
  std::map<std::string, double> loads;
  for (const PartitionBackend& backend : backends) {
    loads[backend.id] = 0;
  }
  for (const ownership::Assignment& assignment : assignments) {
    for (const Flow& flow : flows) {
      const Key first = std::max(assignment.range.first, flow.range.first);
      const Key last = std::min(assignment.range.last, flow.range.last);
      if (first <= last) {
        loads[assignment.owner] += flow.rate * (last - first + 1.0) / flow.range.Size();
      }
    }
  }
  return loads;
}

void ServiceFixture::Assign(const KeyRange& range, const std::string& owner) {
  Assignments next;
  const auto append = [&next](const KeyRange& keys, const std::string& id) {
    if (keys.first <= keys.last) {
      next.push_back({keys, id, 0});
    }
  };
  for (const ownership::Assignment& old : assignments) {
    if (old.range.last < range.first || range.last < old.range.first) {
      append(old.range, old.owner);
      continue;
    }
    if (old.range.first < range.first) {
      append({old.range.first, range.first - 1}, old.owner);
    }
    append({std::max(old.range.first, range.first), std::min(old.range.last, range.last)}, owner);
    append({range.last + 1, old.range.last}, old.owner);
  }
  assignments = std::move(next);
}

std::vector<Flow> Even(double rate) { return {{{0, ownership::kLastKey}, rate}}; }

double KeysOf(const std::vector<ProposedMove>& moves) {
  double keys = 0;
  for (const ProposedMove& move : moves) {
    keys += move.range.Size();
  }
  return keys;
}

std::set<std::string> TargetsOf(const std::vector<ProposedMove>& moves) {
  std::set<std::string> targets;
  for (const ProposedMove& move : moves) {
    targets.insert(move.to);
  }
  return targets;
}

}  // namespace ladderstream::partition
