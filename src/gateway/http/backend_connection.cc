#include "gateway/http/backend_connection.h"

#include <algorithm>
#include <utility>

#include "core/catalog/incarnation_id.h"
#include "gateway/http/text.h"

namespace ladderstream::gateway {

using forwarding::AttemptFailure;

namespace {

/// A request with less time left is not sent.
constexpr Duration kLeastTimeLeft = absl::Milliseconds(1);
/// No idle connection is kept longer, whatever the back end tells.
constexpr Duration kLongestIdle = absl::Seconds(60);
/// Ids that are remembered of one connection, which is closed when there are more.
constexpr size_t kMostUnservedIds = 64;
constexpr int kFirstCallerError = 400;

}  // namespace

BackendConnection::BackendConnection(LoopResources& resources,
                                     const interfaces::PlatformAdapter& adapter,
                                     const BackendPoolSettings& settings,
                                     BackendConnectionOwner& owner, std::string backend)
    : resources_(resources),
      settings_(settings),
      names_(adapter.headers()),
      owner_(owner),
      backend_(std::move(backend)),
      socket_(resources.loop.get_executor()),
      reader_(adapter, settings.max_answer_bytes, resources.budget) {}

void BackendConnection::Connect(const Tcp::endpoint& address, Exchange exchange) {
  exchange_ = std::move(exchange);
  state_ = State::kConnecting;
  ErrorCode error;
  socket_.open(address.protocol(), error);
  if (!error) {
    PrepareSocket(socket_, error);
  }
  if (!error) {
    BoundSilence(socket_, settings_.user_timeout, error);
  }
  if (!error) {
    BindSource(socket_, settings_.source_host, error);
  }
  if (error) {
    Fail(AttemptFailure::kNotSent, "no socket");
    return;
  }
  AbortOnClose(socket_);
  socket_.async_connect(address, [self = shared_from_this()](const ErrorCode& connect_error) {
    self->OnConnect(connect_error);
  });
}

void BackendConnection::OnConnect(const ErrorCode& error) {
  if (state_ != State::kConnecting) {
    return;
  }
  if (error) {
    const bool refused = error == boost::asio::error::connection_refused ||
                         error == boost::asio::error::connection_reset;
    Fail(refused ? AttemptFailure::kConnectRefused : AttemptFailure::kConnectTimeout,
         "not connected");
    return;
  }
  owner_.OnConnected(*this);
  // Meanwhile the back end may have left, and a loop that stood still sees the connection before it
  // sees that the time for it is over.
  ExchangeListener* const listener = exchange_.listener;
  listener->OnConnected(exchange_.attempt);
  const bool may_send = state_ == State::kConnecting && listener->MaySend(exchange_.attempt);
  if (state_ != State::kConnecting) {
    // Its caller was found to have left, and the attempt was cancelled.
    return;
  }
  if (!may_send) {
    Fail(AttemptFailure::kNotSent, "the back end left while the connection came up");
    return;
  }
  StartExchange();
}

bool BackendConnection::IsSound() {
  if (state_ != State::kIdle) {
    return false;
  }
  char byte = 0;
  ErrorCode error;
  socket_.receive(boost::asio::buffer(&byte, 1), Socket::message_peek, error);
  return WouldBlock(error);
}

bool BackendConnection::MayCarry(const std::string& request_id) const {
  return std::find(unserved_ids_.begin(), unserved_ids_.end(), request_id) == unserved_ids_.end();
}

void BackendConnection::Send(Exchange exchange) {
  exchange_ = std::move(exchange);
  StartExchange();
}

void BackendConnection::StartExchange() {
  state_ = State::kBusy;
  const Duration left = exchange_.answer_by - resources_.clock.Now();
  if (left < kLeastTimeLeft) {
    Fail(AttemptFailure::kNotSent, "no time left");
    return;
  }
  const CallerRequest& request = *exchange_.request;
  reader_.Begin({request.request_id, request.is_head_method, request.accepts_encoding});
  BuildHead(left);
  written_ = 0;
  exchange_.listener->OnSent(exchange_.attempt);
  Write();
  if (state_ == State::kBusy) {
    ArmRead();
  }
}

void BackendConnection::BuildHead(Duration left) {
  const CallerRequest& request = *exchange_.request;
  head_.assign(request.head);
  AppendField(&head_, names_.expected_instance, catalog::InstanceOf(backend_));
  if (left != absl::InfiniteDuration()) {
    AppendField(&head_, names_.deadline_ms, std::to_string(absl::ToInt64Milliseconds(left)));
  }
  if (request.has_body) {
    AppendField(&head_, "Content-Length", std::to_string(request.body.size()));
  }
  Append(&head_, kLineEnd);
}

std::array<boost::asio::const_buffer, 2> BackendConnection::Unwritten() const {
  const boost::asio::const_buffer head = boost::asio::buffer(head_);
  const boost::asio::const_buffer body = boost::asio::buffer(exchange_.request->body);
  const size_t of_body = written_ > head.size() ? written_ - head.size() : 0;
  return {head + written_, body + of_body};
}

void BackendConnection::Write() {
  ErrorCode error;
  written_ += socket_.write_some(Unwritten(), error);
  if (error && !WouldBlock(error)) {
    OnWriteError();
  } else if (written_ < message_size()) {
    WriteRest();
  }
}

void BackendConnection::WriteRest() {
  // The buffers live as long as the request, which the handler holds as well as the head's owner.
  socket_.async_write_some(
      Unwritten(), [self = shared_from_this(), request = exchange_.request,
                    attempt = exchange_.attempt](const ErrorCode& error, size_t size) {
        if (self->state_ != State::kBusy || self->exchange_.attempt != attempt) {
          return;
        }
        self->written_ += size;
        if (error) {
          self->OnWriteError();
        } else if (self->written_ < self->message_size()) {
          self->WriteRest();
        }
      });
}

void BackendConnection::OnWriteError() {
  if (written_ == 0) {
    Fail(AttemptFailure::kNotSent, "closed before the request");
    return;
  }
  // The rest is not written. An answer given before the whole request was read may have arrived;
  // reading on finds it, or the end of the connection.
  ArmRead();
}

void BackendConnection::ArmRead() {
  if (read_armed_ || (state_ != State::kBusy && state_ != State::kIdle)) {
    return;
  }
  read_armed_ = true;
  socket_.async_read_some(boost::asio::buffer(buffer_),
                          [self = shared_from_this()](const ErrorCode& error, size_t size) {
                            self->OnRead(error, size);
                          });
}

void BackendConnection::OnRead(const ErrorCode& error, size_t size) {
  read_armed_ = false;
  if (state_ == State::kClosed) {
    return;
  }
  if (error) {
    OnEnd(error);
    return;
  }
  OnBytes({buffer_.data(), size});
  if (size == buffer_.size()) {
    ReadMore();
  }
  ArmRead();
}

void BackendConnection::ReadMore() {
  for (int round = 0; round < kMaxReadsPerWake && state_ == State::kBusy && !read_armed_; ++round) {
    ErrorCode error;
    auto& buffer = resources_.shared_buffer;
    const size_t size = socket_.read_some(boost::asio::buffer(buffer), error);
    if (WouldBlock(error)) {
      return;
    }
    if (error) {
      OnEnd(error);
      return;
    }
    OnBytes({buffer.data(), size});
    if (size < buffer.size()) {
      return;
    }
  }
}

void BackendConnection::OnBytes(std::string_view bytes) {
  if (state_ != State::kBusy) {
    // They may go on without an end.
    CloseSocket("bytes that belong to no request", /*in_order=*/false);
    return;
  }
  if (!pending_.empty()) {
    pending_.append(bytes);
    bytes = pending_;
  }
  size_t consumed = 0;
  const ReadStatus status = reader_.Read(bytes, &consumed);
  if (status == ReadStatus::kFault) {
    Fail(AttemptFailure::kLost, reader_.fault());
    return;
  }
  if (status == ReadStatus::kComplete) {
    FinishExchange(consumed < bytes.size() ? AfterAnswer::kBytes : AfterAnswer::kNothing);
  } else if (bytes.data() == pending_.data()) {
    pending_.erase(0, consumed);
  } else {
    pending_.assign(bytes.substr(consumed));
  }
}

void BackendConnection::OnEnd(const ErrorCode& error) {
  if (state_ != State::kBusy) {
    Close("closed by the back end while idle");
    return;
  }
  if (error != boost::asio::error::eof) {
    Fail(AttemptFailure::kLost, "reset");
  } else if (!pending_.empty() || reader_.ReadEnd() == ReadStatus::kFault) {
    Fail(AttemptFailure::kLost, "closed before the end of an answer");
  } else if (!EndedInOrder()) {
    Fail(AttemptFailure::kLost, "reset behind an answer without a length");
  } else {
    FinishExchange(AfterAnswer::kEnd);
  }
}

// The kernel reports a reset once, to whichever call on the socket comes first; later reads find an
// end of the stream. A write can have taken the report, and its handler may not have run yet.
// Writes go on failing after a reset, so writing on tells the two ends apart. Once the request is
// written whole, no write is left that could take the report from a read.
bool BackendConnection::EndedInOrder() {
  if (written_ == message_size()) {
    return true;
  }
  ErrorCode error;
  socket_.write_some(Unwritten(), error);
  return !error || WouldBlock(error);
}

void BackendConnection::FinishExchange(AfterAnswer after) {
  const BackendConnectionPtr self = shared_from_this();
  BackendAnswer answer = reader_.Take();
  const forwarding::AttemptHandle attempt = exchange_.attempt;
  const bool whole_request_sent = written_ == message_size();
  if (answer.not_executed || answer.status >= kFirstCallerError) {
    unserved_ids_.push_back(exchange_.request->request_id);
  }
  ExchangeListener* const listener = exchange_.listener;
  exchange_ = Exchange();
  pending_.clear();
  answered_at_ = resources_.clock.Now();
  if (after == AfterAnswer::kBytes) {
    // They may go on without an end.
    CloseSocket("bytes behind an answer", /*in_order=*/false);
  } else if (!whole_request_sent) {
    CloseSocket("answered before the whole request was read", /*in_order=*/false);
  } else if (after == AfterAnswer::kEnd) {
    CloseSocket("the end behind an answer", /*in_order=*/true);
  } else if (!answer.keeps_open) {
    CloseSocket("the back end closes", /*in_order=*/true);
  } else if (unserved_ids_.size() > kMostUnservedIds) {
    CloseSocket("too many requests that may be sent again", /*in_order=*/true);
  } else {
    state_ = State::kIdle;
    const Duration usable = answer.keep_alive.has_value()
                                ? std::min(*answer.keep_alive, kLongestIdle) - settings_.idle_margin
                                : settings_.idle_timeout;
    usable_until_ = answered_at_ + usable;
    owner_.OnReusable(self);
  }
  // The next request on this connection may start in here: it finds the connection's true state,
  // because nothing has been read ahead.
  listener->OnAnswer(attempt, std::move(answer));
}

void BackendConnection::Fail(AttemptFailure failure, std::string_view cause) {
  const BackendConnectionPtr self = shared_from_this();
  const forwarding::AttemptHandle attempt = exchange_.attempt;
  ExchangeListener* const listener = exchange_.listener;
  // The cause may live in the reader, which is not begun anew before the listener is told.
  Close(cause);
  listener->OnFailure(attempt, failure, cause);
}

void BackendConnection::Close(std::string_view cause) {
  CloseSocket(cause, /*in_order=*/state_ == State::kIdle);
}

void BackendConnection::CloseSocket(std::string_view cause, bool in_order) {
  if (state_ == State::kClosed) {
    return;
  }
  if (in_order) {
    EndOnClose(socket_);
  }
  state_ = State::kClosed;
  ErrorCode ignored;
  socket_.close(ignored);
  exchange_ = Exchange();
  pending_.clear();
  owner_.OnClosed(*this, cause);
}

}  // namespace ladderstream::gateway
