// The callers of the fleet model, guilty and innocent.
#include <absl/strings/str_cat.h>

#include <algorithm>
#include <utility>

#include "fleet_model_state.h"

namespace ladderstream::model {

using quarantine::Fingerprint;

namespace {

constexpr uint64_t kReaders = 1000;

std::string AddressOf(uint64_t number) {
  constexpr uint64_t kHosts = 250;
  return absl::StrCat("10.2.", number / kHosts, ".", 1 + number % kHosts);
}

}  // namespace

std::string FleetModel::PathOf(const Request& request) {
  if (request.once) {
    return "/books/";
  }
  return request.by_key ? "/scripts/" : "/cards/";
}

gateway::CallerRequest FleetModel::Describe(const Request& request) {
  gateway::CallerRequest message;
  message.request_id = absl::StrCat("id-", ++last_call_);
  message.host = request.host;
  const std::string item =
      request.item.empty() ? quarantine::Format(request.fingerprint) : request.item;
  message.target = absl::StrCat(PathOf(request), item, request.query);
  message.head = absl::StrCat(request.body.empty() ? "GET " : "POST ", message.target,
                              " HTTP/1.1\r\nHost: ", request.host, "\r\n", request.headers,
                              "X-Request-Id: ", message.request_id, "\r\n");
  message.body = request.body;
  if (request.by_key) {
    message.key = 7;
  }
  return message;
}

std::optional<size_t> FleetModel::PickNode(const std::vector<size_t>& among) {
  std::vector<size_t> alive;
  for (size_t node = 0; node < nodes_.size(); ++node) {
    const bool wanted = among.empty() || std::find(among.begin(), among.end(), node) != among.end();
    if (wanted && nodes_[node]->alive) {
      alive.push_back(node);
    }
  }
  return alive.empty() ? std::nullopt : std::make_optional(alive[random_() % alive.size()]);
}

void FleetModel::StartRequest(const Request& request, size_t number) {
  AtNode(number, kTransit, [this, request, number] {
    Node& node = *nodes_[number];
    const gateway::CallerRequest message = Describe(request);
    forwarding::IncomingRequest incoming{message.request_id, message.host, message.target,
                                         message.key,        now_,         now_ + request.deadline};
    incoming.identity = settings_.identify_by_bytes ? gateway::IdentityOf(message, "X-Request-Id")
                                                    : request.fingerprint;
    const forwarding::RequestHandle handle = node.dispatcher->Start(incoming, now_);
    node.requests.emplace(handle, request);
  });
}

void FleetModel::Call(const GuiltyCaller& caller, Duration from_now) {
  guilty_[caller.request] = caller;
  At(from_now, [this, caller] { RepeatGuilty(caller); });
  if (caller.twins_per_second > 0) {
    At(from_now, [this, caller] { AskTwin(caller); });
  }
}

void FleetModel::RepeatGuilty(const GuiltyCaller& caller) {
  if (const std::optional<size_t> node = PickNode(caller.nodes)) {
    StartRequest(MakeGuilty(caller), *node);
  }
  At(caller.interval, [this, caller] { RepeatGuilty(caller); });
}

void FleetModel::Respell(Repeat repeat, uint64_t number, Request* request) {
  constexpr uint64_t kForms = 8;
  const uint64_t form = number % kForms;
  const auto bit = [form](int which) { return ((form >> which) & 1U) != 0; };
  switch (repeat) {
    case Repeat::kSame:
      break;
    case Repeat::kHostCase:
      request->host =
          absl::StrCat(bit(0) ? "H" : "h", ".", bit(1) ? "E" : "e", "xample", bit(2) ? "." : "");
      break;
    case Repeat::kParameterOrder:
      request->query =
          absl::StrCat("?", bit(0) ? "a=1&b=2" : "b=2&a=1", "&", bit(1) ? "c=3&d=4" : "d=4&c=3");
      break;
    case Repeat::kEscapes:
      request->query = absl::StrCat("?name=", bit(0) ? "%7e" : "~", bit(1) ? "%61" : "a",
                                    bit(2) ? "%2f" : "%2F");
      break;
    case Repeat::kTraceHeader:
      request->headers = absl::StrCat("traceparent: 00-", number, "-01\r\n");
  }
}

FleetModel::Request FleetModel::MakeGuilty(const GuiltyCaller& caller) {
  Request request{caller.request, true, caller.by_key, false, caller.deadline};
  request.caller = AddressOf(last_call_ % caller.callers);
  request.once = caller.once;
  Respell(caller.repeat, last_call_, &request);
  if (caller.body_bytes > 0) {
    request.body = std::string(caller.body_bytes, 'x') + "deadly";
  } else if (caller.twins_per_second > 0) {
    absl::StrAppend(&request.headers, "Cookie: deadly\r\n");
  }
  return request;
}

void FleetModel::AskTwin(const GuiltyCaller& caller) {
  if (const std::optional<size_t> node = PickNode()) {
    Request twin = MakeGuilty(caller);
    twin.fingerprint = {4, caller.request.low};
    twin.item = quarantine::Format(caller.request);
    twin.guilty = false;
    twin.poll = true;
    twin.headers.clear();
    if (!twin.body.empty()) {
      twin.body = std::string(caller.body_bytes, 'x') + "benign";
    }
    StartRequest(twin, *node);
  }
  std::exponential_distribution<double> gap(caller.twins_per_second);
  At(absl::Seconds(gap(random_)), [this, caller] { AskTwin(caller); });
}

void FleetModel::ReadItemOfMany() {
  if (const std::optional<size_t> node = PickNode()) {
    Request read{{5, 1}, false, false, true};
    read.caller = AddressOf(last_call_ % kReaders);
    StartRequest(read, *node);
  }
  std::exponential_distribution<double> gap(settings_.reads_of_many_per_second);
  At(absl::Seconds(gap(random_)), [this] { ReadItemOfMany(); });
}

void FleetModel::CallAtOnce(const GuiltyCaller& caller, size_t count) {
  guilty_[caller.request] = caller;
  for (size_t i = 0; i < count; ++i) {
    StartRequest(MakeGuilty(caller), i % nodes_.size());
  }
}

void FleetModel::AskInnocent() {
  if (const std::optional<size_t> node = PickNode()) {
    Request request{{2, ++last_innocent_}, false, random_() % 2 == 0};
    request.once = settings_.identify_by_bytes && !request.by_key && last_innocent_ % 3 == 0;
    StartRequest(request, *node);
  }
  std::exponential_distribution<double> gap(settings_.innocent_per_second);
  At(absl::Seconds(gap(random_)), [this] { AskInnocent(); });
}

void FleetModel::Poll(uint64_t number) {
  if (const std::optional<size_t> node = PickNode()) {
    StartRequest({{3, number}, false, number % 2 == 0, true}, *node);
  }
  At(absl::Milliseconds(500), [this, number] { Poll(number); });
}

void FleetModel::OnFinalAnswer(size_t number, forwarding::RequestHandle handle,
                               const forwarding::AnswerDecision& answer) {
  const auto found = nodes_[number]->requests.find(handle);
  if (found == nodes_[number]->requests.end()) {
    return;
  }
  Request request = found->second;
  nodes_[number]->requests.erase(found);
  if (request.guilty) {
    return;
  }
  const bool served = answer.status == kServed;
  if (served) {
    ++innocent_served_;
    ended_with_.erase(request.fingerprint);
    refused_since_.erase(request.fingerprint);
  }
  if (answer.code == ResultCode::kQuarantined || answer.code == ResultCode::kCrashSuspected) {
    Time& since = refused_since_.try_emplace(request.fingerprint, now_).first->second;
    if (store_away_) {
      // No trial is granted before the store is back.
      since = now_;
    }
    if (ended_with_[request.fingerprint].size() >= kCrashesPromised) {
      longest_refused_ = std::max(longest_refused_, now_ - since);
      return;
    }
    ++innocent_refused_;
    if (refusals_.size() < 2000) {
      absl::StrAppend(&refusals_, "\n  ", absl::FormatDuration(now_ - absl::FromUnixSeconds(1005)),
                      " node ", number, ", request ", quarantine::Format(request.fingerprint), ": ",
                      answer.reason);
    }
  }
  if (!served && answer.status != kTimeOver && !request.poll && request.repeats < kMostRepeats) {
    ++request.repeats;
    At(std::max(answer.retry_after, absl::Milliseconds(20)), [this, request] {
      if (const std::optional<size_t> node = PickNode()) {
        StartRequest(request, *node);
      }
    });
  }
}

}  // namespace ladderstream::model
