// The answers of a back end, whole or damaged.
#include <absl/strings/str_cat.h>

#include <utility>

#include "standin/fleet/backend.h"
#include "standin/fleet/endless_answer.h"
#include "standin/fleet/wire_names.h"

namespace ladderstream::fleet {
namespace {

constexpr double kChunkedShare = 0.1;
constexpr double kUntilCloseShare = 0.01;
/// More than a node may hold.
constexpr size_t kMostEndlessBytes = 300U << 20U;
constexpr char kGarbage[] = "\x01\x02 these bytes are no answer\r\n\r\n";

}  // namespace

Answer Backend::MakeAnswer(const ExchangePtr& exchange, int status) const {
  Answer answer;
  answer.status = status;
  answer.headers.emplace_back(wire::kInstanceId, self_.id);
  const size_t waiting = jobs_.size() - running_;
  answer.headers.emplace_back(wire::kServerLoad,
                              absl::StrCat(running_, ",", waiting, ",", spec_.slots));
  const std::string request_id = exchange->request().Header(wire::kRequestId);
  if (!request_id.empty()) {
    answer.headers.emplace_back(wire::kRequestId, request_id);
  }
  if (state_ == State::kDraining) {
    answer.headers.emplace_back(wire::kServerLeaving, "1");
  }
  if (faults_.limit >= 0) {
    answer.headers.emplace_back(wire::kServerLimit, absl::StrCat(faults_.limit));
  }
  answer.close = state_ != State::kServing;
  return answer;
}

void Backend::AnswerRun(const JobPtr& job) {
  Arrival& arrival = *job->arrival;
  Answer answer = MakeAnswer(job->exchange, arrival.status);
  arrival.stamp = absl::StrCat(self_.id, ".", runs_, ".", (*context_.random)());
  answer.headers.emplace_back(wire::kServerStamp, arrival.stamp);
  arrival.body_bytes = std::uniform_int_distribution<size_t>(
      spec_.answer_bytes / 2, spec_.answer_bytes * 3 / 2)(*context_.random);
  answer.body = BodyOf(arrival.stamp, arrival.body_bytes);
  if (Chance(kChunkedShare)) {
    answer.framing = Framing::kChunked;
  } else if (Chance(kUntilCloseShare)) {
    answer.framing = Framing::kUntilClose;
  }
  if (!Chance(faults_.lost_answers)) {
    SendDamaged(job->exchange, answer);
  } else if (faults_.lost_by_reset) {
    job->exchange->Reset();
  } else {
    job->exchange->Silence();
  }
}

void Backend::SendDamaged(const ExchangePtr& exchange, const Answer& answer) {
  // The end of a body that lasts until the close would not show that it was cut, nor that more
  // bytes follow it.
  const bool shows_its_end = answer.framing != Framing::kUntilClose;
  bool close = answer.close || !shows_its_end;
  if (Chance(faults_.endless_answers)) {
    SendEndlessly(exchange, answer);
    return;
  }
  std::string bytes = Serialize(answer);
  if (shows_its_end && Chance(faults_.cut_answers)) {
    bytes.resize(bytes.size() - answer.body.size() / 2);
    close = true;
  } else if (Chance(faults_.unframed_answers)) {
    bytes = kGarbage;
  } else if (shows_its_end && Chance(faults_.surplus_answers)) {
    bytes = absl::StrCat(bytes, bytes);
  } else if (Chance(faults_.late_answers) && !last_answer_.empty()) {
    bytes = absl::StrCat(last_answer_, bytes);
  }
  if (answer.framing == Framing::kLength && !close) {
    last_answer_ = Serialize(answer);
  }
  exchange->RespondRaw(std::move(bytes), close);
}

void Backend::SendOrderAnswer(const ExchangePtr& exchange, const Answer& answer) {
  if (Chance(faults_.endless_answers)) {
    SendEndlessly(exchange, answer);
  } else {
    exchange->Respond(answer);
  }
}

void Backend::SendEndlessly(const ExchangePtr& exchange, const Answer& answer) {
  const auto form = static_cast<EndlessForm>((*context_.random)() % kEndlessForms);
  EndlessAnswer endless = MakeEndless(form, answer);
  exchange->RespondEndlessly(std::move(endless.first), std::move(endless.block),
                             faults_.endless_pause, kMostEndlessBytes);
}

}  // namespace ladderstream::fleet
