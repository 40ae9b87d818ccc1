#include "daemon/peer/peer_link.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <boost/asio/ip/address.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <exception>
#include <utility>

#include "logging/log.h"
#include "wire/result_code.h"

namespace ladderstream::peer {
namespace {

using boost::asio::ip::tcp;
using boost::system::error_code;

/// Frames that may wait for a connection to open; more are dropped.
constexpr size_t kMaxWaitingFrames = 4096;

std::chrono::microseconds ToChrono(Duration duration) {
  return std::chrono::microseconds(absl::ToInt64Microseconds(duration));
}

void FailCall(PendingCall* call, const Endpoint& address, const std::string& reason) {
  const ResultCode code =
      call->frame->Abandon() ? ResultCode::kNodeUnreachable : ResultCode::kNodeLost;
  const std::string message = absl::StrCat("node at ", FormatEndpoint(address), ": ", reason);
  call->answer.set_exception(std::make_exception_ptr(Error(code, message)));
}

}  // namespace

PeerLink::PeerLink(boost::asio::io_context* io, std::string source, Endpoint address,
                   const LinkTiming& timing, Traffic* traffic, Connection::FrameHandler on_frame)
    : io_(io),
      source_(std::move(source)),
      address_(std::move(address)),
      timing_(timing),
      traffic_(traffic),
      on_frame_(std::move(on_frame)),
      timer_(*io),
      backoff_(timing.first_backoff),
      random_(std::random_device{}()) {}

void PeerLink::Send(const OutgoingFramePtr& frame) { Enqueue(frame); }

void PeerLink::Call(uint64_t correlation, const PendingCallPtr& call) {
  if (!Enqueue(call->frame)) {
    FailCall(call.get(), address_, "not reachable");
    return;
  }
  calls_.emplace(correlation, call);
}

void PeerLink::Forget(uint64_t correlation) { calls_.erase(correlation); }

void PeerLink::Close() {
  ++attempt_;
  timer_.cancel();
  connecting_.reset();
  if (connection_) {
    connection_->Close();
    connection_.reset();
  }
  waiting_.clear();
  state_ = State::kIdle;
  FailCalls("closed");
}

bool PeerLink::Enqueue(const OutgoingFramePtr& frame) {
  switch (state_) {
    case State::kConnected:
      return connection_->Write(frame);
    case State::kBackoff:
      return false;
    case State::kIdle:
      waiting_.push_back(frame);
      Connect();
      return true;
    case State::kConnecting:
      if (waiting_.size() >= kMaxWaitingFrames) {
        traffic_->CountError(ErrorCause::kQueueFull);
        return false;
      }
      waiting_.push_back(frame);
      return true;
  }
  return false;
}

void PeerLink::Connect() {
  state_ = State::kConnecting;
  const uint64_t attempt = ++attempt_;
  connecting_ = std::make_unique<tcp::socket>(*io_);
  error_code invalid;
  const auto address = boost::asio::ip::make_address(address_.host, invalid);
  if (!invalid) {
    BindToSource(address, invalid);
  }
  if (invalid) {
    // From the event loop, as every failure, so that nobody is called back from within Enqueue.
    boost::asio::post(*io_, [this, attempt, invalid] {
      if (attempt == attempt_) {
        OnConnected(invalid);
      }
    });
    return;
  }
  connecting_->async_connect(tcp::endpoint(address, address_.port),
                             [this, attempt](const error_code& error) {
                               if (attempt == attempt_) {
                                 OnConnected(error);
                               }
                             });
  timer_.expires_after(ToChrono(timing_.connect_timeout));
  timer_.async_wait([this, attempt](const error_code& cancelled) {
    if (!cancelled && attempt == attempt_ && state_ == State::kConnecting) {
      OnConnectFailed("connecting timed out");
    }
  });
}

void PeerLink::BindToSource(const boost::asio::ip::address& target, error_code& failed) {
  const auto source = boost::asio::ip::make_address(source_, failed);
  const bool is_usable = !failed && !source.is_unspecified() && source.is_v4() == target.is_v4();
  if (!is_usable) {
    failed = {};
    return;
  }
  constexpr uint16_t kAnyPort = 0;
  const tcp::endpoint local(source, kAnyPort);
  connecting_->open(local.protocol(), failed);
  if (!failed) {
    connecting_->bind(local, failed);
  }
}

void PeerLink::OnConnected(const error_code& error) {
  if (state_ != State::kConnecting) {
    return;
  }
  if (error) {
    OnConnectFailed(error.message());
    return;
  }
  timer_.cancel();
  state_ = State::kConnected;
  backoff_ = timing_.first_backoff;
  SetSocketOptions(connecting_.get());
  connection_ = std::make_shared<Connection>(
      std::move(*connecting_), traffic_,
      [this](const ConnectionPtr& /*connection*/, PeerFrame frame) { OnFrame(std::move(frame)); },
      [this](const ConnectionPtr& /*connection*/, ErrorCause /*cause*/, const std::string& reason) {
        OnClosed(reason);
      });
  connecting_.reset();
  connection_->Start();
  const std::deque<OutgoingFramePtr> frames = std::exchange(waiting_, {});
  for (const OutgoingFramePtr& frame : frames) {
    connection_->Write(frame);
  }
}

void PeerLink::OnConnectFailed(const std::string& reason) {
  traffic_->CountError(ErrorCause::kConnectFailed);
  if (backoff_ == timing_.first_backoff) {
    Log(Part::kPeer, Severity::kWarning, "Connecting failed.",
        {{"peer", FormatEndpoint(address_)}, {"error", reason}});
  }
  ++attempt_;
  connecting_.reset();
  waiting_.clear();
  state_ = State::kBackoff;
  timer_.expires_after(NextPause());
  timer_.async_wait([this, attempt = attempt_](const error_code& cancelled) {
    if (!cancelled && attempt == attempt_) {
      EndBackoff();
    }
  });
  FailCalls(reason);
}

void PeerLink::EndBackoff() {
  if (state_ == State::kBackoff) {
    state_ = State::kIdle;
  }
}

std::chrono::microseconds PeerLink::NextPause() {
  const Duration pause = backoff_;
  backoff_ = std::min(2 * backoff_, timing_.longest_backoff);
  // Spread over [1/2, 1] of the pause, so that nodes don't come back all at once.
  std::uniform_real_distribution<double> share(0.5, 1.0);
  return ToChrono(pause * share(random_));
}

void PeerLink::OnFrame(PeerFrame frame) {
  if (frame.is_response) {
    const auto call = calls_.find(frame.correlation);
    if (call != calls_.end()) {
      const PendingCallPtr pending = call->second;
      calls_.erase(call);
      pending->answer.set_value(std::move(frame.body));
      return;
    }
  }
  on_frame_(connection_, std::move(frame));
}

void PeerLink::OnClosed(const std::string& reason) {
  Log(Part::kPeer, Severity::kInfo, "Connection lost.",
      {{"peer", FormatEndpoint(address_)}, {"error", reason}});
  connection_.reset();
  state_ = State::kIdle;
  FailCalls(reason);
}

void PeerLink::FailCalls(const std::string& reason) {
  const absl::flat_hash_map<uint64_t, PendingCallPtr> calls = std::exchange(calls_, {});
  for (const auto& [correlation, call] : calls) {
    FailCall(call.get(), address_, reason);
  }
}

}  // namespace ladderstream::peer
