// What a back end says, with an answer, of a limit on the requests that it takes.
#pragma once

#include <optional>

namespace ladderstream::catalog {

struct ToldLimit {
  /// The requests a second that it takes from all nodes together; empty when it named none.
  std::optional<double> rate;
  /// It named something that is no number: whether there is a limit is not known from this answer.
  bool unreadable = false;
};

}  // namespace ladderstream::catalog
