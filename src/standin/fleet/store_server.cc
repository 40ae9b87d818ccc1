#include "standin/fleet/store_server.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <utility>

#include "standin/fleet/store_codec.h"
#include "standin/fleet/wire_names.h"
#include "wire/result_code.h"

namespace ladderstream::fleet {
namespace {

using nlohmann::json;

constexpr int kOk = 200;
constexpr int kBadRequest = 400;
constexpr int kForbidden = 403;
constexpr int kNotFound = 404;
constexpr int kGone = 410;
constexpr int kConditionFailed = 412;
constexpr int kTooManyRequests = 429;
constexpr int kUnavailable = 503;
constexpr size_t kMostRowsAtOnce = 500;
constexpr uint64_t kLongestWaitMs = 30'000;
constexpr Duration kHistoryInterval = absl::Seconds(1);

bool TouchesBackendTable(const store::Transaction& transaction) {
  const auto is_backend = [](const store::RowKey& key) { return key.table == wire::kBackendTable; };
  return std::any_of(transaction.puts.begin(), transaction.puts.end(),
                     [&](const auto& put) { return is_backend(put.key); }) ||
         std::any_of(transaction.removals.begin(), transaction.removals.end(), is_backend);
}

json EncodeRows(const std::vector<store::Row>& rows) {
  json encoded = json::array();
  for (const store::Row& row : rows) {
    encoded.push_back(EncodeRow(row));
  }
  return encoded;
}

}  // namespace

StoreServer::StoreServer(EventLoop* loop, const StoreSettings& settings)
    : loop_(loop), settings_(settings), random_(settings.seed) {
  for (size_t entrance = 0; entrance < settings.entrances.size(); ++entrance) {
    servers_.push_back(std::make_unique<HttpServer>(
        loop, settings.entrances[entrance],
        [this, entrance](const ExchangePtr& exchange) { OnCall(entrance, exchange); }));
  }
  loop_->Every(kHistoryInterval,
               [this] { rows_.ForgetChanges(EventLoop::Now() - settings_.history); });
}

bool StoreServer::sound() const {
  return faults_.outage == StoreOutage::kNone && faults_.slowdown <= 1 &&
         faults_.lost_answers <= 0 && faults_.late_writes <= 0;
}

void StoreServer::SetFaults(const StoreFaults& faults) {
  faults_ = faults;
  sound_since_ = sound() ? EventLoop::Now() : absl::InfiniteFuture();
  if (faults.outage == StoreOutage::kReset) {
    for (const WaitingFeed& feed : std::exchange(feeds_, {})) {
      feed.exchange->Reset();
    }
  } else if (faults.outage != StoreOutage::kNone) {
    for (const WaitingFeed& feed : std::exchange(feeds_, {})) {
      feed.exchange->Silence();
    }
  }
}

void StoreServer::SetFaultsAt(size_t entrance, const StoreFaults& faults) {
  faults_at_[entrance] = faults;
  if (faults.outage == StoreOutage::kNone) {
    return;
  }
  if (faults.outage == StoreOutage::kSilent) {
    // As for all nodes: who waits learns nothing, not even that.
    SilenceWatchesAt(entrance);
    return;
  }
  for (auto feed = feeds_.begin(); feed != feeds_.end();) {
    if (feed->entrance == entrance) {
      feed->exchange->Reset();
      feed = feeds_.erase(feed);
    } else {
      ++feed;
    }
  }
}

void StoreServer::SilenceWatchesAt(size_t entrance) {
  feeds_.remove_if([entrance](const WaitingFeed& feed) {
    if (feed.entrance == entrance) {
      feed.exchange->Silence();
    }
    return feed.entrance == entrance;
  });
}

void StoreServer::Compact(Duration time) {
  feeds_held_until_ = EventLoop::Now() + time;
  loop_->After(time, [this] {
    rows_.ForgetChanges(EventLoop::Now());
    WakeFeeds();
  });
}

void StoreServer::Heal() {
  faults_at_.clear();
  SetFaults({});
}

bool StoreServer::Transact(const store::Transaction& transaction, TransactionResult* result) {
  if (faults_.outage != StoreOutage::kNone) {
    return false;
  }
  *result = Commit(transaction);
  return true;
}

bool StoreServer::Allowance::Take(double per_second, Time now) {
  left = std::min(per_second, left + absl::ToDoubleSeconds(now - at) * per_second);
  at = now;
  if (left < 1) {
    return false;
  }
  left -= 1;
  return true;
}

const StoreFaults& StoreServer::FaultsOf(size_t entrance) const {
  const auto found = faults_at_.find(entrance);
  return found == faults_at_.end() ? faults_ : found->second;
}

void StoreServer::OnCall(size_t entrance, const ExchangePtr& exchange) {
  const StoreFaults& faults = FaultsOf(entrance);
  switch (faults.outage) {
    case StoreOutage::kSilent:
      exchange->Silence();
      return;
    case StoreOutage::kReset:
      exchange->Reset();
      return;
    case StoreOutage::kUnavailable:
      ++counts_.refused;
      Respond(exchange, kUnavailable, json::object());
      return;
    case StoreOutage::kThrottled:
      ++counts_.refused;
      Respond(exchange, kTooManyRequests, json::object());
      return;
    case StoreOutage::kNone:
      break;
  }
  const std::string path = ParseTarget(exchange->request().target).path;
  const bool writes = exchange->request().method != "GET";
  const bool allowed = writes ? writes_.Take(settings_.writes_per_second, EventLoop::Now())
                              : reads_.Take(settings_.reads_per_second, EventLoop::Now());
  if (!allowed) {
    ++counts_.refused;
    Respond(exchange, kTooManyRequests, json::object());
    return;
  }
  loop_->After(settings_.call_time * faults.slowdown,
               [this, entrance, exchange, path] { Serve(entrance, exchange, path); });
}

void StoreServer::Serve(size_t entrance, const ExchangePtr& exchange, const std::string& path) {
  try {
    if (path == wire::kTransactionPath && exchange->request().method == "POST") {
      ++counts_.writes;
      Write(entrance, exchange);
    } else if (path == wire::kReadPath && exchange->request().method == "GET") {
      ++counts_.reads;
      Read(exchange);
    } else if (path == wire::kFeedPath && exchange->request().method == "GET") {
      ++counts_.feeds;
      Feed(entrance, exchange);
    } else {
      Respond(exchange, kNotFound, {{"error", "no such call"}});
    }
  } catch (const Error& error) {
    Respond(exchange, kBadRequest, {{"error", error.what()}});
  }
}

void StoreServer::Write(size_t entrance, const ExchangePtr& exchange) {
  const store::Transaction transaction = DecodeTransaction(exchange->request().body);
  if (TouchesBackendTable(transaction)) {
    Respond(exchange, kForbidden, {{"error", "this table belongs to the back ends"}});
    return;
  }
  const StoreFaults& faults = FaultsOf(entrance);
  if (faults.outage != StoreOutage::kNone) {
    // The outage came while the call was under way.
    exchange->Silence();
    return;
  }
  if (Chance(faults.late_writes)) {
    exchange->Silence();
    loop_->After(faults.late_by, [this, transaction] { Commit(transaction); });
    return;
  }
  const TransactionResult result = Commit(transaction);
  if (result.applied && !transaction.conditions.empty()) {
    last_conditional_writer_ = entrance;
  }
  if (Chance(faults.lost_answers)) {
    exchange->Silence();
    return;
  }
  if (result.applied) {
    Respond(exchange, kOk, json::object());
  } else {
    Respond(exchange, kConditionFailed, {{"rows", EncodeRows(result.rows)}});
  }
}

void StoreServer::Read(const ExchangePtr& exchange) {
  const Target target = ParseTarget(exchange->request().target);
  MetadataStore::RangeQuery query;
  query.table = target.Get("table");
  query.partition = target.Get("part");
  query.from_key = target.Get("from_rev");
  query.until_key = target.Get("target_version");
  query.limit = std::min<uint64_t>(target.GetNumber("limit", kMostRowsAtOnce), kMostRowsAtOnce);
  bool more = false;
  const std::vector<store::Row> rows = rows_.Read(query, &more);
  Respond(exchange, kOk, {{"rows", EncodeRows(rows)}, {"has_more", more}});
}

void StoreServer::Feed(size_t entrance, const ExchangePtr& exchange) {
  const Target target = ParseTarget(exchange->request().target);
  WaitingFeed feed{.exchange = exchange,
                   .table = target.Get("table"),
                   .after = target.GetNumber("after", 0),
                   .entrance = entrance,
                   .number = ++next_feed_};
  const bool held = EventLoop::Now() < feeds_held_until_;
  if (!held && AnswerFeed(feed, /*even_if_empty=*/false)) {
    return;
  }
  const uint64_t wait_ms = std::min(target.GetNumber("wait_ms", 0), kLongestWaitMs);
  feeds_.push_back(feed);
  loop_->After(absl::Milliseconds(wait_ms), [this, number = feed.number] {
    const auto found = std::find_if(feeds_.begin(), feeds_.end(), [number](const WaitingFeed& one) {
      return one.number == number;
    });
    if (found != feeds_.end()) {
      AnswerFeed(*found, /*even_if_empty=*/true);
      feeds_.erase(found);
    }
  });
}

bool StoreServer::AnswerFeed(const WaitingFeed& feed, bool even_if_empty) {
  std::vector<store::Row> changes;
  if (!rows_.ChangesAfter(feed.table, feed.after, &changes)) {
    Respond(feed.exchange, kGone, json::object());
    return true;
  }
  if (changes.empty() && !even_if_empty) {
    return false;
  }
  Respond(feed.exchange, kOk, {{"rows", EncodeRows(changes)}});
  return true;
}

void StoreServer::WakeFeeds() {
  if (EventLoop::Now() < feeds_held_until_) {
    return;
  }
  feeds_.remove_if(
      [this](const WaitingFeed& feed) { return AnswerFeed(feed, /*even_if_empty=*/false); });
}

TransactionResult StoreServer::Commit(const store::Transaction& transaction) {
  TransactionResult result = rows_.Apply(transaction, EventLoop::Now());
  if (result.applied) {
    WakeFeeds();
  }
  return result;
}

void StoreServer::Respond(const ExchangePtr& exchange, int status, json body) const {
  body["ver"] = rows_.version();
  body["now_s"] = absl::ToDoubleSeconds(EventLoop::Now() - started_);
  exchange->Respond({.status = status,
                     .headers = {{"Content-Type", "application/json"}},
                     .body = body.dump(),
                     .framing = Framing::kLength,
                     .close = false});
}

bool StoreServer::Chance(double share) {
  return share > 0 && std::uniform_real_distribution<double>(0, 1)(random_) < share;
}

}  // namespace ladderstream::fleet
