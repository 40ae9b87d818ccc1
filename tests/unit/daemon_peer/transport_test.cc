#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>
#include <future>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "daemon/peer/frame.h"
#include "daemon/peer/peer_transport.h"
#include "wire/result_code.h"

namespace ladderstream::peer {
namespace {

using boost::asio::ip::tcp;
using Respond = std::function<void(const ForwardResponse&)>;

constexpr Duration kPatience = absl::Seconds(20);
const NodeId kClientId{1};
const NodeId kServerId{2};

TransportSettings SettingsFor(NodeId self, uint16_t port = 0) {
  TransportSettings settings;
  settings.self = self;
  settings.listen = Endpoint{"127.0.0.1", port};
  return settings;
}

NodeDescriptor DescriptorOf(NodeId id, const Endpoint& peer) {
  NodeDescriptor node;
  node.id = id;
  node.peer = peer;
  return node;
}

Handlers IgnoreAll() {
  return Handlers{[](const authority::MessageArrived&) {},
                  [](const ForwardRequest&, const Respond&) {}, [](const ForwardCancel&) {}};
}

ForwardRequest RequestWithId(const std::string& id) {
  ForwardRequest request;
  request.request_id = id;
  return request;
}

/// Runs `call` and gives the code of the Error that it throws; kOk when it throws none.
template <typename Function>
ResultCode CodeOf(Function call) {
  try {
    call();
  } catch (const Error& error) {
    return error.code();
  }
  return ResultCode::kOk;
}

/// A listening socket that the test plays the other node on.
class RawServer {
 public:
  RawServer() : acceptor_(io_, tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0)) {}

  Endpoint endpoint() const { return Endpoint{"127.0.0.1", acceptor_.local_endpoint().port()}; }

  /// Accepts a connection and reads one frame's header from it.
  tcp::socket AcceptAndReadHeader() {
    tcp::socket socket = acceptor_.accept();
    std::array<char, kFrameHeaderBytes> header{};
    boost::asio::read(socket, boost::asio::buffer(header));
    return socket;
  }

 private:
  boost::asio::io_context io_;
  tcp::acceptor acceptor_;
};

struct Pair {
  Pair() : client(SettingsFor(kClientId)), server(SettingsFor(kServerId)) {}

  NodeDescriptor server_node() const { return DescriptorOf(kServerId, server.endpoint()); }

  PeerTransport client;
  PeerTransport server;
};

/// Sends `bytes` to `to` and waits until the other side has closed the connection.
void SendAndAwaitClose(const Endpoint& to, const std::string& bytes) {
  boost::asio::io_context io;
  tcp::socket socket(io);
  socket.connect(tcp::endpoint(boost::asio::ip::make_address(to.host), to.port));
  boost::asio::write(socket, boost::asio::buffer(bytes));
  boost::system::error_code closed;
  char byte = 0;
  boost::asio::read(socket, boost::asio::buffer(&byte, 1), closed);
  BOOST_TEST(closed.failed());
}

BOOST_AUTO_TEST_SUITE(transport_suite)

BOOST_AUTO_TEST_CASE(AnswersFindTheirCallsInAnyOrder) {
  Pair pair;
  std::mutex mutex;
  std::vector<std::pair<std::string, Respond>> held;
  Handlers handlers = IgnoreAll();
  // Answers the later call first.
  handlers.on_forward = [&](const ForwardRequest& request, const Respond& respond) {
    const std::lock_guard<std::mutex> lock(mutex);
    held.emplace_back(request.request_id, respond);
    if (held.size() < 2) {
      return;
    }
    for (auto item = held.rbegin(); item != held.rend(); ++item) {
      ForwardResponse response;
      response.result = ResultCode::kOk;
      response.body = item->first;
      item->second(response);
    }
  };
  pair.server.Start(handlers);
  pair.client.Start(IgnoreAll());
  const auto call = [&pair](const std::string& id) {
    const PeerBody body = pair.client.Call(pair.server_node(), RequestWithId(id), kPatience);
    return std::get<ForwardResponse>(body).body;
  };
  std::future<std::string> first = std::async(std::launch::async, call, "one");
  std::future<std::string> second = std::async(std::launch::async, call, "two");
  BOOST_TEST(first.get() == "one");
  BOOST_TEST(second.get() == "two");
}

BOOST_AUTO_TEST_CASE(ControlAnswerGoesBackToANodeKnownByItsIdAlone) {
  Pair pair;
  Handlers server_handlers = IgnoreAll();
  server_handlers.on_control = [&pair](const authority::MessageArrived& message) {
    pair.server.SendControl(DescriptorOf(message.from, Endpoint{}), message.correlation, true,
                            NodeReportAck{true, {}, false});
  };
  std::promise<authority::MessageArrived> answered;
  Handlers client_handlers = IgnoreAll();
  client_handlers.on_control = [&answered](const authority::MessageArrived& message) {
    answered.set_value(message);
  };
  pair.server.Start(server_handlers);
  pair.client.Start(client_handlers);
  constexpr uint64_t kCorrelation = 41;
  pair.client.SendControl(pair.server_node(), kCorrelation, false, NodeReport{});
  const authority::MessageArrived answer = answered.get_future().get();
  BOOST_TEST(answer.correlation == kCorrelation);
  BOOST_TEST(answer.is_response);
  BOOST_TEST(answer.from == kServerId);
  BOOST_TEST(std::get<NodeReportAck>(answer.body).from_leader);
  BOOST_TEST(pair.client.traffic().ControlBytes(Direction::kSent) > 0U);
}

BOOST_AUTO_TEST_CASE(RefusedConnectionSurelyDidNotLeave) {
  PeerTransport client(SettingsFor(kClientId));
  client.Start(IgnoreAll());
  Endpoint nobody;
  {
    const RawServer server;
    nobody = server.endpoint();
  }
  const NodeDescriptor to = DescriptorOf(kServerId, nobody);
  BOOST_TEST((CodeOf([&] { client.Call(to, RequestWithId("x"), kPatience); }) ==
              ResultCode::kNodeUnreachable));
  BOOST_TEST(client.traffic().Errors(ErrorCause::kConnectFailed) == 1U);
}

BOOST_AUTO_TEST_CASE(ConnectionLostAfterTheRequestLeftIsUnknown) {
  PeerTransport client(SettingsFor(kClientId));
  client.Start(IgnoreAll());
  RawServer server;
  std::thread peer([&server] { server.AcceptAndReadHeader().close(); });
  const NodeDescriptor to = DescriptorOf(kServerId, server.endpoint());
  BOOST_TEST(
      (CodeOf([&] { client.Call(to, RequestWithId("x"), kPatience); }) == ResultCode::kNodeLost));
  peer.join();
}

BOOST_AUTO_TEST_CASE(SilenceAfterTheRequestLeftIsATimeout) {
  PeerTransport client(SettingsFor(kClientId));
  client.Start(IgnoreAll());
  RawServer server;
  std::promise<void> done;
  std::thread peer([&] {
    const tcp::socket socket = server.AcceptAndReadHeader();
    done.get_future().wait();
  });
  const NodeDescriptor to = DescriptorOf(kServerId, server.endpoint());
  BOOST_TEST((CodeOf([&] { client.Call(to, RequestWithId("x"), absl::Milliseconds(200)); }) ==
              ResultCode::kPeerTimeout));
  done.set_value();
  peer.join();
}

BOOST_AUTO_TEST_CASE(NodeGoesOnAfterHostileFrames) {
  Pair pair;
  Handlers handlers = IgnoreAll();
  handlers.on_forward = [](const ForwardRequest&, const Respond& respond) {
    ForwardResponse response;
    response.result = ResultCode::kOk;
    respond(response);
  };
  pair.server.Start(handlers);
  pair.client.Start(IgnoreAll());
  SendAndAwaitClose(pair.server.endpoint(), std::string("\x00\x00\x00\x02zz", 6));
  SendAndAwaitClose(pair.server.endpoint(), "GET / HTTP/1.1\r\n\r\n");
  BOOST_TEST(pair.server.traffic().Errors(ErrorCause::kMalformedFrame) == 1U);
  BOOST_TEST(pair.server.traffic().Errors(ErrorCause::kOversizedFrame) == 1U);
  const PeerBody body = pair.client.Call(pair.server_node(), RequestWithId("x"), kPatience);
  BOOST_TEST((std::get<ForwardResponse>(body).result == ResultCode::kOk));
}

BOOST_AUTO_TEST_CASE(ConnectionsComeFromTheAddressThatTheNodeListensOn) {
  TransportSettings settings = SettingsFor(kClientId);
  settings.listen.host = "127.0.0.5";
  PeerTransport client(settings);
  client.Start(IgnoreAll());
  RawServer server;
  client.Send(DescriptorOf(kServerId, server.endpoint()), RequestWithId("x"));
  const tcp::socket socket = server.AcceptAndReadHeader();
  BOOST_TEST(socket.remote_endpoint().address().to_string() == "127.0.0.5");
}

BOOST_AUTO_TEST_CASE(ConnectionIsReopenedAfterThePeerCameBack) {
  PeerTransport client(SettingsFor(kClientId));
  client.Start(IgnoreAll());
  Handlers handlers = IgnoreAll();
  handlers.on_forward = [](const ForwardRequest&, const Respond& respond) {
    ForwardResponse response;
    response.result = ResultCode::kOk;
    respond(response);
  };
  auto server = std::make_unique<PeerTransport>(SettingsFor(kServerId));
  server->Start(handlers);
  const NodeDescriptor to = DescriptorOf(kServerId, server->endpoint());
  client.Call(to, RequestWithId("first"), kPatience);
  server.reset();
  server = std::make_unique<PeerTransport>(SettingsFor(NodeId(3), to.peer.port));
  server->Start(handlers);
  // The loss of the earlier connection may reach the first of these calls.
  ResultCode code = ResultCode::kNodeLost;
  while (code != ResultCode::kOk) {
    code = CodeOf([&] { client.Call(to, RequestWithId("again"), kPatience); });
  }
  BOOST_TEST((code == ResultCode::kOk));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace ladderstream::peer
