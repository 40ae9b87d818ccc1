#include "gateway/http/http_client_connection.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <utility>

#include "gateway/http/header_rules.h"

namespace ladderstream::gateway {

namespace {

constexpr size_t kBufferBytes = 16384;
constexpr int kFirstErrorStatus = 400;

}  // namespace

HttpClientConnection::HttpClientConnection(HttpClient& client, const Endpoint& peer)
    : client_(client),
      peer_(peer),
      socket_(client.loop_.get_executor()),
      timer_(client.loop_.get_executor()),
      reader_(client.budget_),
      buffer_(kBufferBytes) {}

bool HttpClientConnection::IsSound() {
  char byte = 0;
  ErrorCode error;
  socket_.receive(boost::asio::buffer(&byte, 1), Socket::message_peek, error);
  return state_ == State::kIdle && WouldBlock(error);
}

void HttpClientConnection::Start(HttpCallId call, std::string message, ExpectedAnswer expected,
                                 const CallTiming& timing, CallCallback callback) {
  call_ = call;
  message_ = std::move(message);
  expected_ = std::move(expected);
  skipped_answer_ = false;
  timing_ = timing;
  callback_ = std::move(callback);
  if (state_ == State::kIdle) {
    Send();
  } else {
    Connect();
  }
}

void HttpClientConnection::SetTimer(Duration timeout) {
  timer_.expires_after(absl::ToChronoNanoseconds(timeout));
  timer_.async_wait([self = shared_from_this(), call = call_](const ErrorCode& error) {
    if (error || self->call_ != call) {
      return;
    }
    if (self->state_ == State::kConnecting) {
      self->Fail(CallOutcome::kNotConnected, "no connection in time");
    } else if (self->state_ == State::kBusy) {
      // What silenced this connection may have silenced the idle ones, which would take as long to
      // show it.
      self->client_.CloseIdle(self->peer_);
      self->Fail(CallOutcome::kNoAnswer, "no answer in time");
    }
  });
}

void HttpClientConnection::Connect() {
  state_ = State::kConnecting;
  ErrorCode error;
  const Tcp::endpoint address = ToTcpEndpoint(peer_);
  socket_.open(address.protocol(), error);
  if (!error) {
    PrepareSocket(socket_, error);
  }
  if (!error) {
    BoundSilence(socket_, std::min(client_.settings_.user_timeout, timing_.user_timeout), error);
  }
  if (!error) {
    BindSource(socket_, client_.settings_.source_host, error);
  }
  if (error) {
    FailSoon("no socket");
    return;
  }
  AbortOnClose(socket_);
  SetTimer(std::min(client_.settings_.connect_timeout, timing_.connect_timeout));
  socket_.async_connect(address, [self = shared_from_this()](const ErrorCode& connect_error) {
    self->OnConnect(connect_error);
  });
}

void HttpClientConnection::FailSoon(const char* detail) {
  boost::asio::post(client_.loop_, [self = shared_from_this(), call = call_, detail] {
    if (self->state_ != State::kClosed && self->call_ == call) {
      self->Fail(CallOutcome::kNotConnected, detail);
    }
  });
}

void HttpClientConnection::OnConnect(const ErrorCode& error) {
  if (state_ != State::kConnecting) {
    return;
  }
  if (error == boost::asio::error::connection_refused) {
    Fail(CallOutcome::kRefused, "connection refused");
  } else if (error) {
    Fail(CallOutcome::kNotConnected, error.message());
  } else {
    Send();
  }
}

void HttpClientConnection::Send() {
  // The machine may have been suspended since the call was decided: an order of a coordinator whose
  // lease is over must not leave.
  if (client_.clock_.Now() >= timing_.send_by) {
    FailSoon("too late to be sent");
    return;
  }
  state_ = State::kBusy;
  BeginAnswer();
  SetTimer(timing_.answer_timeout);
  is_writing_ = true;
  boost::asio::async_write(
      socket_, boost::asio::buffer(message_),
      [self = shared_from_this(), call = call_](const ErrorCode& error, size_t /*size*/) {
        self->is_writing_ = false;
        if (self->state_ == State::kBusy && self->call_ == call) {
          self->OnWritten(error);
        }
      });
  ArmRead();
}

void HttpClientConnection::BeginAnswer() {
  reader_.Begin(expected_.is_to_head_method,
                std::min(client_.settings_.max_answer_bytes, timing_.max_answer_bytes));
}

void HttpClientConnection::OnWritten(const ErrorCode& error) {
  if (error) {
    Fail(CallOutcome::kNoAnswer, "broken while the call was written");
  }
}

void HttpClientConnection::ArmRead() {
  if (read_armed_ || (state_ != State::kBusy && state_ != State::kIdle)) {
    return;
  }
  read_armed_ = true;
  socket_.async_read_some(boost::asio::buffer(buffer_),
                          [self = shared_from_this()](const ErrorCode& error, size_t size) {
                            self->OnRead(error, size);
                          });
}

void HttpClientConnection::OnRead(const ErrorCode& error, size_t size) {
  read_armed_ = false;
  if (state_ == State::kClosed) {
    return;
  }
  if (error) {
    OnEnd(error);
  } else if (state_ != State::kBusy) {
    // They may go on without an end.
    CloseSocket(/*in_order=*/false);
  } else {
    OnBytes({buffer_.data(), size});
  }
  ArmRead();
}

void HttpClientConnection::OnBytes(std::string_view bytes) {
  if (!pending_.empty()) {
    pending_.append(bytes);
    bytes = pending_;
  }
  size_t consumed = 0;
  switch (reader_.Read(bytes, &consumed)) {
    case ReadStatus::kFault:
      ReportUnreadable(reader_.fault());
      Fail(CallOutcome::kNoAnswer, reader_.fault());
      break;
    case ReadStatus::kComplete:
      OnAnswer(bytes.substr(consumed));
      break;
    case ReadStatus::kNeedMore:
      pending_ = std::string(bytes.substr(consumed));
      break;
  }
}

void HttpClientConnection::ReportUnreadable(std::string_view fault) {
  if (client_.on_unreadable_) {
    client_.on_unreadable_(peer_, fault);
  }
}

bool HttpClientConnection::IsToAnotherCall(const interfaces::HttpResponse& response) const {
  if (expected_.repeated_header.empty()) {
    return false;
  }
  const std::string_view repeated = response.Header(expected_.repeated_header);
  return !repeated.empty() && repeated != expected_.repeated_value;
}

bool HttpClientConnection::IsUnnamedError(const interfaces::HttpResponse& response) const {
  return !expected_.repeated_header.empty() && response.status >= kFirstErrorStatus &&
         response.Header(expected_.repeated_header).empty();
}

void HttpClientConnection::OnAnswer(std::string_view rest) {
  const bool keeps_open = reader_.keeps_open();
  interfaces::HttpResponse response = reader_.Take();
  if (IsToAnotherCall(response)) {
    ReportUnreadable(absl::StrCat("want the answer to ", expected_.repeated_value,
                                  ", found the one to ",
                                  std::string(response.Header(expected_.repeated_header))));
    SkipAnswer(std::string(rest));
  } else {
    Finish(std::move(response), /*surplus=*/!rest.empty(), keeps_open);
  }
}

void HttpClientConnection::SkipAnswer(const std::string& rest) {
  if (std::exchange(skipped_answer_, true)) {
    Fail(CallOutcome::kNoAnswer, "answers to other calls");
    return;
  }
  pending_.clear();
  BeginAnswer();
  if (!rest.empty()) {
    OnBytes(rest);
  }
}

void HttpClientConnection::OnEnd(const ErrorCode& error) {
  if (state_ == State::kIdle) {
    Close();
    return;
  }
  if (error != boost::asio::error::eof) {
    Fail(CallOutcome::kNoAnswer, error.message());
  } else if (!pending_.empty()) {
    Fail(CallOutcome::kNoAnswer, "answer cut short");
  } else if (reader_.ReadEnd() == ReadStatus::kFault) {
    Fail(CallOutcome::kNoAnswer, reader_.fault());
  } else if (is_writing_) {
    // The write may have taken the report of a reset, which a read then finds as an end in order.
    constexpr char kFault[] = "want an end behind the whole call, found one while it was written";
    ReportUnreadable(kFault);
    Fail(CallOutcome::kNoAnswer, kFault);
  } else {
    OnAnswer(/*rest=*/{});
  }
}

void HttpClientConnection::Finish(interfaces::HttpResponse response, bool surplus,
                                  bool keeps_open) {
  const auto self = shared_from_this();
  // The rest of a call that was answered early would come in the place of the next one. A surplus
  // copy of an error that names no call would pass for the answer to the next call: a back end that
  // runs would seem to have ended.
  const bool reusable = !surplus && !is_writing_ && !skipped_answer_ && !timing_.own_connection &&
                        keeps_open && !IsUnnamedError(response) && socket_.is_open();
  CallResult result;
  result.outcome = CallOutcome::kAnswered;
  result.response = std::move(response);
  pending_.clear();
  timer_.cancel();
  const CallCallback callback = std::exchange(callback_, nullptr);
  const HttpCallId call = std::exchange(call_, 0);
  if (reusable) {
    state_ = State::kIdle;
    const auto told = ParseKeepAliveTimeout(result.response.Header("Keep-Alive"));
    const Duration usable =
        told.has_value() ? *told - client_.settings_.idle_margin : client_.settings_.idle_timeout;
    usable_until_ = client_.clock_.Now() + usable;
    client_.OnIdle(self);
  } else {
    CloseSocket(/*in_order=*/!surplus && !is_writing_);
  }
  client_.calls_.erase(call);
  callback(std::move(result));
}

void HttpClientConnection::Fail(CallOutcome outcome, std::string detail) {
  const auto self = shared_from_this();
  const CallCallback callback = std::exchange(callback_, nullptr);
  const HttpCallId call = std::exchange(call_, 0);
  Close();
  client_.calls_.erase(call);
  CallResult result;
  result.outcome = outcome;
  result.detail = std::move(detail);
  callback(std::move(result));
}

void HttpClientConnection::Close() { CloseSocket(/*in_order=*/state_ == State::kIdle); }

void HttpClientConnection::CloseSocket(bool in_order) {
  if (state_ == State::kClosed) {
    return;
  }
  const bool was_idle = state_ == State::kIdle;
  if (in_order) {
    EndOnClose(socket_);
  }
  state_ = State::kClosed;
  ErrorCode ignored;
  socket_.close(ignored);
  timer_.cancel();
  callback_ = nullptr;
  if (was_idle) {
    client_.OnClosed(shared_from_this());
  }
}

}  // namespace ladderstream::gateway
