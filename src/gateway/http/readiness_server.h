// Answers whether this node should receive callers, and other short questions of the platform, on
// a listening address of its own.
#pragma once

#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>

#include "gateway/http/event_loop.h"

namespace ladderstream::gateway {

struct PageAnswer {
  int status = 200;
  std::string content_type = "text/plain";
  std::string body;
};

/// Serves pages that are made anew for each question; other paths are answered 404.
class ReadinessServer {
 public:
  using Page = std::function<PageAnswer()>;

  /// Listens at once; throws Error(kInvalidSetting) when it cannot. `is_ready` decides between 200
  /// and 503 on `ready_path`. `loop` must outlive the server.
  ReadinessServer(EventLoop& loop, const Endpoint& listen, std::string_view ready_path,
                  std::function<bool()> is_ready);
  ~ReadinessServer();

  void AddPage(std::string path, Page page);
  Tcp::endpoint local_endpoint() const { return local_endpoint_; }

 private:
  class Connection;
  using ConnectionPtr = std::shared_ptr<Connection>;

  void ArmAccept();
  void AcceptLater();
  void Add(Socket socket);
  /// The answer to a request for `path`, as bytes.
  std::string Answer(std::string_view path, bool closing) const;

  Acceptor acceptor_;
  Tcp::endpoint local_endpoint_;
  Timer pause_;
  std::map<std::string, Page, std::less<>> pages_;
  std::set<ConnectionPtr> connections_;
  std::shared_ptr<char> alive_ = std::make_shared<char>();
};

}  // namespace ladderstream::gateway
