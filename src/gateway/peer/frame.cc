#include "gateway/peer/frame.h"

#include <absl/strings/str_cat.h>

#include <boost/endian/conversion.hpp>
#include <utility>

#include "core/membership/message_codec.h"
#include "gateway/peer/compression.h"
#include "wire/result_code.h"

namespace ladderstream::gateway {
namespace {

/// A buffer that grew beyond this for one message is given back once it is empty. Bytes.
constexpr size_t kKeptBufferBytes = size_t{64} << 10U;

constexpr uint32_t kCompressedBit = uint32_t{1} << 31U;

void CheckLength(size_t length, size_t max_bytes) {
  if (length > max_bytes) {
    throw Error(ResultCode::kMessageTooLarge,
                absl::StrCat("message of ", length, " bytes; at most ", max_bytes));
  }
}

}  // namespace

std::string EncodeFrame(const membership::Message& message, size_t max_bytes,
                        Compression compression) {
  std::string body = membership::EncodeMessage(message);
  CheckLength(body.size(), max_bytes);
  uint32_t flags = 0;
  if (compression == Compression::kLongMessages && body.size() >= kLeastCompressedBytes) {
    std::string compressed = Compress(body);
    if (compressed.size() < body.size()) {
      body = std::move(compressed);
      flags = kCompressedBit;
    }
  }
  std::string frame(kFrameHeaderBytes, '\0');
  boost::endian::store_big_u32(reinterpret_cast<unsigned char*>(frame.data()),
                               static_cast<uint32_t>(body.size()) | flags);
  frame += body;
  return frame;
}

void FrameReader::Append(std::string_view bytes) {
  if (consumed_ == buffer_.size()) {
    buffer_.clear();
    if (buffer_.capacity() > kKeptBufferBytes) {
      buffer_.shrink_to_fit();
    }
  } else if (consumed_ > 0) {
    buffer_.erase(0, consumed_);
  }
  consumed_ = 0;
  buffer_.append(bytes);
}

std::optional<std::string_view> FrameReader::Next() {
  const std::string_view left = std::string_view(buffer_).substr(consumed_);
  if (left.size() < kFrameHeaderBytes) {
    return std::nullopt;
  }
  const uint32_t head =
      boost::endian::load_big_u32(reinterpret_cast<const unsigned char*>(left.data()));
  const size_t length = head & ~kCompressedBit;
  if (length == 0) {
    throw Error(ResultCode::kMalformedMessage, "frame without a message");
  }
  CheckLength(length, max_bytes_);
  if (left.size() - kFrameHeaderBytes < length) {
    return std::nullopt;
  }
  consumed_ += kFrameHeaderBytes + length;
  const std::string_view body = left.substr(kFrameHeaderBytes, length);
  if ((head & kCompressedBit) == 0) {
    return body;
  }
  decompressed_ = Decompress(body, max_bytes_);
  return decompressed_;
}

}  // namespace ladderstream::gateway
