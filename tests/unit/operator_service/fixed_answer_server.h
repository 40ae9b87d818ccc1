// A server on a thread of its own that gives every call the same bytes, for tests whose own thread
// blocks.
#pragma once

#include <atomic>
#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <string>
#include <thread>

#include "wire/identifiers.h"

namespace ladderstream::operator_service {

/// Answers one call on each connection, without reading its body, and closes it.
class FixedAnswerServer {
 public:
  explicit FixedAnswerServer(std::string answer)
      : answer_(std::move(answer)),
        acceptor_(context_, {boost::asio::ip::address_v4::loopback(), 0}),
        port_(acceptor_.local_endpoint().port()),
        thread_([this] { Run(); }) {}

  ~FixedAnswerServer() {
    stopping_ = true;
    // Wakes the thread that waits for a connection.
    boost::asio::io_context context;
    boost::asio::ip::tcp::socket(context).connect({boost::asio::ip::address_v4::loopback(), port_});
    thread_.join();
  }

  FixedAnswerServer(const FixedAnswerServer&) = delete;
  FixedAnswerServer& operator=(const FixedAnswerServer&) = delete;

  Endpoint endpoint() const { return {"127.0.0.1", port_}; }
  int calls() const { return calls_; }

 private:
  void Run() {
    for (;;) {
      boost::asio::ip::tcp::socket socket = acceptor_.accept();
      if (stopping_) {
        return;
      }
      ++calls_;
      std::string request;
      boost::system::error_code ignored;
      boost::asio::read_until(socket, boost::asio::dynamic_buffer(request), "\r\n\r\n", ignored);
      boost::asio::write(socket, boost::asio::buffer(answer_), ignored);
    }
  }

  const std::string answer_;
  boost::asio::io_context context_{1};
  boost::asio::ip::tcp::acceptor acceptor_;
  const uint16_t port_;
  std::atomic<bool> stopping_ = false;
  std::atomic<int> calls_ = 0;
  std::thread thread_;
};

}  // namespace ladderstream::operator_service
