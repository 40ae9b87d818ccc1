// Which faults hold for which connection of a link.
#pragma once

#include <absl/time/time.h>

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace ladderstream::standin {

/// Seen from the connecting side: kForward goes to the target, kBackward is the answer.
enum class Direction { kForward, kBackward };

/// What befalls a connection. The default is a clean one.
struct LinkFaults {
  /// Added one way, to each direction.
  absl::Duration delay = absl::ZeroDuration();
  /// Per direction; zero for no limit.
  uint64_t bytes_per_second = 0;
  /// Open connections are closed and new ones refused.
  bool cut = false;
  /// New connections are accepted, yet the target is never asked; open ones pass nothing on.
  bool half_open = false;
  /// Bytes of this direction are held back until the fault ends, as by a network that loses them.
  bool hold_forward = false;
  bool hold_backward = false;
  /// The next `cut_answers` connections that carry an answer are closed after this many bytes of
  /// it.
  uint64_t cut_after_bytes = 0;
  uint64_t cut_answers = 0;

  bool Holds(Direction direction) const {
    return half_open || (direction == Direction::kForward ? hold_forward : hold_backward);
  }
};

/// Reads the fields of LinkFaults by their names, "delay_ms" for the delay. Throws
/// std::invalid_argument for an unknown field and nlohmann::json::exception for a wrong type.
LinkFaults ReadFaults(const nlohmann::json& body);

/// The rules of one link; the newest that matches the connecting address holds. Not thread-safe.
class FaultRules {
 public:
  /// Puts `faults` in force for connections whose source address starts with `from` (empty: all).
  void Set(const std::string& from, const LinkFaults& faults);

  LinkFaults& Find(const std::string& source);

 private:
  struct Rule {
    std::string from;
    LinkFaults faults;
  };
  LinkFaults clean_;
  std::vector<Rule> rules_;
};

}  // namespace ladderstream::standin
