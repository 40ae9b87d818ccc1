// One connection through the fault proxy: two directions, each read at once and passed on when the
// faults in force allow it.
#pragma once

// clang-format off
// Boost 1.74's awaitable.hpp uses std::exchange without including its header.
#include <utility>
// clang-format on

#include <boost/asio/awaitable.hpp>
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

  /// Serves until either side closes or a fault cuts.
  void Start();

  /// Closes the session if a cut is in force; called after the rules have changed.
  void ApplyRules();

 private:
  struct Chunk {
    std::chrono::steady_clock::time_point due;
    std::string bytes;
  };
  /// What has been read and not yet passed on.
  struct Pipe {
    Pipe(Direction way, const boost::asio::any_io_executor& executor)
        : direction(way), changed(executor) {}
    Direction direction;
    std::deque<Chunk> chunks;
    size_t queued_bytes = 0;
    bool ended = false;
    boost::asio::steady_timer changed;
  };

  boost::asio::awaitable<void> Serve(std::shared_ptr<ProxySession> self);
  boost::asio::awaitable<void> Fill(std::shared_ptr<ProxySession> self, Pipe& pipe,
                                    boost::asio::ip::tcp::socket& from);
  boost::asio::awaitable<void> Empty(std::shared_ptr<ProxySession> self, Pipe& pipe,
                                     boost::asio::ip::tcp::socket& to);
  boost::asio::awaitable<void> WaitForRelease(Pipe& pipe, const Chunk& chunk);
  /// Shortens `bytes` to what a cut in the middle of an answer lets through; gives whether it cuts.
  bool CutAnswer(std::string& bytes);
  LinkFaults& faults() { return rules_->Find(source_); }
  void Close();

  boost::asio::ip::tcp::socket client_;
  boost::asio::ip::tcp::socket server_;
  boost::asio::ip::tcp::endpoint target_;
  FaultRules* const rules_;
  std::string source_;
  Pipe forward_;
  Pipe backward_;
  uint64_t answered_bytes_ = 0;
};

}  // namespace ladderstream::standin
