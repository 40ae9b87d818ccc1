#include "gateway/http/backend_probes.h"

#include <utility>

namespace ladderstream::gateway {
struct BackendProbes::Probe {
  explicit Probe(EventLoop& loop) : socket(loop.get_executor()), timer(loop.get_executor()) {}

  Socket socket;
  Timer timer;
  bool ended = false;
};

BackendProbes::BackendProbes(EventLoop& loop, Duration timeout, std::string source_host,
                             Callback on_result)
    : loop_(loop),
      timeout_(timeout),
      source_host_(std::move(source_host)),
      on_result_(std::move(on_result)) {}

BackendProbes::~BackendProbes() {
  for (const auto& [backend, probe] : probes_) {
    probe->ended = true;
    ErrorCode ignored;
    probe->socket.close(ignored);
    probe->timer.cancel();
  }
}

void BackendProbes::Start(const std::string& backend, const Endpoint& address) {
  if (probes_.contains(backend)) {
    return;
  }
  auto probe = std::make_shared<Probe>(loop_);
  probes_.emplace(backend, probe);
  const auto end = [this, probe, backend](const ErrorCode& error) {
    if (!probe->ended) {
      End(backend, error);
    }
  };
  probe->timer.expires_after(absl::ToChronoNanoseconds(timeout_));
  probe->timer.async_wait([end](const ErrorCode& error) {
    if (!error) {
      end(boost::asio::error::timed_out);
    }
  });
  const Tcp::endpoint endpoint = ToTcpEndpoint(address);
  ErrorCode ignored;
  probe->socket.open(endpoint.protocol(), ignored);
  BindSource(probe->socket, source_host_, ignored);
  probe->socket.async_connect(endpoint, end);
}

void BackendProbes::End(const std::string& backend, const ErrorCode& error) {
  const auto probe = std::move(probes_.extract(backend).mapped());
  probe->ended = true;
  ErrorCode ignored;
  probe->socket.close(ignored);
  probe->timer.cancel();
  if (!error) {
    on_result_(backend, Result::kConnected);
  } else {
    const bool refused = error == boost::asio::error::connection_refused ||
                         error == boost::asio::error::connection_reset;
    on_result_(backend, refused ? Result::kRefused : Result::kTimedOut);
  }
}

}  // namespace ladderstream::gateway
