#include "daemon/http/request_framing.h"

#include <boost/test/unit_test.hpp>
#include <string>

namespace ladderstream {
namespace {

RequestHead Scan(const std::string& input) { return ScanHead(input); }

BOOST_AUTO_TEST_CASE(WaitsForTheWholeHead) {
  const std::string head = "GET / HTTP/1.1\r\nHost: a\r\n\r\n";
  for (size_t size = 0; size < head.size(); ++size) {
    BOOST_TEST((Scan(head.substr(0, size)).state == HeadState::kIncomplete));
  }
  BOOST_TEST((Scan(head).state == HeadState::kComplete));
  BOOST_TEST(Scan(head + "more").head_bytes == head.size());
}

BOOST_AUTO_TEST_CASE(FindsTheFraming) {
  BOOST_TEST(Scan("POST / HTTP/1.1\r\ncontent-LENGTH:  12 \r\n\r\n").content_length == 12);
  BOOST_TEST(Scan("POST / HTTP/1.1\r\nTransfer-Encoding: Chunked\r\n\r\n").chunked);
  BOOST_TEST(Scan("POST / HTTP/1.1\r\nExpect: 100-continue\r\n\r\n").expects_continue);
}

BOOST_AUTO_TEST_CASE(RefusesWhatCouldBeReadInTwoWays) {
  for (const char* headers :
       {"Content-Length: 1\r\nContent-Length: 1\r\n", "Content-Length: +1\r\n",
        "Content-Length: 1, 1\r\n", "Content-Length: 99999999999999999999999\r\n",
        "Content-Length : 1\r\n", "Transfer-Encoding: gzip, chunked\r\n",
        "Transfer-Encoding: chunked\r\nContent-Length: 1\r\n", " folded: 1\r\n", "A: b\nC: d\r\n",
        "A: b\rC: d\r\n"}) {
    const std::string head = std::string("POST / HTTP/1.1\r\n") + headers + "\r\n";
    BOOST_TEST((Scan(head).state == HeadState::kMalformed), headers);
  }
}

}  // namespace
}  // namespace ladderstream
