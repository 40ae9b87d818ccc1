// What callers may send to hurt the node: each gets a numbered error, and the node goes on serving.
#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <list>
#include <ostream>
#include <string>
#include <vector>

#include "server_fixture.h"

namespace ladderstream::test {
namespace {

CallerServerLimits SmallLimits() {
  CallerServerLimits limits;
  limits.max_header_bytes = 4096;
  limits.max_body_bytes = 10000;
  limits.read_timeout = absl::Milliseconds(200);
  limits.max_connections = 20;
  return limits;
}

struct HostileInput {
  const char* name;
  std::string bytes;
  /// "{status} ... Ladderstream-Result: {code}".
  int status;
  int code;
};

std::ostream& operator<<(std::ostream& out, const HostileInput& input) { return out << input.name; }

const std::vector<HostileInput>& Inputs() {
  const std::string chunk_of_endless = "1000\r\n" + std::string(4096, 'x') + "\r\n";
  static const std::vector<HostileInput> inputs{
      {"one huge header", PostHead("A: " + std::string(8000, 'x') + "\r\n"), 431, 3006},
      {"headers without end", "GET / HTTP/1.1\r\n" + std::string(8000, 'x'), 431, 3006},
      {"huge declared body", PostHead("Content-Length: 999999999999\r\n"), 413, 3005},
      {"endless chunks",
       PostHead("Transfer-Encoding: chunked\r\n") + chunk_of_endless + chunk_of_endless +
           chunk_of_endless + chunk_of_endless,
       413, 3005},
      {"broken chunking", PostHead("Transfer-Encoding: chunked\r\n") + "zzz\r\nabc\r\n0\r\n\r\n",
       400, 3008},
      {"slow headers", "GET /v1/services/a", 408, 3009},
      {"slow body", PostHead("Content-Length: 10\r\n") + "abc", 408, 3009},
      {"slow chunks", PostHead("Transfer-Encoding: chunked\r\n") + "5\r\nab", 408, 3009},
      {"two lengths", PostHead("Content-Length: 1\r\nContent-Length: 2\r\n") + "ab", 400, 3008},
      {"length and chunks",
       PostHead("Content-Length: 5\r\nTransfer-Encoding: chunked\r\n") + "0\r\n\r\n", 400, 3008},
      {"negative length", PostHead("Content-Length: -1\r\n"), 400, 3008},
      {"bare line feeds", "GET / HTTP/1.1\nHost: a\r\n\r\n", 400, 3008},
      {"no HTTP at all", "\x16\x03\x01 hello\r\n\r\n", 400, 3008},
      {"compressed body", PostHead("Content-Encoding: gzip\r\nContent-Length: 1\r\n") + "a", 400,
       3008},
      {"multipart body",
       PostHead("Content-Type: multipart/form-data; boundary=b\r\nContent-Length: 1\r\n") + "a",
       400, 3008},
      {"bad deadline", PostHead("Ladderstream-Deadline-Ms: soon\r\nContent-Length: 0\r\n"), 400,
       3007},
      {"long request id",
       PostHead("Ladderstream-Request-Id: " + std::string(65, 'a') + "\r\nContent-Length: 0\r\n"),
       400, 3008},
      {"unknown path", "GET /nowhere HTTP/1.1\r\nHost: a\r\n\r\n", 404, 3008},
  };
  return inputs;
}

BOOST_DATA_TEST_CASE(GetsANumberedErrorAndLeavesTheNodeServing,
                     boost::unit_test::data::make(Inputs()), input) {
  ServerFixture fixture(SmallLimits());
  fixture.server.Start();
  RawCaller caller(fixture.server.endpoint());
  caller.Send(input.bytes);
  const std::string answer = caller.ReceiveUntil("\"retry_after_ms\"");
  BOOST_TEST(absl::StartsWith(answer, absl::StrCat("HTTP/1.1 ", input.status)),
             "answer was: " << answer);
  BOOST_TEST(
      answer.find(absl::StrCat("Ladderstream-Result: ", input.code, "\r\n")) != std::string::npos,
      "answer was: " << answer);
  BOOST_TEST(answer.find("Ladderstream-Outcome: did-not-run") != std::string::npos);
  BOOST_TEST(fixture.StillServes());
}

BOOST_AUTO_TEST_CASE(SlowSendersHoldNoWorker) {
  CallerServerLimits limits = SmallLimits();
  limits.max_workers = 1;
  limits.read_timeout = absl::Seconds(30);
  ServerFixture fixture(limits);
  fixture.server.Start();
  std::list<RawCaller> slow;
  for (int i = 0; i < 10; ++i) {
    slow.emplace_back(fixture.server.endpoint());
    slow.back().Send(PostHead("Content-Length: 10\r\n") + "abc");
  }
  BOOST_TEST(fixture.StillServes());
}

BOOST_AUTO_TEST_CASE(RefusesConnectionsOverTheLimit) {
  ServerFixture fixture(SmallLimits());
  fixture.server.Start();
  std::list<RawCaller> held;
  for (uint32_t i = 0; i < SmallLimits().max_connections; ++i) {
    held.emplace_back(fixture.server.endpoint());
    held.back().Send("GET /v1/services/s/requests/r?key=k HTTP/1.1\r\nHost: a\r\n\r\n");
    BOOST_TEST(!held.back().ReceiveUntil("k|").empty());
  }
  RawCaller refused(fixture.server.endpoint());
  const std::string answer = refused.ReceiveAll();
  BOOST_TEST(answer.find("Ladderstream-Result: 1010") != std::string::npos);
  BOOST_TEST(answer.find("Retry-After: 1") != std::string::npos);
  held.clear();
  // The server notices the closed connections on its own time.
  bool serves = false;
  for (int i = 0; i < 1000 && !serves; ++i) {
    serves = fixture.StillServes();
  }
  BOOST_TEST(serves);
}

BOOST_AUTO_TEST_CASE(BodyWithoutLengthIsEmptyAndDoesNotHang) {
  ServerFixture fixture(SmallLimits());
  fixture.server.Start();
  RawCaller caller(fixture.server.endpoint());
  caller.Send(PostHead(""));
  BOOST_TEST(caller.ReceiveUntil("k|").find("200 OK") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(BodyOfARefusedRequestIsNotTakenForTheNextRequest) {
  ServerFixture fixture(SmallLimits());
  fixture.server.Start();
  RawCaller caller(fixture.server.endpoint());
  const std::string smuggled = "GET /v1/services/s/requests/r?key=smuggled HTTP/1.1\r\n\r\n";
  caller.Send(absl::StrCat("GET /v1/services/s/requests/r?key=first HTTP/1.1\r\nContent-Length: ",
                           smuggled.size(), "\r\n\r\n", smuggled,
                           "GET /v1/services/s/requests/r?key=last HTTP/1.1\r\n"
                           "Connection: close\r\n\r\n"));
  const std::string answers = caller.ReceiveAll();
  BOOST_TEST(answers.find("first|") != std::string::npos);
  BOOST_TEST(answers.find("last|") != std::string::npos);
  BOOST_TEST(answers.find("smuggled") == std::string::npos);
}

}  // namespace
}  // namespace ladderstream::test
