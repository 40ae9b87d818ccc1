// The readers take messages in pieces of any size.
#include "gateway/http/request_reader.h"

#include <string>

#include "gateway/http/answer_reader.h"
#include "support.h"

namespace ladderstream::gateway {
namespace {

/// Feeds `bytes` in pieces of `piece` bytes, as a connection does; gives the last status.
template <typename Reader>
ReadStatus Feed(Reader& reader, const std::string& bytes, size_t piece, std::string* rest) {
  ReadStatus status = ReadStatus::kNeedMore;
  for (size_t offset = 0; offset < bytes.size() && status == ReadStatus::kNeedMore;
       offset += piece) {
    rest->append(bytes, offset, piece);
    size_t consumed = 0;
    status = reader.Read(*rest, &consumed);
    rest->erase(0, consumed);
  }
  return status;
}

BOOST_AUTO_TEST_SUITE(readers)

BOOST_AUTO_TEST_CASE(the_size_of_the_pieces_makes_no_difference) {
  const TestAdapter adapter;
  const catalog::Limits limits;
  const auto budget = std::make_shared<ByteBudget>(1000000);
  const std::string request =
      "\r\nPOST http://B.example:80/p/q?r HTTP/1.1\r\nHost: a.example\r\nT-Request-Id: 1\r\n"
      "T-Key: 77\r\nTransfer-Encoding: chunked\r\n\r\n5;x=\"y\"\r\nab\r\nc\r\n1\r\nd\r\n0\r\n"
      "T-Request-Id: 2\r\n\r\n";
  const std::string answer =
      "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nT-Request-Id: 1\r\nT-Stamp: s\r\n"
      "T-Load: 1,2,3\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n";
  for (size_t piece = 1; piece < request.size(); ++piece) {
    std::string rest;
    RequestReader request_reader(adapter.headers(), limits, budget);
    BOOST_TEST((Feed(request_reader, request, piece, &rest) == ReadStatus::kComplete));
    const CallerRequest read = request_reader.Take();
    BOOST_TEST(read.body == "ab\r\ncd");
    BOOST_TEST(read.request_id == "1");
    BOOST_TEST(read.host == "B.example");
    BOOST_TEST(read.target == "/p/q?r");
    BOOST_TEST(read.key.value() == 77U);
    BOOST_TEST(read.head.find("T-Request-Id: 2") == std::string::npos);
    BOOST_TEST(rest.empty());

    AnswerReader answer_reader(adapter, 1000, budget);
    answer_reader.Begin({"1", false, false});
    BOOST_TEST((Feed(answer_reader, answer, piece, &rest) == ReadStatus::kComplete));
    const BackendAnswer got = answer_reader.Take();
    BOOST_TEST(got.body == "abc");
    BOOST_TEST(got.load.slots == 3U);
    BOOST_TEST(got.keeps_open);
  }
  BOOST_TEST(budget->used() == 0U);
}

// Found by fuzzing: HTTP/1.0 knows requests without a host, HTTP/1.1 does not.
BOOST_AUTO_TEST_CASE(an_old_request_without_a_host_is_passed_on_with_one) {
  const TestAdapter adapter;
  const catalog::Limits limits;
  const auto host_passed_on = [&](const std::string& target, const std::string& fields) {
    RequestReader reader(adapter.headers(), limits, std::make_shared<ByteBudget>(1000));
    const std::string bytes =
        "GET " + target + " HTTP/1.0\r\n" + fields + "T-Request-Id: 1\r\n\r\n";
    std::string rest;
    BOOST_TEST((Feed(reader, bytes, bytes.size(), &rest) == ReadStatus::kComplete));
    return HeaderOf(reader.Take().head + "\r\n", "Host");
  };
  BOOST_TEST(host_passed_on("/x", "Host: a.example:80\r\n") == "a.example:80");
  BOOST_TEST(host_passed_on("http://b.example:80/x", "") == "b.example");
  BOOST_TEST(host_passed_on("/x", "") == "");
  RequestReader reader(adapter.headers(), limits, std::make_shared<ByteBudget>(1000));
  const std::string bytes = "GET /x HTTP/1.0\r\nT-Request-Id: 1\r\n\r\n";
  std::string rest;
  BOOST_TEST((Feed(reader, bytes, bytes.size(), &rest) == ReadStatus::kComplete));
  BOOST_TEST(reader.Take().head.find("Host: \r\n") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(refusals_of_back_ends_are_told_apart) {
  const TestAdapter adapter;
  const auto budget = std::make_shared<ByteBudget>(1000);
  const auto not_executed = [&](const std::string& status, const std::string& fields) {
    AnswerReader reader(adapter, 1000, budget);
    reader.Begin({"1", false, false});
    std::string rest;
    const std::string bytes =
        "HTTP/1.1 " + status + "\r\nT-Request-Id: 1\r\n" + fields + "Content-Length: 0\r\n\r\n";
    BOOST_TEST((Feed(reader, bytes, bytes.size(), &rest) == ReadStatus::kComplete));
    return reader.Take().not_executed;
  };
  BOOST_TEST(not_executed("421 Misdirected", ""));
  BOOST_TEST(not_executed("503 Full", "T-Not-Executed: 1\r\n"));
  BOOST_TEST(!not_executed("503 Full", ""));
}

BOOST_AUTO_TEST_CASE(what_a_back_end_asks_for_with_its_answer_is_read) {
  const TestAdapter adapter;
  const auto budget = std::make_shared<ByteBudget>(1000);
  const auto read = [&](const std::string& status, const std::string& fields) {
    AnswerReader reader(adapter, 1000, budget);
    reader.Begin({"1", false, false});
    std::string rest;
    const std::string bytes = "HTTP/1.1 " + status + "\r\nT-Request-Id: 1\r\nT-Stamp: s\r\n" +
                              fields + "Content-Length: 0\r\n\r\n";
    BOOST_TEST((Feed(reader, bytes, bytes.size(), &rest) == ReadStatus::kComplete));
    return reader.Take();
  };
  BOOST_TEST((read("503 Full", "Retry-After: 3\r\n").rest == absl::Seconds(3)));
  BOOST_TEST((read("503 Full", "retry-after: 0.25\r\n").rest == absl::Milliseconds(250)));
  BOOST_TEST(!read("503 Full", "").rest.has_value());
  // Of another status it is a word to the caller.
  BOOST_TEST(!read("429 Slow down", "Retry-After: 3\r\n").rest.has_value());
  for (const std::string value : {"Thu, 19 Mar 2026 01:52:12 GMT", "-1", "inf", "soon"}) {
    const BackendAnswer answer = read("503 Full", "Retry-After: " + value + "\r\n");
    BOOST_TEST(!answer.rest.has_value());
    BOOST_TEST(answer.not_understood == "Retry-After: " + value);
  }
  BOOST_TEST(read("200 OK", "T-Leaving: 1\r\n").leaving);
  BOOST_TEST(!read("200 OK", "").leaving);
  BOOST_TEST(*read("200 OK", "T-Limit: 3.4\r\n").limit.rate == 3.4);
  BOOST_TEST(*read("503 Full", "T-Limit: 0\r\n").limit.rate == 0.0);
  BOOST_TEST(*read("200 OK", "T-Limit: 9\r\nT-Limit: 0.3\r\n").limit.rate == 0.3);
  BOOST_TEST(!read("200 OK", "").limit.rate.has_value());
  for (const std::string value : {"few", "-1", "inf", "nan", "3,4"}) {
    const BackendAnswer answer = read("200 OK", "T-Limit: " + value + "\r\nT-Leaving: 1\r\n");
    BOOST_TEST(!answer.limit.rate.has_value());
    BOOST_TEST(answer.limit.unreadable);
    BOOST_TEST(answer.leaving);
    BOOST_TEST(answer.not_understood == "T-Limit: " + value);
  }
  BOOST_TEST(read("200 OK", "T-New: 7\r\n").not_understood == "T-New: 7");
  BOOST_TEST(read("200 OK", "X-Other: 7\r\n").not_understood.empty());
  BOOST_TEST(read("200 OK", "T-Leaving: maybe\r\n").not_understood == "T-Leaving: maybe");
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace ladderstream::gateway
