// Requests that wait for an answer from another node or for a commit: lease requests and proposals
// that were passed on to the leader, and proposals in this leader's log. Not thread-safe.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <vector>

#include "wire/identifiers.h"
#include "wire/ownership.h"
#include "wire/time.h"

namespace ladderstream::authority {

/// Who asked.
struct RequestOrigin {
  /// The asker's own number for the request.
  uint64_t correlation = 0;
  /// The node that asked; nothing when it came from this process.
  std::optional<NodeDescriptor> peer;
};

enum class RequestKind { kLease, kProposal };

struct RelayedRequest {
  RequestKind kind = RequestKind::kLease;
  RequestOrigin origin;
  Time deadline;
  /// Of a lease request, so that it can be sent again when another leader is known: asking twice
  /// does no harm.
  LeaseRequest lease;
  uint32_t hops = 0;
};

/// Requests passed on, or waiting for a leader to be known, by the number under which they are.
class RequestRelay {
 public:
  void Add(uint64_t correlation, RelayedRequest request);
  std::optional<RelayedRequest> Take(uint64_t correlation);
  std::vector<RelayedRequest> TakeLeases();
  /// Those whose answer did not come in time.
  std::vector<RelayedRequest> TakeExpired(Time now);
  /// InfiniteFuture when empty.
  Time NextDeadline() const;

 private:
  std::vector<RelayedRequest> TakeIf(const std::function<bool(const RelayedRequest&)>& wanted);

  std::map<uint64_t, RelayedRequest> requests_;
};

/// A proposal in this leader's log.
struct ProposalWaiter {
  uint64_t term = 0;
  RequestOrigin origin;
};

}  // namespace ladderstream::authority
