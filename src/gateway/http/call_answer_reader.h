// Reads answers to the node's own calls from bytes that arrive piece by piece. No I/O.
//
// The other side may send bytes without an end in any part of an answer: each part has a bound, and
// an answer that exceeds one is a fault.
#pragma once

#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <optional>
#include <string>
#include <string_view>

#include "gateway/http/byte_budget.h"
#include "gateway/http/head_scanner.h"
#include "gateway/http/request_reader.h"
#include "interfaces/http_exchange.h"

namespace ladderstream::gateway {

class CallAnswerReader {
 public:
  /// All bodies that are being read share `budget`.
  explicit CallAnswerReader(ByteBudgetPtr budget) : budget_(std::move(budget)) {}

  /// Begins with a new answer, whose body may have `max_body` bytes.
  void Begin(bool is_head_method, size_t max_body);

  /// As RequestReader::Read. Interim answers are skipped.
  ReadStatus Read(std::string_view bytes, size_t* consumed);
  /// The stream ended in order: completes an answer that has no other end.
  ReadStatus ReadEnd();

  /// What was expected and what was found.
  const std::string& fault() const { return fault_; }
  /// Whether the connection may carry another call. Of a complete answer.
  bool keeps_open() const { return parser_->keep_alive(); }
  interfaces::HttpResponse Take();

 private:
  using Parser = boost::beast::http::response_parser<boost::beast::http::string_body>;

  void BeginMessage();
  ReadStatus ReadHead(std::string_view bytes, size_t* consumed);
  /// Whether what the head announces has one meaning only.
  ReadStatus CheckHead();
  /// Takes status and headers of a final answer. Called before the body is read, as the parser adds
  /// trailers to the headers.
  void TakeHead();
  ReadStatus ReadBody(std::string_view bytes, size_t* consumed);
  ReadStatus Fail(std::string detail);

  ByteBudgetPtr budget_;
  bool is_head_method_ = false;
  size_t max_body_ = 0;
  int interim_answers_ = 0;
  HeadScanner scanner_;
  std::optional<Parser> parser_;
  /// Without its body until that is whole.
  interfaces::HttpResponse response_;
  ByteReservation reservation_;
  std::string fault_;
};

}  // namespace ladderstream::gateway
