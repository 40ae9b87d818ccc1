#include "gateway/http/answer_reader.h"

#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <boost/beast/http/error.hpp>
#include <limits>
#include <utility>

#include "gateway/http/answer_bounds.h"
#include "gateway/http/answer_status.h"
#include "gateway/http/header_rules.h"

namespace ladderstream::gateway {

namespace http = boost::beast::http;

namespace {

constexpr int kMisdirected = 421;
constexpr int kUnavailable = 503;
constexpr std::string_view kYes = "1";
/// What is shown of a header that was not understood, in bytes.
constexpr size_t kLongestExample = 64;

bool IsOneOf(std::string_view name, const std::vector<std::string>& names) {
  return std::any_of(names.begin(), names.end(),
                     [name](std::string_view one) { return EqualsIgnoreCase(name, one); });
}

bool IsSuccess(int status) { return status / 100 == 2; }

}  // namespace

AnswerReader::AnswerReader(const interfaces::PlatformAdapter& adapter, size_t max_body,
                           ByteBudgetPtr budget)
    : adapter_(adapter), max_body_(max_body), budget_(std::move(budget)) {}

void AnswerReader::Begin(const ExpectedAnswer& expected) {
  expected_ = expected;
  DropMessage();
  skipped_late_ = false;
  interim_answers_ = 0;
  fault_.clear();
}

void AnswerReader::DropMessage() {
  scanner_.Reset();
  parser_.reset();
  answer_ = BackendAnswer();
  answer_.reservation = ByteReservation(budget_, ByteUse::kAnswer);
  late_ = false;
}

ReadStatus AnswerReader::Read(std::string_view bytes, size_t* consumed) {
  *consumed = 0;
  for (;;) {
    if (!parser_.has_value()) {
      const ReadStatus status = ReadHead(bytes, consumed);
      if (status != ReadStatus::kComplete) {
        return status;
      }
      if (IsInterimStatus(answer_.status)) {
        DropMessage();
        continue;
      }
    }
    const ReadStatus status = ReadBody(bytes, consumed);
    if (status != ReadStatus::kComplete || !late_) {
      return status;
    }
    DropMessage();
    skipped_late_ = true;
  }
}

ReadStatus AnswerReader::ReadHead(std::string_view bytes, size_t* consumed) {
  const std::string_view rest = bytes.substr(*consumed);
  size_t size = rest.size();
  const HeadScanner::Result scan = scanner_.Scan(rest, &size);
  if (scan == HeadScanner::Result::kMalformed || size > kMaxHeadBytes) {
    return Fail("malformed head");
  }
  if (scan == HeadScanner::Result::kNeedMore) {
    return ReadStatus::kNeedMore;
  }
  parser_.emplace();
  parser_->header_limit(std::numeric_limits<uint32_t>::max());
  parser_->body_limit(max_body_);
  parser_->skip(expected_.is_head_method);
  boost::system::error_code error;
  parser_->put(boost::asio::buffer(rest.data(), size), error);
  if (error) {
    return Fail(error.message());
  }
  *consumed += size;
  return parser_->is_header_done() ? CheckHead() : Fail("head without an end");
}

ReadStatus AnswerReader::CheckHead() {
  const auto& message = parser_->get();
  answer_.status = static_cast<int>(message.result_int());
  if (!IsInterimStatus(answer_.status) && !IsFinalStatus(answer_.status)) {
    return Fail("unusable status");
  }
  if (IsInterimStatus(answer_.status)) {
    return ++interim_answers_ > kMaxInterimAnswers ? Fail("too many interim answers")
                                                   : ReadStatus::kComplete;
  }
  const bool modern = message.version() >= kHttp11;
  if (!HasSoundFraming(message, message.version())) {
    return Fail("contradictory framing");
  }
  if (CheckOwner() == ReadStatus::kFault) {
    return ReadStatus::kFault;
  }
  answer_.keeps_open = modern && parser_->keep_alive() && !skipped_late_;
  if (!late_) {
    BuildHead();
  }
  return ReadStatus::kComplete;
}

ReadStatus AnswerReader::CheckOwner() {
  const auto& message = parser_->get();
  const interfaces::HeaderNames& names = adapter_.headers();
  if (message.count(names.request_id) != 1) {
    return Fail("no request id");
  }
  if (ToView(message[names.request_id]) != expected_.request_id) {
    if (skipped_late_) {
      return Fail("answers to other requests");
    }
    late_ = true;
    return ReadStatus::kComplete;
  }
  if (message.count(HeaderField::content_encoding) != 0 && !expected_.accepts_encoding) {
    return Fail("encoded body");
  }
  if (IsSuccess(answer_.status) && !names.server_stamp.empty() &&
      message.count(names.server_stamp) == 0) {
    return Fail("success without a stamp");
  }
  return ReadStatus::kComplete;
}

void AnswerReader::BuildHead() {
  const auto& message = parser_->get();
  answer_.not_executed = answer_.status == kMisdirected;
  Append(&answer_.head, "HTTP/1.1 ", std::to_string(answer_.status), " ", ToView(message.reason()),
         kLineEnd);
  const ConnectionOptions options(message);
  for (const auto& field : message) {
    const std::string_view name = ToView(field.name_string());
    const std::string_view value = ToView(field.value());
    TakeField(field.name(), name, value);
    const bool is_body_length =
        field.name() == HeaderField::content_length && !expected_.is_head_method;
    if (!is_body_length && !IsHopByHop(field.name(), name, options)) {
      AppendField(&answer_.head, name, value);
    }
  }
}

void AnswerReader::TakeField(HeaderField field, std::string_view name, std::string_view value) {
  const interfaces::HeaderNames& names = adapter_.headers();
  if (field == HeaderField::keep_alive) {
    answer_.keep_alive = ParseKeepAliveTimeout(value);
  } else if (field == HeaderField::retry_after) {
    TakeRetryAfter(name, value);
  } else if (field != HeaderField::unknown) {
    return;
  } else if (EqualsIgnoreCase(name, names.not_executed)) {
    answer_.not_executed = true;
  } else if (EqualsIgnoreCase(name, names.server_load)) {
    if (adapter_.ParseToldLoad(value, &answer_.load) != interfaces::Understood::kWhole) {
      NoteNotUnderstood(name, value);
    }
  } else if (EqualsIgnoreCase(name, names.cold_left_ms)) {
    answer_.cold_left = ParseTimeLeft(value);
    if (!answer_.cold_left.has_value()) {
      NoteNotUnderstood(name, value);
    }
  } else if (IsOneOf(name, names.rate_limit)) {
    TakeLimit(name, value);
  } else if (IsOneOf(name, names.leaving)) {
    answer_.leaving = value == kYes;
    if (!answer_.leaving) {
      NoteNotUnderstood(name, value);
    }
  } else if (adapter_.IsUnheardHeader(name)) {
    // A wish that nobody reads shows in no other way: requests went on to back ends that had asked
    // for rest, and loads were unknown for a whole release.
    NoteNotUnderstood(name, value);
  }
}

void AnswerReader::TakeLimit(std::string_view name, std::string_view value) {
  const std::optional<double> rate = ParseRate(value);
  if (!rate.has_value()) {
    answer_.limit.unreadable = true;
    NoteNotUnderstood(name, value);
    return;
  }
  // Named twice, the lower one is safe for the back end.
  answer_.limit.rate = std::min(answer_.limit.rate.value_or(*rate), *rate);
}

void AnswerReader::TakeRetryAfter(std::string_view name, std::string_view value) {
  if (answer_.status != kUnavailable) {
    // With another status it is for the caller.
    return;
  }
  answer_.rest = ParseRetryAfter(value);
  if (!answer_.rest.has_value()) {
    NoteNotUnderstood(name, value);
  }
}

void AnswerReader::NoteNotUnderstood(std::string_view name, std::string_view value) {
  answer_.not_understood.clear();
  Append(&answer_.not_understood, name, ": ", value.substr(0, kLongestExample));
}

ReadStatus AnswerReader::ReadBody(std::string_view bytes, size_t* consumed) {
  while (!parser_->is_done()) {
    const std::string_view rest = bytes.substr(*consumed);
    if (rest.empty()) {
      return ReadStatus::kNeedMore;
    }
    boost::system::error_code error;
    const size_t taken = parser_->put(boost::asio::buffer(rest.data(), rest.size()), error);
    *consumed += taken;
    if (error == http::error::need_more) {
      if (taken > 0) {
        continue;
      }
      return rest.size() > kMaxChunkOverheadBytes ? Fail("chunk size line or trailer too long")
                                                  : ReadStatus::kNeedMore;
    }
    if (error) {
      return Fail(error.message());
    }
    // The parser takes the last chunk and its trailers in one piece.
    if (parser_->is_done() && parser_->chunked() && HasFoldedLine(rest.substr(0, taken))) {
      return Fail("folded line in the trailers");
    }
    if (!answer_.reservation.Resize(parser_->get().body().size())) {
      return Fail("too many bytes of bodies are held");
    }
  }
  return ReadStatus::kComplete;
}

ReadStatus AnswerReader::ReadEnd() {
  if (!parser_.has_value() || late_) {
    return Fail("closed without an answer");
  }
  boost::system::error_code error;
  parser_->put_eof(error);
  return error || !parser_->is_done() ? Fail("answer cut short") : ReadStatus::kComplete;
}

ReadStatus AnswerReader::Fail(std::string detail) {
  fault_ = std::move(detail);
  return ReadStatus::kFault;
}

BackendAnswer AnswerReader::Take() {
  answer_.body = std::move(parser_->get().body());
  parser_.reset();
  scanner_.Reset();
  return std::move(answer_);
}

}  // namespace ladderstream::gateway
