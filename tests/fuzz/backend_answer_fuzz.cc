// Answers of back ends: the same answer however its bytes are cut, one framing only, and never one
// that belongs to another request.
#include <memory>
#include <string>

#include "fuzz_support.h"
#include "gateway/http/answer_reader.h"
#include "http_feed.h"
#include "platform/adapter.h"

namespace ladderstream::fuzz {
namespace {

using gateway::AnswerReader;
using gateway::BackendAnswer;
using gateway::ByteBudget;
using gateway::ReadStatus;

constexpr size_t kMaxBody = 1024;
constexpr size_t kBudgetBytes = 4096;
constexpr char kRequestId[] = "42";

struct Mode {
  bool is_head_method = false;
  bool accepts_encoding = false;
  /// The back end closes behind the bytes.
  bool ends = false;
};

class Answers {
 public:
  Feed Read(std::string_view bytes, size_t piece, const Mode& mode, BackendAnswer* answer) {
    AnswerReader reader(*adapter_, kMaxBody, budget_);
    reader.Begin({kRequestId, mode.is_head_method, mode.accepts_encoding});
    Feed feed = FeedInPieces(&reader, bytes, piece);
    if (feed.status == ReadStatus::kNeedMore && mode.ends) {
      feed.status = reader.ReadEnd();
    }
    if (feed.status == ReadStatus::kComplete) {
      *answer = reader.Take();
    } else if (feed.status == ReadStatus::kFault) {
      Require(!reader.fault().empty(), "a fault has a reason");
    }
    return feed;
  }

  size_t held() const { return budget_->used(); }

 private:
  interfaces::PlatformAdapterPtr adapter_ = platform::MakeAdapter();
  gateway::ByteBudgetPtr budget_ = std::make_shared<ByteBudget>(kBudgetBytes);
};

void RequireSame(const BackendAnswer& one, const BackendAnswer& other) {
  Require(one.status == other.status && one.head == other.head, "same status and head");
  Require(one.body == other.body, "same body");
  Require(one.not_executed == other.not_executed, "same promise");
  Require(one.rest == other.rest && one.leaving == other.leaving, "same wishes");
  Require(one.keeps_open == other.keeps_open, "same future of the connection");
}

void CheckAnswer(const BackendAnswer& answer, const Mode& mode) {
  Require(HasSoundLines(answer.head), "what is passed on has sound lines");
  Require(CountFramingFields(answer.head) <= (mode.is_head_method ? 1U : 0U),
          "framing is not passed on but with the answer to HEAD");
  Require(answer.status >= 200 && answer.status <= 599, "a final status");
  Require(answer.body.size() <= kMaxBody, "the body keeps its limit");
  const std::string lower = absl::AsciiStrToLower(answer.head);
  Require(lower.find("\r\nx-ladderstream-request-id: 42\r\n") != std::string::npos,
          "the answer names its request");
}

}  // namespace
}  // namespace ladderstream::fuzz

extern "C" int LLVMFuzzerTestOneInput(const uint8_t* data, size_t size) {
  using namespace ladderstream::fuzz;  // NOLINT(google-build-using-namespace)
  static Answers answers;
  std::string_view bytes = ToText(data, size);
  const size_t piece = TakeByte(&bytes) + size_t{1};
  const uint8_t flags = TakeByte(&bytes);
  const Mode mode{(flags & 1U) != 0, (flags & 2U) != 0, (flags & 4U) != 0};
  {
    ladderstream::gateway::BackendAnswer whole;
    ladderstream::gateway::BackendAnswer pieces;
    const Feed at_once = answers.Read(bytes, bytes.size() + 1, mode, &whole);
    whole.reservation = {};
    const Feed in_pieces = answers.Read(bytes, piece, mode, &pieces);
    Require(at_once.status == in_pieces.status, "the size of the pieces makes no difference");
    if (at_once.status == ladderstream::gateway::ReadStatus::kComplete) {
      Require(at_once.consumed == in_pieces.consumed, "the same bytes are taken");
      RequireSame(whole, pieces);
      CheckAnswer(whole, mode);
    }
  }
  Require(answers.held() == 0, "all memory of bodies is given back");
  return 0;
}
