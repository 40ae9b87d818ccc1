// Requests of callers: the same request however its bytes are cut, one framing only, and passed on
// so that it is read as the same request again.
#include <memory>
#include <string>

#include "fuzz_support.h"
#include "gateway/http/request_reader.h"
#include "http_feed.h"
#include "platform/adapter.h"

namespace ladderstream::fuzz {
namespace {

using gateway::ByteBudget;
using gateway::CallerRequest;
using gateway::ReadStatus;
using gateway::RequestReader;

constexpr size_t kBudgetBytes = 3000;

class Requests {
 public:
  Requests() {
    limits_.max_header_bytes = 2048;
    limits_.max_body_bytes = 1024;
  }

  Feed Read(std::string_view bytes, size_t piece, CallerRequest* request) {
    RequestReader reader(adapter_->headers(), limits_, budget_);
    const Feed feed = FeedInPieces(&reader, bytes, piece);
    if (feed.status == ReadStatus::kComplete) {
      *request = reader.Take();
    } else if (feed.status == ReadStatus::kFault) {
      Require(reader.fault().code != ResultCode::kOk, "a fault has a code");
    }
    return feed;
  }

  size_t held() const { return budget_->used(); }
  const catalog::Limits& limits() const { return limits_; }

 private:
  interfaces::PlatformAdapterPtr adapter_ = platform::MakeAdapter();
  catalog::Limits limits_;
  gateway::ByteBudgetPtr budget_ = std::make_shared<ByteBudget>(kBudgetBytes);
};

void RequireSame(const CallerRequest& one, const CallerRequest& other) {
  Require(one.head == other.head, "same head");
  Require(one.body == other.body, "same body");
  Require(one.request_id == other.request_id && one.key == other.key, "same id and key");
  Require(one.host == other.host && one.target == other.target, "same route");
}

/// The bytes that go to a back end, as BackendConnection builds them.
std::string PassedOn(const CallerRequest& request) {
  std::string bytes = request.head;
  if (request.has_body) {
    gateway::AppendField(&bytes, "Content-Length", std::to_string(request.body.size()));
  }
  return bytes + "\r\n" + request.body;
}

void CheckRequest(Requests* requests, std::string_view bytes, const CallerRequest& request) {
  Require(CountFramingFields(HeadOf(bytes)) <= 1, "no request has two framings");
  Require(CountFramingFields(request.head) == 0, "framing is not passed on");
  Require(HasSoundLines(request.head), "what is passed on has sound lines");
  Require(!request.request_id.empty(), "a request has an id");
  Require(request.body.size() <= requests->limits().max_body_bytes, "the body keeps its limit");
  const std::string passed_on = PassedOn(request);
  if (passed_on.size() > requests->limits().max_header_bytes) {
    return;
  }
  CallerRequest again;
  const Feed feed = requests->Read(passed_on, passed_on.size(), &again);
  Require(feed.status == ReadStatus::kComplete, "what is passed on is a whole request");
  Require(feed.consumed == passed_on.size(), "and only one");
  RequireSame(request, again);
}

}  // namespace
}  // namespace ladderstream::fuzz

extern "C" int LLVMFuzzerTestOneInput(const uint8_t* data, size_t size) {
  using namespace ladderstream::fuzz;  // NOLINT(google-build-using-namespace)
  static Requests requests;
  std::string_view bytes = ToText(data, size);
  const size_t piece = TakeByte(&bytes) + size_t{1};
  {
    ladderstream::gateway::CallerRequest whole;
    ladderstream::gateway::CallerRequest pieces;
    const Feed at_once = requests.Read(bytes, bytes.size() + 1, &whole);
    whole.reservation = {};
    const Feed in_pieces = requests.Read(bytes, piece, &pieces);
    Require(at_once.status == in_pieces.status, "the size of the pieces makes no difference");
    if (at_once.status == ladderstream::gateway::ReadStatus::kComplete) {
      Require(at_once.consumed == in_pieces.consumed, "the same bytes are taken");
      RequireSame(whole, pieces);
      pieces.reservation = {};
      CheckRequest(&requests, bytes, whole);
    }
  }
  Require(requests.held() == 0, "all memory of bodies is given back");
  return 0;
}
