// What back ends told of their load, as nodes pass it on to one another.
//
// A node hears of one back end's load only with its own answers from there, which with many nodes
// come seconds apart; all nodes together hear of it many times a second.
#pragma once

#include <cstddef>
#include <cstdint>

#include "core/catalog/catalog.h"
#include "core/catalog/told_load.h"
#include "wire/time.h"

namespace ladderstream::load {

/// Names one incarnation of a back end in few bytes; two may share one.
using BackendHash = uint32_t;

/// The same at every node, whatever it was built with.
BackendHash HashOf(const catalog::Backend& backend);

/// One back end's load as some node heard it.
struct LoadNews {
  BackendHash backend = 0;
  /// Without the answer's own request, whoever heard it.
  catalog::ToldLoad told;
  /// When it was told, by the clock of whoever holds this; later than in truth by no more than what
  /// LoadNewsBoard trusts a report for.
  Time told_at;
};

/// In one message, each of some 13 bytes. With 300 nodes, which report each 1.5 s, 48 in an answer
/// are 0.4 KB a second a node; control is to stay below 2 KB.
constexpr size_t kMostLoadNews = 48;

/// News older than this say nothing that the averages don't: a queue of eight times the slots has
/// been worked off by then, at a tenth of a second a request.
constexpr Duration kLoadNewsLifetime = absl::Seconds(2);

/// All its slots are taken, or requests wait.
inline bool IsBusy(const catalog::ToldLoad& told) {
  return told.waiting > 0 || told.running >= told.slots;
}

/// What became of news that were heard.
struct LoadNewsCounts {
  uint64_t used = 0;
  /// No newer than what was known.
  uint64_t not_newer = 0;
  /// Older than kLoadNewsLifetime, or of an age that nothing bounds.
  uint64_t too_old = 0;
  /// Of a back end that is not known here, or whose hash another one shares.
  uint64_t unknown = 0;
};

/// Puts those that say most first: the longest queues, then back ends with all slots taken, then
/// those that came free, newest first.
bool SaysMore(const LoadNews& a, const LoadNews& b);

}  // namespace ladderstream::load
