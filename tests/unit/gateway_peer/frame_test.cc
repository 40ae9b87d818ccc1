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

/// A message whose rows are much alike, as those of the store are.
membership::Message MakeLongMessage() {
  membership::Snapshot snapshot;
  for (int i = 0; i < 50; ++i) {
    snapshot.backends.push_back({std::to_string(i), std::string(200, 'x') + std::to_string(i), 1});
  }
  return snapshot;
}

BOOST_AUTO_TEST_CASE(LongMessagesTravelCompressed) {
  constexpr size_t kMostBytes = 100'000;
  const std::string body = membership::EncodeMessage(MakeLongMessage());
  const std::string frame = EncodeFrame(MakeLongMessage(), kMostBytes);
  BOOST_TEST(frame.size() < body.size() / 4);
  FrameReader reader(kMostBytes);
  const std::string stream = frame + EncodeFrame(MakeMessage(), kMostBytes) + frame;
  reader.Append(stream);
  BOOST_TEST((reader.Next() == body));
  BOOST_TEST((reader.Next() == membership::EncodeMessage(MakeMessage())));
  BOOST_TEST((reader.Next() == body));
  BOOST_TEST(!reader.Next().has_value());
}

BOOST_AUTO_TEST_CASE(CompressedMessagesAreBoundedAndChecked) {
  const auto is_code = [](ResultCode code) {
    return [code](const Error& error) { return error.code() == code; };
  };
  const std::string frame = EncodeFrame(MakeLongMessage(), 100'000);
  FrameReader bounded(kMaxBytes);
  bounded.Append(frame);
  BOOST_CHECK_EXCEPTION(bounded.Next(), Error, is_code(ResultCode::kMessageTooLarge));
  BOOST_CHECK_EXCEPTION(EncodeFrame(MakeLongMessage(), kMaxBytes), Error,
                        is_code(ResultCode::kMessageTooLarge));
  std::string broken = frame;
  broken[frame.size() / 2] = static_cast<char>(broken[frame.size() / 2] ^ 0x55);
  FrameReader checked(100'000);
  checked.Append(broken);
  BOOST_CHECK_EXCEPTION(checked.Next(), Error, is_code(ResultCode::kMalformedMessage));
  // One byte more than the stream, and one fewer.
  for (const int difference : {1, -1}) {
    std::string other = frame.substr(0, frame.size() - (difference < 0 ? 1 : 0));
    other += std::string(difference > 0 ? 1 : 0, 'x');
    other[3] = static_cast<char>(other[3] + difference);
    FrameReader reader(100'000);
    reader.Append(other);
    BOOST_CHECK_EXCEPTION(reader.Next(), Error, is_code(ResultCode::kMalformedMessage));
  }
}

}  // namespace
}  // namespace ladderstream::gateway
