#include "gateway/http/caller_server.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace ladderstream::gateway {

namespace {

/// Connections beyond the bound that still get a word of refusal.
constexpr size_t kRefusedConnections = 64;
/// Connections accepted at once before others get their turn. One a turn of the loop, callers that
/// come together after a neighbour was lost waited behind all other work, and some left unseen.
constexpr int kMaxAcceptsPerWake = 32;

}  // namespace

CallerServer::CallerServer(LoopResources& resources, const interfaces::HeaderNames& names,
                           const CallerServerSettings& settings, RequestHandler& handler)
    : resources_(resources),
      names_(names),
      settings_(settings),
      handler_(handler),
      acceptor_(Listen(resources.loop, settings.listen)),
      local_endpoint_(acceptor_.local_endpoint()) {
  ArmAccept();
}

CallerServer::~CallerServer() {
  draining_ = false;
  const auto close = [](CallerConnection& connection) { connection.Close(); };
  ForEach(idle_, close);
  ForEach(busy_, close);
}

template <typename Act>
void CallerServer::ForEach(const Connections& connections, Act act) {
  const std::vector<CallerConnectionPtr> copy(connections.begin(), connections.end());
  for (const CallerConnectionPtr& connection : copy) {
    act(*connection);
  }
}

void CallerServer::ArmAccept() {
  if (accept_armed_ || !acceptor_.is_open()) {
    return;
  }
  accept_armed_ = true;
  acceptor_.async_accept(
      [this, alive = std::weak_ptr<char>(alive_)](const ErrorCode& error, Socket socket) {
        if (!alive.expired()) {
          accept_armed_ = false;
          OnAccepted(error, std::move(socket));
        }
      });
}

void CallerServer::OnAccepted(const ErrorCode& error, Socket socket) {
  if (error == boost::asio::error::operation_aborted) {
    return;
  }
  if (error == boost::asio::error::no_descriptors) {
    // Taken up again by the next sweep.
    if (!idle_.empty()) {
      const CallerConnectionPtr oldest = idle_.front();
      oldest->CloseIfIdle();
    }
    return;
  }
  if (!error) {
    Add(std::move(socket));
    AcceptMore();
  }
  ArmAccept();
}

void CallerServer::AcceptMore() {
  for (int accepted = 1; accepted < kMaxAcceptsPerWake; ++accepted) {
    ErrorCode error;
    Socket socket = acceptor_.accept(error);
    if (error) {
      // Nobody waits, or accepting fails for a reason that the next wait will tell.
      return;
    }
    Add(std::move(socket));
  }
}

void CallerServer::Add(Socket socket) {
  ErrorCode error;
  PrepareSocket(socket, error);
  if (error) {
    return;
  }
  if (connection_count() >= settings_.max_connections && !idle_.empty()) {
    const CallerConnectionPtr oldest = idle_.front();
    oldest->CloseIfIdle();
  }
  const bool too_many = connection_count() >= settings_.max_connections;
  if (connection_count() >= settings_.max_connections + kRefusedConnections) {
    return;
  }
  auto connection = std::make_shared<CallerConnection>(
      std::move(socket), resources_, names_, limits_, static_cast<CallerConnectionOwner&>(*this));
  if (too_many) {
    connection->RefuseRequests(ResultCode::kTooManyConnections);
  }
  connection->position = idle_.insert(idle_.end(), connection);
  connection->Start(resources_.clock.Now());
}

void CallerServer::OnRequest(const CallerConnectionPtr& connection, CallerRequest request) {
  handler_.OnRequest(connection, std::move(request));
}

void CallerServer::OnCallerGone(CallerConnection& connection) { handler_.OnCallerGone(connection); }

void CallerServer::OnCallerGoneUnread(const CallerRequest& request) {
  handler_.OnCallerGoneUnread(request);
}

void CallerServer::OnRefused(const ReadFault& fault) { handler_.OnRefused(fault); }

void CallerServer::OnStateChange(CallerConnection& connection) {
  if (connection.state() == CallerConnection::State::kClosed) {
    if (connection.position != Connections::iterator()) {
      // The connection keeps itself alive while it closes.
      (connection.is_listed_idle ? idle_ : busy_).erase(connection.position);
      connection.position = Connections::iterator();
    }
  } else if (connection.IsIdle() != connection.is_listed_idle) {
    Connections& from = connection.is_listed_idle ? idle_ : busy_;
    Connections& to = connection.is_listed_idle ? busy_ : idle_;
    to.splice(to.end(), from, connection.position);
    connection.is_listed_idle = !connection.is_listed_idle;
  }
  if (draining_ && IsQuiet()) {
    handler_.OnQuiet();
  }
}

bool CallerServer::IsQuiet() const {
  return std::all_of(busy_.begin(), busy_.end(), [](const CallerConnectionPtr& connection) {
    return connection->state() == CallerConnection::State::kLingering;
  });
}

void CallerServer::StopAccepting() {
  ErrorCode ignored;
  acceptor_.close(ignored);
}

void CallerServer::BeginDrain() {
  draining_ = true;
  ForEach(idle_, [](CallerConnection& connection) { connection.CloseIfIdle(); });
  if (IsQuiet()) {
    handler_.OnQuiet();
  }
}

void CallerServer::Sweep(Time now) {
  const auto check = [this, now](CallerConnection& connection) {
    connection.CheckTimeouts(now, limits_, settings_.write_timeout, settings_.linger);
  };
  ForEach(busy_, check);
  while (!idle_.empty()) {
    const CallerConnectionPtr oldest = idle_.front();
    check(*oldest);
    if (!idle_.empty() && idle_.front() == oldest) {
      break;
    }
  }
  ArmAccept();
}

}  // namespace ladderstream::gateway
