// The outbound connection to one node's address: opened when something is to be sent, reopened
// after a loss with growing pauses, shared by all calls to that address.
//
// Lives on the transport's event thread; every method is to be called there.
#pragma once

#include <absl/container/flat_hash_map.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/address.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <cstdint>
#include <deque>
#include <functional>
#include <future>
#include <memory>
#include <random>
#include <string>

#include "daemon/peer/connection.h"
#include "wire/identifiers.h"
#include "wire/time.h"

namespace ladderstream::peer {

struct LinkTiming {
  Duration connect_timeout = absl::Milliseconds(500);
  /// The pause after a failed connect; doubled by each further one up to the longest.
  Duration first_backoff = absl::Milliseconds(20);
  Duration longest_backoff = absl::Milliseconds(500);
};

/// A question that waits for its answer.
struct PendingCall {
  OutgoingFramePtr frame;
  std::promise<PeerBody> answer;
};

using PendingCallPtr = std::shared_ptr<PendingCall>;

class PeerLink {
 public:
  /// Connects from the IP number `source`, which may be the unspecified one ("0.0.0.0"). `on_frame`
  /// gets every frame that is no answer to a call of this link.
  PeerLink(boost::asio::io_context* io, std::string source, Endpoint address,
           const LinkTiming& timing, Traffic* traffic, Connection::FrameHandler on_frame);

  /// Sends a message that wants no answer here; drops it while the address can't be reached.
  void Send(const OutgoingFramePtr& frame);

  /// Sends a question. Its promise gets the answer, or Error(kNodeUnreachable) when it surely did
  /// not leave, or Error(kNodeLost).
  void Call(uint64_t correlation, const PendingCallPtr& call);

  /// The caller of that question gave up.
  void Forget(uint64_t correlation);

  /// Closes the connection; all calls fail.
  void Close();

 private:
  enum class State { kIdle, kConnecting, kConnected, kBackoff };

  /// Gives false when the frame can't be sent now.
  bool Enqueue(const OutgoingFramePtr& frame);
  void Connect();
  /// Lets `connecting_` connect from `source_`, unless that is unspecified or of another family.
  void BindToSource(const boost::asio::ip::address& target, boost::system::error_code& failed);
  void OnConnected(const boost::system::error_code& error);
  void OnConnectFailed(const std::string& reason);
  void OnFrame(PeerFrame frame);
  void OnClosed(const std::string& reason);
  void EndBackoff();
  void FailCalls(const std::string& reason);
  std::chrono::microseconds NextPause();

  boost::asio::io_context* const io_;
  const std::string source_;
  const Endpoint address_;
  const LinkTiming timing_;
  Traffic* const traffic_;
  const Connection::FrameHandler on_frame_;

  State state_ = State::kIdle;
  /// Counts connection attempts, so that a late handler of an earlier one is told apart.
  uint64_t attempt_ = 0;
  std::unique_ptr<Connection::Socket> connecting_;
  ConnectionPtr connection_;
  boost::asio::steady_timer timer_;
  Duration backoff_;
  std::minstd_rand random_;
  /// What waits for the connection to open.
  std::deque<OutgoingFramePtr> waiting_;
  absl::flat_hash_map<uint64_t, PendingCallPtr> calls_;
};

}  // namespace ladderstream::peer
