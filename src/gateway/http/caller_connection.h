// One connection of a caller: reads its requests one after another, and writes their answers.
#pragma once

#include <boost/asio/buffer.hpp>
#include <cstdint>
#include <list>
#include <memory>
#include <string>
#include <string_view>

#include "gateway/http/event_loop.h"
#include "gateway/http/request_reader.h"
#include "wire/result_code.h"
#include "wire/time.h"

namespace ladderstream::gateway {

class CallerConnection;
using CallerConnectionPtr = std::shared_ptr<CallerConnection>;

/// An answer on its way to a caller.
struct CallerAnswer {
  /// Status line and headers, without the body's length and the final blank line.
  std::string head;
  std::string body;
  /// Whether the length of `body` is told; answers that have no body by definition tell none.
  bool tells_length = true;
  /// `body` is only measured, not sent: the answer to a HEAD request.
  bool omits_body = false;
  ByteReservation reservation;
};

/// What a connection tells its owner.
class CallerConnectionOwner {
 public:
  virtual ~CallerConnectionOwner() = default;

  /// A whole request was read. It is answered by Answer(), now or later.
  virtual void OnRequest(const CallerConnectionPtr& connection, CallerRequest request) = 0;
  /// The connection ended while a request was waiting for its answer.
  virtual void OnCallerGone(CallerConnection& connection) = 0;
  /// A whole request was read, but its caller had left by then: it was dropped.
  virtual void OnCallerGoneUnread(const CallerRequest& request) = 0;
  /// A request could not be read and was refused.
  virtual void OnRefused(const ReadFault& fault) = 0;
  /// The connection became idle or busy, or was closed.
  virtual void OnStateChange(CallerConnection& connection) = 0;
  /// Whether callers are to be sent elsewhere.
  virtual bool IsStopping() const = 0;
};

class CallerConnection : public std::enable_shared_from_this<CallerConnection> {
 public:
  enum class State {
    /// Between requests, or reading one.
    kReading,
    /// A request waits for its answer.
    kWaiting,
    kWriting,
    /// The last answer is written; what still comes is dropped.
    kLingering,
    kClosed,
  };

  /// Everything but the socket must outlive the connection's open state.
  CallerConnection(Socket socket, LoopResources& resources, const interfaces::HeaderNames& names,
                   const catalog::Limits& limits, CallerConnectionOwner& owner);

  void Start(Time now);
  /// Answers the request that waits.
  void Answer(CallerAnswer answer);
  /// Answers the next request that is read with `code`, instead of handing it over.
  void RefuseRequests(ResultCode code) { refuse_with_ = code; }
  /// Looks whether the caller has left behind what was read from it, when the loop is so far behind
  /// that its leaving may wait unseen. If so, closes, and tells the owner of a request that waits:
  /// work for a caller that has left takes a slot from one that waits.
  void CloseIfCallerLeft();
  /// Closes an idle connection unless a request has just arrived on it.
  void CloseIfIdle();
  /// Closes without any further word.
  void Close();
  /// Acts on time-outs that are due.
  void CheckTimeouts(Time now, const catalog::Limits& limits, Duration write_timeout,
                     Duration linger);

  State state() const { return state_; }
  /// Between requests, with no byte of the next one read.
  bool IsIdle() const;
  /// Set by the owner to find the request that waits.
  uint64_t request_handle() const { return request_handle_; }
  void set_request_handle(uint64_t handle) { request_handle_ = handle; }
  /// The owner's notes on where it lists this connection.
  std::list<CallerConnectionPtr>::iterator position;
  bool is_listed_idle = true;

 private:
  void ArmRead();
  bool WantsRead() const;
  void OnRead(const ErrorCode& error, size_t size);
  /// Reads what has arrived beyond the first buffer.
  void ReadMore();
  void OnPeerClosed();
  void OnBytes(std::string_view bytes);
  /// Reads requests from `bytes`, then from what is pending, until one is not whole or waits.
  void Process(std::string_view bytes, bool from_pending);
  /// True when a request was read whole.
  bool Consume(std::string_view bytes, bool from_pending);
  /// Whether the caller's end of the connection is closed or reset. Takes up what it sent before.
  bool CallerHasLeft();
  /// When the request whose first byte was read just now may have arrived at the earliest.
  Time EarliestArrival() const;
  void SendContinue();
  void Refuse(const ReadFault& fault);
  void StartAnswer(CallerAnswer answer);
  void Write();
  void WriteRest();
  void OnWritten(size_t size);
  void OnAnswerWritten();
  void Linger();
  void SetState(State state);
  std::array<boost::asio::const_buffer, 2> Unwritten() const;

  Socket socket_;
  LoopResources& resources_;
  CallerConnectionOwner& owner_;
  RequestReader reader_;
  State state_ = State::kReading;
  bool read_armed_ = false;
  bool processing_ = false;
  bool read_a_request_ = false;
  /// The request being read or answered is the last one of this connection.
  bool closing_ = false;
  ResultCode refuse_with_ = ResultCode::kOk;
  uint64_t request_handle_ = 0;
  /// Bytes read and not yet taken.
  std::string pending_;
  CallerAnswer answer_;
  size_t written_ = 0;
  size_t lingered_ = 0;
  Time last_read_;
  /// When the first byte of the request being read came.
  Time request_begin_;
  /// When the state began, or the last byte was written.
  Time last_progress_;
  ReadBuffer buffer_;
};

}  // namespace ladderstream::gateway
