// One connection of an HttpClient.
#pragma once

#include <memory>
#include <string>
#include <vector>

#include "gateway/http/call_answer_reader.h"
#include "gateway/http/http_client.h"

namespace ladderstream::gateway {

class HttpClientConnection : public std::enable_shared_from_this<HttpClientConnection> {
 public:
  /// `client` must outlive the connection's open state.
  HttpClientConnection(HttpClient& client, const Endpoint& peer);

  const Endpoint& peer() const { return peer_; }
  HttpCallId call() const { return call_; }
  /// An idle connection is not used after this.
  Time usable_until() const { return usable_until_; }
  /// Whether an idle connection is still as it was left.
  bool IsSound();

  /// Makes one call, on a connection that is new or idle.
  void Start(HttpCallId call, std::string message, bool is_head_method, const CallTiming& timing,
             CallCallback callback);
  /// Closes without calling back.
  void Close();

 private:
  enum class State { kNew, kConnecting, kBusy, kIdle, kClosed };

  void Connect();
  void OnConnect(const ErrorCode& error);
  void Send();
  void OnWritten(const ErrorCode& error);
  void ArmRead();
  void OnRead(const ErrorCode& error, size_t size);
  void OnBytes(std::string_view bytes);
  void OnEnd(const ErrorCode& error);
  /// `surplus`: bytes came behind the answer.
  void Finish(bool surplus);
  void Fail(CallOutcome outcome, std::string detail);
  /// `in_order`: not by a reset. Only when everything written has been answered.
  void CloseSocket(bool in_order);
  void SetTimer(Duration timeout);
  /// Fails the call, but not from within the caller's own.
  void FailSoon(const char* detail);

  HttpClient& client_;
  const Endpoint peer_;
  Socket socket_;
  Timer timer_;
  State state_ = State::kNew;
  bool read_armed_ = false;
  HttpCallId call_ = 0;
  std::string message_;
  bool is_head_method_ = false;
  CallTiming timing_;
  CallCallback callback_;
  CallAnswerReader reader_;
  /// Bytes that came and that the reader has not consumed.
  std::string pending_;
  Time usable_until_;
  std::vector<char> buffer_;
};

}  // namespace ladderstream::gateway
