// How bodies of unknown length share the memory for bodies.
#include "gateway/http/byte_budget.h"

#include <boost/test/unit_test.hpp>
#include <vector>

namespace ladderstream::gateway {
namespace {

constexpr size_t kLimit = 1000;

/// Lets the answer grow as far as it may.
void GrowWithoutEnd(ByteReservation* answer, size_t from = 0) {
  for (size_t size = from + 1; answer->Resize(size); ++size) {
  }
}

BOOST_AUTO_TEST_SUITE(byte_budget)

// Guards against one answer without an end that takes the room of all others.
BOOST_AUTO_TEST_CASE(answers_without_an_end_leave_room_for_others) {
  for (const size_t endless : {1U, 2U, 4U}) {
    const auto budget = std::make_shared<ByteBudget>(kLimit);
    std::vector<ByteReservation> answers;
    for (size_t i = 0; i < endless; ++i) {
      GrowWithoutEnd(&answers.emplace_back(budget, ByteUse::kAnswer));
    }
    const size_t left = kLimit - budget->used();
    BOOST_TEST(left >= kLimit / (size_t{1} << endless));
    ByteReservation other(budget, ByteUse::kAnswer);
    BOOST_TEST(other.Resize(left / 2));
  }
}

BOOST_AUTO_TEST_CASE(an_answer_may_take_half_of_an_unused_budget) {
  const auto budget = std::make_shared<ByteBudget>(kLimit);
  ByteReservation answer(budget, ByteUse::kAnswer);
  BOOST_TEST(answer.Resize(kLimit / 2));
  BOOST_TEST(!answer.Resize(kLimit / 2 + 1));
  BOOST_TEST(budget->used() == kLimit / 2);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace ladderstream::gateway
