// Answers to a node's own calls: the same answer however its bytes are cut, and every part bounded.
#include <memory>
#include <string>

#include "fuzz_support.h"
#include "gateway/http/call_answer_reader.h"
#include "http_feed.h"

namespace ladderstream::fuzz {
namespace {

using gateway::ByteBudget;
using gateway::CallAnswerReader;
using gateway::ReadStatus;

constexpr size_t kMaxBody = 1024;
constexpr size_t kBudgetBytes = 4096;

struct Mode {
  bool is_head_method = false;
  /// The other side closes behind the bytes.
  bool ends = false;
};

struct Outcome {
  Feed feed;
  interfaces::HttpResponse response;
};

class Answers {
 public:
  Outcome Read(std::string_view bytes, size_t piece, const Mode& mode) {
    CallAnswerReader reader(budget_);
    reader.Begin(mode.is_head_method, kMaxBody);
    Outcome outcome;
    outcome.feed = FeedInPieces(&reader, bytes, piece);
    if (outcome.feed.status == ReadStatus::kNeedMore && mode.ends) {
      outcome.feed.status = reader.ReadEnd();
    }
    if (outcome.feed.status == ReadStatus::kComplete) {
      outcome.response = reader.Take();
    } else if (outcome.feed.status == ReadStatus::kFault) {
      Require(!reader.fault().empty(), "a fault has a reason");
    }
    return outcome;
  }

  size_t held() const { return budget_->used(); }

 private:
  gateway::ByteBudgetPtr budget_ = std::make_shared<ByteBudget>(kBudgetBytes);
};

}  // namespace
}  // namespace ladderstream::fuzz

extern "C" int LLVMFuzzerTestOneInput(const uint8_t* data, size_t size) {
  using namespace ladderstream::fuzz;  // NOLINT(google-build-using-namespace)
  using ladderstream::gateway::ReadStatus;
  static Answers answers;
  std::string_view bytes = ToText(data, size);
  const size_t piece = TakeByte(&bytes) + size_t{1};
  const uint8_t flags = TakeByte(&bytes);
  const Mode mode{(flags & 1U) != 0, (flags & 2U) != 0};
  const Outcome whole = answers.Read(bytes, bytes.size() + 1, mode);
  const Outcome pieces = answers.Read(bytes, piece, mode);
  Require(whole.feed.status == pieces.feed.status, "the size of the pieces makes no difference");
  if (whole.feed.status == ReadStatus::kComplete) {
    Require(whole.feed.consumed == pieces.feed.consumed, "the same bytes are taken");
    Require(whole.response.status == pieces.response.status, "same status");
    Require(whole.response.headers == pieces.response.headers, "same fields");
    Require(whole.response.body == pieces.response.body, "same body");
    Require(whole.response.status / 100 != 1 || whole.response.status == 101, "a final status");
    Require(whole.response.body.size() <= kMaxBody, "the body keeps its limit");
  }
  Require(answers.held() == 0, "all memory of bodies is given back");
  return 0;
}
