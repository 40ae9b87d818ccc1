#include "gateway/http/request_reader.h"

#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <boost/beast/http/error.hpp>
#include <limits>
#include <utility>

#include "gateway/http/header_rules.h"

namespace ladderstream::gateway {

namespace http = boost::beast::http;

namespace {

constexpr std::string_view kContinue = "100-continue";
constexpr std::string_view kIdentity = "identity";
/// The most that the size line or the trailer of a chunked body may take.
constexpr size_t kMaxChunkOverheadBytes = 8192;

ResultCode CodeOf(const boost::system::error_code& error) {
  return error == http::error::body_limit ? ResultCode::kBodyTooLarge
                                          : ResultCode::kMalformedRequest;
}

}  // namespace

RequestReader::RequestReader(const interfaces::HeaderNames& names, const catalog::Limits& limits,
                             ByteBudgetPtr budget)
    : names_(names), limits_(limits), budget_(std::move(budget)) {}

ReadStatus RequestReader::Read(std::string_view bytes, size_t* consumed) {
  *consumed = 0;
  if (!parser_.has_value()) {
    const ReadStatus status = ReadHead(bytes, consumed);
    if (status != ReadStatus::kComplete) {
      return status;
    }
  }
  return ReadBody(bytes, consumed);
}

ReadStatus RequestReader::ReadHead(std::string_view bytes, size_t* consumed) {
  while (bytes.substr(*consumed).substr(0, kLineEnd.size()) == kLineEnd) {
    *consumed += kLineEnd.size();
  }
  const std::string_view rest = bytes.substr(*consumed);
  if (rest.empty() || rest == kLineEnd.substr(0, 1)) {
    return ReadStatus::kNeedMore;
  }
  size_t size = rest.size();
  const HeadScanner::Result scan = scanner_.Scan(rest, &size);
  if (scan == HeadScanner::Result::kMalformed) {
    return Fail(ResultCode::kMalformedRequest, "line ending or folded line");
  }
  if (size > limits_.max_header_bytes) {
    return Fail(ResultCode::kHeadersTooLarge, std::to_string(size) + " bytes of headers");
  }
  if (scan == HeadScanner::Result::kNeedMore) {
    return ReadStatus::kNeedMore;
  }
  parser_.emplace();
  parser_->header_limit(std::numeric_limits<uint32_t>::max());
  parser_->body_limit(limits_.max_body_bytes);
  boost::system::error_code error;
  parser_->put(boost::asio::buffer(rest.data(), size), error);
  if (error) {
    return Fail(CodeOf(error), error.message());
  }
  *consumed += size;
  if (!parser_->is_header_done()) {
    return Fail(ResultCode::kMalformedRequest, "head without an end");
  }
  return TakeHead() ? ReadStatus::kComplete : ReadStatus::kFault;
}

ReadStatus RequestReader::ReadBody(std::string_view bytes, size_t* consumed) {
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
      if (rest.size() > kMaxChunkOverheadBytes) {
        return Fail(ResultCode::kMalformedRequest, "chunk size line or trailer too long");
      }
      return ReadStatus::kNeedMore;
    }
    if (error) {
      return Fail(CodeOf(error), error.message());
    }
    if (!ReserveBody()) {
      return ReadStatus::kFault;
    }
  }
  continue_wanted_ = false;
  return ReadStatus::kComplete;
}

bool RequestReader::TakeHead() {
  const auto& message = parser_->get();
  const bool modern = message.version() >= kHttp11;
  if (!HasSoundFraming(message, message.version())) {
    Fail(ResultCode::kMalformedRequest, "contradictory framing");
    return false;
  }
  const std::string_view target = ToView(message.target());
  request_ = CallerRequest();
  request_.reservation = ByteReservation(budget_, ByteUse::kRequest);
  request_.is_head_method = message.method() == http::verb::head;
  request_.has_body = parser_->chunked() || parser_->content_length().has_value();
  request_.closing = !modern || !parser_->keep_alive();
  Append(&request_.head, ToView(message.method_string()), " ", target, " HTTP/1.1\r\n");
  seen_ = SeenFields();
  const ConnectionOptions options(message);
  for (const auto& field : message) {
    const std::string_view name = ToView(field.name_string());
    const std::string_view value = ToView(field.value());
    const FieldFate fate = TakeField(field.name(), name, value);
    if (fate == FieldFate::kMalformed) {
      Fail(ResultCode::kMalformedRequest, "header " + std::string(name));
      return false;
    }
    if (fate == FieldFate::kKeep ||
        (fate == FieldFate::kPassOn && !IsHopByHop(field.name(), name, options))) {
      AppendField(&request_.head, name, value);
    }
  }
  if (request_.request_id.empty() || (modern && !seen_.host)) {
    Fail(ResultCode::kMalformedRequest, "no request id or no host");
    return false;
  }
  const RoutingTarget routing = FindRoutingTarget(request_.host, target);
  if (!seen_.host) {
    // Passed on as HTTP/1.1, which asks for one.
    AppendField(&request_.head, "Host", routing.host);
  }
  request_.target = std::string(routing.target);
  request_.host = std::string(routing.host);
  return ReserveBody();
}

RequestReader::FieldFate RequestReader::TakeField(HeaderField field, std::string_view name,
                                                  std::string_view value) {
  switch (field) {
    case HeaderField::host:
      if (std::exchange(seen_.host, true)) {
        return FieldFate::kMalformed;
      }
      request_.host = std::string(value);
      return FieldFate::kKeep;
    case HeaderField::content_length:
      return FieldFate::kDrop;
    case HeaderField::expect:
      continue_wanted_ = request_.has_body && EqualsIgnoreCase(value, kContinue);
      return continue_wanted_ ? FieldFate::kDrop : FieldFate::kPassOn;
    case HeaderField::accept_encoding:
      request_.accepts_encoding = !EqualsIgnoreCase(value, kIdentity);
      return FieldFate::kPassOn;
    case HeaderField::unknown:
      return TakeProductField(name, value);
    default:
      return FieldFate::kPassOn;
  }
}

RequestReader::FieldFate RequestReader::TakeProductField(std::string_view name,
                                                         std::string_view value) {
  if (EqualsIgnoreCase(name, names_.request_id)) {
    if (!request_.request_id.empty()) {
      return FieldFate::kMalformed;
    }
    request_.request_id = std::string(value);
    return FieldFate::kKeep;
  }
  if (EqualsIgnoreCase(name, names_.shard_key)) {
    if (std::exchange(seen_.key, true)) {
      return FieldFate::kMalformed;
    }
    request_.key = ParseKey(value);
    return FieldFate::kKeep;
  }
  if (EqualsIgnoreCase(name, names_.deadline_ms)) {
    const std::optional<Duration> left = ParseTimeLeft(value);
    if (left.has_value()) {
      request_.time_left = std::min(*left, request_.time_left.value_or(absl::InfiniteDuration()));
    }
    return FieldFate::kDrop;
  }
  if (EqualsIgnoreCase(name, names_.expected_instance)) {
    return FieldFate::kDrop;
  }
  return FieldFate::kPassOn;
}

bool RequestReader::ReserveBody() {
  // Only what has come is reserved: a caller that announces much and sends little holds little.
  const size_t arrived = parser_->get().body().size();
  const size_t announced = parser_->content_length().value_or(0);
  const size_t missing = announced - std::min(announced, arrived);
  if (budget_->Fits(ByteUse::kRequest, 0, missing) && request_.reservation.Resize(arrived)) {
    return true;
  }
  Fail(ResultCode::kOverloaded, "too many bytes of bodies are held");
  return false;
}

bool RequestReader::TakeContinueWanted() { return std::exchange(continue_wanted_, false); }

ReadStatus RequestReader::Fail(ResultCode code, std::string detail) {
  fault_ = {code, std::move(detail)};
  return ReadStatus::kFault;
}

CallerRequest RequestReader::Take() {
  request_.body = std::move(parser_->get().body());
  parser_.reset();
  scanner_.Reset();
  return std::move(request_);
}

}  // namespace ladderstream::gateway
