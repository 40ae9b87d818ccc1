// The socket and timer types of the event loop, bound to its executor so that no call goes through
// a type-erased one, and what the connections of one loop share.
#pragma once

#include <array>
#include <boost/asio/basic_socket_acceptor.hpp>
#include <boost/asio/basic_stream_socket.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <memory>
#include <string>

#include "gateway/http/boot_timer.h"
#include "gateway/http/byte_budget.h"
#include "gateway/http/loop_lag.h"
#include "wire/identifiers.h"
#include "wire/time.h"

namespace ladderstream::gateway {

using EventLoop = boost::asio::io_context;
using Tcp = boost::asio::ip::tcp;
using ErrorCode = boost::system::error_code;
using Socket = boost::asio::basic_stream_socket<Tcp, EventLoop::executor_type>;
using Acceptor = boost::asio::basic_socket_acceptor<Tcp, EventLoop::executor_type>;

/// Bytes that a connection reads with one pending operation. Heads and short bodies fit.
constexpr size_t kReadBufferBytes = 4096;
/// Bytes read at once when more than that has arrived.
constexpr size_t kSharedBufferBytes = 65536;
/// How often one connection reads before the others get their turn.
constexpr int kMaxReadsPerWake = 8;

using ReadBuffer = std::array<char, kReadBufferBytes>;

/// What all connections of one loop use in turn.
struct LoopResources {
  EventLoop& loop;
  const TimeSource& clock;
  ByteBudgetPtr budget;
  /// Valid only until the next read of any connection.
  std::array<char, kSharedBufferBytes> shared_buffer;
  /// Kept by whoever owns the loop's main timer.
  LoopLag lag = {};
};

/// Throws Error(kInvalidSetting) when `endpoint.host` is no IP address.
Tcp::endpoint ToTcpEndpoint(const Endpoint& endpoint);

/// Sends small writes at once and makes every call return at once.
void PrepareSocket(Socket& socket, ErrorCode& error);

/// Makes the connection come from this IP address; leaves the choice to the system when it is
/// empty.
void BindSource(Socket& socket, const std::string& host, ErrorCode& error);

/// Gives a connection up when bytes stay unacknowledged for `timeout`, also while connecting, and
/// when nothing at all comes back any more, also while it is idle. A timeout of at most two probe
/// intervals lets a single lost probe end an idle connection.
void BoundSilence(Socket& socket, Duration timeout, ErrorCode& error);

/// Makes closing the socket a reset, so that bytes which a cut link still holds up are dropped: a
/// call that is given up must not arrive once the link has healed. Set before the first byte is
/// written, it also holds when the process is killed and the kernel closes the socket.
void AbortOnClose(Socket& socket);

/// Undoes AbortOnClose: closing the socket ends the connection in order.
void EndOnClose(Socket& socket);

/// A listening socket; throws Error(kInvalidSetting) when the address cannot be had.
Acceptor Listen(EventLoop& loop, const Endpoint& endpoint);

inline bool WouldBlock(const ErrorCode& error) {
  return error == boost::asio::error::would_block || error == boost::asio::error::try_again;
}

}  // namespace ladderstream::gateway
