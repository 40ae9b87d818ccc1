// Reads requests of callers from bytes that arrive piece by piece. No I/O.
#pragma once

#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <optional>
#include <string>
#include <string_view>

#include "core/catalog/catalog.h"
#include "core/ownership/ownership_map.h"
#include "gateway/http/byte_budget.h"
#include "gateway/http/head_scanner.h"
#include "gateway/http/header_rules.h"
#include "interfaces/platform_adapter.h"
#include "wire/result_code.h"
#include "wire/time.h"

namespace ladderstream::gateway {

/// A whole request of a caller.
struct CallerRequest {
  std::string request_id;
  /// What decides the route; see FindRoutingTarget.
  std::string host;
  std::string target;
  /// Request line and end-to-end headers as the caller spelled them, without the length of the
  /// body, without what this node sets itself, and without the final blank line.
  std::string head;
  std::string body;
  /// The caller announced a body, maybe an empty one.
  bool has_body = false;
  bool is_head_method = false;
  /// The caller takes no more answers on this connection.
  bool closing = false;
  bool accepts_encoding = false;
  std::optional<ownership::Key> key;
  /// How long the caller said it waits, counted from `arrival`.
  std::optional<Duration> time_left;
  /// When the first byte was read.
  Time arrival;
  /// Holds the body's share of the memory.
  ByteReservation reservation;
};

enum class ReadStatus { kNeedMore, kComplete, kFault };

struct ReadFault {
  ResultCode code = ResultCode::kOk;
  std::string detail;
};

class RequestReader {
 public:
  /// References must outlive the reader. `limits` may change between requests.
  RequestReader(const interfaces::HeaderNames& names, const catalog::Limits& limits,
                ByteBudgetPtr budget);

  /// Takes bytes from the front of `bytes`; `consumed` says how many. The rest must be offered
  /// again, with more behind it, after kNeedMore, and to the next request after kComplete.
  ReadStatus Read(std::string_view bytes, size_t* consumed);

  /// A head has been read whole, its body not yet.
  bool in_body() const { return parser_.has_value(); }
  /// The caller waits for a word that its body is wanted. True at most once a request.
  bool TakeContinueWanted();
  /// Of the request being read, once its head is known.
  std::optional<Duration> time_left() const { return request_.time_left; }
  const ReadFault& fault() const { return fault_; }

  /// After kComplete; makes ready for the next request.
  CallerRequest Take();

 private:
  using Parser = boost::beast::http::request_parser<boost::beast::http::string_body>;

  ReadStatus ReadHead(std::string_view bytes, size_t* consumed);
  ReadStatus ReadBody(std::string_view bytes, size_t* consumed);
  bool TakeHead();
  /// What becomes of a header field on its way to the back end.
  enum class FieldFate {
    kKeep,
    /// Unless it concerns one connection only.
    kPassOn,
    kDrop,
    kMalformed,
  };
  FieldFate TakeField(HeaderField field, std::string_view name, std::string_view value);
  /// Fields that only this product and its platform know.
  FieldFate TakeProductField(std::string_view name, std::string_view value);
  bool ReserveBody();
  ReadStatus Fail(ResultCode code, std::string detail);

  const interfaces::HeaderNames& names_;
  const catalog::Limits& limits_;
  ByteBudgetPtr budget_;
  HeadScanner scanner_;
  std::optional<Parser> parser_;
  CallerRequest request_;
  struct SeenFields {
    bool host = false;
    bool key = false;
  };
  SeenFields seen_;
  bool continue_wanted_ = false;
  ReadFault fault_;
};

}  // namespace ladderstream::gateway
