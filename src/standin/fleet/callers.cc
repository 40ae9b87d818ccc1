#include "standin/fleet/callers.h"

#include <absl/strings/match.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_format.h>

#include <algorithm>
#include <utility>

#include "standin/fleet/wire_names.h"

namespace ladderstream::fleet {
namespace {

constexpr Duration kConnectWithin = absl::Seconds(1);
constexpr Duration kPause = absl::Milliseconds(20);
// A caller waits as told up to this share of the time it has left.
constexpr double kMostWait = 1.0 / 3;
constexpr Duration kLeastTime = absl::Milliseconds(5);
constexpr size_t kChunk = 300;

/// The statuses which promise that a request has not run and never will.
bool IsPromise(int status) {
  return status == 408 || status == 421 || status == 429 || status == 503;
}

/// An address of the loopback network for the `number`th caller; apart from those of the nodes.
std::string AddressOf(uint64_t number) {
  constexpr uint64_t kHosts = 250;
  return absl::StrCat("127.64.", number / kHosts, ".", 1 + number % kHosts);
}

/// The result code of a node's own answer; 0 when it has none.
uint32_t ResultCodeOf(const interfaces::HttpResponse& response) {
  constexpr char kField[] = "{\"code\":";
  uint32_t code = 0;
  if (absl::StartsWith(response.body, kField)) {
    const size_t begin = sizeof(kField) - 1;
    const size_t end = response.body.find(',', begin);
    if (!absl::SimpleAtoi(response.body.substr(begin, end - begin), &code)) {
      return 0;
    }
  }
  return code;
}

/// The statuses after which no caller tries again.
bool IsFinal(int status) {
  constexpr int kFinal[] = {400, 401, 404, 413, 431};
  return status / 100 == 2 ||
         std::find(std::begin(kFinal), std::end(kFinal), status) != std::end(kFinal);
}

std::string InChunks(const std::string& body) {
  std::string out;
  for (size_t at = 0; at < body.size(); at += kChunk) {
    const std::string chunk = body.substr(at, kChunk);
    absl::StrAppend(&out, absl::Hex(chunk.size()), "\r\n", chunk, "\r\n");
  }
  return absl::StrCat(out, "0\r\n\r\n");
}

Duration ToldWait(const interfaces::HttpResponse& response) {
  double seconds = 0;
  const std::string told = FindHeader(response.headers, wire::kRetryAfter);
  return absl::SimpleAtod(told, &seconds) ? absl::Seconds(seconds) : absl::ZeroDuration();
}

}  // namespace

void RecordEnd(const CallResult& result, Attempt* attempt) {
  const interfaces::HttpResponse& response = result.response;
  attempt->ended = EventLoop::Now();
  attempt->end = result.end;
  attempt->status = response.status;
  attempt->stamp = FindHeader(response.headers, wire::kServerStamp);
  attempt->result_code = attempt->stamp.empty() ? ResultCodeOf(response) : 0;
  attempt->body_bytes = response.body.size();
  attempt->body_matches = response.body == BodyOf(attempt->stamp, response.body.size());
  const std::string id = FindHeader(response.headers, wire::kRequestId);
  attempt->id_matches = id.empty() || id == attempt->request_id;
}

struct Callers::Call {
  RequestClass request_class;
  uint64_t number = 0;
  CallRecord* record = nullptr;
  Time deadline;
  std::string target;
  std::string body;
  ownership::Key key = 0;
  uint32_t tries = 0;
  size_t last_node = SIZE_MAX;
};

Callers::Callers(EventLoop* loop, std::mt19937_64* random, NodePool* nodes, History* history)
    : loop_(loop), random_(random), nodes_(nodes), history_(history) {}

void Callers::Start(const RequestClass& request_class) {
  const bool is_new = classes_.insert_or_assign(request_class.name, request_class).second;
  if (is_new) {
    ScheduleNext(request_class.name);
  }
}

void Callers::ScheduleNext(const std::string& name) {
  std::exponential_distribution<double> gap(classes_.at(name).per_second);
  loop_->After(absl::Seconds(gap(*random_)), [this, name] {
    if (stopped_ || !classes_.contains(name)) {
      return;
    }
    ScheduleNext(name);
    Begin(classes_.at(name));
  });
}

void Callers::CallOnce(const RequestClass& request_class) { Begin(request_class); }

void Callers::Begin(const RequestClass& request_class) {
  auto call = std::make_shared<Call>();
  const Time now = EventLoop::Now();
  call->request_class = request_class;
  call->number = history_->calls.size();
  call->record = &history_->calls.emplace_back();
  call->record->request_class = request_class.name;
  call->record->sent = now;
  call->deadline = now + request_class.deadline;
  const bool is_alike = !request_class.item.empty();
  const std::string item = is_alike ? request_class.item : absl::StrCat(call->number);
  call->key = is_alike ? request_class.item_key : DrawKey();
  call->target = absl::StrCat(request_class.path_prefix, "item/", item, "?n=", call->key);
  if (!request_class.repeatable) {
    call->body = BodyOf(absl::StrCat("order ", item), request_class.body_bytes);
  }
  ++pending_;
  Try(call);
}

void Callers::Try(const CallPtr& call) {
  const Duration left = call->deadline - EventLoop::Now();
  const HttpClientConnectionPtr connection = TakeConnection(call);
  ++call->tries;
  const interfaces::HttpRequest request = MakeRequest(call, left);
  Attempt* attempt = &history_->attempts.emplace_back();
  attempt->call = call->number;
  attempt->request_class = call->request_class.name;
  attempt->request_id = FindHeader(request.headers, wire::kRequestId);
  attempt->host = call->request_class.host;
  attempt->target = call->target;
  attempt->node = call->last_node;
  attempt->digest = DigestOf(request.method, request.target, call->body);
  attempt->sent = EventLoop::Now();
  attempt->deadline = left;
  connection->Call(request, kConnectWithin, left,
                   [this, call, attempt, connection](const CallResult& result) {
                     OnResult(call, attempt, connection, result);
                   });
  MayAbandon(call, attempt, connection);
}

void Callers::MayAbandon(const CallPtr& call, Attempt* attempt,
                         const HttpClientConnectionPtr& connection) {
  const RequestClass& request_class = call->request_class;
  const bool leaves =
      std::uniform_real_distribution<double>(0, 1)(*random_) < request_class.impatient;
  if (!leaves) {
    return;
  }
  loop_->After(request_class.patience, [this, call, attempt, connection] {
    if (attempt->ended < absl::InfiniteFuture()) {
      return;
    }
    connection->Close();
    attempt->ended = EventLoop::Now();
    attempt->end = CallEnd::kAbandoned;
    End(call, /*served=*/false);
  });
}

interfaces::HttpRequest Callers::MakeRequest(const CallPtr& call, Duration left) {
  interfaces::HttpRequest request;
  request.method = call->request_class.repeatable ? "GET" : "POST";
  request.target = call->target;
  request.headers = {
      {"Host", call->request_class.host},
      {wire::kRequestId, DrawId()},
      {wire::kDeadlineMs, absl::StrCat(absl::ToInt64Milliseconds(left))},
  };
  if (call->request_class.keyed) {
    request.headers.emplace_back(wire::kShardKey, absl::StrCat(call->key));
  }
  request.body = call->body;
  if (!call->body.empty() && call->number % 2 == 1) {
    request.headers.emplace_back("Transfer-Encoding", "chunked");
    request.body = InChunks(call->body);
  }
  return request;
}

HttpClientConnectionPtr Callers::TakeConnection(const CallPtr& call) {
  const Time now = EventLoop::Now();
  while (!idle_.empty() && (!idle_.front().second->open() ||
                            now - idle_.front().second->idle_since() > longest_rest_)) {
    idle_.front().second->Close();
    idle_.pop_front();
  }
  const uint32_t addresses = call->request_class.addresses;
  const bool may_reuse =
      !call->request_class.fresh_connections && addresses == 0 && call->tries == 0;
  while (may_reuse && !idle_.empty()) {
    // Any of them, so that all nodes stay in use.
    std::uniform_int_distribution<size_t> distribution(0, idle_.size() - 1);
    const auto chosen = idle_.begin() + static_cast<std::ptrdiff_t>(distribution(*random_));
    const auto [node, connection] = *chosen;
    idle_.erase(chosen);
    if (connection->open() && now - connection->idle_since() <= longest_rest_) {
      call->last_node = node;
      return connection;
    }
    connection->Close();
  }
  call->last_node = nodes_->Pick(call->last_node);
  const std::string source = addresses == 0 ? "" : AddressOf(call->number % addresses);
  auto connection = HttpClientConnection::Make(loop_, nodes_->node(call->last_node).front, source);
  connection->OnUnasked([this] { ++history_->unasked_answers; });
  return connection;
}

void Callers::OnResult(const CallPtr& call, Attempt* attempt,
                       const HttpClientConnectionPtr& connection, const CallResult& result) {
  RecordEnd(result, attempt);
  if (result.reusable && !call->request_class.fresh_connections &&
      call->request_class.addresses == 0) {
    idle_.emplace_back(call->last_node, connection);
  } else {
    connection->Close();
  }
  RetryOrEnd(call, *attempt, result);
}

void Callers::RetryOrEnd(const CallPtr& call, const Attempt& attempt, const CallResult& result) {
  const Time now = EventLoop::Now();
  const Duration left = call->deadline - now;
  const bool answered = result.end == CallEnd::kAnswered;
  const bool did_not_run =
      result.end == CallEnd::kNotConnected || (answered && IsPromise(attempt.status));
  const bool may_repeat = call->request_class.repeatable || did_not_run;
  const bool retries = may_repeat && !(answered && IsFinal(attempt.status)) &&
                       call->tries <= call->request_class.retries &&
                       result.end != CallEnd::kTimedOut;
  if (retries) {
    const Duration told = answered ? ToldWait(result.response) : absl::ZeroDuration();
    const Duration wait = std::clamp(told, kPause, std::max(kPause, left * kMostWait));
    if (wait + kLeastTime < left) {
      loop_->After(wait, [this, call] { Try(call); });
      return;
    }
  }
  End(call, answered && attempt.status / 100 == 2);
}

void Callers::End(const CallPtr& call, bool served) {
  --pending_;
  call->record->ended = EventLoop::Now();
  call->record->served = served;
  served_ += served ? 1 : 0;
}

ownership::Key Callers::DrawKey() {
  const bool hot = std::uniform_real_distribution<double>(0, 1)(*random_) < key_load_.hot_share;
  const ownership::Key first = hot ? key_load_.hot_first : 0;
  const ownership::Key last =
      hot ? std::min(ownership::kLastKey, first + key_load_.hot_keys - 1) : ownership::kLastKey;
  return std::uniform_int_distribution<ownership::Key>(first, last)(*random_);
}

std::string Callers::DrawId() { return absl::StrFormat("%016x", (*random_)()); }

}  // namespace ladderstream::fleet
