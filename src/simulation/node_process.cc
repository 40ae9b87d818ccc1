#include "simulation/node_process.h"

#include <algorithm>
#include <utility>

namespace ladderstream::simulation {
namespace {

/// Timers are not finer than this.
constexpr Duration kTimerResolution = absl::Microseconds(500);

}  // namespace

NodeProcess::NodeProcess(Environment& environment, NodePeers& peers, TableService& table,
                         HostId host, const authority::AuthoritySettings& settings)
    : environment_(environment), peers_(peers), table_(table), host_(host), settings_(settings) {
  authority_ = std::make_unique<authority::Authority>(settings_, LocalNow());
}

void NodeProcess::Start(const std::vector<NodeDescriptor>& seeds) {
  Handle(authority::PeersDiscovered{seeds});
}

void NodeProcess::Receive(const PeerFrame& frame) {
  Handle(authority::MessageArrived{frame.from, frame.correlation, frame.is_response, frame.body});
}

void NodeProcess::RequestLease(const LeaseRequest& request,
                               std::function<void(const LeaseResponse&)> answer) {
  const uint64_t correlation = next_correlation_++;
  lease_answers_.emplace(correlation, std::move(answer));
  Handle(authority::LeaseRequested{correlation, request});
}

void NodeProcess::Propose(const Command& command,
                          std::function<void(const ProposalResult&)> answer) {
  const uint64_t correlation = next_correlation_++;
  proposal_answers_.emplace(correlation, std::move(answer));
  Handle(authority::CommandProposed{correlation, command});
}

void NodeProcess::RunTransaction(const authority::StoreTransaction& transaction,
                                 const std::function<void(const StoreResult&)>& answer) {
  table_.Run(host_, transaction, answer);
}

authority::RoutingState NodeProcess::Routing() const {
  return authority_->routing_state(LocalNow());
}

authority::AuthorityStatus NodeProcess::Status() const { return authority_->status(LocalNow()); }

void NodeProcess::Handle(const authority::Event& event) {
  Finish(authority_->Handle(event, LocalNow()));
}

void NodeProcess::Tick(uint64_t number) {
  if (number == tick_number_) {
    Finish(authority_->Tick(LocalNow()));
  }
}

void NodeProcess::Finish(std::vector<authority::Action> actions) {
  environment_.Conclude(host_, [this, actions = std::move(actions)] {
    for (const authority::Action& action : actions) {
      Carry(action);
    }
  });
  ScheduleTick();
}

void NodeProcess::ScheduleTick() {
  const Duration wait = environment_.TrueTime(host_, authority_->NextTick()) - environment_.now();
  environment_.AtHost(host_, std::max(wait, kTimerResolution),
                      [this, number = ++tick_number_] { Tick(number); });
}

void NodeProcess::Carry(const authority::Action& action) {
  if (const auto* send = std::get_if<authority::SendMessage>(&action)) {
    peers_.SendFrame(host_, send->to, {id(), send->correlation, send->is_response, send->body});
  } else if (const auto* lease = std::get_if<authority::AnswerLease>(&action)) {
    if (auto answer = lease_answers_.extract(lease->correlation)) {
      answer.mapped()(lease->response);
    }
  } else if (const auto* command = std::get_if<authority::AnswerCommand>(&action)) {
    if (auto answer = proposal_answers_.extract(command->correlation)) {
      answer.mapped()(command->result);
    }
  } else if (const auto* run = std::get_if<authority::RunStoreTransaction>(&action)) {
    table_.Run(host_, run->transaction,
               [this, correlation = run->correlation](const StoreResult& result) {
                 Handle(authority::StoreAnswered{correlation, result.status, result.rows});
               });
  } else if (const auto* push = std::get_if<authority::PushGrants>(&action)) {
    peers_.PushGrants(host_, *push);
  } else if (std::holds_alternative<authority::RoutingChanged>(action)) {
    peers_.NoteRoutingChanged(host_);
  }
}

}  // namespace ladderstream::simulation
