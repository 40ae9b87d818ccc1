// A TCP proxy of many links that delays, throttles, cuts and holds back connections on demand.
//
// A link listens on one address and passes connections on to one target. Faults are set per link
// and, within it, per source address, so that a zone whose processes connect from an address of
// their own can be cut off.
#pragma once

#include <absl/base/thread_annotations.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "standin/fault_proxy/fault_rules.h"
#include "standin/fault_proxy/proxy_session.h"
#include "wire/identifiers.h"

namespace ladderstream::standin {

struct LinkSettings {
  std::string name;
  Endpoint listen;
  Endpoint target;
};

/// Thread-safe: all work is done on one event thread of its own.
class FaultProxy {
 public:
  FaultProxy();
  ~FaultProxy();

  /// Begins to listen; gives the address (port 0 takes any free one). Throws Error(kInvalidSetting)
  /// when the name is taken or the address can't be bound.
  Endpoint AddLink(const LinkSettings& settings);

  /// Puts faults in force on every link whose name starts with `link`, for connections from
  /// addresses that start with `from`. Gives how many links that were.
  size_t SetFaults(const std::string& link, const std::string& from, const LinkFaults& faults);

  /// The connections of a link that are open now pass nothing on any more; new ones work.
  void SilenceOpenSessions(const std::string& link);

  /// The links, with the addresses they listen on.
  std::vector<LinkSettings> links();

 private:
  struct Link {
    Link(LinkSettings link_settings, boost::asio::ip::tcp::acceptor link_acceptor)
        : settings(std::move(link_settings)), acceptor(std::move(link_acceptor)) {}
    LinkSettings settings;
    boost::asio::ip::tcp::acceptor acceptor;
    FaultRules rules;
    std::vector<std::weak_ptr<ProxySession>> sessions;
  };

  void Accept(Link& link);
  void Open(Link& link, boost::asio::ip::tcp::socket client);
  /// Runs `work` on the event thread and waits for it; passes on what it throws.
  void RunOnEventThread(const std::function<void()>& work);

  boost::asio::io_context io_;
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work_guard_;
  std::map<std::string, std::unique_ptr<Link>> links_;
  std::thread thread_;
};

}  // namespace ladderstream::standin
