#include "standin/fault_proxy/proxy_session.h"

#include <algorithm>
#include <boost/asio/write.hpp>
#include <utility>

namespace ladderstream::standin {
namespace {

using boost::asio::ip::tcp;
using boost::system::error_code;
using std::chrono::steady_clock;

constexpr size_t kChunkBytes = size_t{64} << 10;
constexpr size_t kMaxQueuedBytes = size_t{4} << 20;
constexpr auto kHoldPoll = std::chrono::milliseconds(2);
constexpr uint64_t kMicrosecondsPerSecond = 1'000'000;

// Bytes on their way are lost, as on a broken link: a reset, no goodbye.
void Reset(tcp::socket& socket) {
  error_code ignored;
  socket.set_option(boost::asio::socket_base::linger(true, 0), ignored);
  socket.close(ignored);
}

}  // namespace

ProxySession::ProxySession(Socket client, tcp::endpoint target, FaultRules* rules)
    : client_(std::move(client)),
      server_(client_.get_executor()),
      target_(std::move(target)),
      rules_(rules),
      forward_(Direction::kForward, &client_, &server_),
      backward_(Direction::kBackward, &server_, &client_) {
  error_code ignored;
  source_ = client_.remote_endpoint(ignored).address().to_string();
  client_.set_option(tcp::no_delay(true), ignored);
}

void ProxySession::Start() { Connect(); }

void ProxySession::Connect() {
  if (!client_.is_open()) {
    return;
  }
  const auto self = shared_from_this();
  if (faults().half_open) {
    forward_.timer.expires_after(kHoldPoll);
    forward_.timer.async_wait([self](const error_code&) { self->Connect(); });
    return;
  }
  server_.async_connect(target_, [self](const error_code& failed) { self->OnConnected(failed); });
}

void ProxySession::OnConnected(const ErrorCode& failed) {
  if (failed || !client_.is_open() || faults().cut) {
    Close();
    return;
  }
  error_code ignored;
  server_.set_option(tcp::no_delay(true), ignored);
  Read(forward_);
  Read(backward_);
}

void ProxySession::Read(Pipe& pipe) {
  pipe.read_paused = pipe.queued_bytes > kMaxQueuedBytes;
  if (pipe.read_paused || !pipe.from->is_open()) {
    return;
  }
  pipe.buffer.resize(kChunkBytes);
  pipe.from->async_read_some(
      boost::asio::buffer(pipe.buffer),
      [self = shared_from_this(), &pipe](const error_code& failed, size_t length) {
        self->OnRead(pipe, failed, length);
      });
}

void ProxySession::OnRead(Pipe& pipe, const ErrorCode& failed, size_t length) {
  if (failed && failed != boost::asio::error::eof) {
    Close();
    return;
  }
  if (silent_) {
    if (!failed) {
      Read(pipe);
    }
    return;
  }
  if (failed) {
    pipe.ended = true;
  } else {
    const auto delay = absl::ToChronoMicroseconds(faults().delay);
    pipe.chunks.push_back(Chunk{steady_clock::now() + delay, pipe.buffer.substr(0, length)});
    pipe.queued_bytes += length;
    Read(pipe);
  }
  if (!pipe.delivering) {
    Deliver(pipe);
  }
}

void ProxySession::Deliver(Pipe& pipe) {
  pipe.delivering = !pipe.chunks.empty();
  if (pipe.delivering) {
    const uint64_t rate = faults().bytes_per_second;
    Chunk& chunk = pipe.chunks.front();
    if (rate > 0) {
      const auto size = static_cast<uint64_t>(chunk.bytes.size());
      chunk.due = std::max(chunk.due, steady_clock::now()) +
                  std::chrono::microseconds(size * kMicrosecondsPerSecond / rate);
    }
    WaitForRelease(pipe);
  } else if (pipe.ended) {
    // The other side is told that this direction has ended; what was sent still arrives.
    error_code ignored;
    pipe.to->shutdown(tcp::socket::shutdown_send, ignored);
  }
}

void ProxySession::WaitForRelease(Pipe& pipe) {
  const auto now = steady_clock::now();
  const bool held = faults().Holds(pipe.direction);
  if (!pipe.to->is_open()) {
    return;
  }
  if (!held && pipe.chunks.front().due <= now) {
    Write(pipe);
    return;
  }
  pipe.timer.expires_at(held ? now + kHoldPoll : pipe.chunks.front().due);
  pipe.timer.async_wait(
      [self = shared_from_this(), &pipe](const error_code&) { self->WaitForRelease(pipe); });
}

void ProxySession::Write(Pipe& pipe) {
  Chunk& chunk = pipe.chunks.front();
  pipe.queued_bytes -= chunk.bytes.size();
  const bool cuts = pipe.direction == Direction::kBackward && CutAnswer(chunk.bytes);
  boost::asio::async_write(
      *pipe.to, boost::asio::buffer(chunk.bytes),
      [self = shared_from_this(), &pipe, cuts](const error_code& failed, size_t /*length*/) {
        self->OnWritten(pipe, failed, cuts);
      });
}

void ProxySession::OnWritten(Pipe& pipe, const ErrorCode& failed, bool cuts) {
  if (failed || cuts) {
    Close();
    return;
  }
  pipe.chunks.pop_front();
  if (pipe.read_paused) {
    Read(pipe);
  }
  Deliver(pipe);
}

bool ProxySession::CutAnswer(std::string& bytes) {
  LinkFaults& now = faults();
  if (now.cut_answers == 0) {
    answered_bytes_ = 0;
    return false;
  }
  if (answered_bytes_ + bytes.size() <= now.cut_after_bytes) {
    answered_bytes_ += bytes.size();
    return false;
  }
  bytes.resize(now.cut_after_bytes - answered_bytes_);
  --now.cut_answers;
  return true;
}

void ProxySession::ApplyRules() {
  if (faults().cut) {
    Close();
  }
}

void ProxySession::Close() {
  Reset(client_);
  Reset(server_);
  forward_.timer.cancel();
  backward_.timer.cancel();
}

}  // namespace ladderstream::standin
