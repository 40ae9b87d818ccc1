// A planned stop of a node while callers on slow links take their answers.
//
// Three nodes, two back ends. Callers ask for an album and read the answer as fast as a slow link
// gives it, without a pause. One node gets SIGTERM, as in a rolling restart, while they read.
#include "backend.h"

namespace review {
namespace {

constexpr size_t kAnswerBytes = 2'200'000;
/// 4 Mbit/s, in pieces of 20 ms.
constexpr double kBytesPerSecond = 500'000;
constexpr double kPiece = 0.02;
constexpr size_t kReadersPerNode = 4;
constexpr double kDeadline = 8;
constexpr double kGrace = 6;

struct Outcome {
  std::string id;
  size_t node = 0;
  double sent = 0;
  double ended = 0;
  int status = 0;
  size_t announced = 0;
  size_t body = 0;
  const char* end = "";
  bool Complete() const { return status == 200 && body == announced; }
};

/// Small packets (the default of IPv4) and a small window, so that the kernels hold little of an answer,
/// as on a link that isn't the loopback's.
void UseSlowLink(int fd) {
  const int segment = 536;
  const int window = 8192;
  setsockopt(fd, IPPROTO_TCP, TCP_MAXSEG, &segment, sizeof(segment));
  setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &window, sizeof(window));
}

void ReadSlowly(const Address& node, Outcome* outcome, Record* record) {
  const ConnectionPtr connection = Connect(node, 1, UseSlowLink);
  if (connection == nullptr) CannotRun("a caller has no connection");
  outcome->sent = Now();
  record->Add("caller sends %s to node %zu", outcome->id.c_str(), outcome->node + 1);
  connection->Write("GET /album/" + outcome->id +
                    " HTTP/1.1\r\nHost: album.example\r\nX-Ladderstream-Request-Id: " + outcome->id +
                    "\r\nX-Ladderstream-Deadline-Ms: 8000\r\n\r\n");
  const double deadline = outcome->sent + kDeadline;
  size_t head = std::string::npos;
  double begin = Now();
  outcome->end = "whole";
  for (;;) {
    const auto size = connection->ReadSome(static_cast<size_t>(kBytesPerSecond * kPiece), deadline);
    if (size <= 0) {
      outcome->end = size == 0 ? "closed" : size == -1 ? "reset" : "deadline";
      break;
    }
    const std::string& bytes = connection->buffer();
    if (head == std::string::npos && (head = bytes.find("\r\n\r\n")) != std::string::npos) {
      begin = Now();
      outcome->status = std::atoi(bytes.c_str() + 9);
      outcome->announced = std::strtoul(bytes.c_str() + bytes.find("Content-Length: ") + 16, nullptr, 10);
    }
    outcome->body = head == std::string::npos ? 0 : bytes.size() - head - 4;
    if (head != std::string::npos && outcome->body >= outcome->announced) break;
    SleepFor(begin + static_cast<double>(outcome->body) / kBytesPerSecond - Now());
  }
  outcome->ended = Now();
  record->Add("caller has %s from node %zu: status %d, %zu of %zu bytes, %s, %.2f s after it was sent",
              outcome->id.c_str(), outcome->node + 1, outcome->status, outcome->body,
              outcome->announced, outcome->end, outcome->ended - outcome->sent);
}

[[noreturn]] void Run(const std::string& root, const std::string& folder, const std::string& record_path) {
  Record record(record_path);
  Store store;
  store.Start("127.0.0.1");
  BackendSettings settings;
  settings.service = "albumdienst";
  settings.zone = "innsbruck-a";
  settings.work_s = 0.22;
  settings.answer_bytes = kAnswerBytes;
  std::vector<std::unique_ptr<Backend>> backends;
  for (uint64_t i = 0; i < 4; ++i) {
    backends.push_back(std::make_unique<Backend>(settings, &store, &record, 100 + i));
    backends.back()->Start();
  }
  store.Put("op", "config",
            R"({"version":"r7","routes":{"album-read":{"host":"album.example","path_prefix":"/album/",)"
            R"("kind":"safe","timeout_s":8,"target_latency_s":1.2,"priority":2,)"
            R"("service":"albumdienst","max_attempts":2}},"services":{"albumdienst":)"
            R"({"health_path":"/health","max_conns":130}},"limits":{"max_header_bytes":16384,)"
            R"("max_body_bytes":67108864,"header_timeout_s":3,"idle_timeout_s":15}})");
  Nodes nodes(root, folder);
  for (const char* zone : {"innsbruck-a", "innsbruck-b", "hall-c"}) nodes.Add(zone, store.address());
  nodes.StartAll();
  nodes.AwaitReady(Now() + 20);
  record.Add("all nodes are ready");
  nodes.AskEachSecond();
  SleepFor(4);  // In touch: nothing happened for contact_s.

  std::mt19937_64 random(7);
  std::vector<Outcome> outcomes(nodes.size() * kReadersPerNode);
  std::vector<std::thread> callers;
  for (size_t i = 0; i < outcomes.size(); ++i) {
    outcomes[i].id = RandomId(random);
    outcomes[i].node = i % nodes.size();
    callers.emplace_back(ReadSlowly, nodes.callers(outcomes[i].node), &outcomes[i], &record);
  }
  SleepFor(0.3);
  const double stop = Now();
  double end = stop;
  if (WithTrouble()) {
    record.Add("SIGTERM to node 1, grace_s %.0f", kGrace);
    nodes.Signal(0, SIGTERM);
    const int status = nodes.AwaitEnd(0, stop + kGrace + 1);
    end = Now();
    record.Add("node 1 ended %.2f s after SIGTERM with exit code %d", end - stop, status);
  }
  for (std::thread& caller : callers) caller.join();

  size_t cut = 0;
  for (const Outcome& outcome : outcomes) {
    const bool ran = Backend::Runs().count(outcome.id) > 0;
    const bool in_time = outcome.ended < outcome.sent + kDeadline && outcome.ended < stop + kGrace;
    if (!outcome.Complete()) {
      record.Add("LOST %s: taken by node %zu, run %s, ended %.2f s after SIGTERM with %zu of %zu bytes%s",
                 outcome.id.c_str(), outcome.node + 1, ran ? "yes" : "no", outcome.ended - stop,
                 outcome.body, outcome.announced,
                 in_time ? ", within grace_s, its deadline and the route's timeout" : "");
      cut += ran && in_time ? 1 : 0;
    }
  }
  record.Add("%zu of %zu answers were cut", cut, outcomes.size());
  std::printf("%zu of %zu answers were cut; the stopped node ended after %.2f s\n", cut,
              outcomes.size(), end - stop);
  nodes.KillAll();
  std::fflush(stdout);
  _exit(cut > 0 ? 1 : 0);  // The stand-ins' threads end with the process.
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
