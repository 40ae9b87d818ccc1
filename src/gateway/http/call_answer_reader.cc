#include "gateway/http/call_answer_reader.h"

#include <absl/strings/str_format.h>

#include <boost/asio/buffer.hpp>
#include <boost/beast/http/error.hpp>
#include <limits>
#include <utility>

#include "gateway/http/answer_bounds.h"
#include "gateway/http/answer_status.h"
#include "gateway/http/header_rules.h"
#include "gateway/http/text.h"

namespace ladderstream::gateway {

namespace http = boost::beast::http;

namespace {

std::string Exceeds(std::string_view what, size_t most) {
  std::string text;
  Append(&text, "want at most ", std::to_string(most), " ", what, ", found more");
  return text;
}

}  // namespace

void CallAnswerReader::Begin(bool is_head_method, size_t max_body) {
  is_head_method_ = is_head_method;
  max_body_ = max_body;
  interim_answers_ = 0;
  fault_.clear();
  BeginMessage();
}

void CallAnswerReader::BeginMessage() {
  reservation_ = ByteReservation(budget_, ByteUse::kAnswer);
  scanner_.Reset();
  parser_.emplace();
  // The scanner bounds the head.
  parser_->header_limit(std::numeric_limits<uint32_t>::max());
  parser_->body_limit(max_body_);
  parser_->skip(is_head_method_);
}

ReadStatus CallAnswerReader::Read(std::string_view bytes, size_t* consumed) {
  *consumed = 0;
  while (!parser_->is_header_done()) {
    const ReadStatus status = ReadHead(bytes, consumed);
    if (status != ReadStatus::kComplete) {
      return status;
    }
    if (!IsInterimStatus(static_cast<int>(parser_->get().result_int()))) {
      TakeHead();
      break;
    }
    if (++interim_answers_ > kMaxInterimAnswers) {
      return Fail(Exceeds("interim answers", kMaxInterimAnswers));
    }
    BeginMessage();
  }
  return ReadBody(bytes, consumed);
}

ReadStatus CallAnswerReader::ReadHead(std::string_view bytes, size_t* consumed) {
  const std::string_view rest = bytes.substr(*consumed);
  size_t size = rest.size();
  const HeadScanner::Result scan = scanner_.Scan(rest, &size);
  if (scan == HeadScanner::Result::kMalformed) {
    return Fail("want lines of a head that end with CR LF, found others");
  }
  if (size > kMaxHeadBytes) {
    return Fail(Exceeds("bytes of a head", kMaxHeadBytes));
  }
  if (scan == HeadScanner::Result::kNeedMore) {
    return ReadStatus::kNeedMore;
  }
  // Without `eager`, the parser stops behind the head; with it, it goes on after a length beyond
  // the limit and reserves that many bytes.
  boost::system::error_code error;
  parser_->put(boost::asio::buffer(rest.data(), size), error);
  *consumed += size;
  if (error == http::error::body_limit) {
    return Fail(Exceeds("bytes of a body", max_body_));
  }
  if (error) {
    return Fail(error.message());
  }
  return parser_->is_header_done() ? CheckHead() : Fail("head without an end");
}

ReadStatus CallAnswerReader::CheckHead() {
  const auto& message = parser_->get();
  const int status = static_cast<int>(message.result_int());
  if (!IsInterimStatus(status) && !IsFinalStatus(status)) {
    return Fail(absl::StrFormat("want a status from %d to %d, found %03d", kLowestFinalStatus,
                                kHighestFinalStatus, status));
  }
  if (!HasSoundFraming(message, message.version())) {
    return Fail("want one length, or the coding chunked alone in HTTP/1.1, found others");
  }
  return ReadStatus::kComplete;
}

void CallAnswerReader::TakeHead() {
  const auto& message = parser_->get();
  response_ = interfaces::HttpResponse();
  response_.status = static_cast<int>(message.result_int());
  for (const auto& field : message) {
    response_.headers.emplace_back(ToView(field.name_string()), ToView(field.value()));
  }
}

ReadStatus CallAnswerReader::ReadBody(std::string_view bytes, size_t* consumed) {
  while (!parser_->is_done()) {
    const std::string_view rest = bytes.substr(*consumed);
    if (rest.empty()) {
      return ReadStatus::kNeedMore;
    }
    boost::system::error_code error;
    const size_t taken = parser_->put(boost::asio::buffer(rest.data(), rest.size()), error);
    *consumed += taken;
    if (error == http::error::body_limit) {
      return Fail(Exceeds("bytes of a body", max_body_));
    }
    if (error && error != http::error::need_more) {
      return Fail(error.message());
    }
    // The parser takes the last chunk and its trailers in one piece.
    if (parser_->is_done() && parser_->chunked() && HasFoldedLine(rest.substr(0, taken))) {
      return Fail("want trailers of one line each, found a line that begins with a blank");
    }
    if (!reservation_.Resize(parser_->get().body().size())) {
      return Fail("want a body that fits beside the others, found a longer one");
    }
    if (error && taken == 0) {
      return rest.size() > kMaxChunkOverheadBytes
                 ? Fail(
                       Exceeds("bytes of a chunk size line or of trailers", kMaxChunkOverheadBytes))
                 : ReadStatus::kNeedMore;
    }
  }
  return ReadStatus::kComplete;
}

ReadStatus CallAnswerReader::ReadEnd() {
  if (!parser_->is_header_done()) {
    return Fail("closed without an answer");
  }
  boost::system::error_code error;
  parser_->put_eof(error);
  return error || !parser_->is_done() ? Fail("answer cut short") : ReadStatus::kComplete;
}

interfaces::HttpResponse CallAnswerReader::Take() {
  response_.body = std::move(parser_->get().body());
  reservation_ = ByteReservation();
  return std::move(response_);
}

ReadStatus CallAnswerReader::Fail(std::string detail) {
  fault_ = std::move(detail);
  return ReadStatus::kFault;
}

}  // namespace ladderstream::gateway
