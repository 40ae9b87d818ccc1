// Permits: how all nodes together keep to the rate of requests that a back end named.
//
// A few requests a second over many nodes are less than one a node, so that shares of the rate go
// unused where nobody asks and are missing where somebody does. Here two nodes (ChosenNodes) issue
// permits for a back end, half of the rate each, to whoever has a request for it right now; a
// permit is one request, and is good for kPermitLife from the moment at which it was asked for.
//
// The bound. In any time T all permits are at most rate x T plus what both issuers had saved; those
// that are used in T were asked for in T + kPermitLife. An issuer saves nothing while it does not
// act, and begins with nothing saved. A node without an issuer, or without its answer, has no
// permit. So neither restarts, pauses, lost or late messages, nor the number of nodes add to it.
//
// Pure and of one thread, like the rest of the library.
#pragma once

#include <absl/container/flat_hash_map.h>

#include <array>
#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <vector>

#include "core/allowance/chosen_nodes.h"
#include "wire/time.h"

namespace ladderstream::allowance {

/// Nodes that issue permits for one back end. With one, its loss leaves the back end without
/// requests until the others know; each further one has a permit of its own to save.
constexpr size_t kIssuers = 2;
/// What is asked for at a time at most.
constexpr uint32_t kMostPermitsAsked = 32;
constexpr Duration kPermitLife = absl::Milliseconds(200);

/// From a node to an issuer.
struct PermitQuestion {
  /// The issuer.
  uint64_t to = 0;
  /// Counts the sender's questions from 1.
  uint64_t sequence = 0;
  std::string backend;
  /// The limit as the sender knows it, in requests a second.
  double rate = 0;
  uint32_t wanted = 0;
};

struct PermitReply {
  uint64_t sequence = 0;
  uint32_t granted = 0;
  /// When another question is worth it, if fewer were granted than wanted.
  Duration retry_in;
};

/// The part of an issuer.
class PermitIssuer {
 public:
  explicit PermitIssuer(const ChosenNodes& nodes) : nodes_(nodes) {}

  /// `rate`: the back end's limit, in requests a second.
  PermitReply Answer(const PermitQuestion& question, double rate, Time now);
  /// Drops back ends that nobody asked for lately.
  void Forget(Time now);

  uint64_t granted() const { return granted_; }
  uint64_t denied() const { return denied_; }

 private:
  struct Bucket {
    double saved = 0;
    Time filled_at;
  };

  const ChosenNodes& nodes_;
  absl::flat_hash_map<std::string, Bucket> buckets_;
  uint64_t granted_ = 0;
  uint64_t denied_ = 0;
};

/// The part of a node that has requests for back ends with limits.
class PermitHolder {
 public:
  explicit PermitHolder(const ChosenNodes& nodes) : nodes_(nodes) {}

  /// Whether a permit for `backend` is held.
  bool Holds(const std::string& backend, Time now) const;
  /// Uses up a permit that is held.
  void Use(const std::string& backend, Time now);
  /// The question to ask for a permit, unless one is open or none is worth it before TryAgain().
  std::optional<PermitQuestion> Ask(const std::string& backend, double rate, Time now);
  /// Whether a question is open.
  bool AwaitsReply(const std::string& backend, Time now) const;
  /// When to look again: an answer is due, or another question is worth it.
  Time TryAgain(const std::string& backend, Time now) const;
  /// Gives the back end that the question was about; empty when it is not open any more.
  std::string OnReply(const PermitReply& reply, Time now);
  void Forget(Time now);

 private:
  /// What is known of one issuer, by its place among the chosen.
  struct IssuerView {
    Time denied_until = absl::InfinitePast();
  };
  struct Backend {
    /// When each of the permits held ends.
    std::deque<Time> permits;
    std::deque<Time> used;
    std::array<IssuerView, kIssuers> issuers;
    /// The question that is open; 0 for none.
    uint64_t open = 0;
    size_t asked_issuer = 0;
    Time asked_at = absl::InfinitePast();
  };

  static bool IsOpen(const Backend& backend, Time now);

  const ChosenNodes& nodes_;
  uint64_t last_sequence_ = 0;
  absl::flat_hash_map<std::string, Backend> backends_;
  absl::flat_hash_map<uint64_t, std::string> questions_;
};

}  // namespace ladderstream::allowance
