#include "daemon/http/connection_stream.h"

#include <absl/time/time.h>
#include <poll.h>
#include <sys/socket.h>

#include <algorithm>
#include <cstring>

namespace ladderstream {
namespace {

/// Larger answers leave in parts.
constexpr size_t kFlushBytes = 256 << 10;
constexpr size_t kReceiveBytes = 64 << 10;

/// Waits until `socket` is ready for `events`, at most `timeout`.
bool AwaitSocket(int socket, short events, std::chrono::milliseconds timeout) {
  pollfd entry{socket, events, 0};
  int ready = 0;
  do {
    ready = ::poll(&entry, 1, static_cast<int>(std::max<int64_t>(0, timeout.count())));
  } while (ready < 0 && errno == EINTR);
  return ready > 0;
}

}  // namespace

ConnectionStream::ConnectionStream(Connection& connection, const RequestHead& head,
                                   const StreamLimits& limits)
    : connection_(connection),
      head_(head),
      limits_(limits),
      read_until_(std::chrono::steady_clock::now() +
                  absl::ToChronoMilliseconds(limits.read_timeout)) {}

ssize_t ConnectionStream::read(char* data, size_t size) {
  size_t end = connection_.input.size();
  if (HasFixedLength()) {
    end = std::min(end, head_.head_bytes + static_cast<size_t>(head_.content_length));
  } else if (used_ >= end && !AwaitInput()) {
    return 0;
  } else {
    end = connection_.input.size();
  }
  const size_t count = std::min(size, end - std::min(end, used_));
  std::memcpy(data, connection_.input.data() + used_, count);
  used_ += count;
  return static_cast<ssize_t>(count);
}

bool ConnectionStream::AwaitInput() {
  if (ended_ || used_ >= limits_.max_request_bytes) {
    too_large_ = !ended_;
    return false;
  }
  // The caller may be waiting for "100 Continue".
  Flush();
  const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(
      read_until_ - std::chrono::steady_clock::now());
  if (left.count() <= 0 || !AwaitSocket(connection_.socket(), POLLIN, left)) {
    too_slow_ = true;
    ended_ = true;
    return false;
  }
  const size_t before = connection_.input.size();
  ended_ = !connection_.ReceiveAvailable(kReceiveBytes);
  return connection_.input.size() > before;
}

ssize_t ConnectionStream::write(const char* data, size_t size) {
  output_.append(data, size);
  if (output_.size() >= kFlushBytes && !Flush()) {
    return -1;
  }
  return write_failed_ ? -1 : static_cast<ssize_t>(size);
}

bool ConnectionStream::Flush() {
  if (!output_.empty() && !write_failed_) {
    write_failed_ = !SendAll(output_.data(), output_.size());
  }
  output_.clear();
  return !write_failed_;
}

bool ConnectionStream::SendAll(const char* data, size_t size) {
  size_t sent = 0;
  while (sent < size) {
    const ssize_t count =
        ::send(connection_.socket(), data + sent, size - sent, MSG_DONTWAIT | MSG_NOSIGNAL);
    if (count > 0) {
      sent += static_cast<size_t>(count);
      continue;
    }
    const bool full = count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR);
    if (!full || !AwaitSocket(connection_.socket(), POLLOUT,
                              absl::ToChronoMilliseconds(limits_.write_timeout))) {
      return false;
    }
  }
  return true;
}

bool ConnectionStream::Finish() {
  const bool known_end = HasFixedLength() || (used_ > head_.head_bytes && !ended_);
  if (HasFixedLength()) {
    used_ = head_.head_bytes + static_cast<size_t>(head_.content_length);
  }
  connection_.input.erase(0, std::min(used_, connection_.input.size()));
  return known_end;
}

socket_t ConnectionStream::socket() const { return connection_.socket(); }

}  // namespace ladderstream
