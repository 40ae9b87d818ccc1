// Real sockets on the loopback interface, all in one event loop: a scripted back end, a caller, and
// a data path between them with the product's own dispatcher.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/test/unit_test.hpp>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "core/forwarding/dispatcher.h"
#include "gateway/http/data_path.h"
#include "interfaces/platform_adapter.h"
#include "wire/boot_clock.h"

namespace ladderstream::gateway {

/// Names headers; translates nothing else.
class TestAdapter : public interfaces::PlatformAdapter {
 public:
  const interfaces::HeaderNames& headers() const override { return names_; }
  bool IsUnheardHeader(std::string_view name) const override { return name == "T-New"; }
  std::string_view ready_path() const override { return "/ready"; }
  interfaces::Understood ParseToldLoad(std::string_view text,
                                       interfaces::ToldLoad* load) const override;

  interfaces::HttpRequest EncodeTransaction(const store::Transaction&) const override;
  interfaces::HttpRequest EncodeRead(const store::ReadQuery&) const override;
  interfaces::HttpRequest EncodeWatch(const store::WatchQuery&) const override;
  store::StoreReply DecodeStoreReply(interfaces::StoreCall,
                                     const interfaces::HttpResponse&) const override;
  interfaces::HttpRequest EncodeGrant(const ownership::GrantAction&) const override;
  interfaces::HttpRequest EncodeRelease(const ownership::ReleaseAction&) const override;
  ownership::OrderReply DecodeOrderReply(const interfaces::HttpResponse&) const override;
  std::string_view configuration_table() const override { return "configuration"; }
  std::string_view configuration_key() const override { return "newest"; }
  std::string_view backend_table() const override { return "backends"; }
  catalog::Configuration DecodeConfiguration(std::string_view) const override;
  std::string EncodeConfiguration(const catalog::Configuration&, std::string_view) const override;
  std::optional<std::string> EvacuatedZoneOf(std::string_view) const override { return {}; }
  catalog::Backend DecodeBackend(std::string_view, std::string_view,
                                 interfaces::ReadingNotes*) const override;

 private:
  interfaces::HeaderNames names_{"T-Request-Id",  "T-Deadline-Ms",  "T-Stamp", "T-Expected",
                                 "T-Instance-Id", "T-Not-Executed", "T-Load",  "T-Cold-Ms",
                                 {"T-Leaving"},   {"T-Limit"},      "T-Key"};
};

/// Runs the loop until `done`; fails the test when that takes too long.
void RunUntil(EventLoop& loop, const std::function<bool()>& done);

/// The peer's end of one connection, whichever side it is.
class TestSocket : public std::enable_shared_from_this<TestSocket> {
 public:
  explicit TestSocket(Socket socket) : socket_(std::move(socket)) {}

  /// Reads on for ever; `on_bytes` hears of everything that comes.
  void Read(std::function<void()> on_bytes = [] {});
  void Send(std::string_view bytes);
  /// Sends what fits; how much that was.
  size_t SendSome(std::string_view bytes);
  void StopReading() { reading_ = false; }
  void Close();
  /// Ends the stream to the other side in order and goes on receiving.
  void EndSending();
  /// Closes so that the other side sees a reset.
  void Reset();

  /// All that came and was not taken out.
  std::string received;
  /// The other side has closed.
  bool ended = false;
  /// It did so by a reset.
  bool was_reset = false;

 private:
  Socket socket_;
  bool reading_ = true;
  std::array<char, 65536> buffer_;
};
using TestSocketPtr = std::shared_ptr<TestSocket>;

/// Takes the first whole HTTP request (with a length or without a body) out of `bytes`; empty when
/// there is none.
std::string TakeMessage(std::string* bytes);
/// The value of a header in `message`; empty when absent.
std::string HeaderOf(const std::string& message, const std::string& name);
std::string BodyOf(const std::string& message);

/// Listens, and hands each whole request to `on_request`.
class TestBackend {
 public:
  using Script = std::function<void(TestSocket&, const std::string& request)>;

  explicit TestBackend(EventLoop& loop);

  Endpoint address() const;
  /// Connections are refused from now on.
  void StopListening();
  Script on_request;
  /// Every request that came, in order.
  std::vector<std::string> requests;
  std::vector<TestSocketPtr> connections;

 private:
  void Accept();

  Acceptor acceptor_;
};

/// An answer with the id of `request` and what the data path asks of an answer.
std::string AnswerTo(const std::string& request, const std::string& body,
                     const std::string& more_headers = "");

/// Time that a test may let jump: the loop then finds everything late, as after standing still.
class JumpingClock : public TimeSource {
 public:
  Time Now() const override { return boot_.Now() + ahead; }

  Duration ahead = absl::ZeroDuration();

 private:
  BootTimeSource boot_;
};

/// A node without a daemon: routes /work/ (may run twice) and /order/ (may not) to one back end.
struct Node {
  Node();
  explicit Node(const DataPathSettings& settings, DataPathObserver* observer = nullptr);

  TestSocketPtr Connect();
  /// Sends a GET with this id and waits for its answer.
  std::string Ask(const TestSocketPtr& caller, const std::string& id,
                  const std::string& path = "/work/x", const std::string& more_headers = "");
  std::string WaitForAnswer(const TestSocketPtr& caller);
  void WaitUntil(const std::function<bool()>& done) { RunUntil(loop, done); }
  void Configure(const catalog::Limits& limits, uint32_t max_connections = 0);

  static std::string Get(const std::string& id, const std::string& path = "/work/x",
                         const std::string& more_headers = "");

  EventLoop loop{1};
  JumpingClock clock;
  TestAdapter adapter;
  TestBackend backend{loop};
  forwarding::Dispatcher dispatcher{forwarding::DispatcherSettings{}};
  std::unique_ptr<DataPath> owned_data_path;
  DataPath& data_path;
  uint64_t version = 0;
  /// Of the routes, from the next Configure on.
  Duration target_latency = absl::InfiniteDuration();
};

}  // namespace ladderstream::gateway
