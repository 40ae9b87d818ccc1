#include "observability/log_output.h"

#include <fcntl.h>
#include <poll.h>
#include <sys/stat.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>

namespace ladderstream::observability {
namespace {

bool IsFile(int descriptor) {
  struct stat status = {};
  return fstat(descriptor, &status) == 0 && S_ISREG(status.st_mode);
}

}  // namespace

LogOutput::LogOutput(boost::asio::io_context* io, EventLog* log, int descriptor,
                     const LogOutputSettings& settings)
    : log_(log),
      descriptor_(descriptor),
      settings_(settings),
      timer_(*io),
      retry_delay_(settings.flush_delay) {
  if (!IsFile(descriptor_)) {
    flags_before_ = fcntl(descriptor_, F_GETFL);
    if (flags_before_ >= 0) {
      fcntl(descriptor_, F_SETFL, flags_before_ | O_NONBLOCK);
    }
  }
  log_->SetOnWork([this] { Schedule(settings_.flush_delay); });
  if (!log_->ring().empty()) {
    Schedule(settings_.flush_delay);
  }
}

LogOutput::~LogOutput() {
  log_->SetOnWork(nullptr);
  if (flags_before_ >= 0) {
    fcntl(descriptor_, F_SETFL, flags_before_);
  }
}

bool LogOutput::Flush() {
  LineRing& ring = log_->ring();
  size_t written = 0;
  while (!ring.empty() && written < settings_.most_bytes_a_turn) {
    const size_t before = ring.size();
    const WriteResult result = WriteSome();
    if (result == WriteResult::kClosed) {
      ring.Pop(ring.size());
      return true;
    }
    if (result == WriteResult::kFull) {
      return false;
    }
    written += before - ring.size();
  }
  return ring.empty();
}

void LogOutput::FlushWithin(Duration at_most) {
  log_->OnTick(log_->Now());
  const Time end = log_->Now() + at_most;
  while (!Flush()) {
    const Duration left = end - log_->Now();
    if (left <= absl::ZeroDuration()) {
      return;
    }
    pollfd writable = {descriptor_, POLLOUT, 0};
    poll(&writable, 1, static_cast<int>(absl::ToInt64Milliseconds(left)) + 1);
  }
}

LogOutput::WriteResult LogOutput::WriteSome() {
  const std::string_view bytes = log_->ring().Front();
  const ssize_t written = write(descriptor_, bytes.data(), bytes.size());
  if (written > 0) {
    log_->ring().Pop(static_cast<size_t>(written));
    return WriteResult::kProgress;
  }
  if (written < 0 && errno == EINTR) {
    return WriteResult::kProgress;
  }
  const bool is_full = written == 0 || errno == EAGAIN || errno == EWOULDBLOCK;
  return is_full ? WriteResult::kFull : WriteResult::kClosed;
}

void LogOutput::Schedule(Duration delay) {
  if (scheduled_) {
    return;
  }
  scheduled_ = true;
  timer_.expires_after(absl::ToChronoNanoseconds(std::max(delay, absl::ZeroDuration())));
  timer_.async_wait([this](const boost::system::error_code& error) {
    if (!error) {
      OnTimer();
    }
  });
}

void LogOutput::OnTimer() {
  scheduled_ = false;
  const size_t before = log_->ring().size();
  const bool flushed = Flush();
  log_->OnTick(log_->Now());
  if (!flushed) {
    const bool progressed = log_->ring().size() < before;
    retry_delay_ =
        progressed ? settings_.flush_delay : std::min(retry_delay_ * 2, settings_.longest_retry);
    Schedule(retry_delay_);
    return;
  }
  retry_delay_ = settings_.flush_delay;
  if (!log_->ring().empty()) {
    Schedule(settings_.flush_delay);
  } else if (log_->NextWake() != absl::InfiniteFuture()) {
    Schedule(std::max(log_->NextWake() - log_->Now(), settings_.flush_delay));
  }
}

}  // namespace ladderstream::observability
