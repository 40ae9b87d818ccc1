#include "gateway/peer/peer_connection.h"

#include <absl/container/inlined_vector.h>

#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <boost/asio/post.hpp>
#include <utility>

#include "core/membership/message_codec.h"
#include "wire/result_code.h"

namespace ladderstream::gateway {
namespace {

/// Frames that one write hands to the socket.
constexpr size_t kMaxFramesPerWrite = 16;

}  // namespace

PeerConnection::PeerConnection(Socket socket, std::shared_ptr<const PeerSettings> settings,
                               std::shared_ptr<PeerTraffic> traffic, LoopResources* resources)
    : socket_(std::move(socket)),
      settings_(std::move(settings)),
      traffic_(std::move(traffic)),
      resources_(resources),
      reader_(settings_->max_frame_bytes) {}

void PeerConnection::Start(MessageHandler on_message, ClosedHandler on_closed) {
  started_ = true;
  on_message_ = std::move(on_message);
  on_closed_ = std::move(on_closed);
  WaitForBytes();
  Flush();
}

void PeerConnection::Write(FramePtr frame, FrameRank rank) {
  if (!open_) {
    ++traffic_->frames_dropped;
    return;
  }
  if (rank == FrameRank::kReport) {
    unanswered_since_ = std::min(unanswered_since_, resources_->clock.Now());
  }
  queued_bytes_ += frame->size();
  queue_.push_back({std::move(frame), rank, 0});
  DropUntilBounded();
  if (started_ && !waits_for_room_) {
    Flush();
  }
}

void PeerConnection::DropUntilBounded() {
  while (queue_.size() > 1 && (queue_.size() > settings_->max_queued_frames ||
                               queued_bytes_ > settings_->max_queued_bytes)) {
    // A frame that has begun to leave must go on; the newest is the one being queued.
    const auto first = queue_.begin() + (queue_.front().offset > 0 ? 1 : 0);
    const auto last = queue_.end() - 1;
    if (first == last) {
      return;
    }
    const auto find = [&](FrameRank rank) {
      return std::find_if(first, last,
                          [rank](const QueuedFrame& queued) { return queued.rank == rank; });
    };
    const auto report = find(FrameRank::kReport);
    const auto dropped = report == last ? find(FrameRank::kOther) : report;
    if (dropped == last) {
      return;
    }
    queued_bytes_ -= dropped->frame->size();
    queue_.erase(dropped);
    ++traffic_->frames_dropped;
  }
}

void PeerConnection::WaitForBytes() {
  socket_.async_wait(Socket::wait_read, [self = shared_from_this()](const ErrorCode& error) {
    if (!self->open_) {
      return;
    }
    if (error) {
      self->Fail(error.message());
      return;
    }
    self->ReadBytes();
  });
}

void PeerConnection::ReadBytes() {
  for (int reads = 0; reads < kMaxReadsPerWake; ++reads) {
    ErrorCode error;
    auto& buffer = resources_->shared_buffer;
    const size_t count = socket_.read_some(boost::asio::buffer(buffer), error);
    if (WouldBlock(error)) {
      break;
    }
    if (error) {
      Fail(error.message());
      return;
    }
    traffic_->bytes_received += count;
    const bool more_may_wait = count == buffer.size();
    if (!TakeBytes(std::string_view(buffer.data(), count))) {
      return;
    }
    if (!more_may_wait) {
      break;
    }
  }
  WaitForBytes();
}

bool PeerConnection::TakeBytes(std::string_view bytes) {
  reader_.Append(bytes);
  while (open_) {
    membership::Message message;
    try {
      const std::optional<std::string_view> body = reader_.Next();
      if (!body.has_value()) {
        return true;
      }
      message = membership::DecodeMessage(*body);
    } catch (const Error& error) {
      ++traffic_->malformed_frames;
      Fail(error.what());
      return false;
    }
    ++traffic_->frames_received;
    unanswered_since_ = absl::InfiniteFuture();
    on_message_(std::move(message));
  }
  return false;
}

void PeerConnection::Flush() {
  while (open_ && !queue_.empty()) {
    absl::InlinedVector<boost::asio::const_buffer, kMaxFramesPerWrite> buffers;
    const size_t frames = std::min(queue_.size(), kMaxFramesPerWrite);
    for (size_t i = 0; i < frames; ++i) {
      const QueuedFrame& queued = queue_[i];
      buffers.emplace_back(queued.frame->data() + queued.offset,
                           queued.frame->size() - queued.offset);
    }
    ErrorCode error;
    const size_t count = socket_.write_some(buffers, error);
    if (WouldBlock(error)) {
      WaitForRoom();
      return;
    }
    if (error) {
      // The handler may drop this connection's owner; the caller of Write must not see that.
      boost::asio::post(socket_.get_executor(), [self = shared_from_this(),
                                                 reason = error.message()] { self->Fail(reason); });
      waits_for_room_ = true;
      return;
    }
    TakeWritten(count);
  }
}

void PeerConnection::WaitForRoom() {
  waits_for_room_ = true;
  socket_.async_wait(Socket::wait_write, [self = shared_from_this()](const ErrorCode& error) {
    if (!self->open_) {
      return;
    }
    self->waits_for_room_ = false;
    if (error) {
      self->Fail(error.message());
      return;
    }
    self->Flush();
  });
}

void PeerConnection::TakeWritten(size_t count) {
  traffic_->bytes_sent += count;
  while (count > 0 && !queue_.empty()) {
    QueuedFrame& first = queue_.front();
    const size_t left = first.frame->size() - first.offset;
    if (count < left) {
      first.offset += count;
      return;
    }
    count -= left;
    queued_bytes_ -= first.frame->size();
    ++traffic_->frames_sent;
    queue_.pop_front();
  }
}

void PeerConnection::Close() {
  if (!open_) {
    return;
  }
  open_ = false;
  traffic_->frames_dropped += queue_.size();
  queue_.clear();
  queued_bytes_ = 0;
  ErrorCode ignored;
  socket_.close(ignored);
}

void PeerConnection::Fail(const std::string& reason) {
  if (!open_) {
    return;
  }
  Close();
  // Moved out first: the handler may own what keeps this connection.
  const ClosedHandler on_closed = std::move(on_closed_);
  if (on_closed) {
    on_closed(reason);
  }
}

}  // namespace ladderstream::gateway
