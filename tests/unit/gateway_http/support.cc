#include "support.h"

#include <boost/asio/buffer.hpp>
#include <stdexcept>

#include "gateway/http/header_rules.h"

namespace ladderstream::gateway {

namespace {

constexpr Duration kPatience = absl::Seconds(10);
constexpr auto kOneRun = std::chrono::milliseconds(20);

[[noreturn]] void NotUsed() { throw std::logic_error("not used by the data path"); }

DataPathSettings LoopbackSettings(DataPathSettings settings) {
  settings.callers.listen = {"127.0.0.1", 0};
  settings.sweep_interval = absl::Milliseconds(20);
  return settings;
}

}  // namespace

interfaces::Understood TestAdapter::ParseToldLoad(std::string_view text,
                                                  interfaces::ToldLoad* load) const {
  const bool whole = std::sscanf(std::string(text).c_str(), "%u,%u,%u", &load->running,
                                 &load->waiting, &load->slots) == 3;
  return whole ? interfaces::Understood::kWhole : interfaces::Understood::kNot;
}
interfaces::HttpRequest TestAdapter::EncodeTransaction(const store::Transaction&) const {
  NotUsed();
}
interfaces::HttpRequest TestAdapter::EncodeRead(const store::ReadQuery&) const { NotUsed(); }
interfaces::HttpRequest TestAdapter::EncodeWatch(const store::WatchQuery&) const { NotUsed(); }
store::StoreReply TestAdapter::DecodeStoreReply(interfaces::StoreCall,
                                                const interfaces::HttpResponse&) const {
  NotUsed();
}
interfaces::HttpRequest TestAdapter::EncodeGrant(const ownership::GrantAction&) const { NotUsed(); }
interfaces::HttpRequest TestAdapter::EncodeRelease(const ownership::ReleaseAction&) const {
  NotUsed();
}
ownership::OrderReply TestAdapter::DecodeOrderReply(const interfaces::HttpResponse&) const {
  NotUsed();
}
catalog::Configuration TestAdapter::DecodeConfiguration(std::string_view) const { NotUsed(); }
std::string TestAdapter::EncodeConfiguration(const catalog::Configuration&,
                                             std::string_view) const {
  NotUsed();
}
catalog::Backend TestAdapter::DecodeBackend(std::string_view, std::string_view,
                                            interfaces::ReadingNotes*) const {
  NotUsed();
}

void RunUntil(EventLoop& loop, const std::function<bool()>& done) {
  const BootTimeSource clock;
  const Time give_up = clock.Now() + kPatience;
  while (!done()) {
    BOOST_REQUIRE_MESSAGE(clock.Now() < give_up, "waited too long");
    loop.restart();
    loop.run_one_for(kOneRun);
  }
}

void TestSocket::Read(std::function<void()> on_bytes) {
  reading_ = true;
  socket_.async_read_some(boost::asio::buffer(buffer_),
                          [self = shared_from_this(), on_bytes = std::move(on_bytes)](
                              const ErrorCode& error, size_t size) {
                            if (error) {
                              self->ended = true;
                              self->was_reset |= error == boost::asio::error::connection_reset;
                              return;
                            }
                            self->received.append(self->buffer_.data(), size);
                            on_bytes();
                            if (self->socket_.is_open() && self->reading_) {
                              self->Read(on_bytes);
                            }
                          });
}

void TestSocket::Send(std::string_view bytes) {
  // Small enough for the buffers of the loopback interface.
  BOOST_REQUIRE(SendSome(bytes) == bytes.size());
}

size_t TestSocket::SendSome(std::string_view bytes) {
  ErrorCode error;
  socket_.non_blocking(true, error);
  const size_t sent = socket_.write_some(boost::asio::buffer(bytes.data(), bytes.size()), error);
  // A reset shows once, in whatever is called first.
  was_reset |= error == boost::asio::error::connection_reset;
  return sent;
}

void TestSocket::Close() {
  ErrorCode ignored;
  socket_.close(ignored);
}

void TestSocket::EndSending() {
  ErrorCode ignored;
  socket_.shutdown(Socket::shutdown_send, ignored);
}

void TestSocket::Reset() {
  ErrorCode ignored;
  socket_.set_option(boost::asio::socket_base::linger(true, 0), ignored);
  socket_.close(ignored);
}

std::string HeaderOf(const std::string& message, const std::string& name) {
  const size_t begin = message.find("\r\n" + name + ": ");
  if (begin == std::string::npos) {
    return "";
  }
  const size_t value = begin + name.size() + 4;
  return message.substr(value, message.find("\r\n", value) - value);
}

std::string BodyOf(const std::string& message) {
  const size_t end = message.find("\r\n\r\n");
  return end == std::string::npos ? "" : message.substr(end + 4);
}

std::string TakeMessage(std::string* bytes) {
  const size_t end = bytes->find("\r\n\r\n");
  if (end == std::string::npos) {
    return "";
  }
  const std::string length = HeaderOf(bytes->substr(0, end + 4), "Content-Length");
  const size_t size = end + 4 + (length.empty() ? 0 : std::stoul(length));
  if (bytes->size() < size) {
    return "";
  }
  std::string message = bytes->substr(0, size);
  bytes->erase(0, size);
  return message;
}

TestBackend::TestBackend(EventLoop& loop) : acceptor_(Listen(loop, {"127.0.0.1", 0})) {
  on_request = [](TestSocket& socket, const std::string& request) {
    socket.Send(AnswerTo(request, "done"));
  };
  Accept();
}

Endpoint TestBackend::address() const { return {"127.0.0.1", acceptor_.local_endpoint().port()}; }

void TestBackend::StopListening() {
  ErrorCode ignored;
  acceptor_.close(ignored);
}

void TestBackend::Accept() {
  acceptor_.async_accept([this](const ErrorCode& error, Socket accepted) {
    if (error) {
      return;
    }
    const auto socket = std::make_shared<TestSocket>(std::move(accepted));
    connections.push_back(socket);
    socket->Read([this, peer = socket.get()] {
      const std::string request = TakeMessage(&peer->received);
      if (!request.empty()) {
        requests.push_back(request);
        on_request(*peer, request);
      }
    });
    Accept();
  });
}

std::string AnswerTo(const std::string& request, const std::string& body,
                     const std::string& more_headers) {
  return "HTTP/1.1 200 OK\r\nT-Request-Id: " + HeaderOf(request, "T-Request-Id") +
         "\r\nT-Stamp: s\r\n" + more_headers + "Content-Length: " + std::to_string(body.size()) +
         "\r\n\r\n" + body;
}

Node::Node() : Node(DataPathSettings{}) {}

Node::Node(const DataPathSettings& settings, DataPathObserver* observer)
    : owned_data_path(std::make_unique<DataPath>(loop, clock, adapter, dispatcher,
                                                 LoopbackSettings(settings), observer)),
      data_path(*owned_data_path) {
  catalog::Backend registered;
  registered.id = "backend-1";
  registered.service = "service";
  registered.address = backend.address();
  registered.slots = 4;
  data_path.ChangeBackends({{registered}, {}}, {});
  Configure(catalog::Limits());
}

void Node::Configure(const catalog::Limits& limits, uint32_t max_connections) {
  auto configuration = std::make_shared<catalog::Configuration>();
  configuration->version = ++version;
  configuration->limits = limits;
  configuration->services["service"].name = "service";
  configuration->services["service"].max_connections = max_connections;
  catalog::Route route;
  route.name = "work";
  route.host = "a.example";
  route.path_prefix = "/work/";
  route.repeatability = catalog::Repeatability::kRepeatable;
  route.timeout = absl::Seconds(5);
  route.max_attempts = 2;
  route.target_latency = target_latency;
  route.targets = {{"service", 1}};
  configuration->routes.push_back(route);
  route.name = "order";
  route.path_prefix = "/order/";
  route.repeatability = catalog::Repeatability::kAtMostOnce;
  configuration->routes.push_back(route);
  data_path.SetConfiguration(configuration);
}

TestSocketPtr Node::Connect() {
  Socket socket(loop.get_executor());
  socket.connect(data_path.local_endpoint());
  auto caller = std::make_shared<TestSocket>(std::move(socket));
  caller->Read();
  return caller;
}

std::string Node::Get(const std::string& id, const std::string& path,
                      const std::string& more_headers) {
  return "GET " + path + " HTTP/1.1\r\nHost: a.example\r\nT-Request-Id: " + id + "\r\n" +
         more_headers + "\r\n";
}

std::string Node::WaitForAnswer(const TestSocketPtr& caller) {
  std::string answer;
  RunUntil(loop, [&] {
    answer = TakeMessage(&caller->received);
    return !answer.empty();
  });
  return answer;
}

std::string Node::Ask(const TestSocketPtr& caller, const std::string& id, const std::string& path,
                      const std::string& more_headers) {
  caller->Send(Get(id, path, more_headers));
  return WaitForAnswer(caller);
}

}  // namespace ladderstream::gateway
