#include "gateway/http/event_loop.h"

#include <absl/strings/str_cat.h>
#include <netinet/tcp.h>

#include <boost/asio/ip/address.hpp>

#include "wire/result_code.h"

namespace ladderstream::gateway {

namespace {

constexpr int kListenBacklog = 1024;

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

void SetUserTimeout(Socket& socket, Duration timeout, ErrorCode& error) {
  socket.set_option(UserTimeout(static_cast<int>(absl::ToInt64Milliseconds(timeout))), error);
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
