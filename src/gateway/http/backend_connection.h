// One connection to a back end: carries one request at a time.
#pragma once

#include <boost/asio/buffer.hpp>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "core/forwarding/dispatcher.h"
#include "gateway/http/answer_reader.h"
#include "gateway/http/data_path_settings.h"
#include "gateway/http/event_loop.h"
#include "gateway/http/request_reader.h"
#include "wire/time.h"

namespace ladderstream::gateway {

using CallerRequestPtr = std::shared_ptr<const CallerRequest>;

/// Hears how exchanges go. After OnAnswer or OnFailure an exchange is over.
class ExchangeListener {
 public:
  virtual ~ExchangeListener() = default;

  /// A new connection came up for the exchange.
  virtual void OnConnected(forwarding::AttemptHandle attempt) = 0;
  /// Whether a request whose connection came up just now may still go to its back end.
  virtual bool MaySend(forwarding::AttemptHandle attempt) = 0;
  /// The first byte is about to be written.
  virtual void OnSent(forwarding::AttemptHandle attempt) = 0;
  virtual void OnAnswer(forwarding::AttemptHandle attempt, BackendAnswer answer) = 0;
  virtual void OnFailure(forwarding::AttemptHandle attempt, forwarding::AttemptFailure failure,
                         std::string_view cause) = 0;
};

/// One attempt of a request at one back end.
struct Exchange {
  forwarding::AttemptHandle attempt = 0;
  CallerRequestPtr request;
  /// What is announced as time left ends here.
  Time answer_by;
  /// Must outlive the exchange.
  ExchangeListener* listener = nullptr;
  /// See forwarding::SendDecision.
  bool needs_new_connection = false;
};

class BackendConnection;
using BackendConnectionPtr = std::shared_ptr<BackendConnection>;

/// Keeps the connections of a back end.
class BackendConnectionOwner {
 public:
  virtual ~BackendConnectionOwner() = default;

  virtual void OnConnected(const BackendConnection& connection) = 0;
  /// The connection may carry another request, until `usable_until`.
  virtual void OnReusable(const BackendConnectionPtr& connection) = 0;
  virtual void OnClosed(BackendConnection& connection, std::string_view cause) = 0;
};

class BackendConnection : public std::enable_shared_from_this<BackendConnection> {
 public:
  /// All references must outlive the connection's open state.
  BackendConnection(LoopResources& resources, const interfaces::PlatformAdapter& adapter,
                    const BackendPoolSettings& settings, BackendConnectionOwner& owner,
                    std::string backend);

  /// Connects and then sends. The exchange may be over when this returns.
  void Connect(const Tcp::endpoint& address, Exchange exchange);
  /// Whether an idle connection is still as it was left: open, and without a stray byte.
  bool IsSound();
  /// False for a request that this connection has carried and that was not served: a surplus copy
  /// of that answer, in the place of the next one, would pass for the answer to the second send.
  bool MayCarry(const std::string& request_id) const;
  /// Sends on an idle connection. The exchange may be over when this returns.
  void Send(Exchange exchange);
  /// Closes without telling the listener.
  void Close(std::string_view cause);

  const std::string& backend() const { return backend_; }
  bool is_connecting() const { return state_ == State::kConnecting; }
  bool is_open() const { return state_ != State::kClosed; }
  /// An idle connection is not used after this.
  Time usable_until() const { return usable_until_; }
  /// When it last carried a complete answer; infinite past when it has not.
  Time answered_at() const { return answered_at_; }

 private:
  enum class State { kNew, kConnecting, kIdle, kBusy, kClosed };

  void OnConnect(const ErrorCode& error);
  void StartExchange();
  void BuildHead(Duration left);
  void Write();
  void WriteRest();
  void OnWriteError();
  void ArmRead();
  void OnRead(const ErrorCode& error, size_t size);
  void ReadMore();
  void OnBytes(std::string_view bytes);
  void OnEnd(const ErrorCode& error);
  /// Whether the end of the stream that a read found is the back end's own, and not what a reset
  /// left behind.
  bool EndedInOrder();
  /// What followed an answer.
  enum class AfterAnswer { kNothing, kBytes, kEnd };
  void FinishExchange(AfterAnswer after);
  /// `in_order`: not by a reset. Only when everything written has been answered.
  void CloseSocket(std::string_view cause, bool in_order);
  void Fail(forwarding::AttemptFailure failure, std::string_view cause);
  size_t message_size() const { return head_.size() + exchange_.request->body.size(); }
  std::array<boost::asio::const_buffer, 2> Unwritten() const;

  LoopResources& resources_;
  const BackendPoolSettings& settings_;
  const interfaces::HeaderNames& names_;
  BackendConnectionOwner& owner_;
  const std::string backend_;
  Socket socket_;
  State state_ = State::kNew;
  bool read_armed_ = false;
  AnswerReader reader_;
  Exchange exchange_;
  /// Written before the body of the request.
  std::string head_;
  size_t written_ = 0;
  /// Bytes read and not yet taken.
  std::string pending_;
  Time usable_until_;
  Time answered_at_ = absl::InfinitePast();
  /// Of requests that were answered here and may be sent again.
  std::vector<std::string> unserved_ids_;
  ReadBuffer buffer_;
};

}  // namespace ladderstream::gateway
