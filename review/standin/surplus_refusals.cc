// A faulty back end sends one of its refusals twice, the second time late: in the place of the next
// answer on the connection.
//
// Three nodes; ten back ends own the keys of a service whose requests may run once. Some refusals
// happen at any time, as the owners of busy keys are full now and then. Of every back end at fault
// (six of ten), three answers in a hundred come once more, twice for five seconds; here
// these are refusals.
#include "backend.h"

namespace review {
namespace {

constexpr size_t kBackends = 10;
/// garble, "extra late": share 0.6, x 0.03, for_s 5.
constexpr size_t kFaulty = 6;
constexpr double kFaultFor = 5;
constexpr double kSurplusShare = 0.03;
constexpr double kTrafficFor = 26;
/// From the start of traffic.
constexpr double kFaultAt[] = {7, 17};
constexpr size_t kCallersPerNode = 26;
constexpr double kPause = 0.1;

/// What one back end has answered while it was at fault, and how much of it came twice.
struct Dose {
  std::mutex mutex;
  /// Of the span that lasts.
  uint64_t answers = 0;
  uint64_t surplus = 0;
  std::atomic<bool> at_fault = false;
  void Begin() {
    const std::lock_guard lock(mutex);
    answers = 0;
    surplus = 0;
    at_fault = true;
  }
  void OnAnswer() {
    const std::lock_guard lock(mutex);
    answers += at_fault ? 1 : 0;
  }
  /// Whether one more answer may come twice.
  bool Take() {
    const std::lock_guard lock(mutex);
    if (!at_fault) return false;
    if (static_cast<double>(surplus + 1) > kSurplusShare * static_cast<double>(answers)) return false;
    ++surplus;
    return true;
  }
};

class LateSurplus : public Sender {
 public:
  LateSurplus(Dose* dose, Record* record, std::string backend)
      : dose_(dose), record_(record), backend_(std::move(backend)) {}
  bool Send(Connection& connection, const std::string& answer, bool refusal) override {
    dose_->OnAnswer();
    if (refusal && answer.rfind("HTTP/1.1 503", 0) == 0 && dose_->Take()) kept_ = answer;
    return connection.Write(answer);
  }
  bool OnRequest(Connection& connection) override {
    const std::string surplus = std::exchange(kept_, "");
    if (surplus.empty()) return true;
    const size_t at = surplus.find("X-Ladderstream-Request-Id: ") + 27;
    record_->Add("back end %s sends its refusal of %s once more, late", backend_.c_str(),
                 surplus.substr(at, surplus.find("\r\n", at) - at).c_str());
    return connection.Write(surplus);
  }

 private:
  Dose* dose_;
  Record* record_;
  const std::string backend_;
  std::string kept_;
};

struct Sent {
  std::string booking;
  int status = 0;
};

class Caller {
 public:
  Caller(const Nodes* nodes, size_t home, uint64_t seed, Record* record)
      : nodes_(nodes), node_(home), random_(seed), record_(record) {}
  void Run(double until) {
    while (Now() < until) {
      Book();
      SleepFor(kPause * std::uniform_real_distribution<double>(0, 2)(random_));
    }
  }
  const std::map<std::string, Sent>& sent() const { return sent_; }

 private:
  /// One booking: tried again, under a new id, only after a promise that it hasn't run.
  void Book() {
    const std::string booking = RandomId(random_);
    // Few busy keys, close to one another.
    const int key = random_() % 2 == 0 ? 20000 + static_cast<int>(random_() % 400)
                                       : static_cast<int>(random_() % 65536);
    const double deadline = Now() + 5;
    for (int attempt = 0; attempt < 3; ++attempt) {
      const std::string id = RandomId(random_);
      Message answer;
      const bool answered = Try(booking, id, key, deadline, &answer);
      const int status = answered ? answer.Status() : 0;
      sent_[id] = {booking, status};
      if (status != 200) {
        record_->Add("caller has %s (booking %s): status %d %s", id.c_str(), booking.c_str(), status,
                     answer.body.substr(0, 150).c_str());
      }
      const bool promised = status == 429 || status == 503 || status == 408 || status == 421;
      if (!promised) return;
      const double wait = std::atof(answer.Header("Retry-After").c_str());
      SleepFor(std::min(wait, (deadline - Now()) / 3));
      if (Now() + 0.5 > deadline) return;
      // Later tries reach other nodes, over new connections.
      connection_.reset();
      node_ = (node_ + 1) % nodes_->size();
    }
  }
  bool Try(const std::string& booking, const std::string& id, int key, double deadline,
           Message* answer) {
    if (connection_ == nullptr || connection_->Stale()) {
      connection_ = Connect(nodes_->callers(node_), 1);
      if (connection_ == nullptr) return false;
    }
    const std::string body = "booking " + booking;
    const bool sent = connection_->Write(
        "POST /rappel/book HTTP/1.1\r\nHost: rappel.example\r\nX-Ladderstream-Request-Id: " + id +
        "\r\nX-Ladderstream-Deadline-Ms: " + std::to_string(static_cast<int>((deadline - Now()) * 1000)) +
        "\r\nX-Ladderstream-Shard-Key: " + std::to_string(key) +
        "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
    const bool answered = sent && connection_->Read(answer, deadline);
    if (!answered || strcasecmp(answer->Header("Connection").c_str(), "close") == 0) connection_.reset();
    return answered;
  }

  const Nodes* nodes_;
  size_t node_;
  std::mt19937_64 random_;
  Record* record_;
  ConnectionPtr connection_;
  std::map<std::string, Sent> sent_;
};

[[noreturn]] void Run(const std::string& root, const std::string& folder,
                      const std::string& record_path) {
  Record record(record_path);
  Store store;
  store.Start("127.0.0.1");
  const char* zones[] = {"rennes-a", "brest-b", "vannes-c"};
  BackendSettings settings;
  settings.service = "rappel";
  settings.sharded = true;
  settings.slots = 3;
  settings.queue = 1;
  settings.work_s = 0.05;
  std::vector<std::unique_ptr<Backend>> backends;
  Dose doses[kBackends];
  for (size_t i = 0; i < kBackends; ++i) {
    settings.zone = zones[i % 3];
    backends.push_back(std::make_unique<Backend>(settings, &store, &record, 200 + i));
    Backend& backend = *backends.back();
    const bool faulty = WithTrouble() && i < kFaulty;
    record.Add("back end %s%s", backend.id().c_str(), faulty ? ", at fault" : "");
    backend.Start([&, faulty, i, id = backend.id()]() -> std::unique_ptr<Sender> {
      if (!faulty) return std::make_unique<Sender>();
      return std::make_unique<LateSurplus>(&doses[i], &record, id);
    });
  }
  store.Put("op", "config",
            R"({"version":"r7","routes":{"callback-booking":{"host":"rappel.example",)"
            R"("path_prefix":"/rappel/","kind":"unsafe","timeout_s":5,"target_latency_s":0.8,)"
            R"("priority":1,"service":"rappel","max_attempts":2}},"services":{"rappel":)"
            R"({"health_path":"/health","max_conns":130,"sharded":true,"warmup_s":0}},)"
            R"("limits":{"max_header_bytes":16384,"max_body_bytes":67108864,)"
            R"("header_timeout_s":3,"idle_timeout_s":15}})");
  Nodes nodes(root, folder);
  for (const char* zone : zones) nodes.Add(zone, store.address());
  nodes.StartAll();
  nodes.AwaitReady(Now() + 20);
  record.Add("all nodes are ready");
  nodes.AskEachSecond();
  SleepFor(2);

  std::vector<std::unique_ptr<Caller>> callers;
  std::vector<std::thread> threads;
  const double until = Now() + kTrafficFor;
  for (size_t i = 0; i < nodes.size() * kCallersPerNode; ++i) {
    callers.push_back(std::make_unique<Caller>(&nodes, i % nodes.size(), 1000 + i, &record));
    threads.emplace_back([&caller = *callers.back(), until] { caller.Run(until); });
  }
  const double begin = Now();
  for (const double at : kFaultAt) {
    if (!WithTrouble()) break;
    SleepFor(begin + at - Now());
    record.Add("back ends are at fault for %.0f s", kFaultFor);
    for (size_t i = 0; i < kFaulty; ++i) doses[i].Begin();
    SleepFor(kFaultFor);
    for (size_t i = 0; i < kFaulty; ++i) doses[i].at_fault = false;
    record.Add("back ends are sound again");
    for (size_t i = 0; i < kFaulty; ++i) {
      record.Add("back end %s sent %llu answers in this span, %llu of them twice",
                 backends[i]->id().c_str(), static_cast<unsigned long long>(doses[i].answers),
                 static_cast<unsigned long long>(doses[i].surplus));
    }
  }
  for (std::thread& thread : threads) thread.join();
  SleepFor(1);  // What will run later does so by then.

  const auto runs = Backend::Runs();
  size_t requests = 0;
  size_t twice = 0;
  size_t refused = 0;
  std::map<std::string, size_t> runs_of_booking;
  for (const auto& caller : callers) {
    for (const auto& [id, sent] : caller->sent()) {
      ++requests;
      const auto found = runs.find(id);
      const size_t count = found == runs.end() ? 0 : found->second.size();
      runs_of_booking[sent.booking] += count;
      if (count > 1) {
        ++twice;
        record.Add("TWICE %s ran %zu times; the caller had status %d", id.c_str(), count, sent.status);
      }
      const bool promised =
          sent.status == 429 || sent.status == 503 || sent.status == 408 || sent.status == 421;
      if (promised && count > 0) {
        ++refused;
        record.Add("REFUSED %s: the caller had status %d, and it ran %zu times", id.c_str(),
                   sent.status, count);
      }
    }
  }
  const auto doubled =
      static_cast<size_t>(std::count_if(runs_of_booking.begin(), runs_of_booking.end(),
                                        [](const auto& entry) { return entry.second > 1; }));
  uint64_t refusals = 0;
  for (const auto& backend : backends) refusals += backend->refusals();
  record.Add("%zu requests, %llu refusals of back ends; %zu requests ran twice, %zu ran and were refused, "
             "%zu bookings were made twice",
             requests, static_cast<unsigned long long>(refusals), twice, refused, doubled);
  std::printf("%zu requests, %llu refusals of back ends; %zu ran twice, %zu ran and were refused, %zu bookings made twice\n",
              requests, static_cast<unsigned long long>(refusals), twice, refused, doubled);
  nodes.KillAll();
  std::fflush(stdout);
  _exit(twice + refused > 0 ? 1 : 0);
}

}  // namespace
}  // namespace review

int main(int argc, char** argv) {
  if (argc != 4) return 2;
  try {
    review::Run(argv[1], argv[2], argv[3]);
  } catch (const std::exception& error) {
    std::fprintf(stderr, "%s\n", error.what());
    _exit(2);
  }
}
