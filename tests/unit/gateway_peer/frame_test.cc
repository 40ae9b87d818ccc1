#include "gateway/peer/frame.h"

#include <boost/test/unit_test.hpp>
#include <string>

#include "core/membership/message_codec.h"
#include "wire/result_code.h"

namespace ladderstream::gateway {
namespace {

constexpr size_t kMaxBytes = 1000;

membership::Message MakeMessage() { return membership::Resignation{7}; }

BOOST_AUTO_TEST_CASE(FramesAreCutOutOfAnyPieces) {
  const std::string frame = EncodeFrame(MakeMessage(), kMaxBytes);
  const std::string stream = frame + frame;
  for (size_t piece = 1; piece <= stream.size(); ++piece) {
    FrameReader reader(kMaxBytes);
    int messages = 0;
    for (size_t at = 0; at < stream.size(); at += piece) {
      reader.Append(std::string_view(stream).substr(at, piece));
      while (const auto body = reader.Next()) {
        BOOST_TEST(
            std::get<membership::Resignation>(membership::DecodeMessage(*body)).incarnation == 7);
        ++messages;
      }
    }
    BOOST_TEST(messages == 2);
  }
}

BOOST_AUTO_TEST_CASE(LengthsOutOfBoundsAreRefused) {
  const auto is_code = [](ResultCode code) {
    return [code](const Error& error) { return error.code() == code; };
  };
  FrameReader reader(kMaxBytes);
  reader.Append(std::string("\x00\x00\x03\xe9", 4));
  BOOST_CHECK_EXCEPTION(reader.Next(), Error, is_code(ResultCode::kMessageTooLarge));
  FrameReader other_reader(kMaxBytes);
  other_reader.Append(std::string(4, '\0'));
  BOOST_CHECK_EXCEPTION(other_reader.Next(), Error, is_code(ResultCode::kMalformedMessage));
  BOOST_CHECK_EXCEPTION(EncodeFrame(MakeMessage(), 2), Error,
                        is_code(ResultCode::kMessageTooLarge));
}

}  // namespace
}  // namespace ladderstream::gateway
