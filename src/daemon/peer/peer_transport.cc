#include "daemon/peer/peer_transport.h"

#include <absl/container/flat_hash_map.h>
#include <absl/container/flat_hash_set.h>
#include <absl/strings/str_cat.h>

#include <algorithm>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/address.hpp>
#include <boost/asio/post.hpp>
#include <chrono>
#include <map>
#include <thread>
#include <utility>

#include "daemon/peer/frame.h"
#include "logging/log.h"
#include "wire/result_code.h"

namespace ladderstream::peer {
namespace {

using boost::asio::ip::tcp;
using boost::system::error_code;

/// Set in the correlations of Call, clear in the authority's.
constexpr uint64_t kCallBit = uint64_t{1} << 63;

/// How long accepting pauses after it failed (out of descriptors, for instance).
constexpr std::chrono::milliseconds kAcceptPause(100);

/// How long stopping waits for answers to leave and for peers to close, and how often it looks.
constexpr std::chrono::milliseconds kCloseTimeout(500);
constexpr std::chrono::milliseconds kCloseCheckInterval(2);

}  // namespace

class PeerTransport::Impl {
 public:
  explicit Impl(const TransportSettings& settings)
      : settings_(settings), work_(io_.get_executor()), acceptor_(io_), accept_timer_(io_) {
    Listen();
  }

  ~Impl() { Stop(); }

  Endpoint endpoint() const {
    const tcp::endpoint local = acceptor_.local_endpoint();
    return Endpoint{local.address().to_string(), local.port()};
  }

  const Traffic& traffic() const { return traffic_; }

  void Start(Handlers handlers) {
    handlers_ = std::move(handlers);
    Accept();
    thread_ = std::thread([this] { io_.run(); });
  }

  void Stop() {
    if (!thread_.joinable()) {
      return;
    }
    boost::asio::post(io_, [this] {
      error_code ignored;
      acceptor_.close(ignored);
      accept_timer_.cancel();
      close_deadline_ = std::chrono::steady_clock::now() + kCloseTimeout;
      FlushThenClose();
    });
    thread_.join();
  }

  PeerBody Call(const NodeDescriptor& to, const PeerBody& body, Duration timeout);
  void Send(const NodeDescriptor& to, uint64_t correlation, bool is_response, const PeerBody& body);

 private:
  void Listen();
  void Accept();
  void OnAccepted(tcp::socket socket);
  /// Closes inbound connections so that answers under way still arrive, then everything.
  void FlushThenClose();
  void AwaitInboundClosed();
  void CloseAll();
  bool CloseTimedOut() const { return std::chrono::steady_clock::now() >= close_deadline_; }
  /// Calls `check` again after a short while.
  void CheckAgain(void (Impl::*check)());
  PeerLink* LinkTo(const Endpoint& address);
  OutgoingFramePtr MakeFrame(uint64_t correlation, bool is_response, const PeerBody& body) const;
  /// Gives the open connection that the node last used towards this one, or null.
  ConnectionPtr InboundFrom(NodeId node) const;
  void OnInboundClosed(const ConnectionPtr& connection, ErrorCause cause,
                       const std::string& reason);
  void OnFrame(const ConnectionPtr& connection, PeerFrame frame);
  void OnForward(const ConnectionPtr& connection, uint64_t correlation, ForwardRequest request);
  void Respond(const std::weak_ptr<Connection>& connection, uint64_t correlation,
               const ForwardResponse& response);

  const TransportSettings settings_;
  Traffic traffic_;
  boost::asio::io_context io_;
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work_;
  tcp::acceptor acceptor_;
  boost::asio::steady_timer accept_timer_;
  Handlers handlers_;
  std::thread thread_;
  std::atomic<uint64_t> next_call_{1};

  // Touched on the event thread alone.
  std::chrono::steady_clock::time_point close_deadline_;
  std::map<Endpoint, std::unique_ptr<PeerLink>> links_;
  absl::flat_hash_set<ConnectionPtr> inbound_;
  absl::flat_hash_map<NodeId, std::weak_ptr<Connection>> inbound_by_node_;
};

void PeerTransport::Impl::Listen() {
  try {
    const tcp::endpoint address(boost::asio::ip::make_address(settings_.listen.host),
                                settings_.listen.port);
    acceptor_.open(address.protocol());
    acceptor_.set_option(tcp::acceptor::reuse_address(true));
    acceptor_.bind(address);
    acceptor_.listen();
  } catch (const boost::system::system_error& error) {
    throw Error(
        ResultCode::kInvalidSetting,
        absl::StrCat("can't listen at ", FormatEndpoint(settings_.listen), ": ", error.what()));
  }
}

void PeerTransport::Impl::Accept() {
  acceptor_.async_accept([this](const error_code& error, tcp::socket socket) {
    if (!acceptor_.is_open()) {
      return;
    }
    if (!error) {
      OnAccepted(std::move(socket));
      Accept();
      return;
    }
    accept_timer_.expires_after(kAcceptPause);
    accept_timer_.async_wait([this](const error_code& cancelled) {
      if (!cancelled && acceptor_.is_open()) {
        Accept();
      }
    });
  });
}

void PeerTransport::Impl::OnAccepted(tcp::socket socket) {
  if (inbound_.size() >= settings_.max_inbound_connections) {
    traffic_.CountError(ErrorCause::kTooManyConnections);
    return;
  }
  SetSocketOptions(&socket);
  const auto connection = std::make_shared<Connection>(
      std::move(socket), &traffic_,
      [this](const ConnectionPtr& from, PeerFrame frame) { OnFrame(from, std::move(frame)); },
      [this](const ConnectionPtr& from, ErrorCause cause, const std::string& reason) {
        OnInboundClosed(from, cause, reason);
      });
  inbound_.insert(connection);
  connection->Start();
}

void PeerTransport::Impl::OnInboundClosed(const ConnectionPtr& connection, ErrorCause cause,
                                          const std::string& reason) {
  inbound_.erase(connection);
  absl::erase_if(inbound_by_node_, [](const auto& entry) {
    const ConnectionPtr open = entry.second.lock();
    return open == nullptr || !open->is_open();
  });
  const bool hostile = cause == ErrorCause::kMalformedFrame || cause == ErrorCause::kOversizedFrame;
  Log(Part::kPeer, hostile ? Severity::kWarning : Severity::kDebug, "Inbound connection closed.",
      {{"cause", NameOfCause(cause)}, {"error", reason}});
}

void PeerTransport::Impl::CheckAgain(void (Impl::*check)()) {
  accept_timer_.expires_after(kCloseCheckInterval);
  accept_timer_.async_wait([this, check](const error_code& /*cancelled*/) { (this->*check)(); });
}

void PeerTransport::Impl::FlushThenClose() {
  const bool idle =
      std::all_of(inbound_.begin(), inbound_.end(),
                  [](const ConnectionPtr& connection) { return connection->is_idle(); });
  if (!idle && !CloseTimedOut()) {
    CheckAgain(&Impl::FlushThenClose);
    return;
  }
  for (const ConnectionPtr& connection : inbound_) {
    connection->FinishSending();
  }
  AwaitInboundClosed();
}

void PeerTransport::Impl::AwaitInboundClosed() {
  if (!inbound_.empty() && !CloseTimedOut()) {
    CheckAgain(&Impl::AwaitInboundClosed);
    return;
  }
  CloseAll();
}

void PeerTransport::Impl::CloseAll() {
  for (const ConnectionPtr& connection : inbound_) {
    connection->Close();
  }
  inbound_.clear();
  for (const auto& [address, link] : links_) {
    link->Close();
  }
  work_.reset();
}

PeerLink* PeerTransport::Impl::LinkTo(const Endpoint& address) {
  std::unique_ptr<PeerLink>& link = links_[address];
  if (!link) {
    link = std::make_unique<PeerLink>(
        &io_, settings_.listen.host, address, settings_.timing, &traffic_,
        [this](const ConnectionPtr& from, PeerFrame frame) { OnFrame(from, std::move(frame)); });
  }
  return link.get();
}

OutgoingFramePtr PeerTransport::Impl::MakeFrame(uint64_t correlation, bool is_response,
                                                const PeerBody& body) const {
  const PeerFrame frame{settings_.self, correlation, is_response, body};
  return std::make_shared<OutgoingFrame>(EncodeFrame(frame), body.index());
}

PeerBody PeerTransport::Impl::Call(const NodeDescriptor& to, const PeerBody& body,
                                   Duration timeout) {
  const uint64_t correlation = kCallBit | next_call_.fetch_add(1);
  const auto call = std::make_shared<PendingCall>();
  call->frame = MakeFrame(correlation, false, body);
  std::future<PeerBody> answer = call->answer.get_future();
  boost::asio::post(io_, [this, address = to.peer, correlation, call] {
    LinkTo(address)->Call(correlation, call);
  });
  if (answer.wait_for(absl::ToChronoMicroseconds(timeout)) == std::future_status::ready) {
    return answer.get();
  }
  const bool never_leaves = call->frame->Abandon();
  traffic_.CountError(ErrorCause::kCallTimedOut);
  boost::asio::post(
      io_, [this, address = to.peer, correlation] { LinkTo(address)->Forget(correlation); });
  throw Error(never_leaves ? ResultCode::kNodeUnreachable : ResultCode::kPeerTimeout,
              absl::StrCat("node at ", FormatEndpoint(to.peer), ": no answer within ",
                           absl::FormatDuration(timeout)));
}

void PeerTransport::Impl::Send(const NodeDescriptor& to, uint64_t correlation, bool is_response,
                               const PeerBody& body) {
  OutgoingFramePtr frame;
  try {
    frame = MakeFrame(correlation, is_response, body);
  } catch (const Error& error) {
    traffic_.CountError(ErrorCause::kOversizedFrame);
    Log(Part::kPeer, Severity::kError, "Message left out.",
        {{"kind", NameOfKind(body.index())}, {"error", error.what()}});
    return;
  }
  boost::asio::post(io_, [this, id = to.id, address = to.peer, is_response, frame] {
    const bool prefers_inbound = is_response || address.port == 0;
    const ConnectionPtr inbound = prefers_inbound ? InboundFrom(id) : nullptr;
    if (inbound) {
      inbound->Write(frame);
    } else if (address.port != 0) {
      LinkTo(address)->Send(frame);
    }
  });
}

ConnectionPtr PeerTransport::Impl::InboundFrom(NodeId node) const {
  const auto entry = inbound_by_node_.find(node);
  if (entry == inbound_by_node_.end()) {
    return nullptr;
  }
  const ConnectionPtr connection = entry->second.lock();
  return connection && connection->is_open() ? connection : nullptr;
}

void PeerTransport::Impl::OnFrame(const ConnectionPtr& connection, PeerFrame frame) {
  if (!frame.is_response) {
    inbound_by_node_.insert_or_assign(frame.from, connection);
  } else if ((frame.correlation & kCallBit) != 0) {
    // The answer to a call whose caller has given up.
    return;
  }
  if (auto* const forward = std::get_if<ForwardRequest>(&frame.body)) {
    OnForward(connection, frame.correlation, std::move(*forward));
  } else if (auto* const cancel = std::get_if<ForwardCancel>(&frame.body)) {
    handlers_.on_cancel(std::move(*cancel));
  } else {
    handlers_.on_control(authority::MessageArrived{frame.from, frame.correlation, frame.is_response,
                                                   std::move(frame.body)});
  }
}

void PeerTransport::Impl::OnForward(const ConnectionPtr& connection, uint64_t correlation,
                                    ForwardRequest request) {
  handlers_.on_forward(std::move(request), [this, to = std::weak_ptr<Connection>(connection),
                                            correlation](const ForwardResponse& response) {
    Respond(to, correlation, response);
  });
}

void PeerTransport::Impl::Respond(const std::weak_ptr<Connection>& connection, uint64_t correlation,
                                  const ForwardResponse& response) {
  OutgoingFramePtr frame;
  try {
    frame = MakeFrame(correlation, true, response);
  } catch (const Error&) {
    ForwardResponse too_long;
    too_long.result = ResultCode::kAnswerTruncated;
    frame = MakeFrame(correlation, true, too_long);
  }
  boost::asio::post(io_, [connection, frame] {
    if (const ConnectionPtr open = connection.lock()) {
      open->Write(frame);
    }
  });
}

PeerTransport::PeerTransport(const TransportSettings& settings)
    : impl_(std::make_unique<Impl>(settings)) {}

PeerTransport::~PeerTransport() = default;

Endpoint PeerTransport::endpoint() const { return impl_->endpoint(); }

void PeerTransport::Start(Handlers handlers) { impl_->Start(std::move(handlers)); }

void PeerTransport::Stop() { impl_->Stop(); }

PeerBody PeerTransport::Call(const NodeDescriptor& to, const PeerBody& body, Duration timeout) {
  return impl_->Call(to, body, timeout);
}

void PeerTransport::Send(const NodeDescriptor& to, const PeerBody& body) {
  impl_->Send(to, 0, false, body);
}

void PeerTransport::SendControl(const NodeDescriptor& to, uint64_t correlation, bool is_response,
                                const PeerBody& body) {
  impl_->Send(to, correlation, is_response, body);
}

const Traffic& PeerTransport::traffic() const { return impl_->traffic(); }

}  // namespace ladderstream::peer
