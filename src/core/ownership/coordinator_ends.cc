// Owners that may have ended: how they are asked, and what the answers mean.
#include <absl/strings/str_cat.h>

#include <algorithm>

#include "core/catalog/incarnation_id.h"
#include "core/ownership/belief_events.h"
#include "core/ownership/coordinator_impl.h"

namespace ladderstream::ownership {
namespace {

/// How long the later incarnation of an owner is asked whether it runs. The owner is found
/// unresponsive by then.
constexpr Duration kAskLaterIncarnationFor = absl::Seconds(3);

/// How long the partitioner waits for the answer of an owner that is asked. Without the wait, it
/// would run just before the answer, and then not again for its shortest interval, in which the
/// keys of an owner that has ended are unavailable. Longer than a round trip.
constexpr Duration kAnswerAwaitedFor = absl::Milliseconds(50);

}  // namespace

void Coordinator::Impl::EndEarlierIncarnations(const Order& order, Time now) {
  for (const std::string& earlier : directory_.EarlierIncarnationsElsewhere(order.backend)) {
    MarkBackendEnded(earlier, order.sent,
                     absl::StrCat("its later incarnation ", order.backend, " answered at ",
                                  FormatEndpoint(order.address)),
                     now);
  }
}

void Coordinator::Impl::OnOtherInstance(const Order& order, Time now) {
  const std::string evidence =
      absl::StrCat("another instance answered at ", FormatEndpoint(order.address));
  if (directory_.ProvesEnd(order.backend, order.address, order.sent)) {
    MarkBackendEnded(order.backend, order.sent, evidence, now);
    return;
  }
  // It may still run: it counts as not answering.
  ReportStateChange(state_change::kBackendEndUnproven,
                    absl::StrCat(order.backend, ": ", evidence,
                                 ", but its grants went elsewhere or it answered a later order"));
  if (order.kind == Order::Kind::kGrant) {
    if (ServiceState* service = FindService(order.service)) {
      OnGrantFailed(*service, order, OrderStatus::kOtherInstance, now);
    }
  } else {
    directory_.RecordUnansweredRelease(order.backend, now);
  }
}

void Coordinator::Impl::AskReplacedOwners(const std::vector<ReplacedBackend>& replaced, Time now) {
  for (const ReplacedBackend& candidate : replaced) {
    bool is_asked = false;
    for (auto& [name, service] : services_) {
      is_asked = AskOwner(service, candidate, now) || is_asked;
    }
    if (is_asked) {
      directory_.RecordQuestion(candidate.id, now);
      ReportStateChange(state_change::kBackendQuestioned,
                        absl::StrCat(candidate.id, ": ", candidate.by, " is registered ",
                                     "at its address or as its later incarnation"));
    }
  }
}

bool Coordinator::Impl::AskOwner(ServiceState& service, const ReplacedBackend& replaced, Time now) {
  std::vector<Key> owned;
  for (const auto& [first, state] : service.table.ranges()) {
    if (state.owner == replaced.id) {
      owned.push_back(first);
    }
  }
  for (const Key first : owned) {
    RangeState& state = service.table.At(first);
    state.order_due = std::min(state.order_due, now);
  }
  if (!owned.empty()) {
    service.answer_awaited_until = now + kAnswerAwaitedFor;
  }
  if (!owned.empty() && catalog::InstanceOf(replaced.id) == catalog::InstanceOf(replaced.by)) {
    // The old address may stay silent, so the later incarnation is asked as well. It holds none of
    // these keys, and accepts any later grant of them, whose fence is higher.
    const RangeState& state = service.table.At(owned.front());
    service.repeated_releases.push_back(
        {replaced.by, state.range, state.fence, now, now + kAskLaterIncarnationFor});
  }
  return !owned.empty();
}

void Coordinator::Impl::OnQuestionAnswered(Time now) {
  if (directory_.HasQuestions()) {
    return;
  }
  for (auto& [name, service] : services_) {
    service.answer_awaited_until = absl::InfinitePast();
  }
  RunAllPartitionersSoon(now);
  AdvanceSoon(now);
}

void Coordinator::Impl::MarkBackendEnded(const std::string& backend, Time observed,
                                         const std::string& evidence, Time now) {
  if (directory_.HasEnded(backend)) {
    return;
  }
  directory_.MarkEnded(backend, observed);
  ReportStateChange(state_change::kBackendEnded, absl::StrCat(backend, ": ", evidence));
  for (auto& [name, service] : services_) {
    std::erase_if(service.repeated_releases, [&backend](const RepeatedRelease& release) {
      return release.backend == backend;
    });
  }
  RunAllPartitionersSoon(now);
  OnQuestionAnswered(now);
}

}  // namespace ladderstream::ownership
