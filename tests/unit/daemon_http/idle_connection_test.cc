// What an idle caller costs the node.
#include <sys/resource.h>

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <fstream>
#include <list>
#include <string>

#include "server_fixture.h"

namespace ladderstream::test {
namespace {

/// The process's resident memory.
int64_t ResidentBytes() {
  std::ifstream status("/proc/self/status");
  std::string word;
  while (status >> word) {
    if (word == "VmRSS:") {
      int64_t kibibytes = 0;
      status >> kibibytes;
      return kibibytes * 1024;
    }
  }
  return 0;
}

/// Both ends of each connection are in this process.
size_t AffordableConnections(size_t wanted) {
  constexpr size_t kReserved = 600;
  rlimit limit{};
  ::getrlimit(RLIMIT_NOFILE, &limit);
  return std::min(wanted, (static_cast<size_t>(limit.rlim_cur) - kReserved) / 2);
}

BOOST_AUTO_TEST_CASE(IdleConnectionsCostLittleMemoryAndNoThread) {
  constexpr int64_t kMostBytesPerConnection = 4096;
  ServerFixture fixture;
  fixture.server.Start();
  BOOST_TEST(fixture.StillServes());
  std::list<RawCaller> idle;
  int64_t before = 0;
  size_t counted = 0;
  const size_t wanted = AffordableConnections(8000);
  for (size_t i = 0; i < wanted; ++i) {
    if (i == wanted / 4) {
      before = ResidentBytes();
      counted = wanted - i;
    }
    idle.emplace_back(fixture.server.endpoint());
    BOOST_REQUIRE(
        idle.back().Send("GET /v1/services/s/requests/r?key=k HTTP/1.1\r\nHost: a\r\n\r\n"));
    BOOST_REQUIRE(idle.back().ReceiveUntil("k|").find("200 OK") != std::string::npos);
  }
  const int64_t slope = (ResidentBytes() - before) / static_cast<int64_t>(counted);
  BOOST_TEST_MESSAGE("idle connections: " << wanted << ", resident bytes each: " << slope);
  BOOST_TEST(slope < kMostBytesPerConnection);
  BOOST_TEST(fixture.StillServes());
}

}  // namespace
}  // namespace ladderstream::test
