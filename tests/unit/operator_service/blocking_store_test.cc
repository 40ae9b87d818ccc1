// Answers of a store that are broken in one place leave the outcome of the call open.
#include "operator_service/blocking_store.h"

#include <absl/strings/str_cat.h>

#include <boost/test/unit_test.hpp>
#include <string>

#include "../gateway_http/malformed_heads.h"
#include "fixed_answer_server.h"
#include "platform/adapter.h"

namespace ladderstream::operator_service {
namespace {

using store::StoreStatus;

const std::string kRows = R"({"ver":7,"rows":[]})";
const std::string kChunks = "Transfer-Encoding: chunked\r\n";
const std::string kChunkedRows = "13\r\n" + kRows + "\r\n0\r\n";

std::string Length(const std::string& body) {
  return "Content-Length: " + std::to_string(body.size()) + "\r\n";
}

std::string Head(const std::string& status, const std::string& fields,
                 const std::string& version = "1.1") {
  return "HTTP/" + version + " " + status + " Text\r\n" + fields + "\r\n";
}

std::string ChunkedAnswer(const std::string& trailers) {
  return absl::StrCat(Head("200", kChunks), kChunkedRows, trailers, "\r\n");
}

/// What a read finds when the store answers with `bytes`.
store::StoreReply ReadFrom(const std::string& bytes) {
  const FixedAnswerServer server(bytes);
  BlockingStore store(platform::MakeAdapter(), server.endpoint(), absl::Seconds(5));
  store::ReadQuery query;
  query.table = "table";
  store::StoreReply reply = store.Read(query);
  BOOST_TEST(server.calls() == 1);
  return reply;
}

void RequireUnknown(const std::string& bytes) {
  const store::StoreReply reply = ReadFrom(bytes);
  BOOST_TEST((reply.status == StoreStatus::kUnknown), "taken: " << bytes);
  BOOST_TEST(!reply.detail.empty());
}

BOOST_AUTO_TEST_SUITE(blocking_store)

BOOST_AUTO_TEST_CASE(sound_answers_of_the_same_forms_are_taken) {
  for (const std::string& bytes : {Head("200", Length(kRows)) + kRows, ChunkedAnswer(""),
                                   ChunkedAnswer("X-Name: v\r\n"), Head("200", "") + kRows}) {
    const store::StoreReply reply = ReadFrom(bytes);
    BOOST_TEST((reply.status == StoreStatus::kDone), bytes << reply.detail);
    BOOST_TEST(reply.version == 7U);
  }
}

BOOST_AUTO_TEST_CASE(an_unusable_status_is_no_answer) {
  for (const std::string& status : gateway::UnusableStatuses()) {
    RequireUnknown(Head(status, Length(kRows)) + kRows);
  }
}

BOOST_AUTO_TEST_CASE(a_malformed_name_in_a_head_is_no_answer) {
  for (const std::string& line : gateway::LinesWithMalformedNames()) {
    RequireUnknown(absl::StrCat(Head("200", Length(kRows) + line), kRows));
  }
  for (const std::string& line : gateway::LinesWithMalformedFraming()) {
    RequireUnknown(Head("200", line) + kRows);
  }
}

BOOST_AUTO_TEST_CASE(a_malformed_name_in_trailers_is_no_answer) {
  for (const std::string& line : gateway::LinesWithMalformedNames()) {
    RequireUnknown(ChunkedAnswer(absl::StrCat("X-Sound: v\r\n", line)));
  }
}

BOOST_AUTO_TEST_CASE(framing_with_more_than_one_reading_is_no_answer) {
  RequireUnknown(Head("200", Length(kRows) + Length(kRows)) + kRows);
  RequireUnknown(Head("200", Length(kRows) + "Content-Length: 2\r\n") + kRows);
  RequireUnknown(Head("200", Length(kRows) + kChunks) + kChunkedRows + "\r\n");
  RequireUnknown(Head("200", "Transfer-Encoding: gzip\r\n") + kRows);
  RequireUnknown(Head("200", kChunks, "1.0") + kChunkedRows + "\r\n");
}

BOOST_AUTO_TEST_CASE(an_answer_cut_short_is_no_answer) {
  RequireUnknown(Head("200", "Content-Length: 100\r\n") + kRows);
  RequireUnknown(Head("200", kChunks) + "13\r\n" + kRows + "\r\n");
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace ladderstream::operator_service
