// Reads the answer of a back end from bytes that arrive piece by piece, and decides whether it is
// whole, well formed and belongs to the request it came for. No I/O.
#pragma once

#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <optional>
#include <string>
#include <string_view>

#include "core/catalog/told_limit.h"
#include "gateway/http/byte_budget.h"
#include "gateway/http/head_scanner.h"
#include "gateway/http/request_reader.h"
#include "interfaces/platform_adapter.h"
#include "wire/time.h"

namespace ladderstream::gateway {

/// A whole answer of a back end.
struct BackendAnswer {
  int status = 0;
  /// Status line and end-to-end headers as the back end spelled them, without the length of the
  /// body and without the final blank line.
  std::string head;
  std::string body;
  /// The back end says that it did not run the request.
  bool not_executed = false;
  interfaces::ToldLoad load;
  /// For how long the back end is slow from a start, when it said so.
  std::optional<Duration> cold_left;
  /// For how long the back end wants no requests from this node, when it said so with a 503.
  std::optional<Duration> rest;
  /// The back end says that it is about to end.
  bool leaving = false;
  /// What the back end says of a limit on the requests that it takes.
  catalog::ToldLimit limit;
  /// The last header that was understood in part or not at all, as "name: value", cut short.
  std::string not_understood;
  /// The connection may carry another request.
  bool keeps_open = false;
  /// How long the back end keeps an idle connection, when it said so.
  std::optional<Duration> keep_alive;
  ByteReservation reservation;
};

/// What the answer's reading depends on in its request.
struct ExpectedAnswer {
  std::string_view request_id;
  bool is_head_method = false;
  bool accepts_encoding = false;
};

class AnswerReader {
 public:
  /// `adapter` must outlive the reader. `max_body` bounds one answer, in bytes.
  AnswerReader(const interfaces::PlatformAdapter& adapter, size_t max_body, ByteBudgetPtr budget);

  /// Begins with a new answer. What `expected` points to must last until the answer is taken.
  void Begin(const ExpectedAnswer& expected);

  /// As RequestReader::Read. Interim answers are skipped, and so is one late answer to an earlier
  /// request of the same connection.
  ReadStatus Read(std::string_view bytes, size_t* consumed);
  /// The stream ended in order: completes an answer that has no other end.
  ReadStatus ReadEnd();

  const std::string& fault() const { return fault_; }
  BackendAnswer Take();

 private:
  using Parser = boost::beast::http::response_parser<boost::beast::http::string_body>;

  ReadStatus ReadHead(std::string_view bytes, size_t* consumed);
  ReadStatus ReadBody(std::string_view bytes, size_t* consumed);
  ReadStatus CheckHead();
  ReadStatus CheckOwner();
  void BuildHead();
  void TakeField(HeaderField field, std::string_view name, std::string_view value);
  void TakeLimit(std::string_view name, std::string_view value);
  void TakeRetryAfter(std::string_view name, std::string_view value);
  void NoteNotUnderstood(std::string_view name, std::string_view value);
  ReadStatus Fail(std::string detail);
  void DropMessage();

  const interfaces::PlatformAdapter& adapter_;
  size_t max_body_;
  ByteBudgetPtr budget_;
  ExpectedAnswer expected_;
  HeadScanner scanner_;
  std::optional<Parser> parser_;
  BackendAnswer answer_;
  /// The message being read answers another request.
  bool late_ = false;
  bool skipped_late_ = false;
  int interim_answers_ = 0;
  std::string fault_;
};

}  // namespace ladderstream::gateway
