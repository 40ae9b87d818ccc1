#include "gateway/http/event_loop.h"

#include <absl/strings/str_cat.h>
#include <netinet/tcp.h>

#include <boost/asio/ip/address.hpp>

#include "wire/result_code.h"

namespace ladderstream::gateway {

namespace {

constexpr int kListenBacklog = 1024;

/// The shortest times that the kernel takes: a connection on which nothing comes back any more is
/// found 3 s after its last byte. A watch of the store says nothing for up to 20 s in order.
constexpr int kProbeSeconds = 1;
constexpr int kUnansweredProbes = 2;

using KeepAliveIdle = boost::asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPIDLE>;
using KeepAliveInterval = boost::asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPINTVL>;
using KeepAliveCount = boost::asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPCNT>;
using BindAddressOnly =
    boost::asio::detail::socket_option::boolean<IPPROTO_IP, IP_BIND_ADDRESS_NO_PORT>;
using UserTimeout = boost::asio::detail::socket_option::integer<IPPROTO_TCP, TCP_USER_TIMEOUT>;

}  // namespace

Tcp::endpoint ToTcpEndpoint(const Endpoint& endpoint) {
  ErrorCode error;
  const auto address = boost::asio::ip::make_address(endpoint.host, error);
  if (error) {
    throw Error(ResultCode::kInvalidSetting,
                absl::StrCat("not an IP address: ", FormatEndpoint(endpoint)));
  }
  return {address, endpoint.port};
}

void PrepareSocket(Socket& socket, ErrorCode& error) {
  socket.non_blocking(true, error);
  if (!error) {
    socket.set_option(Tcp::no_delay(true), error);
  }
}

void BindSource(Socket& socket, const std::string& host, ErrorCode& error) {
  if (host.empty()) {
    return;
  }
  const auto address = boost::asio::ip::make_address(host, error);
  if (!error) {
    // Leaves the port to the connect, which may share ports between destinations.
    socket.set_option(BindAddressOnly(true), error);
  }
  if (!error) {
    socket.bind({address, 0}, error);
  }
}

void BoundSilence(Socket& socket, Duration timeout, ErrorCode& error) {
  socket.set_option(UserTimeout(static_cast<int>(absl::ToInt64Milliseconds(timeout))), error);
  const auto set = [&](const auto& option) {
    if (!error) {
      socket.set_option(option, error);
    }
  };
  set(boost::asio::socket_base::keep_alive(true));
  set(KeepAliveIdle(kProbeSeconds));
  set(KeepAliveInterval(kProbeSeconds));
  set(KeepAliveCount(kUnansweredProbes));
}

void AbortOnClose(Socket& socket) {
  ErrorCode ignored;
  socket.set_option(boost::asio::socket_base::linger(true, 0), ignored);
}

void EndOnClose(Socket& socket) {
  ErrorCode ignored;
  socket.set_option(boost::asio::socket_base::linger(false, 0), ignored);
}

Acceptor Listen(EventLoop& loop, const Endpoint& endpoint) {
  const Tcp::endpoint address = ToTcpEndpoint(endpoint);
  Acceptor acceptor(loop.get_executor());
  ErrorCode error;
  acceptor.open(address.protocol(), error);
  if (!error) {
    acceptor.set_option(boost::asio::socket_base::reuse_address(true), error);
  }
  if (!error) {
    acceptor.bind(address, error);
  }
  if (!error) {
    acceptor.listen(kListenBacklog, error);
  }
  if (!error) {
    acceptor.non_blocking(true, error);
  }
  if (error) {
    throw Error(ResultCode::kInvalidSetting,
                absl::StrCat("cannot listen on ", FormatEndpoint(endpoint), ": ", error.message()));
  }
  return acceptor;
}

}  // namespace ladderstream::gateway
