// One connection to or from another node: reads whole messages, writes queued frames in order.
//
// Single-threaded. Closes itself once, and says so, when it breaks or when what arrives is no
// message.
#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <string>

#include "core/membership/messages.h"
#include "gateway/http/event_loop.h"
#include "gateway/peer/frame.h"
#include "gateway/peer/peer_settings.h"

namespace ladderstream::gateway {

/// A frame may wait on several connections at once.
using FramePtr = std::shared_ptr<const std::string>;

/// What gives way first when too much waits. Relayed orders and requests never do: somebody waits
/// for their outcome.
enum class FrameRank { kReport, kOther, kRelayed };

class PeerConnection : public std::enable_shared_from_this<PeerConnection> {
 public:
  using MessageHandler = std::function<void(membership::Message message)>;
  /// Not called after Close().
  using ClosedHandler = std::function<void(const std::string& reason)>;

  /// `resources` outlive the connection's last handler.
  PeerConnection(Socket socket, std::shared_ptr<const PeerSettings> settings,
                 std::shared_ptr<PeerTraffic> traffic, LoopResources* resources);

  /// Begins to read and to write; the socket is connected.
  void Start(MessageHandler on_message, ClosedHandler on_closed);
  /// Queues a frame, before Start too. Never blocks; may drop this or earlier frames.
  void Write(FramePtr frame, FrameRank rank);
  /// Drops what waits and closes.
  void Close();
  /// Whether the peer has said nothing for the answer timeout since a report was queued.
  bool IsUnanswered(Time now) const { return now - unanswered_since_ > settings_->answer_timeout; }

  Socket& socket() { return socket_; }
  bool is_started() const { return started_; }

 private:
  struct QueuedFrame {
    FramePtr frame;
    FrameRank rank = FrameRank::kOther;
    /// Bytes already written.
    size_t offset = 0;
  };

  void WaitForBytes();
  void ReadBytes();
  /// False when the connection has closed.
  bool TakeBytes(std::string_view bytes);
  void Flush();
  void WaitForRoom();
  /// Removes what `count` written bytes cover.
  void TakeWritten(size_t count);
  void DropUntilBounded();
  void Fail(const std::string& reason);

  Socket socket_;
  std::shared_ptr<const PeerSettings> settings_;
  std::shared_ptr<PeerTraffic> traffic_;
  LoopResources* resources_;
  MessageHandler on_message_;
  ClosedHandler on_closed_;
  FrameReader reader_;
  std::deque<QueuedFrame> queue_;
  size_t queued_bytes_ = 0;
  /// When the first report since the last message from the peer was queued.
  Time unanswered_since_ = absl::InfiniteFuture();
  bool open_ = true;
  bool started_ = false;
  bool waits_for_room_ = false;
};

using PeerConnectionPtr = std::shared_ptr<PeerConnection>;

}  // namespace ladderstream::gateway
