#include "gateway/http/readiness_server.h"

#include <string>

#include "support.h"

namespace ladderstream::gateway {
namespace {

BOOST_AUTO_TEST_SUITE(readiness_server)

BOOST_AUTO_TEST_CASE(readiness_is_asked_anew_for_each_question) {
  EventLoop loop{1};
  bool ready = false;
  ReadinessServer server(loop, {"127.0.0.1", 0}, "/ready", [&] { return ready; });
  server.AddPage("/figures", [] { return PageAnswer{200, "text/plain", "a 1\n"}; });
  Socket socket(loop.get_executor());
  socket.connect(server.local_endpoint());
  const auto caller = std::make_shared<TestSocket>(std::move(socket));
  caller->Read();
  const auto ask = [&](const std::string& path) {
    caller->Send("GET " + path + " HTTP/1.1\r\nHost: a\r\n\r\n");
    std::string answer;
    RunUntil(loop, [&] {
      answer = TakeMessage(&caller->received);
      return !answer.empty();
    });
    return answer.substr(9, 3);
  };
  BOOST_TEST(ask("/ready") == "503");
  ready = true;
  BOOST_TEST(ask("/ready?x=1") == "200");
  BOOST_TEST(ask("/figures") == "200");
  BOOST_TEST(ask("/other") == "404");
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace ladderstream::gateway
