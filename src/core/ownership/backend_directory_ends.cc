// Questions whether back ends have ended, and what proves it.
//
// A registration shows what some process wrote at some time, perhaps long ago, so it only raises
// the question. What an order is answered with tells which process runs at an address now.
#include <algorithm>

#include "core/catalog/incarnation_id.h"
#include "core/ownership/backend_directory.h"

namespace ladderstream::ownership {

void BackendDirectory::FindReplaced(const catalog::Backend& newcomer,
                                    std::vector<ReplacedBackend>* replaced) const {
  const std::string_view instance = catalog::InstanceOf(newcomer.id);
  const auto add = [&](const std::string& id) {
    if (!backends_.at(id).ended) {
      replaced->push_back({id, newcomer.id});
    }
  };
  const auto at_address = by_address_.find(newcomer.address);
  if (at_address != by_address_.end()) {
    for (const std::string& id : at_address->second) {
      if (catalog::InstanceOf(id) != instance) {
        add(id);
      }
    }
  }
  const auto same_instance = by_instance_.find(instance);
  if (same_instance != by_instance_.end()) {
    for (const std::string& id : same_instance->second) {
      // Rows may be read late, so only a later start suggests that an earlier incarnation ended.
      if (backends_.at(id).address != newcomer.address &&
          catalog::StartOf(newcomer.id) > catalog::StartOf(id)) {
        add(id);
      }
    }
  }
}

bool BackendDirectory::IsAddressHeld(const std::string& id, const KnownBackend& backend) const {
  if (!backend.shares_address) {
    return false;
  }
  const std::string_view instance = catalog::InstanceOf(id);
  const std::set<std::string>& at_address = by_address_.at(backend.address);
  return std::any_of(at_address.begin(), at_address.end(), [&](const std::string& other) {
    const KnownBackend& holder = backends_.at(other);
    return catalog::InstanceOf(other) != instance && !holder.ended && !holder.unresponsive &&
           (holder.questioned ||
            (holder.registered && holder.answered_sent >= backend.registered_at));
  });
}

void BackendDirectory::RecordQuestion(const std::string& id, Time now) {
  const auto found = backends_.find(id);
  if (found != backends_.end() && !found->second.ended) {
    found->second.questioned = true;
    found->second.questioned_at = now;
    questioned_.insert(id);
  }
}

void BackendDirectory::EndQuestion(const std::string& id, KnownBackend* known) {
  known->questioned = false;
  questioned_.erase(id);
}

void BackendDirectory::RecordGrant(const std::string& id, const Endpoint& address) {
  const auto found = backends_.find(id);
  if (found != backends_.end()) {
    found->second.granted_at = found->second.granted_at.value_or(address);
  }
}

bool BackendDirectory::ProvesEnd(const std::string& id, const Endpoint& address, Time sent) const {
  const KnownBackend* known = Find(id);
  return known == nullptr ||
         (known->granted_at.value_or(address) == address && known->answered_sent <= sent);
}

void BackendDirectory::MarkEnded(const std::string& id, Time observed) {
  const auto [place, is_new] = backends_.try_emplace(id);
  KnownBackend& known = place->second;
  if (is_new) {
    AddToIndexes(id, known);
  }
  Count(known, -1);
  known.ended = true;
  known.end_observed = observed;
  ended_.insert(id);
  EndQuestion(id, &known);
}

void BackendDirectory::WithdrawEnd(const std::string& id, KnownBackend* known) {
  if (known->ended) {
    known->ended = false;
    ended_.erase(id);
    Count(*known, 1);
  }
}

std::vector<std::string> BackendDirectory::ExpireVerdicts(Time now) {
  std::vector<std::string> expired;
  for (const std::string& id : ended_) {
    const KnownBackend& known = backends_.at(id);
    if (known.registered && now - known.end_observed >= kEndedRecheck) {
      expired.push_back(id);
    }
  }
  for (const std::string& id : expired) {
    WithdrawEnd(id, &backends_.at(id));
  }
  std::erase_if(questioned_, [&](const std::string& id) {
    KnownBackend& known = backends_.at(id);
    known.questioned = now - known.questioned_at < kQuestionTimeout;
    return !known.questioned;
  });
  return expired;
}

std::vector<std::string> BackendDirectory::EarlierIncarnationsElsewhere(
    const std::string& id) const {
  std::vector<std::string> earlier;
  const KnownBackend* known = Find(id);
  const auto same_instance = by_instance_.find(catalog::InstanceOf(id));
  if (known == nullptr || same_instance == by_instance_.end()) {
    return earlier;
  }
  for (const std::string& other : same_instance->second) {
    const KnownBackend& incarnation = backends_.at(other);
    if (!incarnation.ended && incarnation.address != known->address &&
        catalog::StartOf(other) < catalog::StartOf(id)) {
      earlier.push_back(other);
    }
  }
  return earlier;
}

}  // namespace ladderstream::ownership
