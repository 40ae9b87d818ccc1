#include "scripted_partitioner.h"

#include <algorithm>
#include <set>
#include <string>
#include <utility>

namespace ladderstream::partition {
namespace {

uint64_t Draw(uint64_t bound) {
  uint64_t& state = Script().random_state;
  state = state * 6364136223846793005U + 1442695040888963407U;
  return (state >> 33U) % bound;
}

std::vector<const PartitionBackend*> Accepting(const std::vector<PartitionBackend>& backends) {
  std::vector<const PartitionBackend*> accepting;
  for (const PartitionBackend& backend : backends) {
    if (backend.accepts) {
      accepting.push_back(&backend);
    }
  }
  return accepting;
}

std::set<std::string> Keeping(const std::vector<PartitionBackend>& backends) {
  std::set<std::string> keeping;
  for (const PartitionBackend& backend : backends) {
    if (backend.keeps) {
      keeping.insert(backend.id);
    }
  }
  return keeping;
}

}  // namespace

class Partitioner::Impl {};

Partitioner::Partitioner(const PartitionWeights& /*weights*/) {}
Partitioner::~Partitioner() = default;
void Partitioner::AddLoad(const std::vector<KeyCount>& /*counts*/, Time /*now*/) {}
void Partitioner::AddServiceTimes(const std::vector<ServiceTimeSample>& /*samples*/, Time /*now*/) {
}

std::vector<ProposedMove> Partitioner::Initial(
    const std::vector<PartitionBackend>& backends) const {
  const std::vector<const PartitionBackend*> accepting = Accepting(backends);
  std::vector<ProposedMove> moves;
  const ownership::Key keys = ownership::kLastKey + 1;
  const auto count = static_cast<ownership::Key>(accepting.size());
  for (ownership::Key i = 0; i < count; ++i) {
    moves.push_back({{keys * i / count, keys * (i + 1) / count - 1}, accepting[i]->id});
  }
  return moves;
}

std::vector<ProposedMove> Partitioner::Propose(const ownership::Assignments& assignments,
                                               const std::vector<ownership::KeyRange>& busy,
                                               const std::vector<PartitionBackend>& backends,
                                               Time /*now*/) {
  const std::vector<const PartitionBackend*> accepting = Accepting(backends);
  if (accepting.empty()) {
    return {};
  }
  const std::set<std::string> keeping = Keeping(backends);
  std::vector<ProposedMove> moves = std::exchange(Script().next, {});
  for (const ownership::Assignment& assignment : assignments) {
    const bool is_busy = std::any_of(busy.begin(), busy.end(), [&](const ownership::KeyRange& one) {
      return one.first <= assignment.range.last && assignment.range.first <= one.last;
    });
    if (!is_busy && !keeping.contains(assignment.owner)) {
      moves.push_back({assignment.range, accepting[Draw(accepting.size())]->id});
    }
  }
  if (Draw(100) < Script().random_moves_percent) {
    const auto first = static_cast<ownership::Key>(Draw(ownership::kLastKey + 1));
    const auto last = std::min<ownership::Key>(ownership::kLastKey,
                                               first + static_cast<ownership::Key>(Draw(20000)));
    moves.push_back({{first, last}, accepting[Draw(accepting.size())]->id});
  }
  return moves;
}

}  // namespace ladderstream::partition
