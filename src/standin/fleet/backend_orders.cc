// Grants and releases of keys at a back end.
#include <absl/strings/str_cat.h>

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

#include "standin/fleet/backend.h"
#include "standin/fleet/wire_names.h"
#include "wire/result_code.h"

namespace ladderstream::fleet {
namespace {

using nlohmann::json;

constexpr int kOk = 200;
constexpr int kBadRequest = 400;
constexpr int kFenced = 409;

/// Throws Error(kMalformedMessage) when the body is no order.
GrantOrder DecodeOrder(const std::string& body, bool with_hold) {
  try {
    const json order = json::parse(body);
    GrantOrder decoded;
    decoded.range.first = order.at("from_rev").get<ownership::Key>();
    decoded.range.last = order.at("target_version").get<ownership::Key>();
    decoded.fence = order.at("fence").get<ownership::Fence>();
    if (with_hold) {
      decoded.hold = absl::Seconds(order.at("hold_s").get<double>());
      decoded.handover = order.value("handover", "");
    }
    if (decoded.range.first > decoded.range.last || decoded.range.last > ownership::kLastKey) {
      throw Error(ResultCode::kMalformedMessage, "no range of keys");
    }
    return decoded;
  } catch (const json::exception& error) {
    throw Error(ResultCode::kMalformedMessage, error.what());
  }
}

void RespondBadOrder(const ExchangePtr& exchange, const std::string& what) {
  exchange->Respond({.status = kBadRequest,
                     .headers = {{"Content-Type", "application/json"}},
                     .body = json({{"error", what}}).dump(),
                     .framing = Framing::kLength,
                     .close = false});
}

}  // namespace

void Backend::OnGrant(const ExchangePtr& exchange) {
  GrantOrder order;
  try {
    order = DecodeOrder(exchange->request().body, /*with_hold=*/true);
  } catch (const Error& error) {
    RespondBadOrder(exchange, error.what());
    return;
  }
  const bool proper =
      spec_.sharded && order.hold > absl::ZeroDuration() && order.hold <= context_.longest_hold;
  if (!proper) {
    RespondBadOrder(exchange, "not divided by key, or a hold that is too long");
    return;
  }
  if (Chance(faults_.late_orders)) {
    exchange->Silence();
    context_.loop->After(faults_.late_by, [this, exchange, order] {
      TakeGrant(exchange, order, /*late=*/true, /*answers=*/false);
    });
    return;
  }
  TakeGrant(exchange, order, /*late=*/false, !Chance(faults_.unanswered_orders));
}

void Backend::TakeGrant(const ExchangePtr& exchange, const GrantOrder& order, bool late,
                        bool answers) {
  if (state_ == State::kEnded) {
    return;
  }
  const Time now = EventLoop::Now();
  const bool taken = holdings_.Grant(order, now);
  if (taken) {
    NoteHold(HoldEvent::Kind::kGrant, order, holdings_.EndOf(order.hold, now), late,
             exchange->request().source);
  }
  if (answers) {
    SendOrderAnswer(exchange, MakeAnswer(exchange, taken ? kOk : kFenced));
  } else if (!late) {
    exchange->Silence();
  }
}

void Backend::OnRelease(const ExchangePtr& exchange) {
  GrantOrder order;
  try {
    order = DecodeOrder(exchange->request().body, /*with_hold=*/false);
  } catch (const Error& error) {
    RespondBadOrder(exchange, error.what());
    return;
  }
  const Time now = EventLoop::Now();
  const std::string handover = holdings_.Release(order.range, order.fence, now);
  NoteHold(HoldEvent::Kind::kRelease, order, now, false, exchange->request().source);
  if (Chance(faults_.unanswered_orders)) {
    exchange->Silence();
    return;
  }
  releases_.push_back({.exchange = exchange, .range = order.range, .handover = handover});
  AnswerReleases();
}

void Backend::AnswerReleases() {
  for (auto at = releases_.begin(); at != releases_.end();) {
    if (IsAtWorkOn(at->range)) {
      ++at;
      continue;
    }
    Answer answer = MakeAnswer(at->exchange, kOk);
    if (!at->handover.empty()) {
      answer.headers.emplace_back(wire::kHandover, at->handover);
    }
    SendOrderAnswer(at->exchange, answer);
    at = releases_.erase(at);
  }
}

bool Backend::IsAtWorkOn(const ownership::KeyRange& range) const {
  return std::any_of(jobs_.begin(), jobs_.end(), [&range](const JobPtr& job) {
    return job->running && job->key && range.Contains(*job->key);
  });
}

void Backend::NoteHold(HoldEvent::Kind kind, const GrantOrder& order, Time until, bool late,
                       const std::string& source) {
  if (spec_.sharded) {
    const Time now = EventLoop::Now();
    context_.history->holds.push_back({.kind = kind,
                                       .backend = self_.id,
                                       .service = spec_.name,
                                       .range = order.range,
                                       .fence = order.fence,
                                       .at = now,
                                       .until = until,
                                       .taken_late = late,
                                       .held_up = IsHeldUp(now),
                                       .source = source});
  }
}

}  // namespace ladderstream::fleet
