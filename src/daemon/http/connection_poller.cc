#include "daemon/http/connection_poller.h"

#include <absl/strings/str_cat.h>
#include <poll.h>
#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <utility>

#include "daemon/http/caller_api.h"

namespace ladderstream {
namespace {

using std::chrono::steady_clock;

constexpr uint64_t kWakeId = 0;
constexpr int kSweepIntervalMs = 100;
constexpr size_t kReceiveBytes = 256 << 10;
/// For all callers together.
constexpr int64_t kMaxBufferedBytes = 128 << 20;
/// After an answer, a worker stays this long with a caller whose last requests came within it: the
/// next one then needs no hand-over between threads.
constexpr int kStayMs = 1;
constexpr auto kLingerTime = std::chrono::milliseconds(500);
/// While idle connections are closed, one must have been idle for this long.
constexpr auto kClosingIdleTime = std::chrono::milliseconds(1000);
/// Connections over the limit that get a refusal instead of a reset.
constexpr size_t kRefusedConnections = 64;
/// Descriptors left to everything else in the process.
constexpr uint64_t kReservedDescriptors = 512;
constexpr Duration kOverloadedRetryAfter = absl::Milliseconds(100);
constexpr Duration kTooManyRetryAfter = absl::Seconds(1);

/// Gives how many connections the limit allows and the process has descriptors for.
uint32_t AllowedConnections(uint32_t wanted) {
  rlimit limit{};
  if (::getrlimit(RLIMIT_NOFILE, &limit) != 0 || limit.rlim_cur <= 2 * kReservedDescriptors) {
    return std::min<uint32_t>(wanted, kReservedDescriptors);
  }
  return static_cast<uint32_t>(std::min<uint64_t>(wanted, limit.rlim_cur - kReservedDescriptors));
}

/// Whether the request that begins `input` has come as far as a worker needs it.
bool IsReady(const RequestHead& head, size_t input_bytes) {
  return head.state == HeadState::kComplete &&
         (head.chunked || head.expects_continue ||
          input_bytes >= head.head_bytes + head.content_length);
}

}  // namespace

ConnectionPoller::ConnectionPoller(const CallerServerLimits& limits, Runner runner)
    : limits_(limits),
      max_connections_(AllowedConnections(limits.max_connections)),
      runner_(std::move(runner)),
      epoll_(::epoll_create1(EPOLL_CLOEXEC)),
      wake_(::eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK)),
      workers_(limits.max_workers, limits.max_waiting) {
  epoll_event event{};
  event.events = EPOLLIN;
  event.data.u64 = kWakeId;
  ::epoll_ctl(epoll_, EPOLL_CTL_ADD, wake_, &event);
  thread_ = std::thread([this] { Run(); });
}

ConnectionPoller::~ConnectionPoller() {
  Stop();
  ::close(wake_);
  ::close(epoll_);
}

void ConnectionPoller::Add(int socket) {
  ConnectionPtr connection;
  size_t open = 0;
  {
    const absl::MutexLock lock(&mutex_);
    connection = std::make_shared<Connection>(++next_id_, socket);
    open = connections_.size();
    if (open < max_connections_ + kRefusedConnections) {
      connections_.emplace(connection->id(), connection);
    }
  }
  if (open >= max_connections_ + kRefusedConnections) {
    return;
  }
  epoll_event event{};
  event.events = EPOLLIN | EPOLLRDHUP | EPOLLONESHOT;
  event.data.u64 = connection->id();
  if (open >= max_connections_) {
    connection->phase = Connection::Phase::kLingering;
    connection->SendAvailable(FormatRefusal(
        ResultCode::kTooManyConnections, "the node has too many connections", kTooManyRetryAfter));
    ::shutdown(socket, SHUT_WR);
  }
  ::epoll_ctl(epoll_, EPOLL_CTL_ADD, socket, &event);
}

void ConnectionPoller::CloseIdle() {
  if (!closing_idle_) {
    closing_since_ = steady_clock::now();
    closing_idle_ = true;
  }
  const uint64_t one = 1;
  [[maybe_unused]] const ssize_t written = ::write(wake_, &one, sizeof(one));
}

void ConnectionPoller::Stop() {
  if (stopping_.exchange(true)) {
    return;
  }
  CloseIdle();
  thread_.join();
  workers_.Shutdown();
  const absl::MutexLock lock(&mutex_);
  connections_.clear();
}

void ConnectionPoller::Run() {
  std::array<epoll_event, 256> events{};
  SteadyTime next_sweep = steady_clock::now();
  while (!stopping_) {
    const int count =
        ::epoll_wait(epoll_, events.data(), static_cast<int>(events.size()), kSweepIntervalMs);
    for (int i = 0; i < count; ++i) {
      const epoll_event& event = events[static_cast<size_t>(i)];
      if (event.data.u64 == kWakeId) {
        uint64_t value = 0;
        [[maybe_unused]] const ssize_t size = ::read(wake_, &value, sizeof(value));
        next_sweep = steady_clock::now();
      } else {
        HandleEvent(event.data.u64, event.events);
      }
    }
    if (steady_clock::now() >= next_sweep) {
      CloseExpired();
      next_sweep = steady_clock::now() + std::chrono::milliseconds(kSweepIntervalMs);
    }
  }
}

void ConnectionPoller::HandleEvent(uint64_t id, uint32_t events) {
  ConnectionPtr connection;
  {
    const absl::MutexLock lock(&mutex_);
    const auto found = connections_.find(id);
    if (found == connections_.end()) {
      return;
    }
    connection = found->second;
  }
  switch (connection->phase.load()) {
    case Connection::Phase::kReading:
      HandleInput(connection);
      return;
    case Connection::Phase::kRunning:
      if ((events & (EPOLLRDHUP | EPOLLHUP | EPOLLERR)) != 0) {
        CancelRunning(*connection);
      } else {
        Arm(*connection, EPOLLRDHUP);
      }
      return;
    case Connection::Phase::kLingering:
      connection->input.clear();
      if (connection->ReceiveAvailable(kReceiveBytes)) {
        Arm(*connection, EPOLLIN | EPOLLRDHUP);
      } else {
        Close(*connection);
      }
      connection->input.clear();
      return;
  }
}

void ConnectionPoller::HandleInput(const ConnectionPtr& connection) {
  if (connection->input.empty()) {
    const SteadyTime now = steady_clock::now();
    connection->sends_in_quick_succession =
        now - connection->since.load() < std::chrono::milliseconds(kStayMs);
    connection->since = now;
  }
  const bool open = connection->ReceiveAvailable(kReceiveBytes);
  Account(*connection);
  const RequestHead head = ScanHead(connection->input);
  const Verdict verdict = Judge(connection, head);
  if (verdict == Verdict::kRun) {
    Dispatch(connection);
  } else if (verdict == Verdict::kReadMore && !open) {
    // An unfinished request can't be answered: nobody waits for the answer.
    Close(*connection);
  } else if (verdict == Verdict::kReadMore) {
    Arm(*connection, EPOLLIN | EPOLLRDHUP);
  }
}

ConnectionPoller::Verdict ConnectionPoller::Judge(const ConnectionPtr& connection,
                                                  const RequestHead& head) {
  const size_t head_bytes =
      head.state == HeadState::kIncomplete ? connection->input.size() : head.head_bytes;
  if (head_bytes > limits_.max_header_bytes) {
    RefuseAndLinger(connection, ResultCode::kHeadersTooLarge,
                    absl::StrCat("request line and headers have more than ",
                                 limits_.max_header_bytes, " bytes"));
    return Verdict::kClosed;
  }
  if (head.state == HeadState::kMalformed) {
    RefuseAndLinger(connection, ResultCode::kMalformedRequest, "the headers can't be read");
    return Verdict::kClosed;
  }
  return head.state == HeadState::kComplete ? JudgeBody(connection, head) : Verdict::kReadMore;
}

ConnectionPoller::Verdict ConnectionPoller::JudgeBody(const ConnectionPtr& connection,
                                                      const RequestHead& head) {
  if (head.content_length > limits_.max_body_bytes) {
    RefuseAndLinger(connection, ResultCode::kBodyTooLarge,
                    absl::StrCat("the body has more than ", limits_.max_body_bytes, " bytes"));
    return Verdict::kClosed;
  }
  if (IsReady(head, connection->input.size())) {
    return Verdict::kRun;
  }
  if (buffered_bytes_.load(std::memory_order_relaxed) > kMaxBufferedBytes) {
    RefuseAndLinger(connection, ResultCode::kOverloaded, "the node holds too many bodies");
    return Verdict::kClosed;
  }
  return Verdict::kReadMore;
}

void ConnectionPoller::Dispatch(const ConnectionPtr& connection) {
  connection->phase = Connection::Phase::kRunning;
  Arm(*connection, EPOLLRDHUP);
  if (!workers_.Submit([this, connection] { Work(connection); })) {
    RefuseAndLinger(connection, ResultCode::kOverloaded, "the node has no thread left");
  }
}

void ConnectionPoller::Work(const ConnectionPtr& connection) {
  while (true) {
    const bool usable = RunOne(*connection);
    Account(*connection);
    if (stopping_) {
      Close(*connection);
      return;
    }
    if (!usable) {
      Linger(connection);
      return;
    }
    if (IsReady(ScanHead(connection->input), connection->input.size())) {
      connection->since = steady_clock::now();
      continue;
    }
    if (!AwaitNextRequest(*connection)) {
      break;
    }
  }
  if (connection->input.empty()) {
    connection->input.shrink_to_fit();
    connection->since = steady_clock::now();
  }
  connection->phase = Connection::Phase::kReading;
  Arm(*connection, EPOLLIN | EPOLLRDHUP);
}

bool ConnectionPoller::RunOne(Connection& connection) {
  return runner_(connection, ScanHead(connection.input)) && !connection.close_after_answer;
}

bool ConnectionPoller::AwaitNextRequest(Connection& connection) {
  if (!connection.sends_in_quick_succession || closing_idle_ || !workers_.HasIdleThread()) {
    return false;
  }
  pollfd entry{connection.socket(), POLLIN, 0};
  if (::poll(&entry, 1, kStayMs) <= 0) {
    connection.sends_in_quick_succession = false;
    return false;
  }
  connection.since = steady_clock::now();
  // Anything but a whole, acceptable request is left to the poller, which also sees the end.
  connection.ReceiveAvailable(kReceiveBytes);
  Account(connection);
  const RequestHead head = ScanHead(connection.input);
  return IsReady(head, connection.input.size()) && head.head_bytes <= limits_.max_header_bytes &&
         head.content_length <= limits_.max_body_bytes;
}

void ConnectionPoller::CancelRunning(Connection& connection) {
  const routing::CancellationPtr cancellation = connection.RunningRequest();
  if (cancellation == nullptr) {
    return;
  }
  // Cancelling may send to another node, for which no other connection shall wait.
  if (!workers_.Submit([cancellation] { cancellation->Cancel(); })) {
    cancellation->Cancel();
  }
}

void ConnectionPoller::RefuseAndLinger(const ConnectionPtr& connection, ResultCode code,
                                       const std::string& message) {
  const Duration retry_after =
      code == ResultCode::kOverloaded ? kOverloadedRetryAfter : absl::ZeroDuration();
  connection->SendAvailable(FormatRefusal(code, message, retry_after));
  Linger(connection);
}

void ConnectionPoller::Linger(const ConnectionPtr& connection) {
  ::shutdown(connection->socket(), SHUT_WR);
  connection->input.clear();
  connection->input.shrink_to_fit();
  Account(*connection);
  connection->since = steady_clock::now();
  connection->phase = Connection::Phase::kLingering;
  Arm(*connection, EPOLLIN | EPOLLRDHUP);
}

void ConnectionPoller::Close(Connection& connection) {
  connection.input.clear();
  Account(connection);
  const absl::MutexLock lock(&mutex_);
  connections_.erase(connection.id());
}

void ConnectionPoller::Arm(const Connection& connection, uint32_t events) {
  epoll_event event{};
  event.events = events | EPOLLONESHOT;
  event.data.u64 = connection.id();
  ::epoll_ctl(epoll_, EPOLL_CTL_MOD, connection.socket(), &event);
}

void ConnectionPoller::Account(Connection& connection) {
  const auto before = static_cast<int64_t>(connection.accounted_bytes);
  connection.accounted_bytes = connection.input.size();
  buffered_bytes_ += static_cast<int64_t>(connection.accounted_bytes) - before;
}

std::vector<ConnectionPtr> ConnectionPoller::AllConnections() {
  const absl::MutexLock lock(&mutex_);
  std::vector<ConnectionPtr> all;
  all.reserve(connections_.size());
  for (const auto& [id, connection] : connections_) {
    all.push_back(connection);
  }
  return all;
}

void ConnectionPoller::CloseExpired() {
  const SteadyTime now = steady_clock::now();
  for (const ConnectionPtr& connection : AllConnections()) {
    CheckExpiry(connection, now);
  }
}

void ConnectionPoller::CheckExpiry(const ConnectionPtr& connection, SteadyTime now) {
  const auto age = now - connection->since.load();
  const Connection::Phase phase = connection->phase.load();
  if (phase == Connection::Phase::kLingering && age > kLingerTime) {
    Close(*connection);
    return;
  }
  if (phase != Connection::Phase::kReading) {
    return;
  }
  if (!connection->input.empty()) {
    if (age > absl::ToChronoNanoseconds(limits_.read_timeout)) {
      RefuseAndLinger(connection, ResultCode::kRequestTooSlow, "the request did not come in time");
    }
    return;
  }
  // A request may be on its way over a connection that looks idle; the next answer closes it.
  const bool idle_while_closing =
      closing_idle_ && std::min(age, now - closing_since_.load()) > kClosingIdleTime;
  if (idle_while_closing || age > absl::ToChronoNanoseconds(limits_.idle_timeout)) {
    Close(*connection);
  }
}

}  // namespace ladderstream
