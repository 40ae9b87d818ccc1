// One connection through the fault proxy: two directions, each read at once and passed on when the
// faults in force allow it.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <deque>
#include <memory>
#include <string>

#include "standin/fault_proxy/fault_rules.h"

namespace ladderstream::standin {

/// Runs on one event thread alone.
class ProxySession : public std::enable_shared_from_this<ProxySession> {
 public:
  /// `rules` must outlive the event loop.
  ProxySession(boost::asio::ip::tcp::socket client, boost::asio::ip::tcp::endpoint target,
               FaultRules* rules);

  /// Serves until both sides have ended or a fault cuts.
  void Start();

  /// Closes the session if a cut is in force; called after the rules have changed.
  void ApplyRules();

  /// From now on takes bytes from both sides and passes nothing on.
  void Silence() { silent_ = true; }

 private:
  using Socket = boost::asio::ip::tcp::socket;
  using ErrorCode = boost::system::error_code;

  struct Chunk {
    std::chrono::steady_clock::time_point due;
    std::string bytes;
  };
  /// One direction: what has been read and not yet passed on.
  struct Pipe {
    Pipe(Direction way, Socket* source, Socket* sink)
        : direction(way), from(source), to(sink), timer(source->get_executor()) {}
    const Direction direction;
    Socket* const from;
    Socket* const to;
    std::string buffer;
    std::deque<Chunk> chunks;
    size_t queued_bytes = 0;
    /// A chunk is waiting for its time or being written.
    bool delivering = false;
    /// Too much is queued: reading goes on when some of it is gone.
    bool read_paused = false;
    bool ended = false;
    boost::asio::steady_timer timer;
  };

  void Connect();
  void OnConnected(const ErrorCode& failed);
  void Read(Pipe& pipe);
  void OnRead(Pipe& pipe, const ErrorCode& failed, size_t length);
  /// Passes the next chunk on, or the end of the stream.
  void Deliver(Pipe& pipe);
  void WaitForRelease(Pipe& pipe);
  void Write(Pipe& pipe);
  void OnWritten(Pipe& pipe, const ErrorCode& failed, bool cuts);
  /// Shortens `bytes` to what a cut in the middle of an answer lets through; gives whether it cuts.
  bool CutAnswer(std::string& bytes);
  LinkFaults& faults() { return rules_->Find(source_); }
  void Close();

  Socket client_;
  Socket server_;
  const boost::asio::ip::tcp::endpoint target_;
  FaultRules* const rules_;
  std::string source_;
  Pipe forward_;
  Pipe backward_;
  uint64_t answered_bytes_ = 0;
  bool silent_ = false;
};

}  // namespace ladderstream::standin
