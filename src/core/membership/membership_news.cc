// Exchange between nodes of back-end state other than registrations: suspects, limits and permits.
#include <algorithm>
#include <utility>
#include <vector>

#include "core/membership/membership.h"

namespace ladderstream::membership {
namespace {

/// Senders whose fastest message is remembered, ended ones included.
constexpr size_t kSendersPerMember = 4;

}  // namespace

void Membership::OnSuspects(std::vector<quarantine::SuspectRecord> suspects, bool own, Time now) {
  suspects_.Set(std::move(suspects), own, now);
  PublishSoon(own, now);
}

void Membership::OnLimits(std::vector<allowance::LimitRecord> own_limits,
                          std::vector<allowance::LimitRecord> all, bool own, Time now) {
  limits_.Set(std::move(own_limits), std::move(all), now);
  PublishSoon(own, now);
}

void Membership::PublishSoon(bool own, Time now) {
  if (IsCoordinator(now)) {
    push_wanted_ = true;
  } else if (own) {
    ReportSoon(now);
  }
}

Time Membership::SentAt(uint64_t sender, int64_t sent_us, Time now) {
  if (sent_us == 0) {
    return now;
  }
  if (transit_.size() > kSendersPerMember * (members().size() + 1)) {
    // Most of them have ended.
    transit_ = TransitClock();
  }
  return now - transit_.AgeOf(sender, sent_us, now);
}

void Membership::ReceiveSuspects(const std::vector<SharedSuspect>& suspects, bool are_all,
                                 Time sent_at) {
  const bool is_news = are_all && !suspects_.IsKnown();
  if (!suspects.empty() || is_news) {
    actions_.emplace_back(
        SuspectsReceivedAction{SuspectExchange::Decode(suspects, sent_at), are_all});
  }
}

void Membership::ReceiveLimits(const std::vector<SharedLimit>& limits, Time now) {
  if (!limits.empty()) {
    actions_.emplace_back(LimitsReceivedAction{LimitExchange::Decode(limits, now)});
  }
}

void Membership::Handle(const Destination& from, const PermitRequest& request, Time /*now*/) {
  actions_.emplace_back(PermitRequestedAction{
      from, {self_.incarnation, request.sequence, request.backend, request.rate, request.wanted}});
}

void Membership::Handle(const Destination& /*from*/, const PermitAnswer& answer, Time /*now*/) {
  actions_.emplace_back(
      PermitAnsweredAction{{answer.sequence, answer.granted, absl::Milliseconds(answer.retry_ms)}});
}

std::optional<Destination> Membership::FindMember(uint64_t incarnation) const {
  const auto member = std::find_if(
      members().begin(), members().end(),
      [incarnation](const PeerIdentity& one) { return one.incarnation == incarnation; });
  return member == members().end() ? std::nullopt
                                   : std::make_optional(members_.At(member->address));
}

void Membership::SendPermitRequest(const allowance::PermitQuestion& question) {
  if (const std::optional<Destination> issuer = FindMember(question.to)) {
    Send({*issuer},
         PermitRequest{question.sequence, question.backend, question.rate, question.wanted});
  }
}

void Membership::SendPermitAnswer(const Destination& to, const allowance::PermitReply& reply) {
  Send({to}, PermitAnswer{reply.sequence, reply.granted,
                          static_cast<uint32_t>(absl::ToInt64Milliseconds(reply.retry_in))});
}

}  // namespace ladderstream::membership
