// What this node knows of back ends in need: the requests a second that each takes from all nodes
// together, by incarnation, with the moment at which it was heard.
//
// A limit holds as long as the back end's answers name it. It ends with an answer that names none,
// to a request that was sent after the limit was last heard: an older answer may have been on its
// way. One that nobody told of for kLifetime lapses. Nodes tell each other of changes, and the one
// heard last counts.
//
// Pure and of one thread, like the rest of the library.
#pragma once

#include <absl/container/flat_hash_map.h>

#include <optional>
#include <string>
#include <vector>

#include "core/catalog/told_limit.h"
#include "wire/time.h"

namespace ladderstream::allowance {

/// What one node tells others of one back end.
struct LimitRecord {
  /// Its incarnation.
  std::string backend;
  /// Requests a second; empty when the limit has ended.
  std::optional<double> rate;
  /// When the back end said so, as far as is known.
  Time heard;
};

/// A change for the log.
struct LimitNote {
  std::string backend;
  std::optional<double> rate;
  /// It came from another node.
  bool from_other = false;
};

class ToldLimits {
 public:
  /// A limit that no answer named for so long lapses. Where many nodes send to a back end rarely,
  /// each that forgets its limit sends one request without a permit.
  static constexpr Duration kLifetime = absl::Minutes(10);
  /// Changes are told for so long: two of the longest intervals between nodes' reports.
  static constexpr Duration kTellFor = absl::Seconds(3);
  /// Records in one message at most; of more, the newest are told, and nodes hear of the others by
  /// their own answers.
  static constexpr size_t kMostShared = 128;

  /// An answer of `backend`, to a request that was sent at `sent`, said this.
  void OnAnswer(const std::string& backend, const catalog::ToldLimit& told, Time sent, Time now);
  /// Another node told this. Gives whether any of it was news.
  bool Merge(const std::vector<LimitRecord>& records, Time now);
  /// Drops what has lapsed.
  void Forget(Time now);

  /// No back end has a limit.
  bool empty() const { return limited_ == 0; }
  size_t size() const { return limited_; }
  /// The limit of a back end in force, in requests a second; empty when it has none.
  std::optional<double> RateOf(const std::string& backend) const;
  /// The limit in force with the moment of its last news; empty when there is none.
  std::optional<LimitRecord> Find(const std::string& backend) const;
  std::vector<LimitRecord> InForce() const;

  /// Whether this node learned something by itself since the last call.
  bool TakeNews();
  /// What changed lately: all of it, or only what this node learned by itself.
  std::vector<LimitRecord> Changed(bool own_only, Time now) const;
  std::vector<LimitNote> TakeNotes();

 private:
  struct Entry {
    std::optional<double> rate;
    Time heard;
    Time changed_at;
    bool own = false;
  };

  void Set(const std::string& backend, const Entry& entry);

  absl::flat_hash_map<std::string, Entry> entries_;
  size_t limited_ = 0;
  bool news_ = false;
  std::vector<LimitNote> notes_;
};

}  // namespace ladderstream::allowance
