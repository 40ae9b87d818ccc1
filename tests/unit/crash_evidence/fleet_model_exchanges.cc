// What the data paths of the nodes of the fleet model do with their decisions.
#include <algorithm>
#include <utility>
#include <variant>

#include "core/catalog/incarnation_id.h"
#include "fleet_model_state.h"

namespace ladderstream::model {

using forwarding::AttemptFailure;

forwarding::CarriedRequest FleetModel::DescribeCarried(const Exchange& exchange) {
  forwarding::CarriedRequest request;
  request.backend = exchange.backend;
  request.identity = exchange.known_as;
  request.is_trial = exchange.is_trial;
  return request;
}

void FleetModel::Pump(size_t number) {
  Node& node = *nodes_[number];
  if (!node.alive || std::exchange(node.pumping, true)) {
    return;
  }
  forwarding::Dispatcher& dispatcher = *node.dispatcher;
  for (auto decisions = dispatcher.TakeDecisions(); !decisions.empty();
       decisions = dispatcher.TakeDecisions()) {
    for (const forwarding::RequestDecision& decided : decisions) {
      Carry(number, decided);
    }
  }
  if (dispatcher.suspects().NextProbe() <= now_) {
    for (const std::string& backend : dispatcher.TakeSuspectProbes(now_)) {
      Probe(number, backend, /*for_suspects=*/true);
    }
  }
  for (const std::string& backend : dispatcher.TakePathProbes()) {
    Probe(number, backend, /*for_suspects=*/false);
  }
  if (dispatcher.suspects().TakeNews()) {
    PublishOwn(number, /*own=*/true);
  }
  for (const quarantine::StoredChange& change : dispatcher.suspects().TakeStoredChanges(now_)) {
    node.store->Save(change);
  }
  for (const quarantine::SuspectRecord& record : dispatcher.suspects().TakeTrialsWanted(now_)) {
    node.store->WantTrial(record, now_);
  }
  node.store->SaveWitnessed(dispatcher.suspects().Witnessed(now_));
  PollStore(number);
  dispatcher.TakeStateChanges();
  node.pumping = false;
  const Time store_wake = std::max(node.store->NextWake(), now_ + absl::Milliseconds(1));
  const Time wake = std::min(dispatcher.NextWake(), store_wake);
  if (wake < node.armed) {
    node.armed = wake;
    AtNode(number, wake - now_, [this, number] {
      nodes_[number]->armed = absl::InfiniteFuture();
      nodes_[number]->dispatcher->OnTick(now_);
    });
  }
}

void FleetModel::Carry(size_t number, const forwarding::RequestDecision& decided) {
  Node& node = *nodes_[number];
  if (const auto* send = std::get_if<forwarding::SendDecision>(&decided.decision)) {
    StartExchange(number, decided, *send);
  } else if (const auto* cancel = std::get_if<forwarding::CancelDecision>(&decided.decision)) {
    const auto found = node.exchanges.find(cancel->attempt);
    if (found != node.exchanges.end()) {
      const ExchangePtr exchange = found->second;
      exchange->over = true;
      node.exchanges.erase(found);
      if (exchange->at_peer() && exchange->sent_at < now_) {
        AtNode(exchange->carrier, kTransit, [this, exchange] { GiveUpAtPeer(exchange); });
      }
      for (const auto& [name, backend] : backends_) {
        std::erase(backend->at_work, exchange);
      }
    }
  } else if (const auto* answer = std::get_if<forwarding::AnswerDecision>(&decided.decision)) {
    OnFinalAnswer(number, decided.request, *answer);
  } else {
    forwarding::AnswerDecision served;
    served.status = kServed;
    OnFinalAnswer(number, decided.request, served);
  }
}

FleetModel::Reach FleetModel::ReachOf(size_t number, const std::string& id) const {
  const auto found = backends_.find(std::string(catalog::InstanceOf(id)));
  if (found == backends_.end()) {
    return Reach::kRefused;
  }
  const Backend& backend = *found->second;
  const auto cut = nodes_[number]->cuts.find(backend.registration.service);
  const PathFault fault = cut == nodes_[number]->cuts.end() ? PathFault::kNone : cut->second;
  if (fault == PathFault::kRefuse) {
    return Reach::kRefused;
  }
  if (fault != PathFault::kNone || (!backend.up && backend.silent)) {
    return Reach::kSilent;
  }
  return backend.up ? Reach::kOpen : Reach::kRefused;
}

void FleetModel::StartExchange(size_t number, const forwarding::RequestDecision& decided,
                               const forwarding::SendDecision& send) {
  Node& node = *nodes_[number];
  const auto request = node.requests.find(decided.request);
  auto exchange = std::make_shared<Exchange>();
  exchange->node = number;
  exchange->carrier = number;
  exchange->attempt = send.attempt;
  exchange->request = decided.request;
  if (request != node.requests.end()) {
    exchange->fingerprint = request->second.fingerprint;
    exchange->guilty = request->second.guilty;
  }
  exchange->known_as = send.identity;
  exchange->backend = send.backend;
  exchange->answer_by = send.answer_by;
  exchange->is_trial = send.is_trial;
  exchange->carrier_incarnation = node.incarnation;
  node.exchanges[send.attempt] = exchange;
  AtNode(number, send.answer_by - now_, [this, exchange] {
    if (!exchange->over) {
      Fail(exchange, AttemptFailure::kTimedOut);
    }
  });
  const std::string instance(catalog::InstanceOf(send.backend));
  const bool on_idle = !send.needs_new_connection && node.idle.contains(instance) &&
                       (send.peer == 0 || send.prefer_idle);
  if (send.peer != 0 && !on_idle) {
    exchange->carrier = send.peer - 1;
    exchange->carrier_incarnation = nodes_[exchange->carrier]->incarnation;
    node.dispatcher->OnSent(send.attempt, now_);
    if (!nodes_[exchange->carrier]->alive) {
      AtNode(number, kTransit,
             [this, exchange] { Fail(exchange, AttemptFailure::kPeerUnavailable); });
      return;
    }
    AtNode(exchange->carrier, kTransit, [this, exchange] { CarryAtPeer(exchange); });
    return;
  }
  if (send.peer != 0) {
    node.dispatcher->OnSentDirectly(send.attempt);
  }
  if (on_idle) {
    node.dispatcher->OnSent(send.attempt, now_);
    At(kTransit, [this, exchange] { Arrive(exchange); });
    return;
  }
  Connect(exchange);
}

void FleetModel::Connect(const ExchangePtr& exchange) {
  const size_t number = exchange->carrier;
  switch (ReachOf(number, exchange->backend)) {
    case Reach::kRefused:
      AtNode(number, kTransit,
             [this, exchange] { Lose(exchange, AttemptFailure::kConnectRefused); });
      return;
    case Reach::kSilent:
      AtNode(number, kConnectTimeout,
             [this, exchange] { Lose(exchange, AttemptFailure::kConnectTimeout); });
      return;
    case Reach::kOpen:
      break;
  }
  AtNode(number, kTransit, [this, exchange, number] {
    if (exchange->over) {
      return;
    }
    forwarding::Dispatcher& dispatcher = *nodes_[number]->dispatcher;
    nodes_[number]->idle.insert(std::string(catalog::InstanceOf(exchange->backend)));
    if (exchange->at_peer()) {
      dispatcher.OnPathEvent(exchange->backend, forwarding::PathEvent::kConnected, now_);
      if (dispatcher.MayCarry(DescribeCarried(*exchange), now_) !=
          forwarding::CarryPermission::kGranted) {
        Lose(exchange, AttemptFailure::kNotSent);
        return;
      }
    } else {
      dispatcher.OnConnected(exchange->attempt, now_);
      if (!dispatcher.MaySend(exchange->attempt, now_)) {
        Lose(exchange, AttemptFailure::kNotSent);
        return;
      }
      dispatcher.OnSent(exchange->attempt, now_);
    }
    At(kTransit, [this, exchange] { Arrive(exchange); });
  });
}

void FleetModel::CarryAtPeer(const ExchangePtr& exchange) {
  if (exchange->over) {
    return;
  }
  forwarding::Dispatcher& dispatcher = *nodes_[exchange->carrier]->dispatcher;
  switch (dispatcher.MayCarry(DescribeCarried(*exchange), now_)) {
    case forwarding::CarryPermission::kNoPath:
      Lose(exchange, AttemptFailure::kPeerHasNoPath);
      return;
    case forwarding::CarryPermission::kDeclined:
    case forwarding::CarryPermission::kHeld:
      Lose(exchange, AttemptFailure::kPeerUnavailable);
      return;
    case forwarding::CarryPermission::kGranted:
      break;
  }
  Connect(exchange);
}

void FleetModel::Arrive(const ExchangePtr& exchange) {
  Backend& backend = *backends_.at(std::string(catalog::InstanceOf(exchange->backend)));
  if (ReachOf(exchange->carrier, exchange->backend) != Reach::kOpen) {
    if (!backend.up) {
      // Nobody but the back end could tell whether it had ended before or under this request.
      ended_with_[exchange->fingerprint].insert(exchange->backend);
    }
    return;
  }
  exchange->sent_at = now_;
  backend.at_work.push_back(exchange);
  const auto guilty = guilty_.find(exchange->fingerprint);
  if (!exchange->guilty) {
    const bool lost = std::uniform_real_distribution<double>(0, 1)(random_) < lost_answers_;
    At(absl::Milliseconds(20 + random_() % 60),
       [this, exchange, lost] { FinishRun(exchange, lost); });
    return;
  }
  guilty_arrivals_.push_back({exchange->fingerprint, now_});
  At(kTransit,
     [this, instance = backend.instance, id = backend.registration.id, caller = guilty->second] {
       Backend& running = *backends_.at(instance);
       if (!running.up || running.registration.id != id) {
         return;
       }
       ends_[caller.request].push_back(now_);
       EndBackend(running, caller.mode);
       if (caller.restarts_after < absl::InfiniteDuration()) {
         At(caller.restarts_after, [this, instance] { Restart(instance); });
       }
     });
}

void FleetModel::FinishRun(const ExchangePtr& exchange, bool lost) {
  Backend& backend = *backends_.at(std::string(catalog::InstanceOf(exchange->backend)));
  const bool at_work = std::erase(backend.at_work, exchange) > 0;
  if (!at_work || ReachOf(exchange->carrier, exchange->backend) != Reach::kOpen) {
    return;
  }
  AtNode(exchange->carrier, kTransit, [this, exchange, lost] {
    if (lost) {
      Lose(exchange, AttemptFailure::kLost);
    } else {
      Answer(exchange);
    }
  });
}

void FleetModel::Lose(const ExchangePtr& exchange, AttemptFailure failure) {
  if (!exchange->at_peer()) {
    Fail(exchange, failure);
    return;
  }
  forwarding::Dispatcher& peer = *nodes_[exchange->carrier]->dispatcher;
  if (failure == AttemptFailure::kConnectRefused) {
    peer.OnPathEvent(exchange->backend, forwarding::PathEvent::kRefused, now_);
  } else if (failure == AttemptFailure::kConnectTimeout) {
    peer.OnPathEvent(exchange->backend, forwarding::PathEvent::kConnectFailed, now_);
  } else if (failure == AttemptFailure::kLost) {
    peer.OnCarriedLost(DescribeCarried(*exchange), now_);
  }
  AtNode(exchange->node, kTransit, [this, exchange, failure] { Fail(exchange, failure); });
}

void FleetModel::GiveUpAtPeer(const ExchangePtr& exchange) {
  nodes_[exchange->carrier]->dispatcher->OnCarriedUnanswered(DescribeCarried(*exchange),
                                                             now_ - exchange->sent_at, now_);
}

void FleetModel::Fail(const ExchangePtr& exchange, AttemptFailure failure) {
  if (std::exchange(exchange->over, true)) {
    return;
  }
  Node& node = *nodes_[exchange->node];
  node.exchanges.erase(exchange->attempt);
  if (failure == AttemptFailure::kTimedOut && exchange->at_peer() && exchange->sent_at < now_) {
    AtNode(exchange->carrier, kTransit, [this, exchange] { GiveUpAtPeer(exchange); });
  }
  node.dispatcher->OnAttemptFailure(exchange->attempt, failure, now_);
}

void FleetModel::Answer(const ExchangePtr& exchange) {
  if (exchange->at_peer()) {
    nodes_[exchange->carrier]->dispatcher->OnPathEvent(exchange->backend,
                                                       forwarding::PathEvent::kAnswered, now_);
  }
  AtNode(exchange->node, exchange->at_peer() ? kTransit : absl::ZeroDuration(), [this, exchange] {
    if (std::exchange(exchange->over, true)) {
      return;
    }
    Node& node = *nodes_[exchange->node];
    node.exchanges.erase(exchange->attempt);
    forwarding::AttemptAnswer answer;
    answer.status = kServed;
    answer.load.slots = 8;
    node.dispatcher->OnAttemptAnswer(exchange->attempt, answer, now_);
  });
}

void FleetModel::Probe(size_t number, const std::string& backend, bool for_suspects) {
  if (nodes_[number]->dispatcher->AddressOf(backend) == nullptr) {
    return;
  }
  ++probes_;
  const Reach reach = ReachOf(number, backend);
  const Duration timeout = for_suspects ? kSuspectProbeTimeout : kConnectTimeout;
  AtNode(number, reach == Reach::kSilent ? timeout : kTransit,
         [this, number, backend, reach, for_suspects] {
           forwarding::Dispatcher& dispatcher = *nodes_[number]->dispatcher;
           const bool refused = reach == Reach::kRefused;
           if (reach == Reach::kOpen) {
             dispatcher.OnPathEvent(backend, forwarding::PathEvent::kConnected, now_);
           } else if (for_suspects) {
             dispatcher.OnSuspectProbeFailed(backend, refused, now_);
           } else {
             dispatcher.OnPathEvent(
                 backend,
                 refused ? forwarding::PathEvent::kRefused : forwarding::PathEvent::kConnectFailed,
                 now_);
           }
         });
}

}  // namespace ladderstream::model
