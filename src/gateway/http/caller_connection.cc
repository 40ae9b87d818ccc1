#include "gateway/http/caller_connection.h"

#include <algorithm>
#include <utility>

#include "gateway/http/refusal.h"
#include "gateway/http/text.h"

namespace ladderstream::gateway {

namespace {

/// Bytes of further requests that are read while one waits for its answer.
constexpr size_t kMaxPendingBytes = 16384;
/// What a caller may still send after its last answer before it is cut off.
constexpr size_t kMaxLingerBytes = 262144;
constexpr std::string_view kContinueAnswer = "HTTP/1.1 100 Continue\r\n\r\n";
/// When to come back after a refusal for lack of room.
constexpr Duration kOverloadRetryAfter = absl::Milliseconds(250);

}  // namespace

CallerConnection::CallerConnection(Socket socket, LoopResources& resources,
                                   const interfaces::HeaderNames& names,
                                   const catalog::Limits& limits, CallerConnectionOwner& owner)
    : socket_(std::move(socket)),
      resources_(resources),
      owner_(owner),
      reader_(names, limits, resources.budget) {}

void CallerConnection::Start(Time now) {
  // It may have waited to be accepted for as long as the loop is behind.
  last_progress_ = resources_.lag.IsBehind(now) ? now - resources_.lag.At(now) : now;
  ArmRead();
}

bool CallerConnection::IsIdle() const {
  return state_ == State::kReading && pending_.empty() && !reader_.in_body();
}

bool CallerConnection::WantsRead() const {
  switch (state_) {
    case State::kReading:
    case State::kLingering:
      return true;
    case State::kWaiting:
    case State::kWriting:
      return pending_.size() < kMaxPendingBytes;
    case State::kClosed:
      return false;
  }
  return false;
}

void CallerConnection::ArmRead() {
  if (read_armed_ || !WantsRead()) {
    return;
  }
  read_armed_ = true;
  socket_.async_read_some(boost::asio::buffer(buffer_),
                          [self = shared_from_this()](const ErrorCode& error, size_t size) {
                            self->OnRead(error, size);
                          });
}

void CallerConnection::OnRead(const ErrorCode& error, size_t size) {
  read_armed_ = false;
  if (state_ == State::kClosed) {
    return;
  }
  if (error) {
    OnPeerClosed();
    return;
  }
  last_read_ = resources_.clock.Now();
  OnBytes({buffer_.data(), size});
  if (size == buffer_.size()) {
    ReadMore();
  }
  ArmRead();
}

void CallerConnection::ReadMore() {
  for (int round = 0; round < kMaxReadsPerWake && state_ == State::kReading && !read_armed_;
       ++round) {
    ErrorCode error;
    auto& buffer = resources_.shared_buffer;
    const size_t size = socket_.read_some(boost::asio::buffer(buffer), error);
    if (WouldBlock(error)) {
      return;
    }
    if (error) {
      OnPeerClosed();
      return;
    }
    OnBytes({buffer.data(), size});
    if (size < buffer.size()) {
      return;
    }
  }
}

void CallerConnection::OnPeerClosed() {
  const bool was_waiting = state_ == State::kWaiting;
  Close();
  if (was_waiting) {
    owner_.OnCallerGone(*this);
  }
}

void CallerConnection::OnBytes(std::string_view bytes) {
  if (pending_.empty() && !reader_.in_body()) {
    request_begin_ = EarliestArrival();
  }
  if (state_ == State::kLingering) {
    lingered_ += bytes.size();
    if (lingered_ > kMaxLingerBytes) {
      Close();
    }
    return;
  }
  if (state_ != State::kReading) {
    pending_.append(bytes);
    return;
  }
  last_progress_ = last_read_;
  if (pending_.empty()) {
    Process(bytes, /*from_pending=*/false);
  } else {
    pending_.append(bytes);
    Process(pending_, /*from_pending=*/true);
  }
  owner_.OnStateChange(*this);
}

void CallerConnection::Process(std::string_view bytes, bool from_pending) {
  // An answer given at once ends in OnAnswerWritten, which must not start a second loop.
  processing_ = true;
  bool whole = Consume(bytes, from_pending);
  while (whole && state_ == State::kReading && !pending_.empty()) {
    whole = Consume(pending_, /*from_pending=*/true);
  }
  processing_ = false;
}

bool CallerConnection::Consume(std::string_view bytes, bool from_pending) {
  size_t consumed = 0;
  const ReadStatus status = reader_.Read(bytes, &consumed);
  if (from_pending) {
    pending_.erase(0, consumed);
  } else {
    pending_.assign(bytes.substr(consumed));
  }
  if (status == ReadStatus::kFault) {
    Refuse(reader_.fault());
    return false;
  }
  if (status == ReadStatus::kNeedMore) {
    if (reader_.TakeContinueWanted()) {
      SendContinue();
    }
    return false;
  }
  CallerRequest request = reader_.Take();
  request.arrival = request_begin_;
  request_begin_ = last_read_;
  // The connection may have waited to be accepted for longer than its caller did, also where the
  // loop's timers are in time.
  const bool may_have_left = !read_a_request_ || resources_.lag.IsBehind(resources_.clock.Now());
  read_a_request_ = true;
  if (may_have_left && CallerHasLeft()) {
    owner_.OnCallerGoneUnread(request);
    Close();
    return false;
  }
  closing_ = request.closing;
  if (refuse_with_ != ResultCode::kOk) {
    Refuse({refuse_with_, "too many connections"});
    return true;
  }
  SetState(State::kWaiting);
  owner_.OnRequest(shared_from_this(), std::move(request));
  return true;
}

void CallerConnection::CloseIfCallerLeft() {
  if (state_ == State::kWaiting && resources_.lag.IsBehind(resources_.clock.Now()) &&
      CallerHasLeft()) {
    OnPeerClosed();
  }
}

bool CallerConnection::CallerHasLeft() {
  // While a read is armed, it may hold bytes that come before those in the socket.
  while (!read_armed_ && pending_.size() < kMaxPendingBytes) {
    ErrorCode error;
    auto& buffer = resources_.shared_buffer;
    const size_t size =
        socket_.read_some(boost::asio::buffer(buffer, kMaxPendingBytes - pending_.size()), error);
    if (error) {
      return !WouldBlock(error);
    }
    pending_.append(buffer.data(), size);
  }
  char byte = 0;
  ErrorCode error;
  socket_.receive(boost::asio::buffer(&byte, 1), Socket::message_peek, error);
  return error && !WouldBlock(error);
}

Time CallerConnection::EarliestArrival() const {
  const Time now = last_read_;
  const Duration lag = resources_.lag.At(now);
  if (lag <= LoopLag::kTolerated) {
    return now;
  }
  // Nothing came before the answer that was given last.
  return std::clamp(now - lag, last_progress_, now);
}

void CallerConnection::SendContinue() {
  // Short enough for the socket's empty buffer; a caller that misses it sends its body anyway.
  ErrorCode ignored;
  socket_.write_some(boost::asio::buffer(kContinueAnswer.data(), kContinueAnswer.size()), ignored);
}

void CallerConnection::Refuse(const ReadFault& fault) {
  owner_.OnRefused(fault);
  closing_ = true;
  const bool for_lack_of_room = OutcomeOf(fault.code) == Outcome::kDidNotRun &&
                                HttpStatusOf(fault.code) == HttpStatusOf(ResultCode::kOverloaded);
  StartAnswer(MakeRefusal(HttpStatusOf(fault.code), fault.code, fault.detail,
                          for_lack_of_room ? kOverloadRetryAfter : absl::ZeroDuration()));
}

void CallerConnection::Answer(CallerAnswer answer) {
  if (state_ == State::kWaiting) {
    StartAnswer(std::move(answer));
  }
}

void CallerConnection::StartAnswer(CallerAnswer answer) {
  closing_ = closing_ || (owner_.IsStopping() && pending_.empty());
  answer_ = std::move(answer);
  if (answer_.tells_length) {
    AppendField(&answer_.head, "Content-Length", std::to_string(answer_.body.size()));
  }
  if (closing_) {
    AppendField(&answer_.head, "Connection", "close");
  }
  Append(&answer_.head, kLineEnd);
  if (answer_.omits_body) {
    answer_.body.clear();
  }
  written_ = 0;
  last_progress_ = resources_.clock.Now();
  SetState(State::kWriting);
  Write();
}

std::array<boost::asio::const_buffer, 2> CallerConnection::Unwritten() const {
  const boost::asio::const_buffer head = boost::asio::buffer(answer_.head);
  const boost::asio::const_buffer body = boost::asio::buffer(answer_.body);
  const size_t of_body = written_ > head.size() ? written_ - head.size() : 0;
  return {head + written_, body + of_body};
}

void CallerConnection::Write() {
  ErrorCode error;
  const size_t size = socket_.write_some(Unwritten(), error);
  if (error && !WouldBlock(error)) {
    Close();
    return;
  }
  OnWritten(size);
}

void CallerConnection::WriteRest() {
  socket_.async_write_some(Unwritten(),
                           [self = shared_from_this()](const ErrorCode& error, size_t size) {
                             if (self->state_ != State::kWriting) {
                               return;
                             }
                             if (error) {
                               self->Close();
                               return;
                             }
                             self->last_progress_ = self->resources_.clock.Now();
                             self->OnWritten(size);
                           });
}

void CallerConnection::OnWritten(size_t size) {
  written_ += size;
  if (written_ < answer_.head.size() + answer_.body.size()) {
    WriteRest();
    return;
  }
  OnAnswerWritten();
}

void CallerConnection::OnAnswerWritten() {
  answer_ = CallerAnswer();
  if (closing_) {
    Linger();
    return;
  }
  SetState(State::kReading);
  if (!processing_ && !pending_.empty()) {
    Process(pending_, /*from_pending=*/true);
    owner_.OnStateChange(*this);
  }
  ArmRead();
}

void CallerConnection::Linger() {
  ErrorCode ignored;
  socket_.shutdown(Socket::shutdown_send, ignored);
  pending_.clear();
  last_progress_ = resources_.clock.Now();
  SetState(State::kLingering);
  ArmRead();
}

void CallerConnection::SetState(State state) {
  state_ = state;
  owner_.OnStateChange(*this);
}

void CallerConnection::CloseIfIdle() {
  if (!IsIdle()) {
    return;
  }
  char byte = 0;
  ErrorCode error;
  socket_.receive(boost::asio::buffer(&byte, 1), Socket::message_peek, error);
  if (error) {
    Close();
  }
}

void CallerConnection::Close() {
  if (state_ == State::kClosed) {
    return;
  }
  const CallerConnectionPtr self = shared_from_this();
  ErrorCode ignored;
  socket_.close(ignored);
  pending_.clear();
  answer_ = CallerAnswer();
  SetState(State::kClosed);
}

void CallerConnection::CheckTimeouts(Time now, const catalog::Limits& limits,
                                     Duration write_timeout, Duration linger) {
  const Duration rest = now - last_progress_;
  switch (state_) {
    case State::kReading: {
      if (IsIdle()) {
        if (rest >= limits.idle_timeout) {
          CloseIfIdle();
        }
        return;
      }
      const Duration since_begin = now - request_begin_;
      const bool late =
          reader_.in_body()
              ? rest >= limits.idle_timeout ||
                    since_begin >= reader_.time_left().value_or(absl::InfiniteDuration())
              : since_begin >= limits.header_timeout;
      if (late) {
        Refuse({ResultCode::kRequestTooSlow, "request not whole in time"});
      }
      return;
    }
    case State::kWriting:
      if (rest >= write_timeout) {
        Close();
      }
      return;
    case State::kLingering:
      if (rest >= linger) {
        Close();
      }
      return;
    case State::kWaiting:
    case State::kClosed:
      return;
  }
}

}  // namespace ladderstream::gateway
