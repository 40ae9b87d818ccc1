#include "daemon/peer/connection.h"

#include <netinet/tcp.h>
#include <sys/socket.h>

#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>
#include <utility>

#include "wire/codec.h"

namespace ladderstream::peer {
namespace {

using boost::system::error_code;

/// What may wait for one peer before further frames are refused. Bytes.
constexpr size_t kMaxQueuedBytes = 4 * kMaxFrameBytes;

/// What one write hands to the socket. Bytes.
constexpr size_t kMaxBatchBytes = size_t{1} << 20;

/// A connection whose peer acknowledges no byte for this long is broken. Milliseconds.
constexpr int kUserTimeoutMs = 2000;

ErrorCause CauseOf(const Error& error) {
  return error.code() == ResultCode::kMessageTooLarge ? ErrorCause::kOversizedFrame
                                                      : ErrorCause::kMalformedFrame;
}

}  // namespace

void SetSocketOptions(Connection::Socket* socket) {
  error_code ignored;
  socket->set_option(boost::asio::ip::tcp::no_delay(true), ignored);
  ::setsockopt(socket->native_handle(), IPPROTO_TCP, TCP_USER_TIMEOUT, &kUserTimeoutMs,
               sizeof(kUserTimeoutMs));
}

Connection::Connection(Socket socket, Traffic* traffic, FrameHandler on_frame,
                       ClosedHandler on_closed)
    : socket_(std::move(socket)),
      traffic_(traffic),
      on_frame_(std::move(on_frame)),
      on_closed_(std::move(on_closed)) {}

void Connection::Start() { ReadMore(); }

bool Connection::Write(const OutgoingFramePtr& frame) {
  if (!open_) {
    return false;
  }
  if (queued_bytes_ + frame->bytes.size() > kMaxQueuedBytes) {
    traffic_->CountError(ErrorCause::kQueueFull);
    return false;
  }
  queued_bytes_ += frame->bytes.size();
  queue_.push_back(frame);
  if (writing_.empty()) {
    WriteMore();
  }
  return true;
}

void Connection::Close() {
  if (!open_) {
    return;
  }
  open_ = false;
  error_code ignored;
  socket_.shutdown(Socket::shutdown_both, ignored);
  socket_.close(ignored);
  queue_.clear();
  queued_bytes_ = 0;
}

void Connection::FinishSending() {
  error_code ignored;
  socket_.shutdown(Socket::shutdown_send, ignored);
}

void Connection::ReadMore() {
  socket_.async_read_some(boost::asio::buffer(read_buffer_),
                          [self = shared_from_this()](const error_code& error, size_t count) {
                            if (!self->open_) {
                              return;
                            }
                            if (error) {
                              self->Fail(ErrorCause::kConnectionLost, error.message());
                              return;
                            }
                            self->TakeBytes(count);
                          });
}

void Connection::TakeBytes(size_t count) {
  reader_.Append(std::string_view(read_buffer_.data(), count));
  try {
    while (open_) {
      const std::optional<std::string> message = reader_.Next();
      if (!message) {
        break;
      }
      auto frame = Decode<PeerFrame>(*message);
      traffic_->CountMessage(Direction::kReceived, frame.body.index(),
                             message->size() + kFrameHeaderBytes);
      on_frame_(shared_from_this(), std::move(frame));
    }
  } catch (const Error& error) {
    Fail(CauseOf(error), error.what());
  }
  if (open_) {
    ReadMore();
  }
}

void Connection::FillBatch() {
  size_t batch_bytes = 0;
  while (!queue_.empty() && batch_bytes < kMaxBatchBytes) {
    OutgoingFramePtr frame = std::move(queue_.front());
    queue_.pop_front();
    queued_bytes_ -= frame->bytes.size();
    FrameState expected = FrameState::kQueued;
    if (!frame->state.compare_exchange_strong(expected, FrameState::kLeaving)) {
      continue;
    }
    batch_bytes += frame->bytes.size();
    traffic_->CountMessage(Direction::kSent, frame->kind, frame->bytes.size());
    writing_.push_back(std::move(frame));
  }
}

void Connection::WriteMore() {
  FillBatch();
  if (writing_.empty()) {
    return;
  }
  std::vector<boost::asio::const_buffer> buffers;
  buffers.reserve(writing_.size());
  for (const OutgoingFramePtr& frame : writing_) {
    buffers.emplace_back(frame->bytes.data(), frame->bytes.size());
  }
  boost::asio::async_write(socket_, buffers,
                           [self = shared_from_this()](const error_code& error, size_t /*count*/) {
                             self->writing_.clear();
                             if (!self->open_) {
                               return;
                             }
                             if (error) {
                               self->Fail(ErrorCause::kConnectionLost, error.message());
                               return;
                             }
                             self->WriteMore();
                           });
}

void Connection::Fail(ErrorCause cause, const std::string& reason) {
  if (!open_) {
    return;
  }
  traffic_->CountError(cause);
  Close();
  on_closed_(shared_from_this(), cause, reason);
}

}  // namespace ladderstream::peer
