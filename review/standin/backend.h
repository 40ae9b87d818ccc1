// A back end as PROTOCOL.md tells it: slots and a queue, held keys, orders, refusals that say so.
#pragma once

#include "standin.h"

namespace review {

struct BackendSettings {
  std::string service;
  std::string zone;
  bool sharded = false;
  unsigned slots = 3;
  unsigned queue = 12;
  double work_s = 0.1;
  size_t answer_bytes = 400;
};

/// What the answer is to.
enum class AnswerTo { kRequest, kGrant, kRelease };

/// How one answer goes out. Called with the whole answer, in the order of the connection.
class Sender {
 public:
  virtual ~Sender() = default;
  virtual bool Send(Connection& connection, const std::string& answer, bool refusal) {
    (void)refusal;
    return connection.Write(answer);
  }
  virtual bool SendToOrder(Connection& connection, const std::string& answer, AnswerTo to) {
    (void)to;
    return connection.Write(answer);
  }
  /// A request or order has come whole on this connection; its answer is still to come.
  virtual bool OnRequest(Connection& connection) {
    (void)connection;
    return true;
  }
};

class Backend {
 public:
  Backend(const BackendSettings& settings, Store* store, Record* record, uint64_t seed)
      : settings_(settings), store_(store), record_(record), random_(seed) {
    std::mt19937_64 ids(seed);
    id_ = "i-" + RandomId(ids).substr(0, 8);
    All().push_back(this);
  }

  /// `make_sender` is called once a connection.
  void Start(std::function<std::unique_ptr<Sender>()> make_sender = [] {
    return std::make_unique<Sender>();
  }) {
    address_ = Serve("127.0.0.1", [this, make_sender](Connection& connection) {
      const std::unique_ptr<Sender> sender = make_sender();
      Message request;
      while (connection.Read(&request, Now() + 600)) {
        if (!sender->OnRequest(connection) || !Handle(connection, *sender, request)) return;
      }
    });
    Register("ready");
  }
  void Register(const char* state) {
    store_->Put("servers", id_,
                Json{{"service", settings_.service}, {"address", address_.Text()},
                     {"zone", settings_.zone}, {"version", "v1"}, {"slots", settings_.slots},
                     {"state", state}, {"cold_left_s", 0}, {"seq", ++sequence_}}.dump());
  }

  const std::string& id() const { return id_; }
  /// Of all back ends together: grants taken while another back end was at work on one of the keys.
  static uint64_t given_at_work() { return given_at_work_; }
  uint64_t refusals() const { return refusals_; }
  /// Of all back ends together: request id -> how often it was begun.
  static std::map<std::string, std::vector<std::string>> Runs() {
    const std::lock_guard lock(RunsMutex());
    return AllRuns();
  }

 private:
  static std::mutex& RunsMutex() {
    static std::mutex mutex;
    return mutex;
  }
  static std::map<std::string, std::vector<std::string>>& AllRuns() {
    static std::map<std::string, std::vector<std::string>> runs;
    return runs;
  }

  std::string Answer(const Message& request, int status, const char* reason,
                     std::vector<std::pair<std::string, std::string>> headers,
                     const std::string& body) {
    headers.insert(headers.begin(),
                   {"X-Ladderstream-Request-Id", request.Header("X-Ladderstream-Request-Id")});
    headers.emplace_back("X-Ladderstream-Server-Load", std::to_string(running_) + "," +
                                                           std::to_string(waiting_) + "," +
                                                           std::to_string(settings_.slots));
    return MakeAnswer(status, reason, headers, body);
  }

  bool Handle(Connection& connection, Sender& sender, const Message& request) {
    const std::string path = request.Word(1);
    if (path == "/ladderstream/grant" || path == "/ladderstream/release") {
      const bool is_grant = path == "/ladderstream/grant";
      const Json order = Json::parse(request.body);
      const std::string expected = request.Header("X-Ladderstream-Expected-Instance");
      if (!expected.empty() && expected != id_) {
        return connection.Write(
            MakeAnswer(421, "Misdirected Request", {{"X-Ladderstream-Instance-Id", id_}}, ""));
      }
      const std::string answer = is_grant ? Grant(order) : Release(order);
      return sender.SendToOrder(connection, answer, is_grant ? AnswerTo::kGrant : AnswerTo::kRelease);
    }
    if (path == "/health") {
      return connection.Write(MakeAnswer(200, "OK", {{"X-Ladderstream-Instance-Id", id_}}, ""));
    }
    return Work(connection, sender, request);
  }

  bool Work(Connection& connection, Sender& sender, const Message& request) {
    const std::string id = request.Header("X-Ladderstream-Request-Id");
    const std::string expected = request.Header("X-Ladderstream-Expected-Instance");
    std::unique_lock lock(mutex_);
    if (!expected.empty() && expected != id_) {
      return sender.Send(connection,
                         Answer(request, 421, "Misdirected Request",
                                {{"X-Ladderstream-Instance-Id", id_}}, ""),
                         true);
    }
    const std::string text = request.Header("X-Ladderstream-Shard-Key");
    const int key = settings_.sharded && !text.empty() ? std::atoi(text.c_str()) : -1;
    const auto disowned = [&] {
      return settings_.sharded && (key < 0 || key > 65535 || Now() >= held_until_[key]);
    };
    const auto disown = [&] {
      ++refusals_;
      record_->Add("back end %s refuses %s with 421: key %d isn't held", id_.c_str(), id.c_str(), key);
      return sender.Send(connection,
                         Answer(request, 421, "Misdirected Request",
                                {{"X-Ladderstream-Not-Executed", "1"}}, ""),
                         true);
    };
    if (disowned()) return disown();
    if (running_ + waiting_ >= settings_.slots + settings_.queue) {
      ++refusals_;
      record_->Add("back end %s refuses %s with 503: it is full", id_.c_str(), id.c_str());
      return sender.Send(connection,
                         Answer(request, 503, "Service Unavailable",
                                {{"X-Ladderstream-Not-Executed", "1"}}, ""),
                         true);
    }
    const std::string left_ms = request.Header("X-Ladderstream-Deadline-Ms");
    const double deadline = left_ms.empty() ? 1e18 : Now() + std::atof(left_ms.c_str()) / 1000;
    ++waiting_;
    while (running_ >= settings_.slots) {
      changed_.wait_for(lock, std::chrono::milliseconds(5));
      if (Now() >= deadline) {
        --waiting_;
        ++refusals_;
        return sender.Send(connection,
                           Answer(request, 503, "Service Unavailable",
                                  {{"X-Ladderstream-Not-Executed", "1"}}, ""),
                           true);
      }
      if (connection.Stale()) {
        --waiting_;
        record_->Add("back end %s drops %s, which waited", id_.c_str(), id.c_str());
        return false;
      }
    }
    --waiting_;
    if (disowned()) return disown();  // Released while it waited.
    ++running_;
    const auto job = jobs_.insert(jobs_.end(), key);
    const double work =
        settings_.work_s * std::uniform_real_distribution<double>(0.7, 1.3)(random_);
    lock.unlock();
    size_t runs = 0;
    {
      const std::lock_guard runs_lock(RunsMutex());
      AllRuns()[id].push_back(id_);
      runs = AllRuns()[id].size();
    }
    record_->Add("back end %s runs %s%s", id_.c_str(), id.c_str(),
                 runs > 1 ? (", run " + std::to_string(runs) + " of it").c_str() : "");
    const double end = Now() + work;
    bool left = false;
    while (!left && Now() < std::min(end, deadline)) {
      SleepFor(std::min(0.005, std::min(end, deadline) - Now()));
      left = connection.Stale();
    }
    lock.lock();
    const bool in_time = Now() < deadline || end <= deadline;
    const bool lease_over = key >= 0 && Now() >= lease_until_[key];
    --running_;
    jobs_.erase(job);
    changed_.notify_all();
    if (left) return false;
    if (lease_over || !in_time) {
      const std::string failure = lease_over ? Answer(request, 500, "Internal Server Error", {}, "")
                                             : Answer(request, 504, "Gateway Timeout", {}, "");
      lock.unlock();
      return sender.Send(connection, failure, false);
    }
    const std::string answer = Answer(
        request, 200, "OK", {{"X-Ladderstream-Server-Stamp", id_.substr(2) + "." + id.substr(0, 8)}},
        std::string(settings_.answer_bytes, 'a'));
    lock.unlock();
    return sender.Send(connection, answer, false);
  }

  /// What rule OWNER says of a grant that was just taken: another back end is at work on one of its
  /// keys, and that one's lease, had it not been released, would last on.
  void CheckOthersAtWork(int from, int to, uint64_t fence) {
    for (Backend* other : All()) {
      if (other == this) continue;
      const std::lock_guard lock(other->mutex_);
      for (const int key : other->jobs_) {
        if (key < from || key > to || Now() >= other->lease_until_[key]) continue;
        ++given_at_work_;
        record_->Add("OWNER back end %s is given keys %d to %d under fence %llu while %s is at work on key "
                     "%d, whose lease would last %.2f s more",
                     id_.c_str(), from, to, static_cast<unsigned long long>(fence),
                     other->id_.c_str(), key, other->lease_until_[key] - Now());
      }
    }
  }

  std::string Grant(const Json& order) {
    const std::string answer = TakeGrant(order);
    if (answer.rfind("HTTP/1.1 200", 0) == 0) {
      CheckOthersAtWork(order.at("from_rev"), order.at("target_version"), order.at("fence"));
    }
    return answer;
  }
  std::string TakeGrant(const Json& order) {
    const std::lock_guard lock(mutex_);
    const int from = order.at("from_rev");
    const int to = order.at("target_version");
    const uint64_t fence = order.at("fence");
    for (int key = from; key <= to; ++key) {
      if (seen_fence_[key] > fence) return MakeAnswer(409, "Conflict", {}, "");
    }
    if (Now() >= held_until_[from]) {
      record_->Add("back end %s takes keys %d to %d under fence %llu", id_.c_str(), from, to,
                   static_cast<unsigned long long>(fence));
    }
    for (int key = from; key <= to; ++key) {
      seen_fence_[key] = fence;
      held_until_[key] = Now() + order.at("hold_s").get<double>();
      lease_until_[key] = held_until_[key];
    }
    return MakeAnswer(200, "OK", {}, "");
  }
  std::string Release(const Json& order) {
    std::unique_lock lock(mutex_);
    const int from = order.at("from_rev");
    const int to = order.at("target_version");
    const uint64_t fence = order.at("fence");
    for (int key = from; key <= to; ++key) {
      if (seen_fence_[key] <= fence) {
        seen_fence_[key] = fence;
        held_until_[key] = -1;
      }
    }
    record_->Add("back end %s releases keys %d to %d under fence %llu", id_.c_str(), from, to,
                 static_cast<unsigned long long>(fence));
    changed_.wait(lock, [&] {
      return std::none_of(jobs_.begin(), jobs_.end(),
                          [&](int key) { return key >= from && key <= to; });
    });
    return MakeAnswer(200, "OK", {{"X-Ladderstream-Handover", RandomId(random_)}}, "");
  }

  /// Filled before traffic starts.
  static std::vector<Backend*>& All() {
    static std::vector<Backend*> all;
    return all;
  }

  static inline std::atomic<uint64_t> given_at_work_ = 0;
  const BackendSettings settings_;
  Store* store_;
  Record* record_;
  std::string id_;
  Address address_;
  int sequence_ = 0;
  std::mutex mutex_;
  std::condition_variable changed_;
  std::mt19937_64 random_;
  unsigned running_ = 0;
  unsigned waiting_ = 0;
  std::atomic<uint64_t> refusals_ = 0;
  std::list<int> jobs_;
  std::vector<uint64_t> seen_fence_ = std::vector<uint64_t>(65536, 0);
  /// As granted, whether or not it was released since.
  std::vector<double> lease_until_ = std::vector<double>(65536, -1);
  std::vector<double> held_until_ = std::vector<double>(65536, -1);
};

}  // namespace review
