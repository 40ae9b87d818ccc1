#include "daemon/http/connection.h"

#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>

namespace ladderstream {

Connection::Connection(uint64_t id, int socket)
    : since(std::chrono::steady_clock::now()), id_(id), socket_(socket) {}

Connection::~Connection() { ::close(socket_); }

bool Connection::ReceiveAvailable(size_t max_bytes) {
  std::array<char, 16 << 10> buffer;
  size_t received = 0;
  while (received < max_bytes) {
    const size_t wanted = std::min(buffer.size(), max_bytes - received);
    const ssize_t size = ::recv(socket_, buffer.data(), wanted, MSG_DONTWAIT);
    if (size < 0 && errno == EINTR) {
      continue;
    }
    if (size < 0) {
      return errno == EAGAIN || errno == EWOULDBLOCK;
    }
    if (size == 0) {
      return false;
    }
    input.append(buffer.data(), static_cast<size_t>(size));
    received += static_cast<size_t>(size);
    if (static_cast<size_t>(size) < wanted) {
      return true;
    }
  }
  return true;
}

void Connection::SendAvailable(const std::string& data) const {
  // Refusals are short; a caller whose receive buffer is full gets none.
  [[maybe_unused]] const ssize_t sent =
      ::send(socket_, data.data(), data.size(), MSG_DONTWAIT | MSG_NOSIGNAL);
}

routing::CancellationPtr Connection::BeginRequest() {
  auto cancellation = std::make_shared<routing::Cancellation>();
  const absl::MutexLock lock(&mutex_);
  running_ = cancellation;
  return cancellation;
}

void Connection::EndRequest() {
  const absl::MutexLock lock(&mutex_);
  running_.reset();
}

routing::CancellationPtr Connection::RunningRequest() {
  const absl::MutexLock lock(&mutex_);
  return running_;
}

}  // namespace ladderstream
