#include "daemon/peer/frame.h"

#include <boost/test/unit_test.hpp>
#include <optional>
#include <string>

#include "wire/codec.h"

namespace ladderstream::peer {
namespace {

PeerFrame CancelFrame(const std::string& request_id) {
  return PeerFrame{NodeId(7), 0, false, ForwardCancel{request_id}};
}

BOOST_AUTO_TEST_SUITE(frame_suite)

BOOST_AUTO_TEST_CASE(FramesAreCutWhereverTheStreamIsCut) {
  const std::string stream = EncodeFrame(CancelFrame("a")) + EncodeFrame(CancelFrame("bb"));
  FrameReader reader;
  std::string seen;
  for (const char byte : stream) {
    reader.Append(std::string(1, byte));
    while (const std::optional<std::string> message = reader.Next()) {
      seen += std::get<ForwardCancel>(Decode<PeerFrame>(*message).body).request_id + ";";
    }
  }
  BOOST_TEST(seen == "a;bb;");
}

BOOST_AUTO_TEST_CASE(LengthOverTheLimitIsRefusedBeforeItsBytesCome) {
  FrameReader reader;
  reader.Append(std::string("\x01\x00\x00\x01", 4));
  BOOST_CHECK_EXCEPTION(reader.Next(), Error, [](const Error& error) {
    return error.code() == ResultCode::kMessageTooLarge;
  });
}

BOOST_AUTO_TEST_CASE(MessageOverTheLimitIsNotEncoded) {
  BOOST_CHECK_THROW(EncodeFrame(CancelFrame(std::string(kMaxFrameBytes, 'x'))), Error);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace ladderstream::peer
