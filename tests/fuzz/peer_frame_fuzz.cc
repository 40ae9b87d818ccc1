// Frames between nodes: the same messages however the bytes are cut, each read back as it was
// written.
#include <string>
#include <vector>

#include "core/membership/message_codec.h"
#include "fuzz_support.h"
#include "gateway/peer/compression.h"
#include "gateway/peer/frame.h"
#include "wire/result_code.h"

namespace ladderstream::fuzz {
namespace {

constexpr size_t kMaxMessage = 65536;

/// The bodies of all whole frames; `broken` tells whether the stream ended at a bad length.
std::vector<std::string> ReadFrames(std::string_view bytes, size_t piece, bool* broken) {
  gateway::FrameReader reader(kMaxMessage);
  std::vector<std::string> bodies;
  *broken = false;
  try {
    for (size_t offset = 0; offset < bytes.size(); offset += piece) {
      reader.Append(bytes.substr(offset, piece));
      while (const auto body = reader.Next()) {
        bodies.emplace_back(*body);
      }
    }
  } catch (const Error& error) {
    Require(error.code() == ResultCode::kMessageTooLarge ||
                error.code() == ResultCode::kMalformedMessage,
            "the code of the error");
    *broken = true;
  }
  return bodies;
}

void CheckCompression(std::string_view bytes) {
  Require(gateway::Decompress(gateway::Compress(bytes), bytes.size()) == bytes,
          "what is compressed is read back");
  try {
    Require(gateway::Decompress(bytes, kMaxMessage).size() <= kMaxMessage,
            "no more comes out than is allowed");
  } catch (const Error& error) {
    Require(error.code() == ResultCode::kMessageTooLarge ||
                error.code() == ResultCode::kMalformedMessage,
            "the code of the error");
  }
}

void CheckMessage(std::string_view body) {
  membership::Message message;
  try {
    message = membership::DecodeMessage(body);
  } catch (const Error& error) {
    Require(error.code() == ResultCode::kMalformedMessage, "the code of the error");
    return;
  }
  const std::string written = membership::EncodeMessage(message);
  const membership::Message again = membership::DecodeMessage(written);
  Require(again.index() == message.index(), "a message keeps its type");
  Require(membership::EncodeMessage(again) == written, "a message is read back");
  const std::string frame = gateway::EncodeFrame(message, written.size());
  bool broken = false;
  const std::vector<std::string> bodies = ReadFrames(frame, 1, &broken);
  Require(!broken && bodies.size() == 1 && bodies[0] == written, "a frame is read back");
}

}  // namespace
}  // namespace ladderstream::fuzz

extern "C" int LLVMFuzzerTestOneInput(const uint8_t* data, size_t size) {
  using namespace ladderstream::fuzz;  // NOLINT(google-build-using-namespace)
  std::string_view bytes = ToText(data, size);
  const size_t piece = TakeByte(&bytes) + size_t{1};
  // The body alone as well: the fuzzer need not find a length that fits.
  CheckMessage(bytes);
  CheckCompression(bytes);
  bool whole_broken = false;
  bool pieces_broken = false;
  const auto at_once = ReadFrames(bytes, bytes.size() + 1, &whole_broken);
  const auto in_pieces = ReadFrames(bytes, piece, &pieces_broken);
  Require(at_once == in_pieces && whole_broken == pieces_broken,
          "the size of the pieces makes no difference");
  for (const std::string& body : at_once) {
    CheckMessage(body);
  }
  return 0;
}
