#include "gateway/peer/peer_transport.h"

#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>
#include <functional>
#include <optional>
#include <random>
#include <string>
#include <variant>
#include <vector>

#include "gateway/peer/frame.h"
#include "wire/boot_clock.h"

namespace ladderstream::gateway {
namespace {

using membership::Destination;
using membership::Message;
using membership::Report;
using membership::Resignation;

/// Far more than anything here takes; a test that reaches it fails.
constexpr std::chrono::seconds kPatience(10);

Report MakeReport(uint64_t sequence) {
  Report report;
  report.sender.incarnation = 1;
  report.sequence = sequence;
  return report;
}

/// Text that no compression makes shorter than half.
std::string RandomText(size_t size) {
  std::mt19937 random(size);
  std::string text(size, '\0');
  for (char& character : text) {
    character = static_cast<char>(random());
  }
  return text;
}

/// One node's transport and what it heard.
struct Peer {
  Peer(LoopResources* resources, const PeerSettings& settings)
      : transport(resources, settings,
                  {[this](uint64_t connection, Message message) {
                     messages.push_back(std::move(message));
                     last_connection = connection;
                   },
                   [this](const Endpoint& /*address*/, bool refused) {
                     connect_failures.push_back(refused);
                   },
                   [this](const Endpoint& address, const std::string& /*reason*/) {
                     lost.push_back(address);
                   }}) {
    transport.Start();
  }

  Destination address() const { return {transport.listen_address(), 0}; }

  std::vector<Message> messages;
  uint64_t last_connection = 0;
  std::vector<bool> connect_failures;
  std::vector<Endpoint> lost;
  PeerTransport transport;
};

struct Fixture {
  Peer& AddPeer(PeerSettings settings = {}) {
    settings.listen = {"127.0.0.1", 0};
    return *peers.emplace_back(std::make_unique<Peer>(&resources, settings));
  }

  /// Runs the event loop until `condition` holds.
  void RunUntil(const std::function<bool()>& condition) {
    const auto give_up = std::chrono::steady_clock::now() + kPatience;
    while (!condition()) {
      BOOST_REQUIRE(std::chrono::steady_clock::now() < give_up);
      loop.restart();
      loop.run_one_until(give_up);
    }
  }

  /// A bare connection to a peer.
  Tcp::socket Dial(const Peer& peer) {
    Tcp::socket socket(loop);
    socket.connect(ToTcpEndpoint(peer.transport.listen_address()));
    return socket;
  }

  EventLoop loop;
  BootTimeSource clock;
  LoopResources resources{loop, clock, std::make_shared<ByteBudget>(1U << 20U), {}};
  std::vector<std::unique_ptr<Peer>> peers;
};

BOOST_FIXTURE_TEST_CASE(AnswersComeBackOnTheSameConnection, Fixture) {
  Peer& asker = AddPeer();
  Peer& answerer = AddPeer();
  asker.transport.Send({answerer.address()}, MakeReport(1));
  RunUntil([&] { return answerer.messages.size() == 1; });
  answerer.transport.Send({{{}, answerer.last_connection}}, Resignation{2});
  RunUntil([&] { return asker.messages.size() == 1; });
  asker.transport.Send({answerer.address()}, MakeReport(2));
  RunUntil([&] { return answerer.messages.size() == 2; });
  BOOST_TEST(asker.transport.traffic().connections_opened == 1);
  const MessageTraffic& reports =
      asker.transport.traffic().queued[static_cast<size_t>(membership::MessageKind::kReport)]
                                      [static_cast<size_t>(membership::ZoneScope::kUnknown)];
  BOOST_TEST(reports.messages == 2);
  BOOST_TEST(reports.bytes == 2 * EncodeFrame(MakeReport(1), 1000).size());
  BOOST_TEST(answerer.transport.traffic().connections_opened == 0);
  BOOST_TEST(answerer.transport.connection_count() == 1);
}

BOOST_FIXTURE_TEST_CASE(ALongMessageArrivesWhole, Fixture) {
  Peer& sender = AddPeer();
  Peer& receiver = AddPeer();
  membership::Snapshot snapshot;
  snapshot.configuration_version = 1;
  for (int i = 0; i < 60; ++i) {
    snapshot.configuration.push_back({std::to_string(i), RandomText(65536), 1});
  }
  sender.transport.Send({receiver.address()}, snapshot);
  RunUntil([&] { return receiver.messages.size() == 1; });
  BOOST_TEST(std::get<membership::Snapshot>(receiver.messages[0]).configuration.size() == 60);
}

BOOST_FIXTURE_TEST_CASE(ARefusedConnectionIsToldAndNotRepeatedAtOnce, Fixture) {
  PeerSettings settings;
  settings.shortest_back_off = absl::Hours(1);
  settings.longest_back_off = absl::Hours(1);
  Peer& sender = AddPeer(settings);
  Destination nobody;
  {
    Acceptor closed = Listen(loop, {"127.0.0.1", 0});
    nobody.address = {"127.0.0.1", closed.local_endpoint().port()};
  }
  sender.transport.Send({nobody}, MakeReport(1));
  RunUntil([&] { return !sender.connect_failures.empty(); });
  BOOST_TEST(sender.connect_failures.front());
  sender.transport.Send({nobody}, MakeReport(2));
  BOOST_TEST(sender.transport.connection_count() == 0);
  BOOST_TEST(sender.transport.traffic().frames_dropped == 2);
}

BOOST_FIXTURE_TEST_CASE(AMalformedFrameClosesItsConnectionOnly, Fixture) {
  Peer& receiver = AddPeer();
  Peer& sender = AddPeer();
  sender.transport.Send({receiver.address()}, MakeReport(1));
  RunUntil([&] { return receiver.messages.size() == 1; });
  const std::vector<std::string> malformed = {
      std::string("\xff\xff\xff\xff", 4),                  // longer than any message
      std::string("\x00\x00\x00\x03\x92\x09\x90", 7),      // no such kind of message
      std::string("\x00\x00\x00\x05GET /", 9),             // another protocol
      std::string("\x00\x00\x00\x04\x92\x02\x91\x00", 8),  // a resignation of nobody
  };
  for (const std::string& bytes : malformed) {
    Tcp::socket socket = Dial(receiver);
    boost::asio::write(socket, boost::asio::buffer(bytes));
    std::optional<ErrorCode> closed;
    char byte = 0;
    socket.async_read_some(boost::asio::buffer(&byte, 1),
                           [&closed](const ErrorCode& error, size_t) { closed = error; });
    RunUntil([&] { return closed.has_value(); });
    BOOST_TEST(closed->failed());
  }
  BOOST_TEST(receiver.transport.traffic().malformed_frames == malformed.size());
  BOOST_TEST(receiver.transport.connection_count() == 1);
  sender.transport.Send({receiver.address()}, MakeReport(2));
  RunUntil([&] { return receiver.messages.size() == 2; });
}

BOOST_FIXTURE_TEST_CASE(AFullQueueDropsTheOldestReports, Fixture) {
  PeerSettings settings;
  settings.max_queued_frames = 4;
  Peer& sender = AddPeer(settings);
  Peer& receiver = AddPeer();
  // Everything waits for the connection, which needs the event loop.
  sender.transport.Send({receiver.address()}, Resignation{9});
  for (uint64_t sequence = 1; sequence <= 10; ++sequence) {
    sender.transport.Send({receiver.address()}, MakeReport(sequence));
  }
  BOOST_TEST(sender.transport.traffic().frames_dropped == 7);
  RunUntil([&] { return receiver.messages.size() == 4; });
  BOOST_TEST(std::holds_alternative<Resignation>(receiver.messages[0]));
  BOOST_TEST(std::get<Report>(receiver.messages[1]).sequence == 8);
  BOOST_TEST(std::get<Report>(receiver.messages[3]).sequence == 10);
}

BOOST_FIXTURE_TEST_CASE(ManyBytesForAPeerThatDoesNotReadAreDropped, Fixture) {
  PeerSettings settings;
  settings.max_queued_bytes = 100'000;
  Peer& sender = AddPeer(settings);
  Acceptor deaf = Listen(loop, {"127.0.0.1", 0});
  const Destination to{{"127.0.0.1", deaf.local_endpoint().port()}, 0};
  sender.transport.Send({to}, Resignation{9});
  RunUntil([&] { return sender.transport.traffic().frames_sent == 1; });
  membership::Snapshot snapshot;
  snapshot.configuration.push_back({"key", RandomText(60'000), 1});
  // More than the operating system keeps for one connection.
  constexpr int kFrames = 500;
  for (int i = 0; i < kFrames; ++i) {
    sender.transport.Send({to}, snapshot);
  }
  const PeerTraffic& traffic = sender.transport.traffic();
  BOOST_TEST(traffic.frames_dropped > 0);
  BOOST_TEST(traffic.frames_sent + traffic.frames_dropped >= kFrames - 1);
}

BOOST_FIXTURE_TEST_CASE(ALostConnectionIsToldAndOpenedAgain, Fixture) {
  Peer& sender = AddPeer();
  Peer& receiver = AddPeer();
  const Destination to = receiver.address();
  sender.transport.Send({to}, MakeReport(1));
  RunUntil([&] { return receiver.messages.size() == 1; });
  receiver.transport.Stop();
  RunUntil([&] { return !sender.lost.empty(); });
  BOOST_TEST((sender.lost.front() == to.address));
  BOOST_TEST(sender.transport.connection_count() == 0);
}

// Guards against a node that reports for ever on a connection that has gone silent, and so is told
// of no map and no change.
BOOST_FIXTURE_TEST_CASE(ConnectionThatAnswersNoReportIsReplaced, Fixture) {
  PeerSettings settings;
  settings.answer_timeout = absl::ZeroDuration();
  settings.shortest_back_off = absl::ZeroDuration();
  settings.longest_back_off = absl::ZeroDuration();
  Peer& sender = AddPeer(settings);
  Peer& receiver = AddPeer();
  const Destination to = receiver.address();
  sender.transport.Send({to}, MakeReport(1));
  RunUntil([&] { return receiver.messages.size() == 1; });
  receiver.transport.Send({{{}, receiver.last_connection}}, Resignation{2});
  RunUntil([&] { return sender.messages.size() == 1; });
  sender.transport.Send({to}, MakeReport(2));
  RunUntil([&] { return receiver.messages.size() == 2; });
  BOOST_TEST(sender.transport.traffic().connections_opened == 1);
  // Lost: a connection that ended so soon is not replaced at the same moment.
  sender.transport.Send({to}, MakeReport(3));
  sender.transport.Send({to}, MakeReport(4));
  RunUntil([&] { return receiver.messages.size() == 3; });
  BOOST_TEST(sender.transport.traffic().connections_opened == 2);
  BOOST_TEST(sender.transport.traffic().connections_unanswered == 1);
  BOOST_TEST(sender.lost.size() == 1);
}

BOOST_FIXTURE_TEST_CASE(TooManyConnectionsGiveWay, Fixture) {
  PeerSettings settings;
  settings.max_connections = 1;
  Peer& sender = AddPeer(settings);
  Peer& first = AddPeer();
  Peer& second = AddPeer();
  sender.transport.Send({first.address()}, MakeReport(1));
  RunUntil([&] { return first.messages.size() == 1; });
  sender.transport.Send({second.address()}, MakeReport(2));
  RunUntil([&] { return second.messages.size() == 1; });
  BOOST_TEST(sender.transport.connection_count() == 1);
  Tcp::socket surplus = Dial(sender);
  std::optional<ErrorCode> closed;
  char byte = 0;
  surplus.async_read_some(boost::asio::buffer(&byte, 1),
                          [&closed](const ErrorCode& error, size_t) { closed = error; });
  RunUntil([&] { return closed.has_value(); });
  BOOST_TEST(closed->failed());
}

}  // namespace
}  // namespace ladderstream::gateway
