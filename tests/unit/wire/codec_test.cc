// Typed messages survive the wire; anything else is refused with a numbered error.
#include "wire/codec.h"

#include <boost/test/unit_test.hpp>
#include <string>
#include <variant>
#include <vector>

#include "wire/identifiers.h"
#include "wire/variant.h"

namespace ladderstream {
namespace {

struct Greeting {
  std::string text;
  MSGPACK_DEFINE_ARRAY(text);
};

struct Frame {
  uint64_t from = 0;
  std::variant<Endpoint, Greeting> body;
  MSGPACK_DEFINE_ARRAY(from, body);
};

BOOST_AUTO_TEST_SUITE(codec)

BOOST_AUTO_TEST_CASE(frame_with_a_choice_round_trips) {
  const Frame frame{7, Greeting{"hello"}};
  const auto copy = Decode<Frame>(Encode(frame));
  BOOST_TEST(copy.from == frame.from);
  BOOST_TEST(std::get<Greeting>(copy.body).text == "hello");
}

BOOST_AUTO_TEST_CASE(addresses_round_trip) {
  const Endpoint endpoint{"127.0.0.1", 80};
  BOOST_TEST((Decode<Endpoint>(Encode(endpoint)) == endpoint));
  BOOST_TEST((ParseEndpoint(FormatEndpoint(endpoint)) == endpoint));
  for (const char* const text : {"", "127.0.0.1", ":80", "127.0.0.1:0", "127.0.0.1:65536"}) {
    BOOST_CHECK_THROW(ParseEndpoint(text), Error);
  }
}

BOOST_AUTO_TEST_CASE(rubbish_is_a_malformed_message) {
  const auto is_malformed = [](const Error& error) {
    return error.code() == ResultCode::kMalformedMessage;
  };
  BOOST_CHECK_EXCEPTION(Decode<Frame>("rubbish"), Error, is_malformed);
  BOOST_CHECK_EXCEPTION(Decode<Frame>(""), Error, is_malformed);
  // The choice of an alternative that does not exist.
  BOOST_CHECK_EXCEPTION(Decode<Frame>("\x92\x07\x92\x09\x91\xa1x"), Error, is_malformed);
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

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace ladderstream
