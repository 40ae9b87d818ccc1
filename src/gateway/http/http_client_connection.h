// One connection of an HttpClient.
#pragma once

#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "gateway/http/call_answer_reader.h"
#include "gateway/http/http_client.h"

namespace ladderstream::gateway {

/// What is known of the answer to a call before it comes.
struct ExpectedAnswer {
  /// It has no body.
  bool is_to_head_method = false;
  /// See interfaces::HttpRequest.
  std::string repeated_header;
  std::string repeated_value;
};

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
  void Start(HttpCallId call, std::string message, ExpectedAnswer expected,
             const CallTiming& timing, CallCallback callback);
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
  /// Tells the owner of the client of an answer that is not taken.
  void ReportUnreadable(std::string_view fault);
  void OnEnd(const ErrorCode& error);
  /// Begins to read an answer to the current call.
  void BeginAnswer();
  /// Whether an answer repeats the name of another call.
  bool IsToAnotherCall(const interfaces::HttpResponse& response) const;
  /// Returns whether the answer is an error that does not tell to which call, although it was asked
  /// to.
  bool IsUnnamedError(const interfaces::HttpResponse& response) const;
  /// Takes what was read as the end of the call, unless it is an answer to another call; `rest`:
  /// the bytes behind it.
  void OnAnswer(std::string_view rest);
  /// Reads on behind the late answer to another call; gives the call up after a second one.
  void SkipAnswer(const std::string& rest);
  /// `surplus`: bytes came behind the answer. `keeps_open`: by the answer's own word.
  void Finish(interfaces::HttpResponse response, bool surplus, bool keeps_open);
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
  /// Must stay as it is while `is_writing_`.
  std::string message_;
  bool is_writing_ = false;
  ExpectedAnswer expected_;
  /// An answer to another call came in the place of the one to this call.
  bool skipped_answer_ = false;
  CallTiming timing_;
  CallCallback callback_;
  CallAnswerReader reader_;
  /// Bytes that came and that the reader has not consumed.
  std::string pending_;
  Time usable_until_;
  std::vector<char> buffer_;
};

}  // namespace ladderstream::gateway
