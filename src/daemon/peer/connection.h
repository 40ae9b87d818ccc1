// One TCP connection to or from another node: reads whole frames, writes queued ones in order.
//
// Lives on the transport's event thread; every method is to be called there. A connection that
// breaks, or whose peer sends what is not a frame, closes itself once and says so.
#pragma once

#include <array>
#include <atomic>
#include <boost/asio/ip/tcp.hpp>
#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "daemon/peer/frame.h"
#include "daemon/peer/traffic.h"

namespace ladderstream::peer {

/// Where a frame stands on its way out. Decides whether a call surely did not leave.
enum class FrameState {
  kQueued,
  /// Handed to the socket: it may have left.
  kLeaving,
  /// Its caller gave up, or its connection went, while it was queued: it never leaves.
  kAbandoned,
};

/// A frame on its way out. `state` may be changed from any thread; the rest is fixed.
struct OutgoingFrame {
  OutgoingFrame(std::string frame_bytes, MessageKind frame_kind)
      : bytes(std::move(frame_bytes)), kind(frame_kind) {}

  /// Takes the frame out of the way if it has not begun to leave. True when it surely did not and
  /// will not leave.
  bool Abandon() {
    FrameState expected = FrameState::kQueued;
    return state.compare_exchange_strong(expected, FrameState::kAbandoned) ||
           expected == FrameState::kAbandoned;
  }

  const std::string bytes;
  const MessageKind kind;
  std::atomic<FrameState> state{FrameState::kQueued};
};

using OutgoingFramePtr = std::shared_ptr<OutgoingFrame>;

class Connection : public std::enable_shared_from_this<Connection> {
 public:
  using Socket = boost::asio::ip::tcp::socket;
  using FrameHandler =
      std::function<void(const std::shared_ptr<Connection>& connection, PeerFrame frame)>;
  /// `reason` is for the log.
  using ClosedHandler = std::function<void(const std::shared_ptr<Connection>& connection,
                                           ErrorCause cause, const std::string& reason)>;

  Connection(Socket socket, Traffic* traffic, FrameHandler on_frame, ClosedHandler on_closed);

  /// Begins to read.
  void Start();

  /// Queues a frame. Gives false, and leaves it out, when the connection is closed or too much
  /// waits already.
  bool Write(const OutgoingFramePtr& frame);

  /// Closes without calling the closed handler.
  void Close();

  /// Sends no more, but goes on reading until the peer closes too.
  void FinishSending();

  bool is_open() const { return open_; }
  /// Whether every frame has been handed to the operating system.
  bool is_idle() const { return writing_.empty() && queue_.empty(); }

 private:
  static constexpr size_t kReadBytes = size_t{64} << 10;

  void ReadMore();
  void TakeBytes(size_t count);
  void WriteMore();
  /// Moves queued frames that are still wanted to `writing_`.
  void FillBatch();
  void Fail(ErrorCause cause, const std::string& reason);

  Socket socket_;
  Traffic* const traffic_;
  FrameHandler on_frame_;
  ClosedHandler on_closed_;
  bool open_ = true;
  FrameReader reader_;
  std::array<char, kReadBytes> read_buffer_{};
  std::deque<OutgoingFramePtr> queue_;
  size_t queued_bytes_ = 0;
  std::vector<OutgoingFramePtr> writing_;
};

using ConnectionPtr = std::shared_ptr<Connection>;

/// Sets what every connection between nodes has: no delay of small frames, and an end to a
/// connection whose peer acknowledges nothing.
void SetSocketOptions(Connection::Socket* socket);

}  // namespace ladderstream::peer
