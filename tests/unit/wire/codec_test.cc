// Typed messages survive the wire; anything else is refused with a numbered error.
#include "wire/codec.h"

#include <boost/test/unit_test.hpp>
#include <string>
#include <vector>

#include "wire/peer_message.h"

namespace ladderstream {
namespace {

BOOST_AUTO_TEST_SUITE(codec)

BOOST_AUTO_TEST_CASE(frame_with_command_round_trips) {
  PeerFrame frame;
  frame.from = NodeId(7);
  frame.correlation = 9;
  const AssignShards::Item item{{ServiceName("scripts"), RangeIndex(3), "hot"}, BackendId("b1")};
  frame.body = Proposal{AssignShards{{item}}, 1};
  const auto copy = Decode<PeerFrame>(Encode(frame));
  BOOST_TEST(copy.from == frame.from);
  const auto& command = std::get<Proposal>(copy.body).command;
  BOOST_TEST((std::get<AssignShards>(command).items.at(0).shard == item.shard));
}

BOOST_AUTO_TEST_CASE(durations_keep_microseconds) {
  LeaseResponse response;
  response.lease = absl::Microseconds(700123);
  BOOST_TEST((Decode<LeaseResponse>(Encode(response)) == response));
}

BOOST_AUTO_TEST_CASE(rubbish_is_a_malformed_message) {
  const auto is_malformed = [](const Error& error) {
    return error.code() == ResultCode::kMalformedMessage;
  };
  BOOST_CHECK_EXCEPTION(Decode<PeerFrame>("rubbish"), Error, is_malformed);
  BOOST_CHECK_EXCEPTION(Decode<PeerFrame>(""), Error, is_malformed);
}

// Found by fuzzing: space for what a length announced was reserved before a byte of it had come.
BOOST_AUTO_TEST_CASE(an_announced_length_reserves_nothing) {
  const auto is_over_limit = [](const Error& error) {
    return error.code() == ResultCode::kMalformedMessage &&
           std::string(error.what()).find("overflow") != std::string::npos;
  };
  const std::string array("\xdd\x00\x0f\xff\xff", 5);
  const std::string map("\xdf\x00\x0f\xff\xff", 5);
  for (const std::string& bytes : {array, map, std::string(1000, '\x91')}) {
    BOOST_CHECK_EXCEPTION(Decode<std::vector<int>>(bytes), Error, is_over_limit);
  }
}

BOOST_AUTO_TEST_CASE(range_is_the_top_bits_of_the_hash) {
  for (const uint32_t count : {1U, 2U, 256U, 4096U}) {
    BOOST_TEST(RangeOf("customer/17", count).value() < count);
  }
  BOOST_TEST(RangeOf("customer/17", 512).value() / 2 == RangeOf("customer/17", 256).value());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace ladderstream
