#include "standin/fault_proxy/proxy_session.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <utility>

namespace ladderstream::standin {
namespace {

using boost::asio::awaitable;
using boost::asio::redirect_error;
using boost::asio::use_awaitable;
using boost::asio::ip::tcp;
using boost::system::error_code;
using std::chrono::steady_clock;

constexpr size_t kChunkBytes = 64 * 1024;
constexpr size_t kMaxQueuedBytes = 4 * 1024 * 1024;
constexpr auto kHoldPoll = std::chrono::milliseconds(2);

// Bytes that arrived before the proxy closes are lost, as on a broken link: a reset, no goodbye.
void Reset(tcp::socket& socket) {
  error_code ignored;
  socket.set_option(boost::asio::socket_base::linger(true, 0), ignored);
  socket.close(ignored);
}

awaitable<void> Pause(steady_clock::duration duration) {
  boost::asio::steady_timer timer(co_await boost::asio::this_coro::executor, duration);
  error_code ignored;
  co_await timer.async_wait(redirect_error(use_awaitable, ignored));
}

}  // namespace

ProxySession::ProxySession(tcp::socket client, tcp::endpoint target, FaultRules* rules)
    : client_(std::move(client)),
      server_(client_.get_executor()),
      target_(std::move(target)),
      rules_(rules),
      forward_(Direction::kForward, client_.get_executor()),
      backward_(Direction::kBackward, client_.get_executor()) {
  error_code ignored;
  source_ = client_.remote_endpoint(ignored).address().to_string();
}

void ProxySession::Start() {
  boost::asio::co_spawn(client_.get_executor(), Serve(shared_from_this()), boost::asio::detached);
}

awaitable<void> ProxySession::Serve(std::shared_ptr<ProxySession> self) {
  error_code failed;
  client_.set_option(tcp::no_delay(true), failed);
  while (faults().half_open && client_.is_open()) {
    co_await Pause(kHoldPoll);
  }
  co_await server_.async_connect(target_, redirect_error(use_awaitable, failed));
  if (failed || !client_.is_open() || faults().cut) {
    Close();
    co_return;
  }
  server_.set_option(tcp::no_delay(true), failed);
  const auto executor = client_.get_executor();
  using boost::asio::detached;
  boost::asio::co_spawn(executor, Fill(self, forward_, client_), detached);
  boost::asio::co_spawn(executor, Fill(self, backward_, server_), detached);
  boost::asio::co_spawn(executor, Empty(self, forward_, server_), detached);
  boost::asio::co_spawn(executor, Empty(self, backward_, client_), detached);
}

awaitable<void> ProxySession::Fill(std::shared_ptr<ProxySession> /*self*/, Pipe& pipe,
                                   tcp::socket& from) {
  std::string buffer(kChunkBytes, '\0');
  while (from.is_open()) {
    while (pipe.queued_bytes > kMaxQueuedBytes && from.is_open()) {
      co_await Pause(kHoldPoll);
    }
    error_code failed;
    const size_t length = co_await from.async_read_some(boost::asio::buffer(buffer),
                                                        redirect_error(use_awaitable, failed));
    if (failed == boost::asio::error::eof) {
      break;
    }
    if (failed) {
      Close();
      break;
    }
    const auto delay = absl::ToChronoMicroseconds(faults().delay);
    pipe.chunks.push_back(Chunk{steady_clock::now() + delay, buffer.substr(0, length)});
    pipe.queued_bytes += length;
    pipe.changed.cancel();
  }
  pipe.ended = true;
  pipe.changed.cancel();
}

awaitable<void> ProxySession::Empty(std::shared_ptr<ProxySession> /*self*/, Pipe& pipe,
                                    tcp::socket& to) {
  error_code failed;
  while (!failed && to.is_open()) {
    if (pipe.chunks.empty()) {
      if (pipe.ended) {
        break;
      }
      pipe.changed.expires_at(steady_clock::time_point::max());
      error_code woken;
      co_await pipe.changed.async_wait(redirect_error(use_awaitable, woken));
      continue;
    }
    Chunk chunk = std::move(pipe.chunks.front());
    pipe.chunks.pop_front();
    co_await WaitForRelease(pipe, chunk);
    pipe.queued_bytes -= chunk.bytes.size();
    const bool cuts = pipe.direction == Direction::kBackward && CutAnswer(chunk.bytes);
    co_await boost::asio::async_write(to, boost::asio::buffer(chunk.bytes),
                                      redirect_error(use_awaitable, failed));
    if (cuts) {
      Close();
    }
  }
  if (failed) {
    Close();
  } else {
    // The other side is told that this direction has ended; what was sent still arrives.
    to.shutdown(tcp::socket::shutdown_send, failed);
  }
}

awaitable<void> ProxySession::WaitForRelease(Pipe& pipe, const Chunk& chunk) {
  const auto now = steady_clock::now();
  if (chunk.due > now) {
    co_await Pause(chunk.due - now);
  }
  while (faults().Holds(pipe.direction) && client_.is_open()) {
    co_await Pause(kHoldPoll);
  }
  const uint64_t rate = faults().bytes_per_second;
  if (rate > 0) {
    co_await Pause(std::chrono::microseconds(chunk.bytes.size() * 1'000'000 / rate));
  }
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
  forward_.changed.cancel();
  backward_.changed.cancel();
}

}  // namespace ladderstream::standin
