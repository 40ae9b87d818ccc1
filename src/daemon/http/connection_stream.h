// Lets the HTTP library read one request from a connection and write its answer.
#pragma once

#include <httplib.h>

#include <string>

#include "daemon/http/connection.h"
#include "daemon/http/request_framing.h"
#include "wire/time.h"

namespace ladderstream {

struct StreamLimits {
  /// Bytes of one request, framing of its body included.
  size_t max_request_bytes = 0;
  /// For all reads of one request together.
  Duration read_timeout;
  /// For the caller to take any part of the answer.
  Duration write_timeout;
};

/// Gives exactly one request's bytes and then the end of the stream. Writes are gathered, and leave
/// by Flush or before the next wait for input. Used by one thread.
class ConnectionStream : public httplib::Stream {
 public:
  /// `head` is what was read of the connection's input.
  ConnectionStream(Connection& connection, const RequestHead& head, const StreamLimits& limits);

  bool is_readable() const override { return true; }
  bool is_writable() const override { return !write_failed_; }
  ssize_t read(char* data, size_t size) override;
  ssize_t write(const char* data, size_t size) override;
  /// The library asks for both addresses with each request. Nobody here reads them, so they are
  /// left empty, which saves two system calls.
  void get_remote_ip_and_port(std::string& /*ip*/, int& /*port*/) const override {}
  void get_local_ip_and_port(std::string& /*ip*/, int& /*port*/) const override {}
  socket_t socket() const override;

  /// Sends what was written. False when the caller doesn't take it.
  bool Flush();

  /// Removes the request from the connection's input. False when its end is not known, so that the
  /// connection can't be used again.
  bool Finish();

  /// Whether a read failed because the caller was too slow, or sent too much.
  bool too_slow() const { return too_slow_; }
  bool too_large() const { return too_large_; }

 private:
  bool HasFixedLength() const { return !head_.chunked && !head_.expects_continue; }
  bool AwaitInput();
  bool SendAll(const char* data, size_t size);

  Connection& connection_;
  const RequestHead head_;
  const StreamLimits limits_;
  const SteadyTime read_until_;
  size_t used_ = 0;
  std::string output_;
  bool too_slow_ = false;
  bool too_large_ = false;
  bool ended_ = false;
  bool write_failed_ = false;
};

}  // namespace ladderstream
