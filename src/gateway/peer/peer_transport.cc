#include "gateway/peer/peer_transport.h"

#include <netinet/tcp.h>

#include <algorithm>
#include <utility>

#include "wire/result_code.h"

namespace ladderstream::gateway {
namespace {

/// Pause after a connection could not be accepted, for want of descriptors say.
constexpr std::chrono::milliseconds kAcceptPause(50);

/// Probes on silent connections: first after so long, then as often, and so many.
constexpr int kKeepAliveIdleSeconds = 5;
constexpr int kKeepAliveIntervalSeconds = 1;
constexpr int kKeepAliveProbes = 3;

/// A connection that ends sooner counts as a failure to connect.
constexpr Duration kShortLife = absl::Seconds(1);

/// Addresses that are remembered without a connection.
constexpr size_t kMostKnownAddresses = 4096;

template <int Name>
using TcpOption = boost::asio::detail::socket_option::integer<IPPROTO_TCP, Name>;

FrameRank RankOf(membership::MessageKind kind) {
  switch (kind) {
    case membership::MessageKind::kReport:
      return FrameRank::kReport;
    case membership::MessageKind::kRelayedOrder:
    case membership::MessageKind::kRelayedRequest:
      return FrameRank::kRelayed;
    default:
      return FrameRank::kOther;
  }
}

void PreparePeerSocket(Socket& socket, const PeerSettings& settings) {
  ErrorCode ignored;
  PrepareSocket(socket, ignored);
  BoundSilence(socket, settings.user_timeout, ignored);
  socket.set_option(boost::asio::socket_base::keep_alive(true), ignored);
  socket.set_option(TcpOption<TCP_KEEPIDLE>(kKeepAliveIdleSeconds), ignored);
  socket.set_option(TcpOption<TCP_KEEPINTVL>(kKeepAliveIntervalSeconds), ignored);
  socket.set_option(TcpOption<TCP_KEEPCNT>(kKeepAliveProbes), ignored);
}

}  // namespace

PeerTransport::PeerTransport(LoopResources* resources, const PeerSettings& settings,
                             PeerHandlers handlers)
    : resources_(resources),
      settings_(std::make_shared<PeerSettings>(settings)),
      traffic_(std::make_shared<PeerTraffic>()),
      handlers_(std::move(handlers)),
      alive_(std::make_shared<int>()),
      listen_address_(settings.listen),
      accept_pause_(resources->loop.get_executor()) {}

PeerTransport::~PeerTransport() { Stop(); }

void PeerTransport::Start() {
  acceptor_ = std::make_unique<Acceptor>(Listen(resources_->loop, settings_->listen));
  listen_address_.port = acceptor_->local_endpoint().port();
  AcceptNext();
}

void PeerTransport::Stop() {
  alive_.reset();
  acceptor_.reset();
  accept_pause_.cancel();
  for (const auto& [id, connection] : connections_) {
    connection->Close();
  }
  connections_.clear();
  outgoing_.clear();
}

void PeerTransport::AcceptNext() {
  acceptor_->async_accept(
      [this, alive = std::weak_ptr(alive_)](const ErrorCode& error, Socket socket) {
        if (alive.expired()) {
          return;
        }
        if (!error) {
          OnAccepted(std::move(socket));
          AcceptNext();
          return;
        }
        accept_pause_.expires_after(kAcceptPause);
        accept_pause_.async_wait([this, alive](const ErrorCode& /*error*/) {
          if (!alive.expired()) {
            AcceptNext();
          }
        });
      });
}

void PeerTransport::OnAccepted(Socket socket) {
  if (connections_.size() >= settings_->max_connections) {
    return;
  }
  PreparePeerSocket(socket, *settings_);
  const uint64_t id = ++last_connection_;
  const auto connection =
      std::make_shared<PeerConnection>(std::move(socket), settings_, traffic_, resources_);
  connections_.emplace(id, connection);
  StartConnection(id, connection, Endpoint{});
}

void PeerTransport::StartConnection(uint64_t connection, const PeerConnectionPtr& peer,
                                    const Endpoint& address) {
  peer->Start(
      [this, alive = std::weak_ptr(alive_), connection](membership::Message message) {
        if (!alive.expired()) {
          handlers_.on_message(connection, std::move(message));
        }
      },
      [this, alive = std::weak_ptr(alive_), connection, address](const std::string& reason) {
        if (!alive.expired()) {
          OnClosed(connection, address, reason);
        }
      });
}

void PeerTransport::Send(const std::vector<membership::Destination>& to,
                         const membership::Message& message) {
  const membership::MessageKind kind = membership::KindOf(message);
  const FrameRank rank = RankOf(kind);
  FramePtr frame;
  try {
    frame = std::make_shared<const std::string>(EncodeFrame(
        message, settings_->max_frame_bytes,
        rank == FrameRank::kRelayed ? Compression::kNever : Compression::kLongMessages));
  } catch (const Error&) {
    // Too long: nothing that a node sends comes near the limit, and nobody would take it.
    traffic_->frames_dropped += to.size();
    return;
  }
  auto& queued = traffic_->queued.at(static_cast<size_t>(kind));
  for (const membership::Destination& destination : to) {
    MessageTraffic& count = queued.at(static_cast<size_t>(destination.zone));
    ++count.messages;
    count.bytes += frame->size();
    SendTo(destination, frame, rank);
  }
}

bool PeerTransport::SendOne(const membership::Destination& to, const membership::Message& message) {
  const uint64_t dropped = traffic_->frames_dropped;
  Send({to}, message);
  return traffic_->frames_dropped == dropped;
}

void PeerTransport::SendTo(const membership::Destination& to, const FramePtr& frame,
                           FrameRank rank) {
  if (const PeerConnectionPtr connection = Find(to.connection)) {
    connection->Write(frame, rank);
    return;
  }
  if (to.address.port == 0) {
    ++traffic_->frames_dropped;
    return;
  }
  const Time now = resources_->clock.Now();
  auto [entry, added] = outgoing_.try_emplace(
      to.address, store::BackOff(settings_->shortest_back_off, settings_->longest_back_off,
                                 settings_->seed + to.address.port));
  Outgoing& outgoing = entry->second;
  outgoing.last_used = now;
  CloseIfUnanswered(to.address, outgoing.connection, now);
  if (const PeerConnectionPtr connection = Find(outgoing.connection)) {
    connection->Write(frame, rank);
    return;
  }
  if (now < outgoing.not_before) {
    ++traffic_->frames_dropped;
    return;
  }
  Connect(to.address, &outgoing);
  if (const PeerConnectionPtr connection = Find(outgoing.connection)) {
    connection->Write(frame, rank);
  } else {
    ++traffic_->frames_dropped;
  }
}

void PeerTransport::CloseIfUnanswered(const Endpoint& address, uint64_t connection, Time now) {
  const PeerConnectionPtr peer = Find(connection);
  if (peer != nullptr && peer->is_started() && peer->IsUnanswered(now)) {
    ++traffic_->connections_unanswered;
    peer->Close();
    OnClosed(connection, address, "no answer to a report");
  }
}

void PeerTransport::Connect(const Endpoint& address, Outgoing* outgoing) {
  MakeRoom(address);
  ErrorCode error;
  const auto ip = boost::asio::ip::make_address(address.host, error);
  if (error) {
    ++traffic_->connect_failures;
    return;
  }
  const Tcp::endpoint endpoint(ip, address.port);
  Socket socket(resources_->loop.get_executor());
  socket.open(endpoint.protocol(), error);
  if (error) {
    ++traffic_->connect_failures;
    outgoing->not_before = resources_->clock.Now() + outgoing->back_off.Next();
    return;
  }
  PreparePeerSocket(socket, *settings_);
  const uint64_t id = ++last_connection_;
  const auto connection =
      std::make_shared<PeerConnection>(std::move(socket), settings_, traffic_, resources_);
  connections_.emplace(id, connection);
  outgoing->connection = id;
  const auto deadline = std::make_shared<Timer>(resources_->loop.get_executor());
  deadline->expires_after(absl::ToChronoMilliseconds(settings_->connect_timeout));
  deadline->async_wait([this, alive = std::weak_ptr(alive_), address, id](const ErrorCode& failed) {
    if (!failed && !alive.expired()) {
      OnConnected(address, id, boost::asio::error::timed_out);
    }
  });
  connection->socket().async_connect(endpoint, [this, alive = std::weak_ptr(alive_), address, id,
                                                deadline](const ErrorCode& failed) {
    deadline->cancel();
    if (!alive.expired()) {
      OnConnected(address, id, failed);
    }
  });
}

void PeerTransport::OnConnected(const Endpoint& address, uint64_t connection,
                                const ErrorCode& error) {
  const PeerConnectionPtr peer = Find(connection);
  if (peer == nullptr || peer->is_started()) {
    return;
  }
  const auto outgoing = outgoing_.find(address);
  const Time now = resources_->clock.Now();
  if (!error) {
    ++traffic_->connections_opened;
    if (outgoing != outgoing_.end()) {
      outgoing->second.opened = now;
    }
    StartConnection(connection, peer, address);
    return;
  }
  ++traffic_->connect_failures;
  peer->Close();
  connections_.erase(connection);
  if (outgoing != outgoing_.end() && outgoing->second.connection == connection) {
    outgoing->second.connection = 0;
    outgoing->second.not_before = now + outgoing->second.back_off.Next();
  }
  handlers_.on_connect_failed(address, error == boost::asio::error::connection_refused);
}

void PeerTransport::OnClosed(uint64_t connection, const Endpoint& address,
                             const std::string& reason) {
  connections_.erase(connection);
  if (address.port == 0) {
    handlers_.on_incoming_closed(connection);
    return;
  }
  const auto outgoing = outgoing_.find(address);
  if (outgoing == outgoing_.end() || outgoing->second.connection != connection) {
    return;
  }
  const Time now = resources_->clock.Now();
  outgoing->second.connection = 0;
  if (now - outgoing->second.opened < kShortLife) {
    outgoing->second.not_before = now + outgoing->second.back_off.Next();
  } else {
    outgoing->second.back_off.Reset();
  }
  handlers_.on_connection_lost(address, reason);
}

void PeerTransport::MakeRoom(const Endpoint& wanted) {
  if (outgoing_.size() > kMostKnownAddresses) {
    std::erase_if(outgoing_, [this, &wanted](const auto& entry) {
      return entry.first != wanted && Find(entry.second.connection) == nullptr;
    });
  }
  if (connections_.size() < settings_->max_connections) {
    return;
  }
  auto oldest = outgoing_.end();
  for (auto entry = outgoing_.begin(); entry != outgoing_.end(); ++entry) {
    const bool older =
        oldest == outgoing_.end() || entry->second.last_used < oldest->second.last_used;
    if (Find(entry->second.connection) != nullptr && older) {
      oldest = entry;
    }
  }
  if (oldest == outgoing_.end()) {
    return;
  }
  Find(oldest->second.connection)->Close();
  connections_.erase(oldest->second.connection);
  oldest->second.connection = 0;
}

PeerConnectionPtr PeerTransport::Find(uint64_t connection) const {
  const auto found = connections_.find(connection);
  return found == connections_.end() ? nullptr : found->second;
}

}  // namespace ladderstream::gateway
