#include "standin/fault_proxy/fault_proxy.h"

#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>

#include <boost/asio/post.hpp>
#include <future>
#include <utility>

#include "wire/result_code.h"

namespace ladderstream::standin {
namespace {

using boost::asio::ip::tcp;
using boost::system::error_code;

constexpr int kListenBacklog = 512;

tcp::endpoint ToAsio(const Endpoint& endpoint) {
  return {boost::asio::ip::make_address(endpoint.host), endpoint.port};
}

void ResetNewConnection(tcp::socket& socket) {
  error_code ignored;
  socket.set_option(boost::asio::socket_base::linger(true, 0), ignored);
  socket.close(ignored);
}

}  // namespace

FaultProxy::FaultProxy()
    : work_guard_(boost::asio::make_work_guard(io_)), thread_([this] { io_.run(); }) {}

FaultProxy::~FaultProxy() {
  io_.stop();
  thread_.join();
}

void FaultProxy::RunOnEventThread(const std::function<void()>& work) {
  std::packaged_task<void()> task(work);
  std::future<void> done = task.get_future();
  boost::asio::post(io_, [&task] { task(); });
  done.get();
}

Endpoint FaultProxy::AddLink(const LinkSettings& settings) {
  Endpoint listen = settings.listen;
  RunOnEventThread([&] {
    if (links_.contains(settings.name)) {
      throw Error(ResultCode::kInvalidSetting, absl::StrCat("two links named ", settings.name));
    }
    try {
      tcp::acceptor acceptor(io_, ToAsio(settings.listen));
      acceptor.listen(kListenBacklog);
      listen.port = acceptor.local_endpoint().port();
      LinkSettings bound{settings.name, listen, settings.target};
      auto link = std::make_unique<Link>(std::move(bound), std::move(acceptor));
      Accept(*link);
      links_[settings.name] = std::move(link);
    } catch (const boost::system::system_error& error) {
      throw Error(ResultCode::kInvalidSetting,
                  absl::StrCat("link ", settings.name, ": ", error.what()));
    }
  });
  return listen;
}

void FaultProxy::Accept(Link& link) {
  link.acceptor.async_accept([this, &link](const error_code& failed, tcp::socket client) {
    if (!failed) {
      Open(link, std::move(client));
    }
    if (link.acceptor.is_open()) {
      Accept(link);
    }
  });
}

void FaultProxy::Open(Link& link, tcp::socket client) {
  error_code failed;
  const std::string source = client.remote_endpoint(failed).address().to_string();
  if (failed || link.rules.Find(source).cut) {
    ResetNewConnection(client);
    return;
  }
  std::erase_if(link.sessions, [](const auto& session) { return session.expired(); });
  auto session =
      std::make_shared<ProxySession>(std::move(client), ToAsio(link.settings.target), &link.rules);
  link.sessions.push_back(session);
  session->Start();
}

size_t FaultProxy::SetFaults(const std::string& link_prefix, const std::string& from,
                             const LinkFaults& faults) {
  size_t changed = 0;
  RunOnEventThread([&] {
    for (const auto& [name, link] : links_) {
      if (!absl::StartsWith(name, link_prefix)) {
        continue;
      }
      ++changed;
      link->rules.Set(from, faults);
      for (const auto& weak : link->sessions) {
        if (const auto session = weak.lock()) {
          session->ApplyRules();
        }
      }
    }
  });
  return changed;
}

void FaultProxy::SilenceOpenSessions(const std::string& link) {
  RunOnEventThread([&] {
    const auto found = links_.find(link);
    if (found == links_.end()) {
      return;
    }
    for (const std::weak_ptr<ProxySession>& session : found->second->sessions) {
      if (const auto open = session.lock()) {
        open->Silence();
      }
    }
  });
}

std::vector<LinkSettings> FaultProxy::links() {
  std::vector<LinkSettings> list;
  RunOnEventThread([&] {
    for (const auto& [name, link] : links_) {
      list.push_back(link->settings);
    }
  });
  return list;
}

}  // namespace ladderstream::standin
